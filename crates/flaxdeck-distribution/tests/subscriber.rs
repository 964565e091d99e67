//! The forwarder's side: what is applied, what is refused, and whom it follows.

use flaxdeck::{Span, Time};
use flaxdeck_distribution::messages::{
    Batch, Delivery, FullEvent, MAX_FULL_BYTES, MAX_PURGES, PurgeDigest, Snapshot, Subscription,
    Update,
};
use flaxdeck_distribution::subscriber::{Counters, InvalidDelivery};
use flaxdeck_distribution::{
    Applied, Cadence, DeliveryError, Fingerprint, InvalidDigest, PlannerNumber, Subscriber,
};
use flaxdeck_recovery::EventPosition;

const SETTLES: Span = Span::from_ms(6_000);
const ONE: PlannerNumber = PlannerNumber(0);
const OTHER: PlannerNumber = PlannerNumber(1);

fn at(ms: u64) -> Time {
    Time::at_ms(100_000.0 + ms as f64)
}

fn mark(number: u64) -> EventPosition {
    EventPosition {
        number,
        hash: number.wrapping_mul(7),
    }
}

fn digest(purges: u64) -> PurgeDigest {
    PurgeDigest::encode(
        (0..purges)
            .map(|n| Fingerprint(n as u32 * 1_000_000))
            .collect(),
    )
}

fn event(number: u64) -> FullEvent {
    FullEvent {
        position: mark(number),
        frame: vec![number as u8],
    }
}

/// All purges, from one number to another.
fn purges(after: u64, upto: u64) -> Batch {
    Batch {
        after: mark(after),
        last: mark(upto),
        purges: digest(upto - after),
        events: Vec::new(),
    }
}

fn delivery(update: Update) -> Delivery {
    Delivery {
        update,
        coordinator_ago_ms: Some(40),
    }
}

fn told(batch: Batch) -> Delivery {
    delivery(Update::Batch(batch))
}

fn behind() -> Delivery {
    Delivery {
        update: Update::Behind { last: mark(1) },
        coordinator_ago_ms: None,
    }
}

fn snapshot(upto: u64) -> Snapshot {
    Snapshot {
        position: mark(upto),
        list: vec![1, 2, 3],
        purges: digest(4),
        group_purges: vec![event(upto - 1)],
        purges_reach_ms: 12_000,
    }
}

fn snapshot_delivery(snapshot: Snapshot, ago_ms: Option<u32>) -> Delivery {
    Delivery {
        update: Update::Snapshot(Box::new(snapshot)),
        coordinator_ago_ms: ago_ms,
    }
}

/// With two planners, the first preferred, and a position that the coordinator's own watch has told.
fn subscriber(position: u64) -> Subscriber {
    let preference = (0..)
        .find(|preference| prefers(*preference) == ONE)
        .unwrap();
    let mut subscriber = Subscriber::start(at(0), 2, preference, Cadence::default(), SETTLES);
    subscriber.set_position(at(0), mark(position));
    subscriber
}

