//! Whether a new configuration file is complete. Defaults stand in for missing keys at the start,
//! but a running manager must not fall back to them because a file was written only in part.
use serde_json::Value;

/// The key of the admin endpoint's address.
const ADMIN_ADDRESS_KEY: &str = "console";
/// The key of the coordinator's events up to the start.
const KNOWN_EVENTS_KEY: &str = "known";
/// Lists of `settings.extra` that have one item for each class.
const PER_CLASS_LISTS: [&str; 3] = ["class_threads", "loads", "blocked_by_loads"];

/// The path of a key that the configuration in force has and the new one lacks; `None` if the new
/// one is complete. Lists with an item for each class have to have one for each of its classes.
pub fn missing_key(new: &Value, in_force: &Value) -> Option<String> {
    missing_in_object(new, in_force, "")
        .or_else(|| missing_in_class(new, in_force))
        .or_else(|| short_list(new))
}

/// Compares the keys of two objects, and of the objects within them.
fn missing_in_object(new: &Value, in_force: &Value, prefix: &str) -> Option<String> {
    let (Value::Object(new), Value::Object(in_force)) = (new, in_force) else {
        return None;
    };
    in_force.iter().find_map(|(key, value)| {
        let path = format!("{prefix}{key}");
        match new.get(key) {
            // A running process never changes its admin address, whatever the file contains.
            None if path == ADMIN_ADDRESS_KEY => None,
            None => Some(path),
            Some(Value::Null) if !value.is_null() => Some(path),
            // These change with the coordinator's events, and are validated on their own.
            Some(_) if key == KNOWN_EVENTS_KEY => None,
            Some(new) => missing_in_object(new, value, &format!("{path}.")),
        }
    })
}

/// Each new class has every key that all classes in force have.
fn missing_in_class(new: &Value, in_force: &Value) -> Option<String> {
    let in_force = classes(in_force);
    let first = in_force.first()?.as_object()?;
    let required: Vec<&String> = first
        .keys()
        .filter(|key| in_force.iter().all(|class| class.get(key).is_some()))
        .collect();
    classes(new).iter().find_map(|class| {
        let missing = required.iter().find(|key| class.get(key).is_none())?;
        Some(format!("classes[].{missing}"))
    })
}

/// Each list with an item for each class has at least as many items as there are classes.
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
