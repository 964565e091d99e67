//! Settings are read, and what is wrong with them is told in the words that operators know.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use flaxdeck::{Role, Span, ZoneId};
use flaxdeck_terms::fields::Fields;
use flaxdeck_terms::{ConnectionTerms, SettingsError, read};
use serde_json::{Value, json};

/// The settings of the toy world.
fn settings() -> Value {
    let config = include_str!("../../../examples/toy/config.json");
    let config: Value = serde_json::from_str(config).unwrap();
    config["settings"].clone()
}

fn error(settings: &Value) -> String {
    let error: SettingsError = read(&Fields::of(settings, "settings").unwrap()).unwrap_err();
    error.to_string()
}

#[test]
fn settings_of_the_toy_world_are_read() {
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
fn what_is_wrong_with_a_field_is_told_with_its_name() {
    let cases: [(&str, Value, &str); 7] = [
        ("/family_info", Value::Null, "field family_info is missing"),
        (
            "/family_info",
            json!(1),
            "field family_info is not an object",
        ),
        ("/zones", json!([1]), "field zones holds no strings"),
        (
            "/zone",
            json!("nowhere"),
            "zone nowhere is not among the zones",
        ),
        (
            "/tick_ms",
            json!(-1),
            "field tick_ms is not a time of 0 to 1e12 ms",
        ),
        (
            "/request_classes",
            json!([]),
            "field request_classes names no class",
        ),
        (
            "/request_classes",
            json!([1]),
            "a request class is not an object",
        ),
    ];
    for (place, value, told) in cases {
        let mut settings = settings();
        *settings.pointer_mut(place).unwrap() = value;
        assert_eq!(error(&settings), told);
    }
}

#[test]
fn what_is_wrong_with_a_class_is_told_with_its_value() {
    let long = "x".repeat(257);
    let cases: [(&str, &str, &str); 6] = [
        (
            "name",
            &long,
            &format!("request_classes: field name: {long:?} has 257 bytes, 1 to 256 can be sent"),
        ),
        (
            "name",
            "a b",
            "request_classes: field name: \"a b\" holds a space, a comma, an equals sign or a control character, \
             which no line to a host can",
        ),
        (
            "name",
            "alive",
            "request_classes: field name: \"alive\" is the method by which clients ask whether a dispatcher is up",
        ),
        (
            "name",
            "page",
            "request_classes: field name: \"page\" is that of two classes",
        ),
        ("effect", "twice", "unknown effect twice"),
        ("effect", "deduplicated", "unknown key_scope Some(\"here\")"),
    ];
    for (field, value, told) in cases {
        let mut settings = settings();
        let class = &mut settings["request_classes"][2];
        class["key_scope"] = json!("here");
        class[field] = json!(value);
        assert_eq!(error(&settings), told);
    }
}
