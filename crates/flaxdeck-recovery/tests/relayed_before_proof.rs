//! Planners relay events between the forwarder's request and the coordinator's reply.

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

/// A numbering that requested events when it knew event 20, and to which planners relayed events 21 and 22 since.
fn overtaken_numbering() -> Numbering {
    let mut numbering = Numbering::new(position(20));
    assert_eq!(numbering.connection_opened(at(0)), 19);
    assert!(numbering.accept_relayed(at(1), position(20), position(21)));
    assert!(numbering.accept_relayed(at(2), position(21), position(22)));
    numbering
}

#[test]
fn the_requested_event_proves_the_numbering_although_peers_relayed_later_ones() {
    let mut numbering = overtaken_numbering();
    let actions: Vec<EventAction> = (20..=23)
        .map(|n| numbering.receive(at(3), position(n), false))
        .collect();
    assert_eq!(
        actions,
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
fn relayed_events_must_also_arrive_from_the_coordinator() {
    let mut numbering = overtaken_numbering();
    assert_eq!(
        numbering.receive(at(3), position(20), false),
        EventAction::Skip
    );
    assert!(numbering.proof_due().is_some());
    assert_eq!(
        numbering.proof_overdue(),
        EventAction::Reconnect(ReconnectReason::Nothing),
        "the coordinator has no event after 20"
    );
    let mut numbering = overtaken_numbering();
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
fn a_different_event_at_the_requested_number_leads_to_a_full_request() {
    let mut numbering = overtaken_numbering();
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
