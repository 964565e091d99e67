//! Compares frames between forwarders and planners with recorded ones of version 3 of the protocol (revision 45b174f),
//! made with a fixed key and fixed nonces. The code has to read each of them and to write the same bytes.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use bytes::BytesMut;
use flaxdeck_channel::authenticated::{FrameSigner, FrameVerifier, Greeting, Key, Role};
use flaxdeck_channel::messages::{FromForwarder, FromPlanner};
use flaxdeck_control::QuotaFraction;
use flaxdeck_control::messages::{
    Envelope, Epoch, Grant, Guidance, Incarnation, LeaseReport, LinkLoad, Measurements,
    PeerSummary, Rating, RelayedEvent, Report, Sample, SlotId, Stamp,
};
use flaxdeck_distribution::messages::{
    Batch, Delivery, FullEvent, PurgeDigest, Snapshot, Subscription, Update,
};
use flaxdeck_recovery::EventPosition;
use flaxdeck_wire::Parsed;
use serde::Serialize;
use serde::de::DeserializeOwned;

fn assert_recorded(name: &str, bytes: &[u8]) {
    let path = format!("{}/tests/fixtures/{name}", env!("CARGO_MANIFEST_DIR"));
    let recorded = std::fs::read(path).expect("the recorded file can be read");
    assert!(
        recorded == bytes,
        "the bytes written differ from the recorded file {name}"
    );
}

fn key() -> Key {
    Key::from_hex(&"5c".repeat(32)).expect("64 hex digits")
}

fn greetings() -> (Greeting, Greeting) {
    let forwarder = Greeting::new(Role::Forwarder, [0x11; 16]);
    let planner = Greeting::new(Role::Planner, [0x22; 16]);
    (forwarder, planner)
}

/// Signs the messages in order, compares the frames with the recorded ones and reads the messages from them again.
fn assert_recorded_messages<T>(
    name: &str,
    mut signer: FrameSigner,
    mut verifier: FrameVerifier,
    messages: &[T],
) where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let mut written = Vec::new();
    for message in messages {
        written.extend_from_slice(&signer.sign(message).expect("the message fits in a frame"));
    }
    assert_recorded(name, &written);
    let mut buffer = BytesMut::from(&written[..]);
    for message in messages {
        let read = verifier.verify::<T>(&mut buffer).expect("a valid frame");
        let Parsed::Complete(read) = read else {
            panic!("{name} ends within a frame")
        };
        assert_eq!(&read, message);
    }
    assert!(buffer.is_empty(), "{name} has further bytes");
}

fn envelope() -> Envelope {
    Envelope {
        from: Epoch(0x0123_4567_89ab),
        to: Epoch(77),
        number: 300,
        sent: Stamp(1_234_567),
        echo: Some(Stamp(7_654_321)),
    }
}

fn incarnation() -> Incarnation {
    Incarnation {
        host: "s-00c41f7a".into(),
        started: 1_764_576_000_123,
    }
}

fn position(number: u64) -> EventPosition {
    EventPosition {
        number,
        hash: 0x7f3a_9c21_e0b4_d655 ^ number,
    }
}

fn report() -> Report {
    Report {
        envelope: envelope(),
        slot: SlotId(0xfeed_beef),
        last_event: position(41),
        subscribes: true,
        version: 9,
        zone: 3,
        link: Some(LinkLoad {
            utilization: 1.75,
            ago_ms: 210,
        }),
        lease_reports: vec![LeaseReport {
            incarnation: incarnation(),
            deposit: QuotaFraction(1_000),
            demand: QuotaFraction(250_000),
            in_flight: 12,
        }],
        samples: vec![Sample {
            host: "s-00c41f7b".into(),
            measurements: Measurements {
                latency_ms: Some(12.5),
                bandwidth: None,
            },
            measured_ago_ms: 1_500,
            last_success_ago_ms: Some(20),
            last_failure_ago_ms: None,
            in_flight: 4,
        }],
    }
}

