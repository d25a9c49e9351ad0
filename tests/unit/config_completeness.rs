//! The check that a new configuration file is complete.
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
    object
        .expect("the value is an object")
        .remove(key)
        .expect("the key is present");
    config
}

fn keys(object: &Value) -> Vec<String> {
    let object = object.as_object().expect("the value is an object");
    object.keys().cloned().collect()
}

/// Guards against a reload that rejects a complete file. A missing admin address is not an error,
/// as a reload does not change it.
#[test]
fn a_complete_file_has_no_missing_key() {
    let active = with_admin_address();
    assert_eq!(missing_key(&active, &active), None);
    assert_eq!(missing_key(&complete(), &active), None);
}

/// Guards a running manager against a file that was written only in part.
#[test]
fn any_missing_key_is_found() {
    let active = with_admin_address();
    for key in keys(&complete()) {
        let incomplete = without("", &key);
        assert_eq!(missing_key(&incomplete, &active), Some(key));
    }
    for section in ["extra", "invariants", "limits", "load_info"] {
        for key in keys(&complete()["settings"][section]) {
            let incomplete = without(&format!("/settings/{section}"), &key);
            let missing = format!("settings.{section}.{key}");
            assert_eq!(missing_key(&incomplete, &active), Some(missing));
        }
    }
    for key in keys(&complete()["settings"]["classes"][1]) {
        let incomplete = without("/settings/classes/1", &key);
        let missing = format!("classes[].{key}");
        assert_eq!(missing_key(&incomplete, &active), Some(missing));
    }
}

/// Guards against default values for a new class: the lists in `extra` have to have an item for it.
#[test]
fn a_list_with_fewer_items_than_classes_is_found() {
    let mut further_class = complete()["settings"]["classes"][0].clone();
    further_class["name"] = json!("further");
    let mut config = complete();
    config["settings"]["classes"]
        .as_array_mut()
        .expect("the classes are a list")
        .push(further_class);
    assert_eq!(
        missing_key(&config, &with_admin_address()),
        Some("extra.class_threads[]".into())
    );
}
