//! The state machine of the watch: frames, timeouts and the current time in, actions out.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use bytes::Bytes;
use flaxdeck::{GroupId, ObjectId, Span, Time};
use flaxdeck_channel::watch::arrival::ReadBytes;
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

fn received_frame(number: u64, event: Option<Event>) -> Frame {
    Frame {
        number,
        bytes: Bytes::from_static(b"frame bytes"),
        event,
    }
}

/// Creates a protocol whose last known event is number 7, a purge of object 7. Its numbers are trusted, or each
/// connection has to prove them.
fn protocol_at_event_7(trusts_numbers: bool) -> WatchProtocol {
    let last = EventPosition {
        number: 7,
        hash: purge(7).hash(),
    };
    let numbering = if trusts_numbers {
        Numbering::with_trusted_numbers(last)
    } else {
        Numbering::new(last)
    };
    WatchProtocol::new(numbering, 1, at(0))
}

fn disconnect_reason(action: Action) -> Disconnect {
    match action {
        Action::Reconnect(reason) => reason,
        other => panic!("expected a reconnect, got {other:?}"),
    }
}

#[test]
fn a_following_event_is_emitted_once_with_its_frame() {
    let mut protocol = protocol_at_event_7(true);
    assert_eq!(protocol.connected(at(10)), 7);
    let emitted = protocol.frame(at(20), received_frame(8, Some(purge(8))));
    let Action::Emit(WatchEvent::Event {
        position, frame, ..
    }) = emitted
    else {
        panic!("event 8 follows and has to be emitted, got {emitted:?}");
    };
    assert_eq!((position.number, &frame[..]), (8, &b"frame bytes"[..]));
    assert_eq!(protocol.numbering().borrow().last(), position);
    let repeated = protocol.frame(at(30), received_frame(8, Some(purge(8))));
    assert!(matches!(repeated, Action::Continue), "{repeated:?}");
}

#[test]
fn the_watch_is_live_from_a_heartbeat_until_the_connection_ends() {
    let mut protocol = protocol_at_event_7(true);
    protocol.connected(at(0));
    assert!(!protocol.is_live() && !protocol.is_caught_up());
    let action = protocol.frame(at(10), received_frame(7, None));
    assert!(
        matches!(action, Action::Emit(WatchEvent::Heartbeat)),
        "{action:?}"
    );
    assert!(protocol.is_live() && protocol.is_caught_up());
    protocol.disconnected(false);
    assert!(!protocol.is_live() && !protocol.is_caught_up());
}

/// Reads the bytes of one or more whole frames at once.
fn read_frames(protocol: &mut WatchProtocol, now: Time) {
    let read = ReadBytes {
        begins_frame: true,
        emptied_socket: true,
    };
    let action = protocol.bytes_read(now, read);
    assert!(matches!(action, Action::Continue), "{action:?}");
}

/// Returns as of when all events are known, in milliseconds.
fn complete_as_of_ms(protocol: &WatchProtocol) -> Option<f64> {
    protocol
        .complete_as_of()
        .map(|as_of| as_of.time().ms() - START_MS)
}

// Guards against a list that is relied on again while a slow coordinator still has drains to send.
#[test]
fn a_pause_between_events_does_not_show_that_all_events_are_known() {
    let mut protocol = protocol_at_event_7(true);
    protocol.connected(at(0));
    for number in 8..=12 {
        let received_at = at(number * 500);
        read_frames(&mut protocol, received_at);
        protocol.frame(received_at, received_frame(number, Some(purge(number))));
        let limit = protocol.read_limit();
        if limit.timeout == Timeout::CaughtUp {
            let action = protocol.timed_out(limit.until, limit.timeout);
            assert!(
                matches!(action, Action::Emit(WatchEvent::CaughtUp)),
                "{action:?}"
            );
        }
        assert!(protocol.is_caught_up() && !protocol.is_live());
        assert_eq!(complete_as_of_ms(&protocol), None);
    }
    protocol.idle_checked(at(6_950));
    read_frames(&mut protocol, at(7_000));
    protocol.frame(at(7_000), received_frame(12, None));
    assert!(protocol.is_live());
    assert_eq!(complete_as_of_ms(&protocol), Some(6_950.0));
}

