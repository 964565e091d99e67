//! Relayed batches and snapshots advance the numbering, batches only from its last event.

use flaxdeck::{Span, Time};
use flaxdeck_recovery::EventPosition;
use flaxdeck_recovery::numbering::{EventAction, MissedPeriod, Numbering, ReconnectReason};

fn at(ms: u64) -> Time {
    Time::at_ms(1_000.0 + ms as f64)
}

fn position(number: u64, hash: u64) -> EventPosition {
    EventPosition { number, hash }
}

#[test]
fn a_batch_is_accepted_only_after_the_last_event() {
    let mut numbering = Numbering::new(position(20, 7));
    assert!(
        !numbering.accept_batch(at(1), position(20, 8), position(30, 1), Some(at(0))),
        "the batch follows an event of another numbering"
    );
    assert!(
        !numbering.accept_batch(at(1), position(19, 7), position(30, 1), Some(at(0))),
        "the batch does not start after the last event"
    );
    assert_eq!(
        (numbering.last(), numbering.confirmed_at()),
        (position(20, 7), None)
    );
    assert!(numbering.accept_batch(at(2), position(20, 7), position(30, 1), Some(at(1))));
    assert_eq!(
        (numbering.last(), numbering.confirmed_at()),
        (position(30, 1), Some(at(1)))
    );
    assert!(
        numbering.accept_batch(at(3), position(30, 1), position(30, 1), None),
        "an empty batch is accepted as a heartbeat"
    );
    assert_eq!(
        numbering.confirmed_at(),
        Some(at(1)),
        "a batch without a time of completeness does not advance confirmed_at"
    );
}

#[test]
fn the_coordinator_proves_a_numbering_advanced_by_a_batch() {
    let mut numbering = Numbering::new(position(20, 7));
    assert!(numbering.accept_batch(at(2), position(20, 7), position(30, 1), Some(at(1))));
    assert_eq!(numbering.connection_opened(at(10)), 29);
    assert_eq!(
        numbering.receive(at(11), position(30, 1), false),
        EventAction::Skip
    );
    assert_eq!(
        numbering.receive(at(12), position(31, 5), false),
        EventAction::Apply
    );
}

// Events that the coordinator sent between the batch and the end of the old numbering may be missing.
#[test]
fn events_since_the_last_batch_may_be_missed_when_the_numbering_changes() {
    let mut numbering = Numbering::new(position(20, 7));
    numbering.connection_opened(at(0));
    assert_eq!(
        numbering.receive(at(1), position(20, 7), false),
        EventAction::Skip
    );
    numbering.connection_closed(true); // no clean close, as the connection was paused on this side
    assert!(numbering.accept_batch(at(500), position(20, 7), position(30, 1), Some(at(400))));
    numbering.connection_opened(at(900));
    let missed = MissedPeriod {
        since: Some(at(400)),
        closed_cleanly: false,
    };
    assert_eq!(
        numbering.receive(at(901), position(1, 9), true),
        EventAction::Replace(Some(missed))
    );
    let distrusted_at = at(901) + Span::from_ms(1_000);
    assert!(
        !numbering.accept_batch(distrusted_at, position(1, 9), position(2, 2), None),
        "peers may still follow the old numbering"
    );
}

#[test]
fn the_coordinator_has_to_prove_the_position_of_a_relayed_snapshot() {
    let mut numbering = Numbering::new(position(20, 7));
    numbering.accept_snapshot(at(5), position(900, 3));
    assert_eq!(
        (numbering.last(), numbering.confirmed_at()),
        (position(900, 3), Some(at(5)))
    );
    assert_eq!(numbering.connection_opened(at(6)), 899);
    assert_eq!(
        numbering.receive(at(7), position(900, 4), false),
        EventAction::Reconnect(ReconnectReason::OtherEvent)
    );
    assert_eq!(numbering.connection_opened(at(8)), 0);
}
