//! Forwarders that lend, borrow and use the quota of a warming host, in virtual time.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod common;

use common::{
    OWN_SHARE_FROM_MS, PLANNER, at, lease_terms, observation, options, planner, position,
    round_trip, round_trips, usable_quota, warming,
};
use flaxdeck::{Observation, Span};
use flaxdeck_control::MessageError;
use flaxdeck_control::forwarder::{ForwarderOptions, ForwarderSession};
use flaxdeck_control::membership::PlannerId;
use flaxdeck_control::messages::{Epoch, SlotId};
use flaxdeck_control::planner::Planner;

#[test]
fn lent_quota_is_granted_to_another_forwarder_and_expires() {
    let mut planner = planner(at(0), 1, 0.0);
    let mut idle = ForwarderSession::start(at(0), Epoch(10), options(), 1);
    let mut busy = ForwarderSession::start(at(0), Epoch(11), options(), 1);
    let (idle_use, busy_use) = (
        [observation(warming(0.5, 0.0, 0.0))],
        [observation(warming(0.5, 0.45, 0.3))],
    );
    for ms in [0, 200, 400, 600] {
        round_trip(
            at(OWN_SHARE_FROM_MS + ms),
            &mut idle,
            &mut planner,
            &idle_use,
        );
        round_trip(
            at(OWN_SHARE_FROM_MS + ms),
            &mut busy,
            &mut planner,
            &busy_use,
        );
    }
    let now = at(OWN_SHARE_FROM_MS + 600);
    let (lender, borrower) = (
        usable_quota(&mut idle, now).unwrap(),
        usable_quota(&mut busy, now).unwrap(),
    );
    assert!(
        lender < 0.06 && borrower > 0.9 && lender + borrower <= 1.0,
        "usable quota of the lender {lender}, of the borrower {borrower}"
    );
    // No further messages arrive: the grant expires first, then the deposit.
    assert_eq!(
        usable_quota(&mut busy, now + Span::from_ms(1_200)),
        Some(0.5)
    );
    assert!(usable_quota(&mut idle, now + Span::from_ms(1_200)).unwrap() < 0.06);
    assert_eq!(
        usable_quota(&mut idle, now + lease_terms().deposit_duration),
        Some(0.5)
    );
}

#[test]
fn restarted_planner_grants_nothing_while_earlier_grants_may_be_outstanding() {
    let mut first_run = planner(at(0), 1, 0.4);
    let with_reserve = ForwarderOptions {
        reserve: 0.4,
        ..options()
    };
    let mut busy = ForwarderSession::start(at(0), Epoch(11), with_reserve, 1);
    let mut late = ForwarderSession::start(at(0), Epoch(12), with_reserve, 1);
    let busy_use = [observation(warming(0.5, 0.3, 0.6))];
    for ms in [0, 200, 400] {
        round_trip(
            at(OWN_SHARE_FROM_MS + ms),
            &mut busy,
            &mut first_run,
            &busy_use,
        );
    }
    let usable = usable_quota(&mut busy, at(OWN_SHARE_FROM_MS + 400)).unwrap();
    assert!(
        usable > 0.6,
        "own share 0.3 plus a grant from the planner's 0.4: {usable} usable"
    );
    let mut second_run = planner(at(OWN_SHARE_FROM_MS + 500), 2, 0.4);
    for ms in (500..).step_by(200).take_while(|ms| {
        at(OWN_SHARE_FROM_MS + ms)
            < at(OWN_SHARE_FROM_MS + 500) + lease_terms().planner_startup_wait()
    }) {
        round_trip(
            at(OWN_SHARE_FROM_MS + ms),
            &mut late,
            &mut second_run,
            &busy_use,
        );
        assert_eq!(
            usable_quota(&mut late, at(OWN_SHARE_FROM_MS + ms)),
            Some(0.3),
            "after {ms} ms"
        );
    }
    let after_wait = at(OWN_SHARE_FROM_MS + 600) + lease_terms().planner_startup_wait();
    round_trip(after_wait, &mut late, &mut second_run, &busy_use);
    assert!(usable_quota(&mut late, after_wait).unwrap() > 0.6);
}

