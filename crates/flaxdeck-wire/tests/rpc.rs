//! Tests of parsing clients' messages and encoding the answers to them.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod names;
mod request_example;

use bytes::{BufMut, BytesMut};
use flaxdeck::{ClassId, GroupId, ObjectId, Span};
use flaxdeck_net::budget::{MAX_MESSAGE, MAX_WRITE};
use flaxdeck_wire::rpc::{ClientMessage, encode_alive, encode_answer, parse};
use flaxdeck_wire::{Answer, ClientRequest, InvalidRequest, InvalidValue, Parsed};
use names::names;
use request_example::FIELDS;

use flaxdeck_toy::request_message;

#[test]
fn a_request_received_byte_by_byte_is_parsed_once_it_is_complete() {
    let message = request_message(7, "submit", &FIELDS, b"a form");
    let mut buffer = BytesMut::new();
    for (at, byte) in message.iter().enumerate() {
        assert!(
            matches!(parse(&mut buffer, &names()), Ok(Parsed::Incomplete(missing)) if missing <= message.len() - at)
        );
        buffer.put_u8(*byte);
    }
    buffer.put_slice(&message);
    let request = ClientRequest {
        class: ClassId(2),
        id: "9b1f03aa5c7e2d41".into(),
        key: "7f3a9c21e0b4d655".into(),
        object: ObjectId(0x7f3a9c21e0b4d655),
        part: 3,
        group: GroupId(17),
        size_kb: Some(412.5),
        timeout: Span::from_ms(1500),
        is_retry: true,
        cached_tag: Some("4be0c1927d55a6f3".into()),
        idempotency_key: Some("6ba245bd25e372d4b65f22998597a9da".into()),
        body: "a form".into(),
    };
    for _ in 0..2 {
        let expected = Parsed::Complete(ClientMessage::Request {
            call: 7,
            request: Box::new(request.clone()),
        });
        let length_before = buffer.len();
        assert_eq!(parse(&mut buffer, &names()), Ok(expected));
        assert_eq!(length_before - buffer.len(), message.len());
    }
    assert!(buffer.is_empty());
}

#[test]
fn corrupted_bytes_never_make_the_parser_panic_or_ask_for_more_than_the_bound() {
    let message = request_message(7, "page", &FIELDS, b"");
    for at in 0..message.len() {
        for flip in [0x01, 0x40, 0x80, 0xff] {
            let mut bytes = message.clone();
            bytes[at] ^= flip;
            if let Ok(Parsed::Incomplete(missing)) =
                parse(&mut BytesMut::from(&bytes[..]), &names())
            {
                assert!(missing <= MAX_MESSAGE);
            }
        }
    }
}

#[test]
fn a_body_over_the_bound_is_an_invalid_request_and_a_message_over_the_bound_is_rejected_early() {
    let message = request_message(7, "submit", &FIELDS, &[0; MAX_WRITE + 1]);
    let invalid = ClientMessage::Invalid {
        call: 7,
        reason: InvalidRequest::Value(InvalidValue::TooLong),
    };
    let mut buffer = BytesMut::from(&message[..]);
    assert_eq!(parse(&mut buffer, &names()), Ok(Parsed::Complete(invalid)));
    assert!(
        buffer.is_empty(),
        "the parser removes all bytes of the invalid request"
    );
    let message = request_message(7, "submit", &FIELDS, &[0; MAX_MESSAGE]);
    assert!(parse(&mut BytesMut::from(&message[..200]), &names()).is_err());
}

#[test]
fn answers_are_encoded_as_the_documentation_shows_them() {
    let bytes = |answer| encode_answer(7, answer).concat();
    assert_eq!(
        bytes(Answer::Served("ab".into())),
        b"\x94\x01\x07\xc0\x92\xc4\x02ab\x80"
    );
    assert_eq!(
        bytes(Answer::Unchanged),
        b"\x94\x01\x07\xc0\x92\xc4\x00\x81\xa7current\xa11"
    );
    let retry_after = Some(Span::of_ms(299.5));
    assert_eq!(
        bytes(Answer::Rejected(retry_after)),
        b"\x94\x01\x07\x92\xa7Backoff\x81\xa5after\xa3300\xc0"
    );
    assert_eq!(bytes(Answer::Failed), b"\x94\x01\x07\x92\xa4Lost\x80\xc0");
    assert_eq!(&encode_alive(8)[..], b"\x94\x01\x08\xc0\x92\xc3\x80");
}
