//! Tests of the fields and numbers of clients' requests: each is held against the range and the form that the protocol
//! gives it, absent, and given twice.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod names;
mod request_example;

use bytes::BytesMut;
use flaxdeck::{GroupId, Span};
use flaxdeck_wire::rpc::{ClientMessage, parse};
use flaxdeck_wire::{ClientRequest, InvalidRequest, Parsed};
use names::names;
use request_example::FIELDS;

use flaxdeck_toy::request_message;

/// Parses a request with the given fields under the call number, and checks that all its bytes are removed.
fn parse_request(call: u32, fields: &[(&str, &str)]) -> Result<ClientRequest, InvalidRequest> {
    let mut buffer = BytesMut::from(&request_message(call, "page", fields, b"")[..]);
    let parsed = parse(&mut buffer, &names());
    assert!(buffer.is_empty(), "the connection stays usable");
    match parsed {
        Ok(Parsed::Complete(ClientMessage::Request { request, .. })) => Ok(*request),
        Ok(Parsed::Complete(ClientMessage::Invalid { reason, .. })) => Err(reason),
        other => panic!("{other:?}"),
    }
}

fn with(name: &str, value: &'static str) -> Vec<(&'static str, &'static str)> {
    let replace = |(known, old)| (known, if known == name { value } else { old });
    FIELDS.into_iter().map(replace).collect()
}

fn without(name: &str) -> Vec<(&'static str, &'static str)> {
    FIELDS
        .into_iter()
        .filter(|(known, _)| *known != name)
        .collect()
}

// Guards against requests of a group that no purge can name: they were answered as served (review/10).
#[test]
fn a_purge_group_above_255_makes_a_request_invalid() {
    for (value, group) in [("0", 0), ("17", 17), ("255", 255)] {
        let request = parse_request(7, &with("set", value)).unwrap();
        assert_eq!(request.group, GroupId(group));
    }
    for value in ["256", "300", "65536", "18446744073709551615"] {
        let refused = parse_request(7, &with("set", value));
        assert_eq!(refused, Err(InvalidRequest::GroupOutOfRange), "{value}");
    }
    for value in ["18446744073709551616", "-1", "1.5", "NaN", "x", ""] {
        let refused = parse_request(7, &with("set", value));
        assert_eq!(refused, Err(InvalidRequest::Group), "{value}");
    }
}

// Guards against requests with two values of a field, of which the last one was taken unseen.
#[test]
fn a_field_given_twice_makes_a_request_invalid() {
    for field in FIELDS {
        let fields = [&FIELDS[..], &[field]].concat();
        let refused = parse_request(7, &fields);
        assert_eq!(refused, Err(InvalidRequest::DuplicateField), "{field:?}");
    }
    let unknown = [&FIELDS[..], &[("trace", "a"), ("trace", "b")]].concat();
    assert!(parse_request(7, &unknown).is_ok());
}

// Guards against requests numbered 0, the number that a cancellation without a number refers to.
#[test]
fn a_request_numbered_0_is_invalid() {
    let refused = parse_request(0, &FIELDS);
    assert_eq!(refused, Err(InvalidRequest::CallNumberZero));
    assert!(parse_request(1, &FIELDS).is_ok());
    assert!(parse_request(u32::MAX, &FIELDS).is_ok());
}

#[test]
fn figures_that_are_out_of_range_or_not_a_number_make_a_request_invalid() {
    let not_numbers = [
        "", "x", "NaN", "inf", "-inf", "infinity", "-5", "1e9", "1,5",
    ];
    for value in not_numbers {
        let wait = parse_request(7, &with("wait", value));
        assert_eq!(wait, Err(InvalidRequest::Wait), "{value}");
        let size = parse_request(7, &with("kb", value));
        assert_eq!(size, Err(InvalidRequest::Size), "{value}");
    }
    for value in ["", "x", "-1", "1.5", "1e3", "18446744073709551616"] {
        let part = parse_request(7, &with("slice", value));
        assert_eq!(part, Err(InvalidRequest::Part), "{value}");
    }
    for value in [
        "",
        "7f3a",
        "+f3a9c21e0b4d655",
        "7f3a9c21e0b4d6550",
        "7f3a9c21e0b4d65g",
    ] {
        let id = parse_request(7, &with("id", value));
        assert_eq!(id, Err(InvalidRequest::Id), "{value}");
        let key = parse_request(7, &with("key", value));
        assert_eq!(key, Err(InvalidRequest::Key), "{value}");
    }
}

#[test]
fn only_the_id_the_key_and_the_wait_are_required() {
    let required = [
        ("id", InvalidRequest::Id),
        ("key", InvalidRequest::MissingKey),
        ("wait", InvalidRequest::Wait),
    ];
    for (name, reason) in required {
        assert_eq!(parse_request(7, &without(name)), Err(reason), "{name}");
    }
    for name in ["retry", "slice", "set", "kb", "seen", "once"] {
        assert!(parse_request(7, &without(name)).is_ok(), "{name}");
    }
}

// The protocol is silent on these forms, so that requests with them are served.
#[test]
fn forms_of_numbers_that_no_rule_excludes_are_accepted() {
    let request = parse_request(7, &with("set", "+017")).unwrap();
    assert_eq!(request.group, GroupId(17));
    let request = parse_request(7, &with("slice", "007")).unwrap();
    assert_eq!(request.part, 7);
    let request = parse_request(7, &with("wait", "1.5e3")).unwrap();
    assert_eq!(request.timeout, Span::from_ms(1500));
    let request = parse_request(7, &with("kb", "0")).unwrap();
    assert_eq!(request.size_kb, None);
    let request = parse_request(7, &with("retry", "0")).unwrap();
    assert!(!request.is_retry);
    let request = parse_request(7, &with("key", "7F3A9C21E0B4D655")).unwrap();
    assert_eq!(request.object.0, 0x7f3a_9c21_e0b4_d655);
}
