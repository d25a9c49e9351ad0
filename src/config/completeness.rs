//! The check that a new configuration file is complete. At the start, missing keys get defaults,
//! but a reload must not replace settings by defaults because the file was written only in part.
use serde_json::Value;

/// The key of the admin endpoint's address.
const ADMIN_ADDRESS_KEY: &str = "console";
/// The key of the coordinator's events up to the start.
const KNOWN_EVENTS_KEY: &str = "known";
/// The lists in `settings.extra` with one item for each class.
const PER_CLASS_LISTS: [&str; 3] = ["class_threads", "loads", "blocked_by_loads"];

/// The path of a key that is in the active configuration and not in the new one, or of a list with
/// fewer items than the new one has classes; `None` if the new one is complete.
pub fn missing_key(new: &Value, active: &Value) -> Option<String> {
    missing_in_object(new, active, "")
        .or_else(|| missing_in_class(new, active))
        .or_else(|| short_list(new))
}

/// Compares the keys of two objects, and of the objects within them.
fn missing_in_object(new: &Value, active: &Value, prefix: &str) -> Option<String> {
    let (Value::Object(new), Value::Object(active)) = (new, active) else {
        return None;
    };
    active.iter().find_map(|(key, value)| {
        let path = format!("{prefix}{key}");
        match new.get(key) {
            // A running process never changes its admin address, whatever the file contains.
            None if path == ADMIN_ADDRESS_KEY => None,
            None => Some(path),
            Some(Value::Null) if !value.is_null() => Some(path),
            // The coordinator's events change this section, and it is validated separately.
            Some(_) if key == KNOWN_EVENTS_KEY => None,
            Some(new) => missing_in_object(new, value, &format!("{path}.")),
        }
    })
}

/// The first key that all active classes have and a new class lacks.
fn missing_in_class(new: &Value, active: &Value) -> Option<String> {
    let active = classes(active);
    let first = active.first()?.as_object()?;
    let required: Vec<&String> = first
        .keys()
        .filter(|key| active.iter().all(|class| class.get(key).is_some()))
        .collect();
    classes(new).iter().find_map(|class| {
        let missing = required.iter().find(|key| class.get(key).is_none())?;
        Some(format!("classes[].{missing}"))
    })
}

/// The first list with an item for each class that has fewer items than there are classes.
fn short_list(new: &Value) -> Option<String> {
    let extra = new["settings"]["extra"].as_object()?;
    let class_count = classes(new).len();
    let is_short = |list: &Value| list.as_array().is_some_and(|list| list.len() < class_count);
    let short = PER_CLASS_LISTS
        .into_iter()
        .find(|key| extra.get(*key).is_some_and(is_short))?;
    Some(format!("extra.{short}[]"))
}

fn classes(config: &Value) -> &[Value] {
    config["settings"]["classes"]
        .as_array()
        .map_or(&[], Vec::as_slice)
}

#[cfg(test)]
#[path = "../../tests/unit/config_completeness.rs"]
mod tests;
