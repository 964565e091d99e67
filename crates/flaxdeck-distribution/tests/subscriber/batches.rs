//! Which batches are applied, skipped or rejected.

use flaxdeck_distribution::messages::{Batch, Subscription};
use flaxdeck_distribution::{Applied, DeliveryError, PlannerNumber};
use flaxdeck_recovery::EventPosition;

use super::support::{
    FIRST, at, batch_delivery, connected_subscriber, event, position, purge_batch,
};

#[test]
fn batches_at_the_position_are_applied_and_advance_it() {
    let mut subscriber = connected_subscriber(10);
    let mut batch = purge_batch(10, 15);
    (batch.last, batch.events) = (position(17), vec![event(12), event(17)]);
    let applied = subscriber
        .receive(at(50), FIRST, batch_delivery(batch))
        .unwrap();
    let Applied::Events {
        purges: applied,
        events,
        last,
    } = applied
    else {
        panic!("expected events, got {applied:?}")
    };
    assert_eq!((applied.len(), events.len(), last), (5, 2, position(17)));
    assert_eq!(
        (subscriber.position(), subscriber.followed()),
        (position(17), Some(FIRST))
    );
    assert_eq!(
        subscriber.receive(at(90), FIRST, batch_delivery(purge_batch(17, 17))),
        Ok(Applied::Nothing)
    );
    assert_eq!(
        (subscriber.counters.batches, subscriber.counters.heartbeats),
        (1, 1)
    );
    assert_eq!(
        subscriber.actions(at(900)),
        [],
        "the planner advances the position itself"
    );
}

#[test]
fn batches_already_applied_are_skipped() {
    let mut subscriber = connected_subscriber(10);
    subscriber
        .receive(at(50), FIRST, batch_delivery(purge_batch(10, 15)))
        .unwrap();
    for _ in 0..3 {
        assert_eq!(
            subscriber.receive(at(60), FIRST, batch_delivery(purge_batch(10, 15))),
            Ok(Applied::Nothing)
        );
    }
    assert_eq!(
        subscriber.receive(at(60), FIRST, batch_delivery(purge_batch(8, 12))),
        Ok(Applied::Nothing)
    );
    assert_eq!(
        (subscriber.counters.duplicates, subscriber.position()),
        (4, position(15))
    );
}

#[test]
fn a_gap_is_rejected_and_counted_and_the_position_is_sent_again() {
    let mut subscriber = connected_subscriber(10);
    subscriber
        .receive(at(50), FIRST, batch_delivery(purge_batch(10, 15)))
        .unwrap();
    assert_eq!(
        subscriber.receive(at(550), FIRST, batch_delivery(purge_batch(20, 25))),
        Err(DeliveryError::Gap {
            after: position(20),
            position: position(15)
        })
    );
    assert_eq!(
        (subscriber.counters.gaps, subscriber.position()),
        (1, position(15))
    );
    assert_eq!(
        subscriber.actions(at(550)),
        [],
        "batches in transit may still close the gap"
    );
    assert_eq!(subscriber.next_change(at(550)), Some(at(650)));
    assert_eq!(
        subscriber.actions(at(650)),
        [(FIRST, Subscription::After(position(15)))]
    );
    assert_eq!(subscriber.actions(at(650)), []);
    assert!(
        subscriber
            .receive(at(660), FIRST, batch_delivery(purge_batch(15, 26)))
            .is_ok()
    );
    assert_eq!(subscriber.position(), position(26));
}

#[test]
fn a_batch_that_overlaps_events_from_the_coordinator_is_skipped() {
    let mut subscriber = connected_subscriber(10);
    subscriber.set_position(at(20), position(12));
    assert_eq!(
        subscriber.receive(at(50), FIRST, batch_delivery(purge_batch(10, 15))),
        Ok(Applied::Nothing)
    );
    assert_eq!(
        (subscriber.counters.duplicates, subscriber.position()),
        (1, position(12))
    );
    assert_eq!(
        subscriber.actions(at(150)),
        [(FIRST, Subscription::After(position(12)))]
    );
}

#[test]
fn a_hash_mismatch_at_the_position_is_rejected_as_another_numbering() {
    let mut subscriber = connected_subscriber(10);
    let other = EventPosition {
        number: 10,
        hash: 1,
    };
    let batches = [
        Batch {
            after: other,
            ..purge_batch(10, 15)
        },
        Batch {
            after: other,
            last: other,
            ..purge_batch(10, 10)
        },
        Batch {
            last: other,
            ..purge_batch(8, 10)
        },
    ];
    for batch in batches {
        assert_eq!(
            subscriber.receive(at(50), FIRST, batch_delivery(batch)),
            Err(DeliveryError::OtherNumbering(other))
        );
    }
    assert_eq!(
        (subscriber.counters.other_numbering, subscriber.position()),
        (3, position(10))
    );
}

#[test]
fn deliveries_of_planners_that_are_not_connected_are_rejected() {
    let mut subscriber = connected_subscriber(10);
    subscriber.disconnected(at(5), FIRST);
    assert_eq!(
        subscriber.receive(at(6), FIRST, batch_delivery(purge_batch(10, 12))),
        Err(DeliveryError::NotConnected(FIRST))
    );
    assert_eq!(
        subscriber.receive(at(6), PlannerNumber(9), batch_delivery(purge_batch(10, 12))),
        Err(DeliveryError::NotConnected(PlannerNumber(9)))
    );
    assert_eq!(
        (subscriber.position(), subscriber.counters.not_connected),
        (position(10), 2)
    );
}
