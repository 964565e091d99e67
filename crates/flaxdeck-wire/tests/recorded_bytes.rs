//! Compatibility with recorded bytes of clients, cache hosts and the coordinator, which revision 45b174f wrote and
//! read. The current code must write the same bytes and parse received ones to the same values.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod names;
mod request_example;

use bytes::{Bytes, BytesMut};
use flaxdeck::{
    AttemptOutcome, CellId, ClassId, Endpoint, FillOutcome, GroupId, Health, HostId, ListKind,
    ObjectId, Role, Span, Time, ZoneId,
};
use flaxdeck_terms::fields::Fields;
use flaxdeck_wire::frames::{AddressedEndpoint, Event, Frame, KnownEvents};
use flaxdeck_wire::lines::{self, AttemptOptions};
use flaxdeck_wire::rpc::{self, ClientMessage};
use flaxdeck_wire::{Answer, ClientRequest, HostReply, Parsed, frames};
use names::names;
use request_example::FIELDS;

use flaxdeck_toy::request_message;

fn path(name: &str) -> String {
    format!("{}/tests/fixtures/{name}", env!("CARGO_MANIFEST_DIR"))
}

fn recorded(name: &str) -> Vec<u8> {
    std::fs::read(path(name)).expect("recorded fixture is readable")
}

fn assert_recorded(name: &str, bytes: &[u8]) {
    assert!(
        recorded(name) == bytes,
        "written bytes differ from the recorded {name}"
    );
}

fn endpoint(health: Health) -> AddressedEndpoint {
    AddressedEndpoint {
        listed: Endpoint {
            host: HostId("s-00c41f7a".into()),
            weight: 4.5,
            zone: Some(ZoneId(0)),
            cell: CellId(2),
            role: Role::Parent,
            health,
            started: Some(Time::at_ms(1_764_576_000_123.0)),
        },
        address: "127.1.0.9:5050".parse().expect("valid socket address"),
    }
}

fn request(body: &'static [u8]) -> ClientRequest {
    ClientRequest {
        class: ClassId(0),
        id: Bytes::from_static(b"a1b2c3d4"),
        key: Bytes::from_static(b"7f3a9c21e0b4d655"),
        object: ObjectId(0x7f3a_9c21_e0b4_d655),
        part: 2,
        group: GroupId(17),
        size_kb: Some(12.5),
        timeout: Span::of_ms(1_500.0),
        is_retry: true,
        cached_tag: Some(Bytes::from_static(b"tag-1")),
        idempotency_key: Some(Bytes::from_static(b"once-1")),
        body: Bytes::from_static(body),
    }
}

/// Encodes a purge frame with the number 6.
fn purge_frame(kind: u8, purged: &[u8]) -> Vec<u8> {
    let made = 1_764_576_000_480u64.to_be_bytes();
    let length = (9 + purged.len() + 8) as u32;
    [
        &length.to_be_bytes()[..],
        &6u64.to_be_bytes(),
        &[kind],
        purged,
        &made,
    ]
    .concat()
}

/// Asserts that the events are the purges of the object and of the group in the recorded frames.
fn assert_purges(events: &[(u64, Option<Event>)]) {
    let made_at = Time::at_ms(1_764_576_000_480.0);
    for (_, event) in events {
        let Some(Event::Purged {
            object,
            group,
            made,
        }) = event
        else {
            panic!("{event:?}")
        };
        assert_eq!(*made, made_at);
        match object {
            Some(object) => assert_eq!(*object, ObjectId(0x7f3a_9c21_e0b4_d655)),
            None => assert_eq!(*group, GroupId(17)),
        }
    }
    assert_eq!(events.len(), 2);
}

