//! Which planner holds the leases of an incarnation, and which messages of planners are accepted.

use flaxdeck::Time;
use flaxdeck_control::MessageError;
use flaxdeck_control::membership::{PlannerId, PlannerStatus, lease_holder};
use flaxdeck_control::messages::{Epoch, Incarnation};

fn at(ms: u64) -> Time {
    Time::at_ms(10_000.0 + ms as f64)
}

fn incarnation(n: u64) -> Incarnation {
    Incarnation {
        host: format!("s-{n:08x}"),
        started: n,
    }
}

#[test]
fn incarnations_are_spread_over_live_planners_and_only_those_of_a_lost_planner_move() {
    let mut planners: Vec<PlannerStatus> =
        (0..3).map(|n| PlannerStatus::new(PlannerId(n))).collect();
    for planner in &mut planners {
        planner.admit(at(0), Epoch(1), 1).unwrap();
    }
    let lease_holders = |planners: &[PlannerStatus], now| -> Vec<PlannerId> {
        (0..300)
            .map(|n| lease_holder(now, planners, &incarnation(n)).unwrap())
            .collect()
    };
    let before = lease_holders(&planners, at(1));
    for id in 0..3 {
        let count = before.iter().filter(|holder| holder.0 == id).count();
        assert!(
            (60..140).contains(&count),
            "planner {id} holds {count} of 300 incarnations"
        );
    }
    planners[0].admit(at(900), Epoch(1), 2).unwrap();
    planners[1].admit(at(900), Epoch(1), 2).unwrap();
    let after = lease_holders(&planners, at(1_100));
    for (before, after) in before.iter().zip(after) {
        assert!(
            before.0 == 2 || *before == after,
            "an incarnation moved although its planner is live"
        );
    }
}

#[test]
fn messages_of_an_earlier_run_and_duplicates_are_rejected() {
    let mut planner = PlannerStatus::new(PlannerId(0));
    planner.admit(at(0), Epoch(5), 7).unwrap();
    assert_eq!(
        planner.admit(at(1), Epoch(4), 900),
        Err(MessageError::OldEpoch { epoch: Epoch(4) })
    );
    assert_eq!(
        planner.admit(at(1), Epoch(5), 7),
        Err(MessageError::OutOfOrder { number: 7, last: 7 })
    );
    planner.admit(at(2), Epoch(6), 1).unwrap();
}

#[test]
fn restarted_planner_with_its_clock_set_back_is_accepted_on_a_new_connection() {
    let mut planner = PlannerStatus::new(PlannerId(0));
    planner.admit(at(0), Epoch(9), 7).unwrap();
    assert_eq!(
        planner.admit(at(1), Epoch(4), 1),
        Err(MessageError::OldEpoch { epoch: Epoch(4) })
    );
    planner.connection_opened();
    planner.admit(at(2), Epoch(4), 1).unwrap();
    planner.admit(at(3), Epoch(4), 2).unwrap();
    assert_eq!(
        planner.admit(at(4), Epoch(3), 1),
        Err(MessageError::OldEpoch { epoch: Epoch(3) }),
        "only one run per connection"
    );
}

#[test]
fn planner_that_sends_invalid_messages_is_ignored_temporarily() {
    let mut planner = PlannerStatus::new(PlannerId(0));
    for number in 1..=3 {
        planner.admit(at(0), Epoch(1), number).unwrap();
        planner.record_invalid_message(at(0));
    }
    assert_eq!(
        planner.admit(at(10), Epoch(1), 4),
        Err(MessageError::SenderIgnored { until: at(30_000) })
    );
    assert!(!planner.is_live(at(10)));
    planner.admit(at(30_001), Epoch(1), 5).unwrap();
}

#[test]
fn returning_planner_becomes_lease_holder_only_once_it_is_stable() {
    let mut planners: Vec<PlannerStatus> =
        (0..2).map(|n| PlannerStatus::new(PlannerId(n))).collect();
    for planner in &mut planners {
        planner.admit(at(0), Epoch(1), 1).unwrap();
    }
    let held_by_second = (0..)
        .map(incarnation)
        .find(|incarnation| lease_holder(at(1), &planners, incarnation) == Some(PlannerId(1)));
    let held_by_second = held_by_second.unwrap();
    planners[0].admit(at(900), Epoch(1), 2).unwrap();
    planners[0].admit(at(1_500), Epoch(1), 3).unwrap();
    assert_eq!(
        lease_holder(at(1_500), &planners, &held_by_second),
        Some(PlannerId(0))
    );
    planners[1].admit(at(1_600), Epoch(2), 1).unwrap();
    assert_eq!(
        lease_holder(at(1_600), &planners, &held_by_second),
        Some(PlannerId(0)),
        "the returning planner is not stable yet"
    );
    planners[0].admit(at(2_100), Epoch(1), 4).unwrap();
    planners[1].admit(at(2_100), Epoch(2), 2).unwrap();
    assert_eq!(
        lease_holder(at(2_101), &planners, &held_by_second),
        Some(PlannerId(1))
    );
}
