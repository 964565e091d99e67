//! Planners bring events between the forwarder's question and the coordinator's answer.

use flaxdeck::Time;
use flaxdeck_recovery::EventPosition;
use flaxdeck_recovery::numbering::{EventAction, Numbering, ReconnectReason};

fn at(ms: u64) -> Time {
    Time::at_ms(1_000.0 + ms as f64)
}

fn position(number: u64) -> EventPosition {
    EventPosition {
        number,
        hash: number * 7,
    }
}

/// It knew 20 when it asked, and planners have brought 21 and 22 since.
fn overtaken() -> Numbering {
    let mut numbering = Numbering::new(position(20));
    assert_eq!(numbering.connection_opened(at(0)), 19);
    assert!(numbering.accept_relayed(at(1), position(20), position(21)));
    assert!(numbering.accept_relayed(at(2), position(21), position(22)));
    numbering
}

#[test]
fn what_was_asked_for_proves_the_numbering_though_others_were_faster() {
    let mut numbering = overtaken();
    let told: Vec<EventAction> = (20..=23)
        .map(|n| numbering.receive(at(3), position(n), false))
        .collect();
    assert_eq!(
        told,
        [
            EventAction::Skip,
            EventAction::Skip,
            EventAction::Skip,
            EventAction::Apply
        ]
    );
    assert_eq!(
        (numbering.last(), numbering.proof_due()),
        (position(23), None)
    );
}

#[test]
fn what_others_brought_beyond_has_to_come_on_the_link_in_its_turn() {
    let mut numbering = overtaken();
    assert_eq!(
        numbering.receive(at(3), position(20), false),
        EventAction::Skip
    );
    let by = numbering.proof_due().unwrap();
    assert_eq!(
        numbering.proof_overdue(by),
        EventAction::Reconnect(ReconnectReason::Nothing),
        "it has nothing after 20"
    );
    let mut numbering = overtaken();
    assert_eq!(
        numbering.receive(at(3), position(20), false),
        EventAction::Skip
    );
    let other = EventPosition {
        number: 21,
        hash: 1,
    };
    assert_eq!(
        numbering.receive(at(4), other, false),
        EventAction::Reconnect(ReconnectReason::OtherEvent)
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
        numbering.receive(at(3), other, false),
        EventAction::Reconnect(_)
    ));
    assert_eq!(numbering.connection_opened(at(4)), 0);
}
