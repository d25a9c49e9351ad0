//! What one workload manager is told at its start: `PROXY_CONFIG`, a JSON file.
use crate::config::settings;
use crate::policy::api::{ClassId, ClassSpec, Idempotency, Nanos, Settings};
use serde::Deserialize;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

#[derive(Deserialize)]
struct Text {
    name: String,
    listen: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: Bounds,
    coordinator: SocketAddr,
    console: Option<SocketAddr>,
    known: Value,
    settings: Value,
}

/// The limits on this process.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Memory in MB.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            memory_mb: 192,
            sockets: 1024,
        }
    }
}

/// The words of the settings that the core and the fronts need beside those of the module.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Classes, by their ids: at first in the order of the settings.
    pub classes: Vec<String>,
    /// Those of them that are not in force any more.
    pub dropped: BTreeSet<u16>,
    /// Those whose requests carry keys by which engines know repeats.
    pub keyed: BTreeSet<u16>,
    /// Tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// Zones, in the order of the settings.
    pub zones: Vec<String>,
    /// Kinds of machine, in the order of the settings.
    pub kinds: Vec<String>,
    /// Fields of load reports, in the order of the settings.
    pub load_fields: Vec<String>,
    /// A connection to an engine not made by then has failed.
    pub connect_timeout: Nanos,
    /// Idle connections to engines are closed after this long.
    pub keepalive: Nanos,
    /// Attempts that one connection to an engine carries together.
    pub streams: usize,
}

impl Names {
    /// The class of that name, if one is in force.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        let mut all = (0u16..).zip(&self.classes);
        all.find(|(at, n)| *n == name && !self.dropped.contains(at))
            .map(|(at, _)| ClassId(at))
    }
}

/// The names in force, which a new configuration changes.
pub type LiveNames = Rc<RefCell<Rc<Names>>>;

/// The whole configuration.
pub struct Config {
    /// The name of this workload manager.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Limits on this process.
    pub limits: Bounds,
    /// Where the coordinator listens.
    pub coordinator: SocketAddr,
    /// Where operators connect, if anywhere.
    pub console: Option<SocketAddr>,
    /// The events of the coordinator so far, as JSON.
    pub known: Value,
    /// What the module is told.
    pub settings: Settings,
    /// The names behind the numbers.
    pub names: Names,
    /// The file as it came.
    pub text: Value,
}

/// The classes, by their ids, whose requests carry keys.
pub fn keyed<'a>(classes: impl Iterator<Item = &'a ClassSpec>) -> BTreeSet<u16> {
    let keyed = (0..)
        .zip(classes)
        .filter(|(_, class)| matches!(class.idempotency, Idempotency::WithKey { .. }));
    keyed.map(|(at, _)| at).collect()
}

fn names(v: &Value) -> Vec<String> {
    let name = |v: &Value| {
        v.as_str()
            .or_else(|| v["name"].as_str())
            .unwrap_or_default()
            .to_owned()
    };
    v.as_array()
        .map(|list| list.iter().map(name).collect())
        .unwrap_or_default()
}

/// What no default may stand in for.
fn sound(text: &Value, settings: &Settings) -> Result<(), String> {
    let names = names(&text["classes"]);
    if names.iter().any(String::is_empty) {
        return Err("settings: a class has no name".into());
    }
    if names.iter().collect::<BTreeSet<_>>().len() < names.len() {
        return Err("settings: two classes have one name".into());
    }
    if let Some((name, _)) = names
        .iter()
        .zip(&settings.classes)
        .find(|(_, class)| class.deadline == 0)
    {
        return Err(format!(
            "settings: the deadline of {name} is not a positive number"
        ));
    }
    let windowless =
        |class: &ClassSpec| matches!(class.idempotency, Idempotency::WithKey { window: 0, .. });
    if let Some((name, _)) = names
        .iter()
        .zip(&settings.classes)
        .find(|(_, class)| windowless(class))
    {
        return Err(format!(
            "settings: the window in which repeats of {name} are known is not a positive number"
        ));
    }
    if settings.limits.max_attempts == 0 {
        return Err("settings: the attempts (send_cap) are not a positive number".into());
    }
    Ok(())
}