fn guidance() -> Guidance {
    Guidance {
        envelope: envelope(),
        coordinator_ago_ms: Some(33),
        outstanding_ms: Some(900),
        coordinator_position: Some(position(44)),
        version: 10,
        after: position(42),
        events: vec![RelayedEvent {
            position: position(43),
            frame: vec![0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 43, 0],
        }],
        link: None,
        grants: vec![Grant {
            incarnation: incarnation(),
            amount: QuotaFraction(125_000),
            lasts_ms: 1_200,
        }],
        incarnations: vec![PeerSummary {
            incarnation: incarnation(),
            demanded: true,
            peers_in_flight: 17,
        }],
        ratings: vec![Rating {
            host: "s-00c41f7c".into(),
            measurements: Measurements {
                latency_ms: Some(80.0),
                bandwidth: Some(0.5),
            },
            measured_ago_ms: 700,
            down_ago_ms: Some(300),
            last_success_ago_ms: None,
            window: Some(6),
        }],
    }
}

fn digest() -> PurgeDigest {
    PurgeDigest {
        count: 3,
        low_bits: 24,
        bytes: vec![0xa5, 0x5a, 0x0f, 0xf0],
    }
}

fn full_event() -> FullEvent {
    FullEvent {
        position: position(51),
        frame: vec![
            0, 0, 0, 19, 0, 0, 0, 0, 0, 0, 0, 51, 4, 0, 17, 0, 0, 1, 154, 0, 0, 0, 0,
        ],
    }
}

#[test]
fn greetings_match_the_recorded_bytes() {
    let (forwarder, planner) = greetings();
    assert_recorded("greeting-forwarder.bin", &forwarder.bytes(&key()));
    assert_recorded("greeting-planner.bin", &planner.bytes(&key()));
    let mut buffer = BytesMut::from(&planner.bytes(&key())[..]);
    let read = Greeting::read(&mut buffer, &key(), Role::Planner);
    assert!(matches!(read, Ok(Parsed::Complete(_))));
}

#[test]
fn messages_from_a_forwarder_match_the_recorded_bytes() {
    let (forwarder, planner) = greetings();
    let (signer, _) = forwarder.keys(&planner, &key());
    let (_, verifier) = planner.keys(&forwarder, &key());
    let messages = [
        FromForwarder::Report(Report::default()),
        FromForwarder::Report(report()),
        FromForwarder::Subscribe(Subscription::After(position(40))),
        FromForwarder::Subscribe(Subscription::FromSnapshot),
        FromForwarder::Subscribe(Subscription::None),
    ];
    assert_recorded_messages("from-forwarder.bin", signer, verifier, &messages);
}

#[test]
fn messages_from_a_planner_match_the_recorded_bytes() {
    let (forwarder, planner) = greetings();
    let (signer, _) = planner.keys(&forwarder, &key());
    let (_, verifier) = forwarder.keys(&planner, &key());
    let batch = Batch {
        after: position(50),
        last: position(52),
        purges: digest(),
        events: vec![full_event()],
    };
    let snapshot = Snapshot {
        position: position(60),
        list: vec![0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 60, 1],
        purges: digest(),
        group_purges: vec![full_event()],
        purges_reach_ms: 6_800,
    };
    let delivery = |update, coordinator_ago_ms| {
        FromPlanner::Delivery(Delivery {
            update,
            coordinator_ago_ms,
        })
    };
    let messages = [
        FromPlanner::Guidance(Guidance::default()),
        FromPlanner::Guidance(guidance()),
        delivery(Update::Batch(Batch::default()), None),
        delivery(Update::Batch(batch), Some(12)),
        delivery(Update::Snapshot(Box::new(snapshot)), Some(13)),
        delivery(Update::Behind { last: position(61) }, Some(14)),
    ];
    assert_recorded_messages("from-planner.bin", signer, verifier, &messages);
}
