//! Steps that make the scene that of another deployment: its settings, its models of engines, its
//! keys.
use super::Stage;
use crate::clock::micros;
use crate::testkit::Terms;
use crate::testkit::daemon::KINDS;
use crate::testkit::engines::Engine;
use serde_json::Value;

/// What the rules allow under these settings.
pub fn terms(settings: &Value) -> Terms {
    let limits = &settings["limits"];
    let copies = if limits["second_copies"] == true {
        2
    } else {
        1
    };
    let classes = settings["classes"].as_array().into_iter().flatten();
    let window = classes
        .filter(|c| c["semantics"] == "token")
        .filter_map(|c| c["window_ns"].as_u64())
        .max();
    let attempts = limits["send_cap"].as_u64().unwrap_or(1) as usize;
    Terms {
        copies,
        attempts,
        window: micros(window.unwrap_or(0)),
    }
}

impl Stage<'_> {
    /// An engine of that kind of machine.
    pub fn model(&mut self, name: &str, kind: &str, sessions: usize) -> Result<(), String> {
        let kind = KINDS
            .iter()
            .position(|k| *k == kind)
            .ok_or("no such kind")?;
        let engine = Engine::with(&self.executor, name, false, self.book.clone(), sessions);
        let number = self.engines.len() as u32 + 1;
        self.engines.insert(name.to_owned(), (engine, number));
        self.kinds.insert(name.to_owned(), kind as u16);
        Ok(())
    }

    /// Another figure in the settings; the last part of the path may be new.
    pub fn set(&mut self, pointer: &str, text: &str) -> Result<(), String> {
        let value: Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let (parent, key) = pointer.rsplit_once('/').ok_or("no path")?;
        match self.settings.pointer_mut(parent).ok_or("no such place")? {
            Value::Object(map) => drop(map.insert(key.to_owned(), value)),
            Value::Array(list) => {
                let at = key.parse::<usize>().map_err(|e| e.to_string())?;
                *list.get_mut(at).ok_or("no such place")? = value;
            }
            _ => return Err("no such place".into()),
        }
        Ok(())
    }

    /// What stood with the last attempt of a query.
    pub fn sent(&self, name: &str, field: &str, value: &str) -> Result<(), String> {
        let runs = self.book.of(name);
        let found = runs
            .last()
            .and_then(|run| run.fields.get(field))
            .map_or("-", String::as_str);
        if found == value {
            Ok(())
        } else {
            Err(format!("{found:?}"))
        }
    }

    /// How many attempts of a query changed nothing, as engines knew its key.
    pub fn dropped(&self, name: &str, count: usize) -> Result<(), String> {
        let found = self.book.of(name).iter().filter(|run| run.dropped).count();
        if found == count {
            Ok(())
        } else {
            Err(format!("{found}"))
        }
    }
}
