//! What is applied of batches, and what is refused.

use flaxdeck_distribution::messages::{Batch, Subscription};
use flaxdeck_distribution::{Applied, DeliveryError, PlannerNumber};
use flaxdeck_recovery::EventPosition;

use super::support::{ONE, at, batch_delivery, connected, event, position, purges};

#[test]
fn batches_that_follow_are_applied_and_move_the_position() {
    let mut subscriber = connected(10);
    let mut batch = purges(10, 15);
    (batch.last, batch.events) = (position(17), vec![event(12), event(17)]);
    let applied = subscriber
        .receive(at(50), ONE, batch_delivery(batch))
        .unwrap();
    let Applied::Events {
        purges: applied,
        events,
        last,
    } = applied
    else {
        panic!("{applied:?}")
    };
    assert_eq!((applied.len(), events.len(), last), (5, 2, position(17)));
    assert_eq!(
        (subscriber.position(), subscriber.followed()),
        (position(17), Some(ONE))
    );
    assert_eq!(
        subscriber.receive(at(90), ONE, batch_delivery(purges(17, 17))),
        Ok(Applied::Nothing)
    );
    assert_eq!(
        (subscriber.counters.batches, subscriber.counters.heartbeats),
        (1, 1)
    );
    assert_eq!(
        subscriber.actions(at(900)),
        [],
        "the planner moves its own note"
    );
}

#[test]
fn what_is_known_already_is_skipped() {
    let mut subscriber = connected(10);
    subscriber
        .receive(at(50), ONE, batch_delivery(purges(10, 15)))
        .unwrap();
    for _ in 0..3 {
        assert_eq!(
            subscriber.receive(at(60), ONE, batch_delivery(purges(10, 15))),
            Ok(Applied::Nothing)
        );
    }
    assert_eq!(
        subscriber.receive(at(60), ONE, batch_delivery(purges(8, 12))),
        Ok(Applied::Nothing)
    );
    assert_eq!(
        (subscriber.counters.duplicates, subscriber.position()),
        (4, position(15))
    );
}

#[test]
fn a_gap_is_refused_and_counted_and_the_position_is_sent_again() {
    let mut subscriber = connected(10);
    subscriber
        .receive(at(50), ONE, batch_delivery(purges(10, 15)))
        .unwrap();
    assert_eq!(
        subscriber.receive(at(550), ONE, batch_delivery(purges(20, 25))),
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
        "a moment is left to what is on its way"
    );
    assert_eq!(subscriber.next_change(at(550)), Some(at(650)));
    assert_eq!(
        subscriber.actions(at(650)),
        [(ONE, Subscription::After(position(15)))]
    );
    assert_eq!(subscriber.actions(at(650)), []);
    assert!(
        subscriber
            .receive(at(660), ONE, batch_delivery(purges(15, 26)))
            .is_ok()
    );
    assert_eq!(subscriber.position(), position(26));
}

#[test]
fn half_of_a_batch_that_the_coordinator_told_itself_is_not_applied() {
    let mut subscriber = connected(10);
    subscriber.set_position(at(20), position(12));
    assert_eq!(
        subscriber.receive(at(50), ONE, batch_delivery(purges(10, 15))),
        Ok(Applied::Nothing)
    );
    assert_eq!(
        (subscriber.counters.duplicates, subscriber.position()),
        (1, position(12))
    );
    assert_eq!(
        subscriber.actions(at(150)),
        [(ONE, Subscription::After(position(12)))]
    );
}

#[test]
fn a_number_with_another_event_is_another_numbering() {
    let mut subscriber = connected(10);
    let other = EventPosition {
        number: 10,
        hash: 1,
    };
    let batches = [
        Batch {
            after: other,
            ..purges(10, 15)
        },
        Batch {
            after: other,
            last: other,
            ..purges(10, 10)
        },
        Batch {
            last: other,
            ..purges(8, 10)
        },
    ];
    for batch in batches {
        assert_eq!(
            subscriber.receive(at(50), ONE, batch_delivery(batch)),
            Err(DeliveryError::OtherNumbering(other))
        );
    }
    assert_eq!(
        (subscriber.counters.other_numbering, subscriber.position()),
        (3, position(10))
    );
}

#[test]
fn deliveries_of_planners_that_are_not_connected_are_refused() {
    let mut subscriber = connected(10);
    subscriber.disconnected(at(5), ONE);
    assert_eq!(
        subscriber.receive(at(6), ONE, batch_delivery(purges(10, 12))),
        Err(DeliveryError::NotConnected(ONE))
    );
    assert_eq!(
        subscriber.receive(at(6), PlannerNumber(9), batch_delivery(purges(10, 12))),
        Err(DeliveryError::NotConnected(PlannerNumber(9)))
    );
    assert_eq!(
        (subscriber.position(), subscriber.counters.not_connected),
        (position(10), 2)
    );
}
