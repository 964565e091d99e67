//! Subscribers of two planners, and what planners deliver.

use flaxdeck::{Span, Time};
use flaxdeck_distribution::messages::{
    Batch, Delivery, FullEvent, PurgeDigest, Snapshot, Subscription, Update,
};
use flaxdeck_distribution::{Cadence, Fingerprint, PlannerNumber, Subscriber};
use flaxdeck_recovery::EventPosition;

pub(crate) const SETTLES: Span = Span::from_ms(6_000);

pub(crate) const ONE: PlannerNumber = PlannerNumber(0);

pub(crate) const OTHER: PlannerNumber = PlannerNumber(1);

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

/// All purges, from one number to another.
pub(crate) fn purges(after: u64, last: u64) -> Batch {
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

pub(crate) fn behind() -> Delivery {
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

/// With two planners, the first preferred, and a position that the coordinator's own watch has told.
pub(crate) fn subscriber(number: u64) -> Subscriber {
    let preference = (0..)
        .find(|preference| prefers(*preference) == ONE)
        .unwrap();
    let mut subscriber = Subscriber::start(at(0), 2, preference, Cadence::default(), SETTLES);
    subscriber.set_position(at(0), position(number));
    subscriber
}

pub(crate) fn prefers(preference: u64) -> PlannerNumber {
    let mut subscriber = Subscriber::start(at(0), 2, preference, Cadence::default(), SETTLES);
    subscriber.connected(at(0), ONE);
    subscriber.connected(at(0), OTHER);
    subscriber.disconnected(at(0), ONE);
    subscriber.disconnected(at(0), OTHER);
    subscriber.connected(at(0), OTHER);
    subscriber.connected(at(0), ONE);
    subscriber.actions(at(0));
    // It goes back to the preferred one as soon as that is steady.
    subscriber
        .actions(at(5_000))
        .first()
        .map_or(OTHER, |(planner, _)| *planner)
}

pub(crate) fn connected(number: u64) -> Subscriber {
    let mut subscriber = subscriber(number);
    subscriber.connected(at(0), ONE);
    subscriber.connected(at(0), OTHER);
    assert_eq!(
        subscriber.actions(at(0)),
        [(ONE, Subscription::After(position(number)))]
    );
    subscriber
}
