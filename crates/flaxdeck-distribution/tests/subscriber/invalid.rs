//! Invalid deliveries are rejected.

use flaxdeck_distribution::messages::{
    Batch, FullEvent, MAX_FULL_BYTES, MAX_PURGES, PurgeDigest, Snapshot,
};
use flaxdeck_distribution::subscriber::Counters;
use flaxdeck_distribution::{DeliveryError, InvalidDelivery, InvalidDigest};
use flaxdeck_recovery::EventPosition;

use super::support::{
    FIRST, at, batch_delivery, connected_subscriber, digest, event, position, purge_batch,
    snapshot, snapshot_delivery,
};

/// An invalid batch and the expected error.
#[derive(Clone)]
struct Case {
    description: &'static str,
    batch: Batch,
    error: InvalidDelivery,
}

fn case(description: &'static str, batch: Batch, error: InvalidDelivery) -> Case {
    Case {
        description,
        batch,
        error,
    }
}

fn full_events(numbers: std::ops::RangeInclusive<u64>) -> Vec<FullEvent> {
    numbers.map(event).collect()
}

fn batch(after: u64, last: u64, purged: u64, events: Vec<FullEvent>) -> Batch {
    Batch {
        after: position(after),
        last: position(last),
        purges: digest(purged),
        events,
    }
}

fn range_cases() -> Vec<Case> {
    vec![
        case(
            "a range that ends before it begins",
            batch(10, 9, 0, Vec::new()),
            InvalidDelivery::Range { after: 10, last: 9 },
        ),
        case(
            "a heartbeat whose start and end have different hashes",
            Batch {
                last: EventPosition {
                    number: 10,
                    hash: 9,
                },
                ..purge_batch(10, 10)
            },
            InvalidDelivery::Range {
                after: 10,
                last: 10,
            },
        ),
    ]
}

fn count_cases() -> Vec<Case> {
    vec![
        case(
            "one event fewer than numbers",
            batch(10, 15, 4, Vec::new()),
            InvalidDelivery::Count {
                numbers: 5,
                events: 4,
            },
        ),
        case(
            "one event more than numbers",
            batch(10, 15, 5, full_events(15..=15)),
            InvalidDelivery::Count {
                numbers: 5,
                events: 6,
            },
        ),
        case(
            "a range far larger than its events",
            batch(10, u64::MAX, 5, Vec::new()),
            InvalidDelivery::Count {
                numbers: u64::MAX - 10,
                events: 5,
            },
        ),
    ]
}

fn position_cases() -> Vec<Case> {
    vec![
        case(
            "an event before the range",
            batch(10, 15, 4, full_events(10..=10)),
            InvalidDelivery::Positions,
        ),
        case(
            "an event after the range",
            batch(10, 15, 4, full_events(16..=16)),
            InvalidDelivery::Positions,
        ),
        case(
            "events out of order",
            batch(10, 15, 3, vec![event(13), event(12)]),
            InvalidDelivery::Positions,
        ),
        case(
            "the same event twice",
            batch(10, 15, 3, vec![event(13), event(13)]),
            InvalidDelivery::Positions,
        ),
        case(
            "an event with the last number and another hash",
            Batch {
                last: EventPosition {
                    number: 15,
                    hash: 1,
                },
                ..batch(10, 15, 4, full_events(15..=15))
            },
            InvalidDelivery::Positions,
        ),
    ]
}

fn size_cases() -> Vec<Case> {
    let long = FullEvent {
        position: position(12),
        frame: vec![0; MAX_FULL_BYTES],
    };
    vec![
        case(
            "too many full events",
            batch(10, 267, 0, full_events(11..=267)),
            InvalidDelivery::TooManyEvents(257),
        ),
        case(
            "too many bytes of full events",
            batch(10, 12, 0, vec![event(11), long]),
            InvalidDelivery::TooLong(MAX_FULL_BYTES + 1),
        ),
    ]
}