// Guards against a backlog whose events have the pace at which they happened, but come late.
#[test]
fn events_that_come_as_fast_as_they_happened_do_not_show_that_all_events_are_known() {
    let mut protocol = protocol_at_event_7(true);
    protocol.connected(at(0));
    for number in 8..1_000 {
        let received_at = at(number * 3);
        let event = Event::Purged {
            object: Some(ObjectId(number)),
            group: GroupId(0),
            made: received_at - Span::from_ms(5_000),
        };
        read_frames(&mut protocol, received_at);
        protocol.frame(received_at, received_frame(number, Some(event)));
    }
    assert!(protocol.is_caught_up() && !protocol.is_live());
    assert_eq!(complete_as_of_ms(&protocol), None);
}

// Guards against a heartbeat that stands before events that are still on their way.
#[test]
fn a_heartbeat_that_names_an_unknown_event_does_not_show_that_all_events_are_known() {
    let mut protocol = protocol_at_event_7(true);
    protocol.connected(at(0));
    protocol.frame(at(10), received_frame(9, None));
    assert!(!protocol.is_live());
    assert_eq!(complete_as_of_ms(&protocol), None);
    protocol.frame(at(20), received_frame(8, Some(purge(8))));
    protocol.frame(at(30), received_frame(9, Some(purge(9))));
    protocol.frame(at(40), received_frame(9, None));
    assert_eq!(complete_as_of_ms(&protocol), Some(0.0));
}

// Guards against the end of a connection that is taken for the end of a backlog.
#[test]
fn the_end_of_a_connection_does_not_show_that_all_events_are_known() {
    let mut protocol = protocol_at_event_7(true);
    protocol.connected(at(0));
    read_frames(&mut protocol, at(1_000));
    protocol.frame(at(1_000), received_frame(7, None));
    assert_eq!(complete_as_of_ms(&protocol), Some(0.0));
    protocol.disconnect(Disconnect::Ended);
    protocol.connected(at(5_000));
    read_frames(&mut protocol, at(5_010));
    protocol.frame(at(5_010), received_frame(8, Some(purge(8))));
    protocol.disconnect(Disconnect::Ended);
    assert_eq!(complete_as_of_ms(&protocol), Some(0.0));
}

// Guards against heartbeats that wait in the socket while the process is stopped, and count as of when they are read.
#[test]
fn a_heartbeat_that_is_read_late_counts_as_of_before_it_had_arrived() {
    let mut protocol = protocol_at_event_7(true);
    protocol.connected(at(0));
    protocol.idle_checked(at(900));
    read_frames(&mut protocol, at(6_000));
    for _ in 0..3 {
        protocol.frame(at(6_000), received_frame(7, None));
    }
    assert_eq!(complete_as_of_ms(&protocol), Some(900.0));
    protocol.idle_checked(at(6_400));
    read_frames(&mut protocol, at(6_410));
    protocol.frame(at(6_410), received_frame(7, None));
    assert_eq!(complete_as_of_ms(&protocol), Some(6_400.0));
}

#[test]
fn a_read_that_leaves_bytes_in_the_socket_does_not_count_as_having_emptied_it() {
    let mut protocol = protocol_at_event_7(true);
    protocol.connected(at(0));
    let part = ReadBytes {
        begins_frame: true,
        emptied_socket: false,
    };
    protocol.bytes_read(at(5_000), part);
    protocol.frame(at(5_000), received_frame(8, Some(purge(8))));
    read_frames(&mut protocol, at(5_001));
    protocol.frame(at(5_001), received_frame(8, None));
    assert_eq!(complete_as_of_ms(&protocol), Some(0.0));
}

// Guards against a heartbeat that a stalled network delivers late.
#[test]
fn a_heartbeat_counts_at_most_as_of_when_it_was_due() {
    let mut protocol = protocol_at_event_7(true);
    protocol.connected(at(0));
    protocol.idle_checked(at(2_100));
    read_frames(&mut protocol, at(2_150));
    protocol.frame(at(2_150), received_frame(7, None));
    assert_eq!(complete_as_of_ms(&protocol), Some(1_100.0));
}