/// Names a key that the file in force has and a new one lacks: it is not whole. Lists that tell
/// something of each class have to tell it of all.
pub fn lacks(new: &Value, old: &Value) -> Option<String> {
    fn missing(new: &Value, old: &Value, path: &str) -> Option<String> {
        let (Value::Object(new), Value::Object(old)) = (new, old) else {
            return None;
        };
        old.iter().find_map(|(key, value)| {
            let path = format!("{path}{key}");
            match new.get(key) {
                // An address of operators can't move, whatever the file says.
                None if path == "console" => None,
                None => Some(path),
                Some(Value::Null) if !value.is_null() => Some(path),
                // What changes with the events of the coordinator is checked as such.
                Some(_) if key == "known" => None,
                Some(new) => missing(new, value, &format!("{path}.")),
            }
        })
    }
    let classes = |v: &Value| {
        v["settings"]["classes"]
            .as_array()
            .cloned()
            .unwrap_or_default()
    };
    let of_class = || {
        let (new, old) = (classes(new), classes(old));
        let keys = old
            .first()?
            .as_object()?
            .keys()
            .filter(|key| old.iter().all(|c| c.get(key).is_some()));
        let keys: Vec<&String> = keys.collect();
        new.iter().find_map(|c| {
            keys.iter()
                .find(|key| c.get(key).is_none())
                .map(|key| format!("classes[].{key}"))
        })
    };
    let of_list = || {
        let extra = new["settings"]["extra"].as_object()?;
        let short = |v: &Value| {
            v.as_array()
                .is_some_and(|list| list.len() < classes(new).len())
        };
        let each = ["class_threads", "loads", "blocked_by_loads"];
        each.into_iter()
            .find(|key| extra.get(*key).is_some_and(short))
            .map(|key| format!("extra.{key}[]"))
    };
    missing(new, old, "").or_else(of_class).or_else(of_list)
}

/// Reads the configuration from its text.
pub fn parse(text: &[u8]) -> Result<Config, String> {
    let text: Value = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let t = Text::deserialize(&text).map_err(|e| e.to_string())?;
    let seed = u64::from_str_radix(&t.seed, 16).map_err(|e| format!("seed: {e}"))?;
    let settings =
        settings::parse(t.settings.to_string().as_bytes()).map_err(|e| format!("settings: {e}"))?;
    if settings.classes.is_empty() {
        return Err("settings: no classes".into());
    }
    let (s, limits) = (&t.settings, &t.settings["limits"]);
    sound(s, &settings)?;
    let names = Names {
        classes: names(&s["classes"]),
        dropped: BTreeSet::new(),
        keyed: keyed(settings.classes.iter()),
        tenants: names(&s["orgs"]),
        zones: names(&s["zones"]),
        kinds: names(&s["kinds"]),
        load_fields: names(&s["load_info"]["fields"]),
        connect_timeout: limits["connect_timeout_ns"].as_u64().unwrap_or(250_000_000),
        keepalive: limits["keepalive_ns"].as_u64().unwrap_or(15_000_000_000),
        streams: limits["max_streams"].as_u64().unwrap_or(32).max(1) as usize,
    };
    let (listen, coordinator, console) = (t.listen, t.coordinator, t.console);
    Ok(Config {
        name: t.name,
        listen,
        seed,
        limits: t.limits,
        coordinator,
        console,
        known: t.known,
        settings,
        names,
        text,
    })
}