#[test]
fn forwarder_without_a_slot_uses_grants_and_gets_one_with_its_second_report() {
    let mut planner = planner(at(0), 1, 0.2);
    let mut guest = ForwarderSession::start(
        at(20_000),
        Epoch(30),
        ForwarderOptions {
            has_slot: false,
            reserve: 0.2,
            ..options()
        },
        1,
    );
    let busy_use = [observation(warming(0.5, 0.0, 0.1))];
    let now = at(20_000);
    assert_eq!(guest.hints(now).unhinted_share, 0.0);
    round_trip(now, &mut guest, &mut planner, &busy_use);
    assert_eq!(
        usable_quota(&mut guest, now),
        Some(0.0),
        "the first answer only brings the stamp that a demand needs"
    );
    round_trip(
        now + Span::from_ms(200),
        &mut guest,
        &mut planner,
        &busy_use,
    );
    let usable = usable_quota(&mut guest, now + Span::from_ms(200)).unwrap();
    assert!((0.09..=0.2).contains(&usable), "{usable} usable");
}

#[test]
fn quota_is_not_lent_without_demand_of_other_forwarders() {
    let mut planner = planner(at(0), 1, 0.0);
    let mut idle = ForwarderSession::start(at(0), Epoch(10), options(), 1);
    round_trips(
        3,
        &mut idle,
        &mut planner,
        observation(warming(0.5, 0.0, 0.0)),
    );
    assert_eq!(
        usable_quota(&mut idle, at(OWN_SHARE_FROM_MS + 400)),
        Some(0.5)
    );
}

#[test]
fn restarted_host_is_a_new_incarnation_without_deposits() {
    let mut planner = planner(at(0), 1, 0.0);
    let mut busy = ForwarderSession::start(at(0), Epoch(11), options(), 1);
    round_trips(
        3,
        &mut busy,
        &mut planner,
        observation(warming(0.5, 0.4, 0.6)),
    );
    let mut idle = ForwarderSession::start(at(0), Epoch(10), options(), 1);
    round_trips(
        3,
        &mut idle,
        &mut planner,
        observation(warming(0.5, 0.0, 0.0)),
    );
    assert!(usable_quota(&mut idle, at(OWN_SHARE_FROM_MS + 400)).unwrap() < 0.06);
    let restarted = Observation {
        started: Some(at(OWN_SHARE_FROM_MS + 450)),
        ..observation(warming(0.5, 0.0, 0.0))
    };
    idle.update_usage(at(OWN_SHARE_FROM_MS + 500), &[restarted]);
    let hints = idle.hints(at(OWN_SHARE_FROM_MS + 500)).hints;
    let new = hints.iter().find_map(|hint| {
        hint.quota
            .filter(|quota| quota.started == Some(at(OWN_SHARE_FROM_MS + 450)))
    });
    assert_eq!(new.map(|quota| quota.fraction), Some(0.5));
}

#[test]
fn restarted_forwarder_uses_its_share_once_all_planners_report_nothing_outstanding() {
    let with_slot = ForwarderOptions {
        slot: SlotId(7),
        ..options()
    };
    let mut planners: Vec<Planner> = (1..=2).map(|n| planner(at(0), n, 0.0)).collect();
    let exchange =
        |forwarder: &mut ForwarderSession, planners: &mut [Planner], index: usize, ms: u64| {
            let to = PlannerId(index as u32);
            let report = forwarder.report(at(ms), to, &[], position(0));
            let guidance = planners[index].handle_report(at(ms), &report).unwrap();
            forwarder
                .apply_guidance(at(ms + 1), to, guidance, position(0))
                .unwrap();
            forwarder.own_share_from()
        };
    let startup_wait = lease_terms().forwarder_startup_wait();
    // The planners have just started as well and do not know what is outstanding.
    let mut first = ForwarderSession::start(at(100), Epoch(1), with_slot, 2);
    exchange(&mut first, &mut planners, 0, 110);
    assert_eq!(
        exchange(&mut first, &mut planners, 1, 110),
        at(100) + startup_wait
    );
    // Later both know. The answer of one of them is not enough.
    let mut second = ForwarderSession::start(at(20_000), Epoch(2), with_slot, 2);
    assert_eq!(
        exchange(&mut second, &mut planners, 0, 20_010),
        at(20_000) + startup_wait
    );
    assert_eq!(exchange(&mut second, &mut planners, 1, 20_010), at(20_011));
    // A report of the first run that was still in transit no longer lends anything.
    let late = first.report(at(19_900), PLANNER, &[], position(0));
    assert_eq!(
        planners[0].handle_report(at(20_100), &late),
        Err(MessageError::OldEpoch { epoch: Epoch(1) })
    );
}
