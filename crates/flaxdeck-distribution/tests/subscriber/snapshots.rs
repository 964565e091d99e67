//! Which snapshots are requested, accepted and rejected.

use flaxdeck::{CompleteAsOf, Time};
use flaxdeck_distribution::messages::{Batch, Delivery, Snapshot, Subscription};
use flaxdeck_distribution::{Applied, Cadence, DeliveryError, Fingerprint, Subscriber};

use super::support::{
    FIRST, SECOND, SETTLE_TIME, at, batch_delivery, behind_delivery, connected_subscriber,
    position, purge_batch, snapshot, snapshot_delivery, subscriber,
};

#[test]
fn a_new_subscriber_requests_a_snapshot() {
    let mut subscriber = Subscriber::start(at(0), 1, 0, Cadence::default(), SETTLE_TIME);
    subscriber.connected(at(0), FIRST);
    assert_eq!(
        subscriber.actions(at(0)),
        [(FIRST, Subscription::FromSnapshot)]
    );
    let applied = subscriber
        .receive(at(30), FIRST, snapshot_delivery(snapshot(30), Some(900)))
        .unwrap();
    let Applied::Snapshot {
        list,
        purges,
        group_purges,
        position: last,
        may_miss_purges,
    } = applied
    else {
        panic!("expected a snapshot, got {applied:?}")
    };
    assert_eq!(
        (list.len(), purges.len(), group_purges.len(), last),
        (3, 4, 1, position(30))
    );
    assert!(!may_miss_purges);
    assert_eq!(
        subscriber.receive(at(90), FIRST, batch_delivery(single_purge_after(30))),
        Ok(single_purge_applied_after(30))
    );
}

// A snapshot replaces an older list. Its time tells when the planner heard the coordinator, not that nothing is missing.
#[test]
fn a_snapshot_does_not_show_that_all_events_are_known() {
    let mut subscriber = Subscriber::start(at(0), 1, 0, Cadence::default(), SETTLE_TIME);
    subscriber.connected(at(0), FIRST);
    subscriber.actions(at(0));
    subscriber
        .receive(at(30), FIRST, snapshot_delivery(snapshot(30), Some(900)))
        .unwrap();
    assert!(subscriber.caught_up_at().is_some());
    assert_eq!(subscriber.complete_as_of(), None);
    let never_complete = Delivery {
        coordinator_ago_ms: Some(u32::MAX),
        ..batch_delivery(single_purge_after(30))
    };
    subscriber.receive(at(90), FIRST, never_complete).unwrap();
    assert_eq!(
        subscriber.complete_as_of(),
        Some(CompleteAsOf::by_planner(Time::default()))
    );
    subscriber
        .receive(at(120), FIRST, batch_delivery(single_purge_after(31)))
        .unwrap();
    assert!(subscriber.complete_as_of() > Some(CompleteAsOf::by_planner(Time::default())));
}

fn single_purge_after(number: u64) -> Batch {
    purge_batch(number, number + 1)
}

fn single_purge_applied_after(number: u64) -> Applied {
    Applied::Events {
        purges: vec![Fingerprint(0)],
        events: Vec::new(),
        last: position(number + 1),
    }
}

#[test]
fn purges_may_be_missing_unless_they_reach_back_over_the_settle_time_and_margin() {
    for (reach, may_miss) in [
        (0, true),
        (5_999, true),
        (6_499, true),
        (6_500, false),
        (u32::MAX, false),
    ] {
        let mut subscriber = Subscriber::start(at(0), 1, 0, Cadence::default(), SETTLE_TIME);
        subscriber.connected(at(0), FIRST);
        subscriber.actions(at(0));
        let delivery = snapshot_delivery(
            Snapshot {
                purges_reach_ms: reach,
                ..snapshot(30)
            },
            Some(0),
        );
        let applied = subscriber.receive(at(30), FIRST, delivery).unwrap();
        assert!(
            matches!(applied, Applied::Snapshot { may_miss_purges, .. } if may_miss_purges == may_miss),
            "with a reach of {reach} ms"
        );
    }
}

#[test]
fn a_snapshot_that_may_be_older_than_the_position_is_rejected() {
    let mut subscriber = connected_subscriber(10);
    subscriber
        .receive(at(1_000), FIRST, batch_delivery(purge_batch(10, 15)))
        .unwrap();
    // The planner has not received a message from the coordinator since the position changed.
    subscriber.record_echo(FIRST, at(1_400));
    let stale = snapshot_delivery(snapshot(30), Some(500));
    assert_eq!(
        subscriber.receive(at(1_500), FIRST, stale),
        Err(DeliveryError::StaleSnapshot(position(30)))
    );
    // Now it has, but the snapshot has a lower number and was not requested.
    subscriber.record_echo(FIRST, at(2_000));
    let lower = snapshot_delivery(snapshot(12), Some(0));
    assert_eq!(
        subscriber.receive(at(2_000), FIRST, lower),
        Err(DeliveryError::StaleSnapshot(position(12)))
    );
    assert_eq!(
        (subscriber.counters.stale, subscriber.position()),
        (2, position(15))
    );
    // The planner has all of the coordinator's events, so the numbering has changed: a snapshot is requested now.
    assert_eq!(
        subscriber.actions(at(2_000)),
        [(FIRST, Subscription::FromSnapshot)]
    );
    subscriber.record_echo(FIRST, at(2_040));
    let lower = snapshot_delivery(snapshot(12), Some(0));
    assert!(matches!(
        subscriber.receive(at(2_050), FIRST, lower),
        Ok(Applied::Snapshot { .. })
    ));
    assert_eq!(subscriber.position(), position(12));
}

#[test]
fn an_unrequested_snapshot_with_a_higher_number_is_accepted_if_it_is_newer() {
    let mut subscriber = connected_subscriber(10);
    subscriber
        .receive(at(1_000), FIRST, batch_delivery(purge_batch(10, 15)))
        .unwrap();
    subscriber.record_echo(FIRST, at(2_000));
    let newer = snapshot_delivery(snapshot(30), Some(0));
    assert!(matches!(
        subscriber.receive(at(2_050), FIRST, newer),
        Ok(Applied::Snapshot { .. })
    ));
}

#[test]
fn a_position_unknown_to_all_planners_for_3_s_leads_to_a_snapshot_request() {
    let mut subscriber = subscriber(1_000);
    for planner in [FIRST, SECOND] {
        subscriber.connected(at(0), planner);
    }
    let mut requests = Vec::new();
    for ms in (0..4_000).step_by(100) {
        for (to, subscription) in subscriber.actions(at(ms)) {
            if subscription != Subscription::None {
                requests.push((ms, to, subscription));
                subscriber.receive(at(ms), to, behind_delivery()).unwrap();
            }
        }
    }
    let after = Subscription::After(position(1_000));
    let expected = [
        (0, FIRST, after),
        (1_500, SECOND, after),
        (3_000, FIRST, Subscription::FromSnapshot),
    ];
    assert!(requests.starts_with(&expected[..2]), "{requests:?}");
    assert!(
        requests.iter().any(
            |(ms, _, subscription)| *ms == 3_000 && *subscription == Subscription::FromSnapshot
        ),
        "{requests:?}"
    );
    // A snapshot was requested, so a lower number is accepted.
    let to = requests.last().unwrap().1;
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