// Guards against a crowded coordinator that never shows that all events are known, and one that shows it too early.
#[test]
fn a_heartbeat_in_single_bytes_counts_as_of_its_first_byte() {
    let mut protocol = protocol_at_event_7(true);
    protocol.connected(at(0));
    protocol.idle_checked(at(500));
    for byte in 0..13 {
        let read = ReadBytes {
            begins_frame: byte == 0,
            emptied_socket: true,
        };
        let action = protocol.bytes_read(at(550 + byte * 100), read);
        assert!(matches!(action, Action::Continue), "{action:?}");
        protocol.idle_checked(at(640 + byte * 100));
    }
    protocol.frame(at(1_750), received_frame(7, None));
    assert_eq!(complete_as_of_ms(&protocol), Some(500.0));
}

#[test]
fn an_unproven_numbering_requests_the_last_event_again_and_skips_it_as_its_proof() {
    let mut protocol = protocol_at_event_7(false);
    assert_eq!(protocol.connected(at(0)), 6);
    assert_eq!(protocol.read_limit().timeout, Timeout::EventMissing);
    let proof = protocol.frame(at(10), received_frame(7, Some(purge(7))));
    assert!(matches!(proof, Action::Continue), "{proof:?}");
    assert_eq!(protocol.numbering().borrow().confirmed_at(), Some(at(10)));
}

#[test]
fn after_an_event_that_does_not_follow_all_events_are_requested_without_a_pause() {
    let mut protocol = protocol_at_event_7(false);
    protocol.connected(at(0));
    let why = disconnect_reason(protocol.frame(at(10), received_frame(7, Some(purge(70)))));
    let expected = Disconnect::DoesNotFollow {
        number: 7,
        why: ReconnectReason::OtherEvent,
    };
    assert_eq!(why, expected);
    assert!(!why.pauses());
    assert_eq!(protocol.connected(at(20)), 0);
    let why = disconnect_reason(protocol.frame(at(30), received_frame(9, Some(purge(9)))));
    let expected = Disconnect::DoesNotFollow {
        number: 9,
        why: ReconnectReason::NoList,
    };
    assert_eq!(why, expected);
    assert!(why.pauses());
}

#[test]
fn a_connection_without_the_requested_event_is_closed_and_reopened_after_a_pause() {
    let mut protocol = protocol_at_event_7(false);
    protocol.connected(at(0));
    let limit = protocol.read_limit();
    assert_eq!(limit.timeout, Timeout::EventMissing);
    let why = disconnect_reason(protocol.timed_out(limit.until, limit.timeout));
    assert!(matches!(why, Disconnect::EventMissing(_)), "{why:?}");
    assert!(why.pauses());
}

#[test]
fn the_connection_is_closed_after_two_missing_heartbeats() {
    let mut protocol = protocol_at_event_7(true);
    protocol.connected(at(0));
    protocol.frame(at(10), received_frame(7, None));
    let limit = protocol.read_limit();
    assert_eq!(limit.timeout, Timeout::Silent);
    assert_eq!(limit.until, at(10 + 2200));
    let why = disconnect_reason(protocol.timed_out(limit.until, limit.timeout));
    assert_eq!(why, Disconnect::Silent);
    assert!(why.pauses());
}

#[test]
fn a_frame_that_is_not_complete_within_the_time_limit_closes_the_connection() {
    let mut protocol = protocol_at_event_7(true);
    protocol.connected(at(0));
    protocol.frame(at(10), received_frame(7, None));
    let read = |begins_frame| ReadBytes {
        begins_frame,
        emptied_socket: true,
    };
    let first_bytes = protocol.bytes_read(at(2000), read(true));
    assert!(matches!(first_bytes, Action::Continue), "{first_bytes:?}");
    assert_eq!(protocol.read_limit().until, at(2000 + 2200));
    let more_bytes = protocol.bytes_read(at(4199), read(false));
    assert!(matches!(more_bytes, Action::Continue), "{more_bytes:?}");
    let why = disconnect_reason(protocol.bytes_read(at(4200), read(false)));
    assert_eq!(why, Disconnect::Ended);
}

#[test]
fn disconnect_reasons_have_the_logged_messages() {
    let malformed = Disconnect::Malformed(Malformed::FrameLength);
    assert_eq!(
        malformed.to_string(),
        "the coordinator has sent an invalid frame: a frame's length is out of bounds"
    );
    assert_eq!(
        Disconnect::Ended.to_string(),
        "the coordinator's connection has ended, or a frame took longer than 2200 ms"
    );
    assert_eq!(
        Disconnect::Silent.to_string(),
        "the coordinator has sent nothing for 2200 ms"
    );
}
