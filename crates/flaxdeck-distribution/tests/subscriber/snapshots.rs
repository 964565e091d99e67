//! Which snapshots are asked for and applied.

use flaxdeck_distribution::messages::{Batch, Snapshot, Subscription};
use flaxdeck_distribution::{Applied, Cadence, DeliveryError, Fingerprint, Subscriber};

use super::support::{
    ONE, OTHER, SETTLES, at, batch_delivery, behind, connected, position, purges, snapshot,
    snapshot_delivery, subscriber,
};

#[test]
fn a_subscriber_that_knows_nothing_asks_for_a_snapshot() {
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
        position: last,
        may_miss_purges,
    } = applied
    else {
        panic!("{applied:?}")
    };
    assert_eq!(
        (list.len(), purges.len(), group_purges.len(), last),
        (3, 4, 1, position(30))
    );
    assert!(!may_miss_purges);
    assert_eq!(
        subscriber.receive(at(90), ONE, batch_delivery(purges_from(30))),
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
        last: position(number + 1),
    }
}

#[test]
fn purges_may_be_missing_unless_a_snapshots_reach_back_over_the_hosts_time() {
    for (reach, may_miss) in [
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
            matches!(applied, Applied::Snapshot { may_miss_purges, .. } if may_miss_purges == may_miss),
            "{reach}"
        );
    }
}

#[test]
fn a_snapshot_older_than_what_is_known_here_is_not_taken() {
    let mut subscriber = connected(10);
    subscriber
        .receive(at(1_000), ONE, batch_delivery(purges(10, 15)))
        .unwrap();
    // Its planner has not heard the coordinator since the position moved.
    subscriber.record_echo(ONE, at(1_400));
    let stale = snapshot_delivery(snapshot(30), Some(500));
    assert_eq!(
        subscriber.receive(at(1_500), ONE, stale),
        Err(DeliveryError::StaleSnapshot(position(30)))
    );
    // It has now, but its number is lower, and nobody asked for that.
    subscriber.record_echo(ONE, at(2_000));
    let lower = snapshot_delivery(snapshot(12), Some(0));
    assert_eq!(
        subscriber.receive(at(2_000), ONE, lower),
        Err(DeliveryError::StaleSnapshot(position(12)))
    );
    assert_eq!(
        (subscriber.counters.stale, subscriber.position()),
        (2, position(15))
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
    assert_eq!(subscriber.position(), position(12));
}

#[test]
fn a_snapshot_with_a_higher_number_that_nobody_asked_for_is_taken_if_it_knows_more() {
    let mut subscriber = connected(10);
    subscriber
        .receive(at(1_000), ONE, batch_delivery(purges(10, 15)))
        .unwrap();
    subscriber.record_echo(ONE, at(2_000));
    let newer = snapshot_delivery(snapshot(30), Some(0));
    assert!(matches!(
        subscriber.receive(at(2_050), ONE, newer),
        Ok(Applied::Snapshot { .. })
    ));
}

#[test]
fn a_subscriber_unknown_to_all_planners_for_long_asks_for_a_snapshot() {
    let mut subscriber = subscriber(1_000);
    for planner in [ONE, OTHER] {
        subscriber.connected(at(0), planner);
    }
    let mut asked = Vec::new();
    for ms in (0..4_000).step_by(100) {
        for (to, subscription) in subscriber.actions(at(ms)) {
            if subscription != Subscription::None {
                asked.push((ms, to, subscription));
                subscriber.receive(at(ms), to, behind()).unwrap();
            }
        }
    }
    let after = Subscription::After(position(1_000));
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
        (position(30), 1)
    );
}