fn digest_cases() -> Vec<Case> {
    let damaged = |change: &dyn Fn(&mut PurgeDigest)| {
        let mut damaged = purge_batch(10, 15);
        change(&mut damaged.purges);
        damaged
    };
    vec![
        case(
            "a digest of more purges than its count",
            damaged(&|purges| (purges.count, purges.bytes) = (5, digest(6).bytes)),
            InvalidDelivery::Digest(InvalidDigest::TrailingBits),
        ),
        case(
            "a truncated digest",
            damaged(&|purges| purges.bytes.truncate(2)),
            InvalidDelivery::Digest(InvalidDigest::Truncated),
        ),
        case(
            "too many purges",
            purge_batch(10, 11 + u64::from(MAX_PURGES)),
            InvalidDelivery::Digest(InvalidDigest::TooMany(MAX_PURGES + 1)),
        ),
    ]
}

#[test]
fn invalid_batches_are_rejected_counted_and_not_applied() {
    let cases = [
        range_cases(),
        count_cases(),
        position_cases(),
        size_cases(),
        digest_cases(),
    ]
    .concat();
    assert_eq!(cases.len(), 15);
    let mut subscriber = connected_subscriber(10);
    for (
        count,
        Case {
            description,
            batch,
            error,
        },
    ) in cases.into_iter().enumerate()
    {
        let before = (subscriber.position(), subscriber.complete_as_of());
        assert_eq!(
            subscriber.receive(at(50), FIRST, batch_delivery(batch)),
            Err(DeliveryError::Invalid(error)),
            "{description}"
        );
        assert_eq!(
            (subscriber.position(), subscriber.complete_as_of()),
            before,
            "{description}"
        );
        assert_eq!(
            subscriber.counters.invalid,
            count as u64 + 1,
            "{description}"
        );
    }
    let Counters {
        batches,
        purges: applied,
        events,
        ..
    } = subscriber.counters;
    assert_eq!((batches, applied, events), (0, 0, 0));
    assert!(
        subscriber
            .receive(at(60), FIRST, batch_delivery(purge_batch(10, 15)))
            .is_ok(),
        "a valid batch is still applied"
    );
}

#[test]
fn invalid_snapshots_are_rejected() {
    let change = |change: &dyn Fn(&mut Snapshot)| {
        let mut changed = snapshot(30);
        change(&mut changed);
        snapshot_delivery(changed, Some(0))
    };
    let cases = [
        (
            change(&|snapshot| snapshot.list = vec![0; MAX_FULL_BYTES + 1]),
            InvalidDelivery::TooLong(MAX_FULL_BYTES + 2),
        ),
        (
            change(&|snapshot| snapshot.list = vec![0; MAX_FULL_BYTES]),
            InvalidDelivery::TooLong(MAX_FULL_BYTES + 1),
        ),
        (
            change(&|snapshot| snapshot.group_purges = vec![event(31)]),
            InvalidDelivery::Positions,
        ),
        (
            change(&|snapshot| snapshot.group_purges = vec![event(9), event(8)]),
            InvalidDelivery::Positions,
        ),
        (
            change(&|snapshot| snapshot.group_purges = (1..258).map(event).collect()),
            InvalidDelivery::TooManyEvents(257),
        ),
        (
            change(&|snapshot| snapshot.purges.low_bits = 40),
            InvalidDelivery::Digest(InvalidDigest::LowBits(40)),
        ),
        (
            snapshot_delivery(snapshot(30), None),
            InvalidDelivery::NotCurrent,
        ),
    ];
    let mut subscriber = connected_subscriber(10);
    for (delivery, error) in cases {
        assert_eq!(
            subscriber.receive(at(900), FIRST, delivery),
            Err(DeliveryError::Invalid(error))
        );
    }
    assert_eq!(
        (subscriber.position(), subscriber.counters.invalid),
        (position(10), 7)
    );
}
