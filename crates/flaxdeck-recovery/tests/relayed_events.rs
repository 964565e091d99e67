//! Events that somebody else brought move the numbering on, from its last event and not at any other place.

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
fn a_batch_moves_on_from_the_last_event_only() {
    let mut numbering = Numbering::new(position(20, 7));
    assert!(
        !numbering.accept_batch(at(1), position(20, 8), position(30, 1), Some(at(0))),
        "another numbering's"
    );
    assert!(
        !numbering.accept_batch(at(1), position(19, 7), position(30, 1), Some(at(0))),
        "a gap before it"
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
        "a heartbeat"
    );
    assert_eq!(
        numbering.confirmed_at(),
        Some(at(1)),
        "nothing confirms a later time"
    );
}

#[test]
fn the_coordinator_proves_a_numbering_that_others_moved_on() {
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

// What was told between the batch and the end of the old numbering may be missing here.
#[test]
fn another_numbering_after_batches_has_missed_what_followed_the_last_one() {
    let mut numbering = Numbering::new(position(20, 7));
    numbering.connection_opened(at(0));
    assert_eq!(
        numbering.receive(at(1), position(20, 7), false),
        EventAction::Skip
    );
    numbering.connection_closed(true); // paused here, so not heard to its end
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
    let distrusted = at(901) + Span::from_ms(1_000);
    assert!(
        !numbering.accept_batch(distrusted, position(1, 9), position(2, 2), None),
        "others may follow what was"
    );
}

#[test]
fn a_list_that_others_brought_is_followed_by_the_coordinator_from_there() {
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