/// Reads the configuration from a file.
pub fn read(path: &Path) -> Result<Config, String> {
    let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    parse(&text).map_err(|e| format!("{}: {e}", path.display()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::testkit::daemon;
    use serde_json::json;

    fn good() -> Value {
        let addr = SocketAddr::from(([127, 0, 0, 1], 5050));
        daemon::config(addr, addr, &json!({"index": 0, "updates": []}), 64)
    }

    fn with(change: impl Fn(&mut Value)) -> Value {
        let mut text = good();
        change(&mut text);
        text
    }

    /// Guards a manager in service against a file that is not whole: whatever key is cut out of it,
    /// it is noticed.
    #[test]
    fn a_file_that_lacks_any_key_is_not_whole() {
        let old = with(|c| c["console"] = json!("127.0.0.1:1"));
        assert_eq!(lacks(&old, &old), None);
        // The events of the coordinator are another matter, and operators' address can't move
        // anyway.
        assert_eq!(lacks(&good(), &old), None);
        let keys = |v: &Value| {
            v.as_object()
                .map(|o| o.keys().cloned().collect::<Vec<_>>())
                .unwrap_or_default()
        };
        for key in keys(&good()) {
            let cut = with(|c| drop(c.as_object_mut().and_then(|c| c.remove(&key))));
            assert_eq!(lacks(&cut, &old), Some(key));
        }
        for part in ["extra", "invariants", "limits", "load_info"] {
            for key in keys(&good()["settings"][part]) {
                let cut = with(|c| {
                    drop(
                        c["settings"][part]
                            .as_object_mut()
                            .and_then(|c| c.remove(&key)),
                    )
                });
                assert_eq!(lacks(&cut, &old), Some(format!("settings.{part}.{key}")));
            }
        }
        for key in keys(&good()["settings"]["classes"][1]) {
            let cut = with(|c| {
                drop(
                    c["settings"]["classes"][1]
                        .as_object_mut()
                        .and_then(|c| c.remove(&key)),
                )
            });
            assert_eq!(lacks(&cut, &old), Some(format!("classes[].{key}")));
        }
        // A class that nothing is told of, beside its own lines.
        let more = with(|c| {
            let mut class = c["settings"]["classes"][0].clone();
            class["name"] = json!("further");
            c["settings"]["classes"]
                .as_array_mut()
                .expect("a list")
                .push(class);
        });
        assert_eq!(lacks(&more, &old), Some("extra.class_threads[]".into()));
    }

    /// Guards against defaults in the place of what a file says wrongly.
    #[test]
    fn what_can_not_be_used_is_told() {
        let parse = |text: &Value| super::parse(text.to_string().as_bytes());
        assert!(parse(&good()).is_ok());
        // Where repeats are known by a key the window has to be told.
        let keyed_within = |c: &mut Value, window: Value| {
            let class = &mut c["settings"]["classes"][2];
            (class["semantics"], class["window_ns"]) = ("token".into(), window);
        };
        let keyed =
            parse(&with(|c| keyed_within(c, json!(20_000_000_000u64)))).expect("a good file");
        assert_eq!(keyed.names.keyed, [2].into());
        let class =
            |key: &str, value: Value| with(|c| c["settings"]["classes"][0][key] = value.clone());
        for bad in [
            class("deadline_ns", json!(0)),
            class("deadline_ns", json!(-5)),
            class("deadline_ns", json!("6s")),
            class("name", json!("report")),
            class("name", json!("")),
            class("semantics", json!("perhaps")),
            with(|c| keyed_within(c, json!(0))),
            with(|c| keyed_within(c, json!(-1))),
            with(|c| keyed_within(c, json!("20 s"))),
            with(|c| c["settings"]["limits"]["send_cap"] = json!(0)),
            with(|c| c["settings"]["limits"]["send_cap"] = json!(-1)),
            with(|c| c["settings"]["limits"]["send_cap"] = json!(1.5)),
            with(|c| c["settings"]["classes"] = json!([])),
            with(|c| c["settings"] = Value::Null),
            with(|c| c["console"] = json!("nowhere")),
        ] {
            assert!(parse(&bad).is_err(), "{bad}");
        }
        for text in ["", "{", "[]", "null"] {
            assert!(super::parse(text.as_bytes()).is_err(), "{text}");
        }
    }
}
