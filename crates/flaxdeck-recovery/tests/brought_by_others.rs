//! Events that somebody else brought move the numbering on, from its last event and not at any other place.

use flaxdeck::{Span, Time};
use flaxdeck_recovery::EventPosition;
use flaxdeck_recovery::numbering::{MissedPeriod, Next, Numbering, Why};

fn at(ms: u64) -> Time {
    Time::at_ms(1_000.0 + ms as f64)
}

fn mark(number: u64, hash: u64) -> EventPosition {
    EventPosition { number, hash }
}

#[test]
fn a_batch_moves_on_from_the_last_event_only() {
    let mut numbering = Numbering::new(mark(20, 7));
    assert!(
        !numbering.moved_on(at(1), mark(20, 8), mark(30, 1), Some(at(0))),
        "another numbering's"
    );
    assert!(
        !numbering.moved_on(at(1), mark(19, 7), mark(30, 1), Some(at(0))),
        "a gap before it"
    );
    assert_eq!((numbering.last(), numbering.sure()), (mark(20, 7), None));
    assert!(numbering.moved_on(at(2), mark(20, 7), mark(30, 1), Some(at(1))));
    assert_eq!(
        (numbering.last(), numbering.sure()),
        (mark(30, 1), Some(at(1)))
    );
    assert!(
        numbering.moved_on(at(3), mark(30, 1), mark(30, 1), None),
        "a heartbeat"
    );
    assert_eq!(
        numbering.sure(),
        Some(at(1)),
        "nothing vouches for a later time"
    );
}

#[test]
fn the_coordinator_proves_a_numbering_that_others_moved_on() {
    let mut numbering = Numbering::new(mark(20, 7));
    assert!(numbering.moved_on(at(2), mark(20, 7), mark(30, 1), Some(at(1))));
    assert_eq!(numbering.ask(at(10)), 29);
    assert_eq!(numbering.heard(at(11), mark(30, 1), false), Next::Skip);
    assert_eq!(numbering.heard(at(12), mark(31, 5), false), Next::Apply);
}

// What was told between the batch and the end of the old numbering may be missing here.
#[test]
fn another_numbering_after_batches_leaves_copies_in_doubt_since_the_last_one() {
    let mut numbering = Numbering::new(mark(20, 7));
    numbering.ask(at(0));
    assert_eq!(numbering.heard(at(1), mark(20, 7), false), Next::Skip);
    numbering.ended(true); // paused here, so not heard to its end
    assert!(numbering.moved_on(at(500), mark(20, 7), mark(30, 1), Some(at(400))));
    numbering.ask(at(900));
    let doubt = MissedPeriod {
        since: Some(at(400)),
        heard_to_the_end: false,
    };
    assert_eq!(
        numbering.heard(at(901), mark(1, 9), true),
        Next::Adopt(Some(doubt))
    );
    let distrusted = at(901) + Span::from_ms(1_000);
    assert!(
        !numbering.moved_on(distrusted, mark(1, 9), mark(2, 2), None),
        "others may follow what was"
    );
}

#[test]
fn a_list_that_others_brought_is_followed_by_the_coordinator_from_there() {
    let mut numbering = Numbering::new(mark(20, 7));
    numbering.replaced_by(at(5), mark(900, 3));
    assert_eq!(
        (numbering.last(), numbering.sure()),
        (mark(900, 3), Some(at(5)))
    );
    assert_eq!(numbering.ask(at(6)), 899);
    assert_eq!(
        numbering.heard(at(7), mark(900, 4), false),
        Next::AskAgain(Why::OtherEvent)
    );
    assert_eq!(numbering.ask(at(8)), 0);
}
