//! Tests of reading settings, and of the errors for invalid ones, which name the field for operators.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use flaxdeck::{Role, Span, ZoneId};
use flaxdeck_terms::fields::Fields;
use flaxdeck_terms::{ConnectionTerms, SettingsError, read};
use serde_json::{Value, json};

/// The settings of the toy example.
fn settings() -> Value {
    let config = include_str!("../../../examples/toy/config.json");
    let config: Value = serde_json::from_str(config).unwrap();
    config["settings"].clone()
}

fn error_text(settings: &Value) -> String {
    let error: SettingsError = read(&Fields::of(settings, "settings").unwrap()).unwrap_err();
    error.to_string()
}

#[test]
fn settings_of_the_toy_example_are_read() {
    let settings = settings();
    let fields = Fields::of(&settings, "settings").unwrap();
    let (terms, names) = read(&fields).unwrap();
    assert_eq!(terms.classes.len(), names.classes.len());
    assert_eq!(terms.zone, ZoneId(0));
    assert_eq!(names.class("page").unwrap().0, 1);
    let parent = names.kind_of(Role::Parent);
    assert_eq!(names.role(parent), Role::Parent);
    let longest = settings["request_classes"]
        .as_array()
        .unwrap()
        .iter()
        .map(|class| class["deadline_ms"].as_f64().unwrap())
        .fold(0.0, f64::max);
    let connections = ConnectionTerms::read(&fields).unwrap();
    assert_eq!(connections.longest_wait, Span::of_ms(longest));
}

#[test]
fn errors_in_fields_name_the_field() {
    let cases: [(&str, Value, &str); 7] = [
        ("/family_info", Value::Null, "field family_info is missing"),
        (
            "/family_info",
            json!(1),
            "field family_info is not an object",
        ),
        (
            "/zones",
            json!([1]),
            "field zones is not an array of strings",
        ),
        (
            "/zone",
            json!("nowhere"),
            "field zone: \"nowhere\" is not in field zones",
        ),
        (
            "/tick_ms",
            json!(-1),
            "field tick_ms is not a time of 0 to 1e12 ms",
        ),
        (
            "/request_classes",
            json!([]),
            "field request_classes has no classes",
        ),
        (
            "/request_classes",
            json!([1]),
            "a request class is not an object",
        ),
    ];
    for (pointer, value, expected) in cases {
        let mut settings = settings();
        *settings.pointer_mut(pointer).unwrap() = value;
        assert_eq!(error_text(&settings), expected);
    }
}

#[test]
fn errors_in_request_classes_name_the_value() {
    let too_long = "x".repeat(257);
    let cases: [(&str, &str, &str); 6] = [
        (
            "name",
            &too_long,
            &format!("request_classes: field name: {too_long:?} has 257 bytes, expected 1 to 256"),
        ),
        (
            "name",
            "a b",
            "request_classes: field name: \"a b\" contains a space, a comma, an equals sign or a control character, \
             which a line to a host cannot contain",
        ),
        (
            "name",
            "alive",
            "request_classes: field name: \"alive\" is reserved: it is the method with which clients check whether a \
             dispatcher is up",
        ),
        (
            "name",
            "page",
            "request_classes: field name: \"page\" is used by two classes",
        ),
        (
            "effect",
            "twice",
            "request_classes: field effect is \"twice\", expected idempotent, at_most_once or deduplicated",
        ),
        (
            "effect",
            "deduplicated",
            "request_classes: field key_scope is Some(\"here\"), expected all, zone or cell",
        ),
    ];
    for (field, value, expected) in cases {
        let mut settings = settings();
        let class = &mut settings["request_classes"][2];
        class["key_scope"] = json!("here");
        class[field] = json!(value);
        assert_eq!(error_text(&settings), expected);
    }
}
