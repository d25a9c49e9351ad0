//! The configuration of a process: accepted and rejected files, and the error lines.
use super::parse;
use crate::testkit::daemon;
use serde_json::{Value, json};
use std::net::SocketAddr;

fn valid() -> Value {
    let addr = SocketAddr::from(([127, 0, 0, 1], 5050));
    daemon::config(addr, addr, &json!({"index": 0, "updates": []}), 64)
}

/// A valid configuration with the value at `path` replaced.
fn with(path: &str, value: Value) -> Value {
    let mut config = valid();
    *config.pointer_mut(path).expect("the path exists") = value;
    config
}

/// A valid configuration whose third class has idempotency keys that engines remember for `window`.
fn with_key_window(window: Value) -> Value {
    let mut config = valid();
    let class = &mut config["settings"]["classes"][2];
    class["semantics"] = json!("token");
    class["window_ns"] = window;
    config
}

fn with_admin_address(address: Value) -> Value {
    let mut config = valid();
    config["console"] = address;
    config
}

fn is_accepted(config: &Value) -> bool {
    parse(config.to_string().as_bytes()).is_ok()
}

#[test]
fn a_valid_file_is_accepted() {
    assert!(is_accepted(&valid()));
}

#[test]
fn classes_with_idempotency_keys_are_listed() {
    let config = with_key_window(json!(20_000_000_000u64));
    let config = parse(config.to_string().as_bytes()).expect("the file is valid");
    assert_eq!(config.names.keyed_classes, [2].into());
}

/// Guards against defaults that are silently used in place of invalid values.
#[test]
fn invalid_values_are_rejected() {
    for invalid in [
        with("/settings/classes/0/deadline_ns", json!(0)),
        with("/settings/classes/0/deadline_ns", json!(-5)),
        with("/settings/classes/0/deadline_ns", json!("6s")),
        with("/settings/classes/0/name", json!("report")),
        with("/settings/classes/0/name", json!("")),
        with("/settings/classes/0/semantics", json!("perhaps")),
        with_key_window(json!(0)),
        with_key_window(json!(-1)),
        with_key_window(json!("20 s")),
        with("/settings/limits/send_cap", json!(0)),
        with("/settings/limits/send_cap", json!(-1)),
        with("/settings/limits/send_cap", json!(1.5)),
        with("/settings/classes", json!([])),
        with("/settings", Value::Null),
        with_admin_address(json!("nowhere")),
    ] {
        assert!(!is_accepted(&invalid), "{invalid}");
    }
}

#[test]
fn text_that_is_not_a_json_object_is_rejected() {
    for text in ["", "{", "[]", "null"] {
        assert!(parse(text.as_bytes()).is_err(), "{text}");
    }
}

/// Guards the error lines for operators: each gives the key, and the class if there is one.
#[test]
fn an_error_names_the_key_and_the_class() {
    let error_of = |config: &Value| {
        let error = parse(config.to_string().as_bytes()).err();
        error.expect("the file is rejected").to_string()
    };
    assert_eq!(
        error_of(&with("/settings/classes/0/deadline_ns", json!(0))),
        "settings: classes[].deadline_ns: the deadline of lookup is not a positive number"
    );
    assert_eq!(
        error_of(&with("/settings/classes/0/semantics", json!("perhaps"))),
        "settings: classes[].semantics: unknown value \"perhaps\""
    );
    assert_eq!(
        error_of(&with("/settings/classes/0/name", json!("report"))),
        "settings: classes[].name: two classes have the name report"
    );
}