fn prefers(preference: u64) -> PlannerNumber {
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

fn connected(position: u64) -> Subscriber {
    let mut subscriber = subscriber(position);
    subscriber.connected(at(0), ONE);
    subscriber.connected(at(0), OTHER);
    assert_eq!(
        subscriber.actions(at(0)),
        [(ONE, Subscription::After(mark(position)))]
    );
    subscriber
}

#[test]
fn batches_that_follow_are_applied_and_move_the_position() {
    let mut subscriber = connected(10);
    let mut batch = purges(10, 15);
    (batch.last, batch.events) = (mark(17), vec![event(12), event(17)]);
    let applied = subscriber.receive(at(50), ONE, told(batch)).unwrap();
    let Applied::Events {
        purges: applied,
        events,
        last: upto,
    } = applied
    else {
        panic!("{applied:?}")
    };
    assert_eq!((applied.len(), events.len(), upto), (5, 2, mark(17)));
    assert_eq!(
        (subscriber.position(), subscriber.followed()),
        (mark(17), Some(ONE))
    );
    assert_eq!(
        subscriber.receive(at(90), ONE, told(purges(17, 17))),
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
fn what_was_known_already_is_passed_over() {
    let mut subscriber = connected(10);
    subscriber
        .receive(at(50), ONE, told(purges(10, 15)))
        .unwrap();
    for _ in 0..3 {
        assert_eq!(
            subscriber.receive(at(60), ONE, told(purges(10, 15))),
            Ok(Applied::Nothing)
        );
    }
    assert_eq!(
        subscriber.receive(at(60), ONE, told(purges(8, 12))),
        Ok(Applied::Nothing)
    );
    assert_eq!(
        (subscriber.counters.duplicates, subscriber.position()),
        (4, mark(15))
    );
}

#[test]
fn a_gap_is_refused_counted_and_the_position_told_anew() {
    let mut subscriber = connected(10);
    subscriber
        .receive(at(50), ONE, told(purges(10, 15)))
        .unwrap();
    assert_eq!(
        subscriber.receive(at(550), ONE, told(purges(20, 25))),
        Err(DeliveryError::Gap {
            after: mark(20),
            position: mark(15)
        })
    );
    assert_eq!(
        (subscriber.counters.gaps, subscriber.position()),
        (1, mark(15))
    );
    assert_eq!(
        subscriber.actions(at(550)),
        [],
        "a moment is left to what is on its way"
    );
    assert_eq!(subscriber.next_change(at(550)), Some(at(650)));
    assert_eq!(
        subscriber.actions(at(650)),
        [(ONE, Subscription::After(mark(15)))]
    );
    assert_eq!(subscriber.actions(at(650)), []);
    assert!(
        subscriber
            .receive(at(660), ONE, told(purges(15, 26)))
            .is_ok()
    );
    assert_eq!(subscriber.position(), mark(26));
}

#[test]
fn half_of_a_batch_that_the_coordinator_told_itself_is_not_applied() {
    let mut subscriber = connected(10);
    subscriber.set_position(at(20), mark(12));
    assert_eq!(
        subscriber.receive(at(50), ONE, told(purges(10, 15))),
        Ok(Applied::Nothing)
    );
    assert_eq!(
        (subscriber.counters.duplicates, subscriber.position()),
        (1, mark(12))
    );
    assert_eq!(
        subscriber.actions(at(150)),
        [(ONE, Subscription::After(mark(12)))]
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
            subscriber.receive(at(50), ONE, told(batch)),
            Err(DeliveryError::OtherNumbering(other))
        );
    }
    assert_eq!(
        (subscriber.counters.other_numbering, subscriber.position()),
        (3, mark(10))
    );
}

#[test]
fn what_can_not_be_is_refused_counted_and_nothing_of_it_applied() {
    let full = |numbers: std::ops::RangeInclusive<u64>| numbers.map(event).collect::<Vec<_>>();
    let batch = |after: u64, upto: u64, purged: u64, events: Vec<FullEvent>| Batch {
        after: mark(after),
        last: mark(upto),
        purges: digest(purged),
        events,
    };
    let damaged = |change: &dyn Fn(&mut PurgeDigest)| {
        let mut damaged = purges(10, 15);
        change(&mut damaged.purges);
        damaged
    };
    let long = FullEvent {
        position: mark(12),
        frame: vec![0; MAX_FULL_BYTES],
    };
    let cases = [
        (
            "ends before it begins",
            batch(10, 9, 0, Vec::new()),
            InvalidDelivery::Range { after: 10, last: 9 },
        ),
        (
            "a heartbeat of another event",
            Batch {
                last: EventPosition {
                    number: 10,
                    hash: 9,
                },
                ..purges(10, 10)
            },
            InvalidDelivery::Range {
                after: 10,
                last: 10,
            },
        ),
        (
            "one event too few",
            batch(10, 15, 4, Vec::new()),
            InvalidDelivery::Count {
                numbers: 5,
                events: 4,
            },
        ),
        (
            "one too many",
            batch(10, 15, 5, full(15..=15)),
            InvalidDelivery::Count {
                numbers: 5,
                events: 6,
            },
        ),
        (
            "a number far away",
            batch(10, u64::MAX, 5, Vec::new()),
            InvalidDelivery::Count {
                numbers: u64::MAX - 10,
                events: 5,
            },
        ),
        (
            "an event before its range",
            batch(10, 15, 4, full(10..=10)),
            InvalidDelivery::Positions,
        ),
        (
            "an event after its range",
            batch(10, 15, 4, full(16..=16)),
            InvalidDelivery::Positions,
        ),
        (
            "events out of order",
            batch(10, 15, 3, vec![event(13), event(12)]),
            InvalidDelivery::Positions,
        ),
        (
            "an event twice",
            batch(10, 15, 3, vec![event(13), event(13)]),
            InvalidDelivery::Positions,
        ),
        (
            "another event at its end",
            Batch {
                last: EventPosition {
                    number: 15,
                    hash: 1,
                },
                ..batch(10, 15, 4, full(15..=15))
            },
            InvalidDelivery::Positions,
        ),
        (
            "too many events",
            batch(10, 267, 0, full(11..=267)),
            InvalidDelivery::TooManyEvents(257),
        ),
        (
            "too long",
            batch(10, 12, 0, vec![event(11), long]),
            InvalidDelivery::TooLong(MAX_FULL_BYTES + 1),
        ),
        (
            "another count of purges",
            damaged(&|purges| (purges.count, purges.bytes) = (5, digest(6).bytes)),
            InvalidDelivery::Digest(InvalidDigest::TrailingBits),
        ),
        (
            "cut off",
            damaged(&|purges| purges.bytes.truncate(2)),
            InvalidDelivery::Digest(InvalidDigest::Truncated),
        ),
        (
            "too many purges",
            purges(10, 11 + u64::from(MAX_PURGES)),
            InvalidDelivery::Digest(InvalidDigest::TooMany(MAX_PURGES + 1)),
        ),
    ];
    let mut subscriber = connected(10);
    for (count, (what, batch, why)) in cases.into_iter().enumerate() {
        let before = (subscriber.position(), subscriber.confirmed_at());
        assert_eq!(
            subscriber.receive(at(50), ONE, told(batch)),
            Err(DeliveryError::Invalid(why)),
            "{what}"
        );
        assert_eq!(
            (subscriber.position(), subscriber.confirmed_at()),
            before,
            "{what}"
        );
        assert_eq!(subscriber.counters.invalid, count as u64 + 1, "{what}");
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
            .receive(at(60), ONE, told(purges(10, 15)))
            .is_ok(),
        "what is right still applies"
    );
}

#[test]
fn a_snapshot_that_can_not_be_is_refused() {
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
    let mut subscriber = connected(10);
    for (delivery, why) in cases {
        assert_eq!(
            subscriber.receive(at(900), ONE, delivery),
            Err(DeliveryError::Invalid(why))
        );
    }
    assert_eq!(
        (subscriber.position(), subscriber.counters.invalid),
        (mark(10), 7)
    );
}

#[test]
fn deliveries_of_planners_that_are_not_connected_are_refused() {
    let mut subscriber = connected(10);
    subscriber.disconnected(at(5), ONE);
    assert_eq!(
        subscriber.receive(at(6), ONE, told(purges(10, 12))),
        Err(DeliveryError::NotConnected(ONE))
    );
    assert_eq!(
        subscriber.receive(at(6), PlannerNumber(9), told(purges(10, 12))),
        Err(DeliveryError::NotConnected(PlannerNumber(9)))
    );
    assert_eq!(
        (subscriber.position(), subscriber.counters.not_connected),
        (mark(10), 2)
    );
}

#[test]
fn one_that_knows_nothing_asks_for_the_state_as_it_is() {
    let mut subscriber = Subscriber::start(at(0), 1, 0, Cadence::default(), SETTLES);
    subscriber.connected(at(0), ONE);
    assert_eq!(
        subscriber.actions(at(0)),
        [(ONE, Subscription::FromSnapshot)]
    );
    let applied = subscriber
        .receive(at(30), ONE, snapshot_delivery(snapshot(30), Some(900)))
        .unwrap();
    let Applied::Snapshot {
        list,
        purges,
        group_purges,
        position: upto,
        may_miss_purges: copies_in_doubt,
    } = applied
    else {
        panic!("{applied:?}")
    };
    assert_eq!(
        (list.len(), purges.len(), group_purges.len(), upto),
        (3, 4, 1, mark(30))
    );
    assert!(!copies_in_doubt);
    assert_eq!(
        subscriber.receive(at(90), ONE, told(purges_from(30))),
        Ok(applied_from(30))
    );
}

fn purges_from(number: u64) -> Batch {
    purges(number, number + 1)
}

fn applied_from(number: u64) -> Applied {
    Applied::Events {
        purges: vec![Fingerprint(0)],
        events: Vec::new(),
        last: mark(number + 1),
    }
}

#[test]
fn copies_are_in_doubt_unless_a_snapshots_purges_reach_back_over_the_hosts_time() {
    for (reach, doubt) in [
        (0, true),
        (5_999, true),
        (6_499, true),
        (6_500, false),
        (u32::MAX, false),
    ] {
        let mut subscriber = Subscriber::start(at(0), 1, 0, Cadence::default(), SETTLES);
        subscriber.connected(at(0), ONE);
        subscriber.actions(at(0));
        let delivery = snapshot_delivery(
            Snapshot {
                purges_reach_ms: reach,
                ..snapshot(30)
            },
            Some(0),
        );
        let applied = subscriber.receive(at(30), ONE, delivery).unwrap();
        assert!(
            matches!(applied, Applied::Snapshot { may_miss_purges: copies_in_doubt, .. } if copies_in_doubt == doubt),
            "{reach}"
        );
    }
}

#[test]
fn a_snapshot_older_than_what_is_known_here_is_not_taken() {
    let mut subscriber = connected(10);
    subscriber
        .receive(at(1_000), ONE, told(purges(10, 15)))
        .unwrap();
    // Its planner has not heard the coordinator since the position moved.
    subscriber.record_echo(ONE, at(1_400));
    let stale = snapshot_delivery(snapshot(30), Some(500));
    assert_eq!(
        subscriber.receive(at(1_500), ONE, stale),
        Err(DeliveryError::StaleSnapshot(mark(30)))
    );
    // It has now, but its number is lower, and nobody asked for that.
    subscriber.record_echo(ONE, at(2_000));
    let lower = snapshot_delivery(snapshot(12), Some(0));
    assert_eq!(
        subscriber.receive(at(2_000), ONE, lower),
        Err(DeliveryError::StaleSnapshot(mark(12)))
    );
    assert_eq!(
        (subscriber.counters.stale, subscriber.position()),
        (2, mark(15))
    );
    // Its planner knows all that the coordinator has, so the numbering is another: now it is asked for.
    assert_eq!(
        subscriber.actions(at(2_000)),
        [(ONE, Subscription::FromSnapshot)]
    );
    subscriber.record_echo(ONE, at(2_040));
    let lower = snapshot_delivery(snapshot(12), Some(0));
    assert!(matches!(
        subscriber.receive(at(2_050), ONE, lower),
        Ok(Applied::Snapshot { .. })
    ));
    assert_eq!(subscriber.position(), mark(12));
}

#[test]
fn a_snapshot_with_a_higher_number_that_nobody_asked_for_is_taken_if_it_knows_more() {
    let mut subscriber = connected(10);
    subscriber
        .receive(at(1_000), ONE, told(purges(10, 15)))
        .unwrap();
    subscriber.record_echo(ONE, at(2_000));
    let newer = snapshot_delivery(snapshot(30), Some(0));
    assert!(matches!(
        subscriber.receive(at(2_050), ONE, newer),
        Ok(Applied::Snapshot { .. })
    ));
}

#[test]
fn where_all_planners_are_far_each_is_waited_for_twice_as_long_as_the_one_before() {
    let mut subscriber = Subscriber::start(
        at(0),
        2,
        7,
        Cadence::with_batch_interval(Span::from_ms(150)),
        SETTLES,
    );
    let silent = Cadence::with_batch_interval(Span::from_ms(150)).silence_timeout();
    (0..2).for_each(|number| subscriber.connected(at(0), PlannerNumber(number)));
    let first = subscriber.followed().unwrap();
    subscriber.actions(at(0));
    let (mut now, mut left) = (at(0), Vec::new());
    let mut followed = first;
    while left.len() < 3 {
        now = now + Span::from_ms(10);
        subscriber.actions(now);
        if subscriber.followed() != Some(followed) {
            left.push(now.since(at(0)).ms() / silent.ms());
            followed = subscriber.followed().unwrap();
        }
    }
    assert!((left[0] - 1.0).abs() < 0.1, "{left:?}");
    assert!((left[1] - 3.0).abs() < 0.1, "{left:?}");
    assert!(left[2] > 6.9, "{left:?}");
}

#[test]
fn a_planner_that_ends_or_falls_silent_is_left_for_the_other() {
    let mut subscriber = connected(10);
    subscriber
        .receive(at(10), ONE, told(purges(10, 11)))
        .unwrap();
    subscriber.disconnected(at(20), ONE);
    assert_eq!(
        subscriber.actions(at(20)),
        [(OTHER, Subscription::After(mark(11)))]
    );
    subscriber
        .receive(at(30), OTHER, told(purges(11, 12)))
        .unwrap();
    assert!(!subscriber.needs_coordinator(at(1_000)));

    let mut subscriber = connected(10);
    subscriber
        .receive(at(10), ONE, told(purges(10, 11)))
        .unwrap();
    assert_eq!(subscriber.actions(at(1_509)), []);
    assert_eq!(subscriber.next_change(at(1_000)), Some(at(1_510)));
    let actions = subscriber.actions(at(1_510));
    assert_eq!(
        actions,
        [
            (ONE, Subscription::None),
            (OTHER, Subscription::After(mark(11)))
        ]
    );
    assert_eq!(subscriber.counters.failovers, 1);
    // Both deliver for a moment; each event is applied once.
    subscriber
        .receive(at(1_520), OTHER, told(purges(11, 15)))
        .unwrap();
    assert_eq!(
        subscriber.receive(at(1_530), ONE, told(purges(11, 13))),
        Ok(Applied::Nothing)
    );
    assert_eq!(subscriber.position(), mark(15));
}

#[test]
fn a_planner_that_has_lost_the_coordinator_is_left_for_the_other() {
    let mut subscriber = connected(10);
    let lost = || Delivery {
        coordinator_ago_ms: None,
        ..told(purges(10, 10))
    };
    for ms in (0..1_500).step_by(100) {
        subscriber.receive(at(ms), ONE, lost()).unwrap();
        assert_eq!(subscriber.followed(), Some(ONE));
    }
    subscriber.receive(at(1_500), ONE, lost()).unwrap();
    assert_eq!(subscriber.followed(), Some(OTHER));
}

#[test]
fn a_preferred_planner_is_followed_again_once_it_is_steady_and_delivers() {
    let mut subscriber = connected(10);
    subscriber.disconnected(at(20), ONE);
    subscriber.actions(at(20));
    subscriber.connected(at(100), ONE);
    let heard = |subscriber: &mut Subscriber, ms: u64| {
        let position = subscriber.position().number;
        subscriber
            .receive(at(ms), OTHER, told(purges(position, position + 1)))
            .unwrap();
        subscriber.actions(at(ms))
    };
    for ms in (500..5_000).step_by(500) {
        assert_eq!(heard(&mut subscriber, ms), []);
    }
    // It is asked first, and the other is left once it delivers.
    let position = mark(subscriber.position().number + 1);
    assert_eq!(
        heard(&mut subscriber, 5_200),
        [(ONE, Subscription::After(position))]
    );
    assert_eq!(subscriber.followed(), Some(OTHER));
    let next = purges(position.number, position.number + 1);
    subscriber.receive(at(5_250), ONE, told(next)).unwrap();
    assert_eq!(subscriber.followed(), Some(ONE));
    assert_eq!(subscriber.actions(at(5_250)), [(OTHER, Subscription::None)]);
}

#[test]
fn a_preferred_planner_that_hangs_costs_nothing_but_a_question() {
    let mut subscriber = connected(10);
    // It takes connections and says nothing.
    let mut asked = Vec::new();
    for ms in (0..60_000).step_by(100) {
        if ms >= 1_600 && ms % 500 == 100 {
            let position = subscriber.position().number;
            assert!(
                subscriber
                    .receive(at(ms), OTHER, told(purges(position, position + 1)))
                    .is_ok()
            );
        }
        let actions = subscriber.actions(at(ms));
        asked.extend(
            actions
                .into_iter()
                .filter(|(to, what)| *to == ONE && *what != Subscription::None),
        );
        assert!(ms < 1_600 || subscriber.followed() == Some(OTHER));
        assert!(!subscriber.needs_coordinator(at(ms)), "at {ms}");
    }
    println!("asked {} times in a minute", asked.len());
    assert!(asked.len() < 20);
}

#[test]
fn unknown_to_all_planners_for_long_it_asks_for_the_state_as_it_is() {
    let mut subscriber = subscriber(1_000);
    [ONE, OTHER]
        .into_iter()
        .for_each(|planner| subscriber.connected(at(0), planner));
    let mut asked = Vec::new();
    for ms in (0..4_000).step_by(100) {
        for (to, subscription) in subscriber.actions(at(ms)) {
            if subscription != Subscription::None {
                asked.push((ms, to, subscription));
                subscriber.receive(at(ms), to, behind()).unwrap();
            }
        }
    }
    let after = Subscription::After(mark(1_000));
    let expected = [
        (0, ONE, after),
        (1_500, OTHER, after),
        (3_000, ONE, Subscription::FromSnapshot),
    ];
    assert!(asked.starts_with(&expected[..2]), "{asked:?}");
    assert!(
        asked
            .iter()
            .any(|(ms, _, what)| *ms == 3_000 && *what == Subscription::FromSnapshot),
        "{asked:?}"
    );
    // Now a lower number is what was asked for.
    let to = asked.last().unwrap().1;
    let restarted = Snapshot {
        purges_reach_ms: 900,
        ..snapshot(30)
    };
    let applied = subscriber.receive(at(4_000), to, snapshot_delivery(restarted, Some(10)));
    assert!(
        matches!(
            applied,
            Ok(Applied::Snapshot {
                may_miss_purges: true,
                ..
            })
        ),
        "{applied:?}"
    );
    assert_eq!(
        (
            subscriber.position(),
            subscriber.counters.incomplete_snapshots
        ),
        (mark(30), 1)
    );
}

#[test]
fn the_coordinator_is_needed_while_no_planner_delivers_and_until_they_are_steady_again() {
    let mut subscriber = Subscriber::start(at(0), 1, 0, Cadence::default(), SETTLES);
    assert!(!subscriber.needs_coordinator(at(1_900)));
    assert_eq!(subscriber.next_change(at(0)), Some(at(2_000)));
    assert!(subscriber.needs_coordinator(at(2_000)));
    subscriber.set_position(at(2_100), mark(10));
    subscriber.connected(at(2_200), ONE);
    subscriber.actions(at(2_200));
    for (position, ms) in (10..).zip((2_300..9_000).step_by(500)) {
        subscriber
            .receive(at(ms), ONE, told(purges(position, position + 1)))
            .unwrap();
        assert_eq!(subscriber.needs_coordinator(at(ms)), ms < 4_300, "at {ms}");
    }
    assert!(!subscriber.needs_coordinator(at(10_700)));
    assert!(subscriber.needs_coordinator(at(10_800)));
}

/// From when on a subscriber of that preference needs the coordinator, after both its planners ended at 100 ms.
fn needs_coordinator_after_both_ended(preference: u64) -> u64 {
    let mut subscriber = Subscriber::start(at(0), 2, preference, Cadence::default(), SETTLES);
    subscriber.set_position(at(0), mark(10));
    [ONE, OTHER]
        .into_iter()
        .for_each(|planner| subscriber.connected(at(0), planner));
    subscriber.actions(at(0));
    let followed = subscriber.followed().unwrap();
    subscriber
        .receive(at(90), followed, told(purges(10, 11)))
        .unwrap();
    subscriber.disconnected(at(100), ONE);
    assert!(
        !subscriber.needs_coordinator(at(1_000)),
        "the other one is connected"
    );
    subscriber.disconnected(at(100), OTHER);
    (100..3_000)
        .find(|ms| subscriber.needs_coordinator(at(*ms)))
        .unwrap()
}

#[test]
fn with_no_planner_connected_the_coordinator_is_needed_soon_and_not_by_all_at_once() {
    let mut needs: Vec<u64> = (0..1_000).map(needs_coordinator_after_both_ended).collect();
    needs.sort_unstable();
    println!(
        "the coordinator is needed from {} to {} ms after the end",
        needs[0] - 100,
        needs[999] - 100
    );
    assert!(
        needs[0] >= 200 && needs[999] <= 500,
        "{} to {}",
        needs[0],
        needs[999]
    );
    let in_one_step = |step: u64| needs.iter().filter(|ms| **ms / 10 == step).count();
    assert!((20..50).all(|step| in_one_step(step) <= 100), "{needs:?}");
}

#[test]
fn a_planner_that_is_reached_again_at_once_spares_the_coordinator_the_call() {
    let mut subscriber = connected(10);
    subscriber
        .receive(at(90), ONE, told(purges(10, 11)))
        .unwrap();
    [ONE, OTHER]
        .into_iter()
        .for_each(|planner| subscriber.disconnected(at(100), planner));
    subscriber.connected(at(150), ONE);
    subscriber.actions(at(150));
    subscriber
        .receive(at(180), ONE, told(purges(11, 12)))
        .unwrap();
    assert!((180..1_600).all(|ms| !subscriber.needs_coordinator(at(ms))));
    // One that is reached and tells nothing spares it nothing.
    subscriber.disconnected(at(200), ONE);
    subscriber.connected(at(250), ONE);
    subscriber.actions(at(250));
    let needed = subscriber.next_change(at(250)).unwrap();
    assert!(
        needed <= at(600) && subscriber.needs_coordinator(needed),
        "{needed:?}"
    );
    subscriber
        .receive(at(700), ONE, told(purges(12, 13)))
        .unwrap();
    assert!(
        subscriber.needs_coordinator(at(750)),
        "until planners have delivered for a while"
    );
    for (position, ms) in (13..).zip((1_200..4_000).step_by(500)) {
        subscriber
            .receive(at(ms), ONE, told(purges(position, position + 1)))
            .unwrap();
        assert_eq!(subscriber.needs_coordinator(at(ms)), ms < 2_700, "at {ms}");
    }
}

#[test]
fn a_planner_that_knows_no_coordinator_or_position_does_not_count() {
    let mut subscriber = connected(10);
    for ms in (0..3_000).step_by(100) {
        subscriber.receive(at(ms), ONE, behind()).unwrap();
    }
    assert!(subscriber.needs_coordinator(at(3_000)));
}

#[test]
fn it_is_vouched_for_by_when_a_planner_with_all_events_heard_the_coordinator() {
    let mut subscriber = connected(10);
    assert_eq!(subscriber.confirmed_at(), None);
    subscriber
        .receive(at(1_000), ONE, told(purges(10, 11)))
        .unwrap();
    assert_eq!(
        subscriber.confirmed_at(),
        Some(at(460)),
        "40 ms before it was written, 500 before now at most"
    );
    subscriber.record_echo(ONE, at(1_900));
    subscriber
        .receive(at(2_000), ONE, told(purges(11, 11)))
        .unwrap();
    assert_eq!(
        subscriber.confirmed_at(),
        Some(at(1_860)),
        "the conversation tells when it was written"
    );
    let not_all = Delivery {
        coordinator_ago_ms: None,
        ..told(purges(11, 12))
    };
    subscriber.receive(at(5_000), ONE, not_all).unwrap();
    assert_eq!(subscriber.confirmed_at(), Some(at(1_860)));
}

#[test]
fn forwarders_are_spread_over_the_planners() {
    let mut preferred = [0; 24];
    for preference in 0..2_400_u64 {
        let mut subscriber =
            Subscriber::start(at(0), 24, preference * 31, Cadence::default(), SETTLES);
        subscriber.set_position(at(0), mark(1));
        (0..24).for_each(|planner| subscriber.connected(at(0), PlannerNumber(planner)));
        // Steadily connected, the most preferred is asked in the end.
        let asked = subscriber.actions(at(5_000));
        let followed = subscriber.followed().unwrap();
        let chosen = asked
            .iter()
            .map(|(to, _)| *to)
            .find(|to| *to != followed)
            .unwrap_or(followed);
        preferred[chosen.0 as usize] += 1;
    }
    println!("forwarders of 2,400 that prefer each of 24 planners: {preferred:?}");
    assert!(preferred.iter().all(|count| (60..=145).contains(count)));
}