#[test]
fn frames_of_the_coordinator_are_written_and_parsed_as_recorded() {
    let endpoints = [
        endpoint(Health::InService),
        endpoint(Health::Draining),
        endpoint(Health::Removed),
    ];
    let list =
        frames::write_full_list(5, endpoints.iter(), &names()).expect("endpoints fit into a frame");
    let mut delta = list.clone();
    delta[12] = 2;
    let empty = [&9u32.to_be_bytes()[..], &4u64.to_be_bytes(), &[0]].concat();
    let object = purge_frame(3, &0x7f3a_9c21_e0b4_d655u64.to_be_bytes());
    let group = purge_frame(4, &17u16.to_be_bytes());
    assert_recorded(
        "coordinator-frames.bin",
        &[&empty[..], &list, &delta, &object, &group].concat(),
    );

    let mut buffer = BytesMut::from(&recorded("coordinator-frames.bin")[..]);
    let mut events = Vec::new();
    while !buffer.is_empty() {
        match frames::parse(&mut buffer, &names()).expect("valid frames") {
            Parsed::Complete(Frame { number, event, .. }) => events.push((number, event)),
            Parsed::Incomplete(missing) => panic!("last frame lacks {missing} bytes"),
        }
    }
    let hashes: Vec<_> = events
        .iter()
        .map(|(number, event)| format!("{number} {:016x}", event.as_ref().map_or(0, Event::hash)))
        .collect();
    assert_recorded(
        "coordinator-frames.hashes",
        (hashes.join("\n") + "\n").as_bytes(),
    );
    let [
        _,
        (5, Some(Event::Hosts(ListKind::Full, endpoints_read))),
        (5, Some(Event::Hosts(ListKind::Delta, _))),
        purges @ ..,
    ] = &events[..]
    else {
        panic!("{events:?}")
    };
    let health: Vec<Health> = endpoints_read
        .iter()
        .map(|endpoint| endpoint.listed.health)
        .collect();
    assert_eq!(
        health,
        [Health::InService, Health::Draining, Health::Removed]
    );
    assert_eq!(endpoints_read[0].address, endpoints[0].address);
    assert_purges(purges);
}

#[test]
fn events_of_a_configuration_have_the_recorded_hashes() {
    let config = include_str!("../../../examples/toy/config.json");
    let value: serde_json::Value = serde_json::from_str(config).expect("configuration is JSON");
    let known = Fields::of(&value, "the configuration")
        .and_then(|configuration| configuration.inner("known"))
        .expect("configuration has known events");
    let KnownEvents { last, events } =
        frames::known_events(&known, &names()).expect("valid events");
    let hashes: Vec<_> = events
        .iter()
        .map(|(number, event)| format!("{number} {:016x}", event.hash()))
        .collect();
    assert_recorded(
        "configuration-events.hashes",
        format!("{last}\n{}\n", hashes.join("\n")).as_bytes(),
    );
}

#[test]
fn requests_to_a_host_are_written_as_recorded() {
    let host = HostId("s-00c41f7b".into());
    let minimal_request = ClientRequest {
        cached_tag: None,
        idempotency_key: None,
        ..request(b"")
    };
    let no_options = AttemptOptions {
        class: "page",
        timeout: Span::of_ms(0.2),
        source: None,
        retention_rank: 0,
        new_connection: false,
        max_age: None,
        join: false,
        only_cached: false,
        revalidate: false,
    };
    let all_options = AttemptOptions {
        class: "submit",
        timeout: Span::of_ms(2_999.9),
        source: Some(&host),
        retention_rank: 2,
        new_connection: true,
        max_age: Some(Span::of_ms(17.4)),
        join: true,
        only_cached: true,
        revalidate: true,
    };
    let written = [
        lines::encode_request(&minimal_request, &no_options).concat(),
        lines::encode_request(&request(b"body of a write"), &all_options).concat(),
        lines::encode_cancel(&Bytes::from_static(b"a1b2c3d4")).to_vec(),
    ];
    assert_recorded("host-requests.txt", &written.concat());
}

const ANSWERS: &[u8] = b"a1 data how=hit,took=12.5 3\r\nabc\r\n\
a2 unchanged version=tag-1 0\r\n\r\n\
a3 absent - 0\r\n\r\n\
a4 full how=no_slot 0\r\n\r\n\
a5 failed how=src_broke 0\r\n\r\n\
a6 moot - 0\r\n\r\n\
a7 data how=via_origin 1\r\nx\r\n\
fence here\r\n";

