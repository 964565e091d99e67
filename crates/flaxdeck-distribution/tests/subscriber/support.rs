//! Shared helpers: subscribers of two planners, and deliveries of planners.

use flaxdeck::{Span, Time};
use flaxdeck_distribution::messages::{
    Batch, Delivery, FullEvent, PurgeDigest, Snapshot, Subscription, Update,
};
use flaxdeck_distribution::{Cadence, Fingerprint, PlannerNumber, Subscriber};
use flaxdeck_recovery::EventPosition;

pub(crate) const SETTLE_TIME: Span = Span::from_ms(6_000);

pub(crate) const FIRST: PlannerNumber = PlannerNumber(0);

pub(crate) const SECOND: PlannerNumber = PlannerNumber(1);

pub(crate) fn at(ms: u64) -> Time {
    Time::at_ms(100_000.0 + ms as f64)
}

pub(crate) fn position(number: u64) -> EventPosition {
    EventPosition {
        number,
        hash: number.wrapping_mul(7),
    }
}

pub(crate) fn digest(purges: u64) -> PurgeDigest {
    PurgeDigest::encode(
        (0..purges)
            .map(|n| Fingerprint(n as u32 * 1_000_000))
            .collect(),
    )
}

pub(crate) fn event(number: u64) -> FullEvent {
    FullEvent {
        position: position(number),
        frame: vec![number as u8],
    }
}

/// Returns a batch of purges that covers the numbers after `after` up to `last`.
pub(crate) fn purge_batch(after: u64, last: u64) -> Batch {
    Batch {
        after: position(after),
        last: position(last),
        purges: digest(last - after),
        events: Vec::new(),
    }
}

pub(crate) fn delivery(update: Update) -> Delivery {
    Delivery {
        update,
        coordinator_ago_ms: Some(40),
    }
}

pub(crate) fn batch_delivery(batch: Batch) -> Delivery {
    delivery(Update::Batch(batch))
}

pub(crate) fn behind_delivery() -> Delivery {
    Delivery {
        update: Update::Behind { last: position(1) },
        coordinator_ago_ms: None,
    }
}

pub(crate) fn snapshot(last: u64) -> Snapshot {
    Snapshot {
        position: position(last),
        list: vec![1, 2, 3],
        purges: digest(4),
        group_purges: vec![event(last - 1)],
        purges_reach_ms: 12_000,
    }
}

pub(crate) fn snapshot_delivery(snapshot: Snapshot, ago_ms: Option<u32>) -> Delivery {
    Delivery {
        update: Update::Snapshot(Box::new(snapshot)),
        coordinator_ago_ms: ago_ms,
    }
}

/// Returns a subscriber of two planners that prefers the first one and whose position was set by the coordinator's own
/// events.
pub(crate) fn subscriber(number: u64) -> Subscriber {
    let preference = (0..)
        .find(|preference| preferred_planner(*preference) == FIRST)
        .unwrap();
    let mut subscriber = Subscriber::start(at(0), 2, preference, Cadence::default(), SETTLE_TIME);
    subscriber.set_position(at(0), position(number));
    subscriber
}

/// Returns the planner that a subscriber with this preference prefers.
pub(crate) fn preferred_planner(preference: u64) -> PlannerNumber {
    let mut subscriber = Subscriber::start(at(0), 2, preference, Cadence::default(), SETTLE_TIME);
    subscriber.connected(at(0), FIRST);
    subscriber.connected(at(0), SECOND);
    subscriber.disconnected(at(0), FIRST);
    subscriber.disconnected(at(0), SECOND);
    subscriber.connected(at(0), SECOND);
    subscriber.connected(at(0), FIRST);
    subscriber.actions(at(0));
    // The subscriber follows the second planner now. If it prefers the first, it sends that one a request once it is
    // stable.
    subscriber
        .actions(at(5_000))
        .first()
        .map_or(SECOND, |(planner, _)| *planner)
}

/// Returns a subscriber that is connected to both planners and has sent its first request.
pub(crate) fn connected_subscriber(number: u64) -> Subscriber {
    let mut subscriber = subscriber(number);
    subscriber.connected(at(0), FIRST);
    subscriber.connected(at(0), SECOND);
    assert_eq!(
        subscriber.actions(at(0)),
        [(FIRST, Subscription::After(position(number)))]
    );
    subscriber
}
