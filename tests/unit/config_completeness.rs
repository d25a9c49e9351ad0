//! Whether a new configuration file is complete.
use super::missing_key;
use crate::testkit::daemon;
use serde_json::{Value, json};
use std::net::SocketAddr;

fn complete() -> Value {
    let addr = SocketAddr::from(([127, 0, 0, 1], 5050));
    daemon::config(addr, addr, &json!({"index": 0, "updates": []}), 64)
}

fn with_admin_address() -> Value {
    let mut config = complete();
    config["console"] = json!("127.0.0.1:1");
    config
}

/// A complete configuration from whose object at `path` a key is removed.
fn without(path: &str, key: &str) -> Value {
    let mut config = complete();
    let object = config.pointer_mut(path).and_then(Value::as_object_mut);
    object.expect("an object").remove(key).expect("the key");
    config
}

fn keys(object: &Value) -> Vec<String> {
    let object = object.as_object().expect("an object");
    object.keys().cloned().collect()
}

/// Guards a manager in service: the coordinator's events are another matter, and the admin address
/// does not change anyway.
#[test]
fn a_complete_file_lacks_no_key() {
    let in_force = with_admin_address();
    assert_eq!(missing_key(&in_force, &in_force), None);
    assert_eq!(missing_key(&complete(), &in_force), None);
}

/// Guards a manager in service against a file that was written only in part.
#[test]
fn any_missing_key_is_found() {
    let in_force = with_admin_address();
    for key in keys(&complete()) {
        let cut = without("", &key);
        assert_eq!(missing_key(&cut, &in_force), Some(key));
    }
    for section in ["extra", "invariants", "limits", "load_info"] {
        for key in keys(&complete()["settings"][section]) {
            let cut = without(&format!("/settings/{section}"), &key);
            let missing = format!("settings.{section}.{key}");
            assert_eq!(missing_key(&cut, &in_force), Some(missing));
        }
    }
    for key in keys(&complete()["settings"]["classes"][1]) {
        let cut = without("/settings/classes/1", &key);
        let missing = format!("classes[].{key}");
        assert_eq!(missing_key(&cut, &in_force), Some(missing));
    }
}

/// Guards a new class: the lists of `extra` have to have an item for it.
#[test]
fn a_list_without_an_item_for_each_class_is_found() {
    let mut further_class = complete()["settings"]["classes"][0].clone();
    further_class["name"] = json!("further");
    let mut config = complete();
    config["settings"]["classes"]
        .as_array_mut()
        .expect("a list")
        .push(further_class);
    assert_eq!(
        missing_key(&config, &with_admin_address()),
        Some("extra.class_threads[]".into())
    );
}