#[test]
fn answers_of_a_host_are_parsed_as_recorded() {
    assert_recorded("host-answers.txt", ANSWERS);
    let mut buffer = BytesMut::from(&recorded("host-answers.txt")[..]);
    let mut responses = Vec::new();
    while !buffer.is_empty() {
        match lines::parse(&mut buffer, &names()).expect("valid answers") {
            Parsed::Complete(response) => responses.push(response),
            Parsed::Incomplete(missing) => panic!("last answer lacks {missing} bytes"),
        }
    }
    let outcomes: Vec<AttemptOutcome> = responses
        .iter()
        .map(|response| response.host_reply.outcome)
        .collect();
    let expected = [
        AttemptOutcome::Answered,
        AttemptOutcome::Answered,
        AttemptOutcome::NoCopy,
        AttemptOutcome::Rejected,
        AttemptOutcome::Errored,
        AttemptOutcome::NotSent,
        AttemptOutcome::Answered,
        AttemptOutcome::NotSent,
    ];
    assert_eq!(outcomes, expected);
    let fill_outcomes: Vec<FillOutcome> = responses
        .iter()
        .map(|response| response.host_reply.fill)
        .collect();
    let expected = [
        FillOutcome::Hit,
        FillOutcome::Nothing,
        FillOutcome::Nothing,
        FillOutcome::NoSlot,
        FillOutcome::SourceUnreached,
        FillOutcome::Nothing,
        FillOutcome::FilledThroughOrigin,
        FillOutcome::Nothing,
    ];
    assert_eq!(fill_outcomes, expected);
    let HostReply { body, waited, .. } = &responses[0].host_reply;
    assert_eq!((&body[..], *waited), (&b"abc"[..], Some(Span::of_ms(12.5))));
    assert!(responses[1].host_reply.unchanged);
    assert_eq!(responses[1].host_reply.tag.as_deref(), Some(&b"tag-1"[..]));
    assert_eq!(
        (responses[6].id.as_deref(), &responses[7].id),
        (Some(&b"a7"[..]), &None)
    );
}

#[test]
fn answers_to_a_client_are_written_as_recorded() {
    let written = [
        rpc::encode_answer(7, Answer::Served(Bytes::from(vec![0x5a; 70_000]))).concat(),
        rpc::encode_answer(70_000, Answer::Unchanged).concat(),
        rpc::encode_answer(300, Answer::Rejected(None)).concat(),
        rpc::encode_answer(300, Answer::Rejected(Some(Span::of_ms(299.5)))).concat(),
        rpc::encode_answer(9, Answer::Failed).concat(),
        rpc::encode_error(9, "Invalid", Some(Span::of_ms(20.0))).to_vec(),
        rpc::encode_alive(8).to_vec(),
    ];
    assert_recorded("client-answers.bin", &written.concat());
}

#[test]
fn a_request_of_a_client_is_parsed_as_recorded() {
    let bytes = request_message(70_000, "submit", &FIELDS, b"a form");
    assert_recorded("client-request.bin", &bytes);
    let mut buffer = BytesMut::from(&recorded("client-request.bin")[..]);
    let expected = ClientRequest {
        class: ClassId(2),
        id: "9b1f03aa5c7e2d41".into(),
        key: "7f3a9c21e0b4d655".into(),
        object: ObjectId(0x7f3a_9c21_e0b4_d655),
        part: 3,
        group: GroupId(17),
        size_kb: Some(412.5),
        timeout: Span::from_ms(1500),
        is_retry: true,
        cached_tag: Some("4be0c1927d55a6f3".into()),
        idempotency_key: Some("6ba245bd25e372d4b65f22998597a9da".into()),
        body: "a form".into(),
    };
    let Ok(Parsed::Complete(ClientMessage::Request { call, request })) =
        rpc::parse(&mut buffer, &names())
    else {
        panic!("the recorded request was not parsed")
    };
    assert_eq!((call, *request), (70_000, expected));
    assert!(buffer.is_empty());
}
