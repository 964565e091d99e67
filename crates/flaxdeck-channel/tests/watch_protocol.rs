//! The watch's protocol without a connection: frames, timeouts and the time in, actions out.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use bytes::Bytes;
use flaxdeck::{GroupId, ObjectId, Span, Time};
use flaxdeck_channel::watch::protocol::{Action, Disconnect, Timeout, WatchProtocol};
use flaxdeck_channel::watch::{Event, WatchEvent};
use flaxdeck_recovery::EventPosition;
use flaxdeck_recovery::numbering::{Numbering, ReconnectReason};
use flaxdeck_wire::Malformed;
use flaxdeck_wire::frames::Frame;

const START_MS: f64 = 1_000_000.0;

fn at(ms: u64) -> Time {
    Time::at_ms(START_MS) + Span::from_ms(ms)
}

fn purge(object: u64) -> Event {
    Event::Purged {
        object: Some(ObjectId(object)),
        group: GroupId(0),
        made: Time::at_ms(START_MS),
    }
}

fn frame_of(number: u64, event: Option<Event>) -> Frame {
    Frame {
        number,
        bytes: Bytes::from_static(b"as it came"),
        event,
    }
}

/// A protocol that has applied the purge of object 7 as event 7, and trusts the numbers or has them proven.
fn after_event_seven(trusts: bool) -> WatchProtocol {
    let last = EventPosition {
        number: 7,
        hash: purge(7).hash(),
    };
    let numbering = if trusts {
        Numbering::with_trusted_numbers(last)
    } else {
        Numbering::new(last)
    };
    WatchProtocol::new(numbering, 1, at(0))
}

fn reason(action: Action) -> Disconnect {
    match action {
        Action::Reconnect(reason) => reason,
        other => panic!("the connection goes on: {other:?}"),
    }
}

#[test]
fn events_that_follow_are_emitted_once_with_the_frame_that_they_came_in() {
    let mut protocol = after_event_seven(true);
    assert_eq!(protocol.connected(at(10)), 7);
    let emitted = protocol.frame(at(20), frame_of(8, Some(purge(8))));
    let Action::Emit(WatchEvent::Event {
        position, frame, ..
    }) = emitted
    else {
        panic!("event 8 follows: {emitted:?}");
    };
    assert_eq!((position.number, &frame[..]), (8, &b"as it came"[..]));
    assert_eq!(protocol.numbering().borrow().last(), position);
    let again = protocol.frame(at(30), frame_of(8, Some(purge(8))));
    assert!(matches!(again, Action::Continue), "{again:?}");
}

#[test]
fn a_heartbeat_makes_the_watch_current_until_the_connection_ends() {
    let mut protocol = after_event_seven(true);
    protocol.connected(at(0));
    assert!(!protocol.is_current());
    let action = protocol.frame(at(10), frame_of(7, None));
    assert!(
        matches!(action, Action::Emit(WatchEvent::Heartbeat)),
        "{action:?}"
    );
    assert!(protocol.is_current());
    protocol.disconnected(false);
    assert!(!protocol.is_current());
}

#[test]
fn an_unproven_numbering_asks_for_the_last_event_again_and_skips_it_as_its_proof() {
    let mut protocol = after_event_seven(false);
    assert_eq!(protocol.connected(at(0)), 6);
    assert_eq!(protocol.read_limit().timeout, Timeout::NothingThere);
    let proof = protocol.frame(at(10), frame_of(7, Some(purge(7))));
    assert!(matches!(proof, Action::Continue), "{proof:?}");
    assert_eq!(protocol.numbering().borrow().confirmed_at(), Some(at(10)));
}

#[test]
fn an_event_that_does_not_follow_has_all_asked_for_at_once() {
    let mut protocol = after_event_seven(false);
    protocol.connected(at(0));
    let why = reason(protocol.frame(at(10), frame_of(7, Some(purge(70)))));
    let expected = Disconnect::DoesNotFollow {
        number: 7,
        why: ReconnectReason::OtherEvent,
    };
    assert_eq!(why, expected);
    assert!(!why.pauses());
    assert_eq!(protocol.connected(at(20)), 0);
    let why = reason(protocol.frame(at(30), frame_of(9, Some(purge(9)))));
    let expected = Disconnect::DoesNotFollow {
        number: 9,
        why: ReconnectReason::NoList,
    };
    assert_eq!(why, expected);
    assert!(why.pauses());
}

#[test]
fn what_had_to_come_at_once_and_does_not_ends_the_connection_with_a_pause() {
    let mut protocol = after_event_seven(false);
    protocol.connected(at(0));
    let limit = protocol.read_limit();
    assert_eq!(limit.timeout, Timeout::NothingThere);
    let why = reason(protocol.timed_out(limit.until, limit.timeout));
    assert!(matches!(why, Disconnect::NothingThere(_)), "{why:?}");
    assert!(why.pauses());
}

#[test]
fn silence_ends_the_connection_after_two_heartbeats_that_are_missing() {
    let mut protocol = after_event_seven(true);
    protocol.connected(at(0));
    protocol.frame(at(10), frame_of(7, None));
    let limit = protocol.read_limit();
    assert_eq!(limit.timeout, Timeout::Silent);
    assert_eq!(limit.until, at(10 + 2200));
    let why = reason(protocol.timed_out(limit.until, limit.timeout));
    assert_eq!(why, Disconnect::Silent);
    assert!(why.pauses());
}

#[test]
fn a_frame_that_comes_byte_by_byte_and_never_ends_is_not_waited_for() {
    let mut protocol = after_event_seven(true);
    protocol.connected(at(0));
    protocol.frame(at(10), frame_of(7, None));
    let begins = protocol.bytes_read(at(2000), true);
    assert!(matches!(begins, Action::Continue), "{begins:?}");
    assert_eq!(protocol.read_limit().until, at(2000 + 2200));
    let goes_on = protocol.bytes_read(at(4199), false);
    assert!(matches!(goes_on, Action::Continue), "{goes_on:?}");
    let why = reason(protocol.bytes_read(at(4200), false));
    assert_eq!(why, Disconnect::Ended);
}

#[test]
fn reasons_say_what_the_log_has_always_said() {
    let malformed = Disconnect::Malformed(Malformed::FrameLength);
    assert_eq!(
        malformed.to_string(),
        "the coordinator's connection is closed: a frame's length is out of bounds"
    );
    for ended in [Disconnect::Ended, Disconnect::Silent] {
        assert_eq!(ended.to_string(), "the coordinator's connection has ended");
    }
}
