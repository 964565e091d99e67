//! Tests of encoding requests to hosts and parsing their answers.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod names;

use bytes::{BufMut, Bytes, BytesMut};
use flaxdeck::{AttemptOutcome, ClassId, FillOutcome, GroupId, HostId, ObjectId, Span};
use flaxdeck_wire::lines::{AttemptOptions, MAX_HEAD, Response, encode_request, parse};
use flaxdeck_wire::{ClientRequest, Malformed, Parsed};
use names::names;

fn request() -> ClientRequest {
    ClientRequest {
        class: ClassId(1),
        id: "9b1f03aa5c7e2d41".into(),
        key: "7f3a9c21e0b4d655".into(),
        object: ObjectId(1),
        part: 3,
        group: GroupId(17),
        size_kb: None,
        timeout: Span::from_ms(1500),
        is_retry: false,
        cached_tag: None,
        idempotency_key: None,
        body: Bytes::new(),
    }
}

#[test]
fn a_request_is_encoded_with_its_options_and_times_in_whole_milliseconds() {
    let source = HostId("s-00009a01".into());
    let mut options = AttemptOptions {
        class: "page",
        timeout: Span::of_ms(0.2),
        source: Some(&source),
        new_connection: false,
        retention_rank: 2,
        max_age: Some(Span::of_ms(1500.9)),
        join: true,
        only_cached: true,
        revalidate: true,
    };
    let line = encode_request(
        &ClientRequest {
            cached_tag: Some("tag".into()),
            body: "ab".into(),
            ..request()
        },
        &options,
    )
    .concat();
    let fields =
        "class=page,key=7f3a9c21e0b4d655,part=3,wait=1,fetch=s-00009a01,retain=2,newer=1500,";
    let expected = format!(
        "want 9b1f03aa5c7e2d41 {fields}handle=merge+local+revalidate,holds=tag 2\r\nab\r\n"
    );
    assert_eq!(line, expected.as_bytes());
    (options.source, options.retention_rank, options.max_age) = (None, 0, None);
    (options.join, options.only_cached, options.revalidate) = (false, false, false);
    let line = encode_request(&request(), &options).concat();
    assert_eq!(
        line,
        b"want 9b1f03aa5c7e2d41 class=page,key=7f3a9c21e0b4d655,part=3,wait=1 0\r\n\r\n"
    );
}

#[test]
fn a_response_received_byte_by_byte_is_parsed_once_it_is_complete() {
    let fields = "version=v1,stamp=1764576000123,how=via_origin,took=85.8,stats=outstanding:7;x0:0.6;x1:1.25";
    let message = format!("9b1f03aa5c7e2d41 data {fields} 5\r\na\r\nbc\r\n");
    let mut buffer = BytesMut::new();
    for byte in message.bytes() {
        assert!(matches!(
            parse(&mut buffer, &names()),
            Ok(Parsed::Incomplete(_))
        ));
        buffer.put_u8(byte);
    }
    buffer.put_slice(b"fence well - 0\r\n\r\n");
    buffer.put_slice(b"fence well\r\n");
    let Ok(Parsed::Complete(response)) = parse(&mut buffer, &names()) else {
        panic!("a complete response was not parsed")
    };
    assert_eq!(response.id.as_deref(), Some(&b"9b1f03aa5c7e2d41"[..]));
    let host_reply = response.host_reply;
    assert_eq!(
        (host_reply.outcome, host_reply.fill),
        (AttemptOutcome::Answered, FillOutcome::FilledThroughOrigin)
    );
    assert_eq!(&host_reply.body[..], b"a\r\nbc");
    assert_eq!(
        (host_reply.waited, host_reply.report.link),
        (Some(Span::of_ms(85.8)), Some(1.25))
    );
    assert_eq!(
        (host_reply.report.in_flight, host_reply.unchanged),
        (Some(7.0), false)
    );
    for _ in 0..2 {
        assert!(matches!(
            parse(&mut buffer, &names()),
            Ok(Parsed::Complete(Response { id: None, .. }))
        ));
    }
    assert!(buffer.is_empty());
}

