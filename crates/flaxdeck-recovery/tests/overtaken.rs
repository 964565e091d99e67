//! Planners bring events between the forwarder's question and the coordinator's answer.

use flaxdeck::Time;
use flaxdeck_recovery::EventPosition;
use flaxdeck_recovery::numbering::{Next, Numbering, Why};

fn at(ms: u64) -> Time {
    Time::at_ms(1_000.0 + ms as f64)
}

fn mark(number: u64) -> EventPosition {
    EventPosition {
        number,
        hash: number * 7,
    }
}

/// It knew 20 when it asked, and planners have brought 21 and 22 since.
fn overtaken() -> Numbering {
    let mut numbering = Numbering::new(mark(20));
    assert_eq!(numbering.ask(at(0)), 19);
    assert!(numbering.relayed(at(1), mark(20), mark(21)));
    assert!(numbering.relayed(at(2), mark(21), mark(22)));
    numbering
}

#[test]
fn what_was_asked_for_proves_the_numbering_though_others_were_faster() {
    let mut numbering = overtaken();
    let told: Vec<Next> = (20..=23)
        .map(|n| numbering.heard(at(3), mark(n), false))
        .collect();
    assert_eq!(told, [Next::Skip, Next::Skip, Next::Skip, Next::Apply]);
    assert_eq!((numbering.last(), numbering.proves_by()), (mark(23), None));
}

#[test]
fn what_others_brought_beyond_has_to_come_on_the_link_in_its_turn() {
    let mut numbering = overtaken();
    assert_eq!(numbering.heard(at(3), mark(20), false), Next::Skip);
    let by = numbering.proves_by().unwrap();
    assert_eq!(
        numbering.overdue(by),
        Next::AskAgain(Why::Nothing),
        "it has nothing after 20"
    );
    let mut numbering = overtaken();
    assert_eq!(numbering.heard(at(3), mark(20), false), Next::Skip);
    let other = EventPosition {
        number: 21,
        hash: 1,
    };
    assert_eq!(
        numbering.heard(at(4), other, false),
        Next::AskAgain(Why::OtherEvent)
    );
}

#[test]
fn another_event_of_that_number_still_has_all_asked_for() {
    let mut numbering = overtaken();
    let other = EventPosition {
        number: 20,
        hash: 1,
    };
    assert!(matches!(
        numbering.heard(at(3), other, false),
        Next::AskAgain(_)
    ));
    assert_eq!(numbering.ask(at(4)), 0);
}
