//! Which planner is in charge of a host's incarnation, and whose word is taken.

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
fn lives_are_divided_over_the_live_planners_and_only_the_lost_ones_lives_move() {
    let mut planners: Vec<PlannerStatus> =
        (0..3).map(|n| PlannerStatus::new(PlannerId(n))).collect();
    for known in &mut planners {
        known.admit(at(0), Epoch(1), 1).unwrap();
    }
    let charge = |planners: &[PlannerStatus], now| -> Vec<PlannerId> {
        (0..300)
            .map(|n| lease_holder(now, planners, &incarnation(n)).unwrap())
            .collect()
    };
    let before = charge(&planners, at(1));
    for id in 0..3 {
        let count = before.iter().filter(|charge| charge.0 == id).count();
        assert!((60..140).contains(&count), "planner {id} has {count}");
    }
    planners[0].admit(at(900), Epoch(1), 2).unwrap();
    planners[1].admit(at(900), Epoch(1), 2).unwrap();
    let after = charge(&planners, at(1_100));
    for (before, after) in before.iter().zip(after) {
        assert!(
            before.0 == 2 || *before == after,
            "a life moved from a planner that lives"
        );
    }
}

#[test]
fn word_of_an_earlier_run_or_told_twice_is_refused() {
    let mut known = PlannerStatus::new(PlannerId(0));
    known.admit(at(0), Epoch(5), 7).unwrap();
    assert_eq!(
        known.admit(at(1), Epoch(4), 900),
        Err(MessageError::OldEpoch { epoch: Epoch(4) })
    );
    assert_eq!(
        known.admit(at(1), Epoch(5), 7),
        Err(MessageError::OutOfOrder { number: 7, last: 7 })
    );
    known.admit(at(2), Epoch(6), 1).unwrap();
}

#[test]
fn a_planner_that_came_back_with_its_clock_set_back_is_believed_on_a_new_conversation() {
    let mut known = PlannerStatus::new(PlannerId(0));
    known.admit(at(0), Epoch(9), 7).unwrap();
    assert_eq!(
        known.admit(at(1), Epoch(4), 1),
        Err(MessageError::OldEpoch { epoch: Epoch(4) })
    );
    known.connection_opened();
    known.admit(at(2), Epoch(4), 1).unwrap();
    known.admit(at(3), Epoch(4), 2).unwrap();
    assert_eq!(
        known.admit(at(4), Epoch(3), 1),
        Err(MessageError::OldEpoch { epoch: Epoch(3) }),
        "one run a connection"
    );
}

#[test]
fn a_planner_that_talks_nonsense_is_left_alone_for_a_while() {
    let mut known = PlannerStatus::new(PlannerId(0));
    for number in 1..=3 {
        known.admit(at(0), Epoch(1), number).unwrap();
        known.record_invalid_message(at(0));
    }
    assert_eq!(
        known.admit(at(10), Epoch(1), 4),
        Err(MessageError::SenderIgnored { until: at(30_000) })
    );
    assert!(!known.is_live(at(10)));
    known.admit(at(30_001), Epoch(1), 5).unwrap();
}

#[test]
fn a_planner_that_has_just_come_back_takes_over_only_once_it_is_steady() {
    let mut planners: Vec<PlannerStatus> =
        (0..2).map(|n| PlannerStatus::new(PlannerId(n))).collect();
    for known in &mut planners {
        known.admit(at(0), Epoch(1), 1).unwrap();
    }
    let of_second = (0..)
        .map(incarnation)
        .find(|incarnation| lease_holder(at(1), &planners, incarnation) == Some(PlannerId(1)));
    let of_second = of_second.unwrap();
    planners[0].admit(at(900), Epoch(1), 2).unwrap();
    planners[0].admit(at(1_500), Epoch(1), 3).unwrap();
    assert_eq!(
        lease_holder(at(1_500), &planners, &of_second),
        Some(PlannerId(0))
    );
    planners[1].admit(at(1_600), Epoch(2), 1).unwrap();
    assert_eq!(
        lease_holder(at(1_600), &planners, &of_second),
        Some(PlannerId(0)),
        "too soon"
    );
    planners[0].admit(at(2_100), Epoch(1), 4).unwrap();
    planners[1].admit(at(2_100), Epoch(2), 2).unwrap();
    assert_eq!(
        lease_holder(at(2_101), &planners, &of_second),
        Some(PlannerId(1))
    );
}