#[test]
fn outcomes_and_fill_outcomes_of_responses_are_parsed() {
    let rows = [
        ("data", "hit", AttemptOutcome::Answered, FillOutcome::Hit),
        (
            "unchanged",
            "stale",
            AttemptOutcome::Answered,
            FillOutcome::Stale,
        ),
        (
            "absent",
            "joined",
            AttemptOutcome::NoCopy,
            FillOutcome::Joined,
        ),
        (
            "full",
            "src_refused",
            AttemptOutcome::Rejected,
            FillOutcome::SourceRefused,
        ),
        (
            "failed",
            "origin_failed",
            AttemptOutcome::Errored,
            FillOutcome::OriginFailed,
        ),
        (
            "moot",
            "not a fill outcome",
            AttemptOutcome::NotSent,
            FillOutcome::Nothing,
        ),
    ];
    for (word, how, outcome, fill) in rows {
        let mut buffer = BytesMut::from(&*format!(
            "1 {word} how={} 0\r\n\r\n",
            how.replace(' ', "_")
        ));
        let Ok(Parsed::Complete(response)) = parse(&mut buffer, &names()) else {
            panic!("a complete response with the outcome {word} was not parsed")
        };
        assert_eq!(
            (response.host_reply.outcome, response.host_reply.fill),
            (outcome, fill)
        );
        assert_eq!(response.host_reply.unchanged, word == "unchanged");
    }
}

#[test]
fn a_client_copy_is_current_only_if_the_response_names_its_tag() {
    let is_of_another_copy = |fields: &str, cached_tag: Option<&'static str>| {
        let mut buffer = BytesMut::from(&*format!("1 unchanged {fields} 0\r\n\r\n"));
        let Ok(Parsed::Complete(response)) = parse(&mut buffer, &names()) else {
            panic!("a complete response was not parsed")
        };
        response.host_reply.is_of_another_copy(&ClientRequest {
            cached_tag: cached_tag.map(Bytes::from),
            ..request()
        })
    };
    assert!(!is_of_another_copy("version=4be0,how=hit", Some("4be0")));
    for (fields, cached_tag) in [
        ("version=4be1", Some("4be0")),
        ("how=hit", Some("4be0")),
        ("version=4be0", None),
    ] {
        assert!(is_of_another_copy(fields, cached_tag), "{fields}");
    }
    assert!(is_of_another_copy("how=hit", None));
}

// Guards against answers that are read by the fourth word of a line of which the last word is the body length.
#[test]
fn an_answer_with_words_behind_its_body_length_is_malformed() {
    for line in ["1 data - 2 0", "1 failed - 0 x", "1 data how=hit 2  x"] {
        let parsed = parse(&mut BytesMut::from(&*format!("{line}\r\nab\r\n")), &names());
        assert_eq!(parsed, Err(Malformed::ExtraWord), "{line}");
    }
    let mut buffer = BytesMut::from("1 data - 2 \r\nab\r\n");
    assert!(parse(&mut buffer, &names()).is_ok(), "a space at the end");
}

// Guards against calling a client's copy current by an answer that brings an object as well.
#[test]
fn an_answer_that_the_copy_is_current_has_no_body() {
    let mut buffer = BytesMut::from("1 unchanged version=4be0 2\r\nab\r\n");
    assert_eq!(parse(&mut buffer, &names()), Err(Malformed::UnexpectedBody));
    let mut buffer = BytesMut::from("1 unchanged version=4be0 0\r\n\r\n");
    assert!(matches!(
        parse(&mut buffer, &names()),
        Ok(Parsed::Complete(_))
    ));
}

// The protocol is silent on these forms. Figures that are no numbers are ignored, and the answer is used.
#[test]
fn answers_with_figures_that_cannot_be_used_are_accepted_without_them() {
    for value in ["NaN", "inf", "-1", "x", ""] {
        let fields = format!("version=v,how=hit,took={value},stats=outstanding:{value};x1:{value}");
        let mut buffer = BytesMut::from(&*format!("1 data {fields} 2\r\nab\r\n"));
        let Ok(Parsed::Complete(response)) = parse(&mut buffer, &names()) else {
            panic!("an answer with the figure {value:?} was not parsed")
        };
        let reply = response.host_reply;
        assert_eq!(
            (reply.waited, reply.report.link, reply.report.in_flight),
            (None, None, None)
        );
        assert_eq!(&reply.body[..], b"ab");
    }
}

#[test]
fn malformed_responses_are_rejected() {
    let too_long = "x".repeat(MAX_HEAD + 2);
    let bad = [
        "1 what - 0\r\n",
        "1 data - x\r\n",
        "1 data - 240001\r\n",
        "1 data 3\r\n",
        "\r\n",
        &too_long,
    ];
    for bytes in bad
        .into_iter()
        .chain(["1 data novalue 0\r\n\r\n", "1 data - 1\r\nab\r\n"])
    {
        assert!(
            parse(&mut BytesMut::from(bytes), &names()).is_err(),
            "{bytes}"
        );
    }
    assert!(
        parse(
            &mut BytesMut::from(&b"\xff\xfe data - 0\r\n\r\n"[..]),
            &names()
        )
        .is_err()
    );
}
