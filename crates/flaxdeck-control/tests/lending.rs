//! What forwarders lend, borrow and use of a warming host, in virtual time.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod common;

use common::{
    OWN_SHARE_MS, PLANNER, at, lease_terms, observation, options, planner, position, share, trip,
    trips, warming,
};
use flaxdeck::{Observation, Span};
use flaxdeck_control::MessageError;
use flaxdeck_control::forwarder::{ForwarderOptions, ForwarderSession};
use flaxdeck_control::membership::PlannerId;
use flaxdeck_control::messages::{Epoch, SlotId};
use flaxdeck_control::planner::Planner;

#[test]
fn what_one_lends_another_may_use_and_it_runs_off() {
    let mut planner = planner(at(0), 1, 0.0);
    let mut idle = ForwarderSession::start(at(0), Epoch(10), options(), 1);
    let mut busy = ForwarderSession::start(at(0), Epoch(11), options(), 1);
    let (idle_use, pressed) = (
        [observation(warming(0.5, 0.0, 0.0))],
        [observation(warming(0.5, 0.45, 0.3))],
    );
    for ms in [0, 200, 400, 600] {
        trip(at(OWN_SHARE_MS + ms), &mut idle, &mut planner, &idle_use);
        trip(at(OWN_SHARE_MS + ms), &mut busy, &mut planner, &pressed);
    }
    let now = at(OWN_SHARE_MS + 600);
    let (lends, uses) = (
        share(&mut idle, now).unwrap(),
        share(&mut busy, now).unwrap(),
    );
    assert!(
        lends < 0.06 && uses > 0.9 && lends + uses <= 1.0,
        "{lends} {uses}"
    );
    // Nobody is heard any more: the grant ends first, then the deposit.
    assert_eq!(share(&mut busy, now + Span::from_ms(1_200)), Some(0.5));
    assert!(share(&mut idle, now + Span::from_ms(1_200)).unwrap() < 0.06);
    assert_eq!(
        share(&mut idle, now + lease_terms().deposit_duration),
        Some(0.5)
    );
}

#[test]
fn a_planner_that_restarts_from_nothing_hands_out_nothing_that_is_still_out() {
    let mut planner1 = planner(at(0), 1, 0.4);
    let reserve = ForwarderOptions {
        reserve: 0.4,
        ..options()
    };
    let mut busy = ForwarderSession::start(at(0), Epoch(11), reserve, 1);
    let mut late = ForwarderSession::start(at(0), Epoch(12), reserve, 1);
    let pressed = [observation(warming(0.5, 0.3, 0.6))];
    for ms in [0, 200, 400] {
        trip(at(OWN_SHARE_MS + ms), &mut busy, &mut planner1, &pressed);
    }
    let granted = share(&mut busy, at(OWN_SHARE_MS + 400)).unwrap();
    assert!(
        granted > 0.6,
        "its own 0.3 and the planner's 0.4: {granted}"
    );
    let mut planner2 = planner(at(OWN_SHARE_MS + 500), 2, 0.4);
    for ms in (500..).step_by(200).take_while(|ms| {
        at(OWN_SHARE_MS + ms) < at(OWN_SHARE_MS + 500) + lease_terms().planner_startup_wait()
    }) {
        trip(at(OWN_SHARE_MS + ms), &mut late, &mut planner2, &pressed);
        assert_eq!(
            share(&mut late, at(OWN_SHARE_MS + ms)),
            Some(0.3),
            "after {ms} ms"
        );
    }
    let then = at(OWN_SHARE_MS + 600) + lease_terms().planner_startup_wait();
    trip(then, &mut late, &mut planner2, &pressed);
    assert!(share(&mut late, then).unwrap() > 0.6);
}

#[test]
fn a_forwarder_without_a_slot_lives_on_grants_and_has_one_within_a_report() {
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
    let pressed = [observation(warming(0.5, 0.0, 0.1))];
    let now = at(20_000);
    assert_eq!(guest.hints(now).unhinted_share, 0.0);
    trip(now, &mut guest, &mut planner, &pressed);
    assert_eq!(
        share(&mut guest, now),
        Some(0.0),
        "the first answer only brings the stamp to ask by"
    );
    trip(now + Span::from_ms(200), &mut guest, &mut planner, &pressed);
    let uses = share(&mut guest, now + Span::from_ms(200)).unwrap();
    assert!((0.09..=0.2).contains(&uses), "{uses}");
}

#[test]
fn what_nobody_else_demands_is_not_lent() {
    let mut planner = planner(at(0), 1, 0.0);
    let mut idle = ForwarderSession::start(at(0), Epoch(10), options(), 1);
    trips(
        3,
        &mut idle,
        &mut planner,
        observation(warming(0.5, 0.0, 0.0)),
    );
    assert_eq!(share(&mut idle, at(OWN_SHARE_MS + 400)), Some(0.5));
}

#[test]
fn a_host_that_starts_again_is_another_incarnation_with_nothing_lent_of_it() {
    let mut planner = planner(at(0), 1, 0.0);
    let mut busy = ForwarderSession::start(at(0), Epoch(11), options(), 1);
    trips(
        3,
        &mut busy,
        &mut planner,
        observation(warming(0.5, 0.4, 0.6)),
    );
    let mut idle = ForwarderSession::start(at(0), Epoch(10), options(), 1);
    trips(
        3,
        &mut idle,
        &mut planner,
        observation(warming(0.5, 0.0, 0.0)),
    );
    assert!(share(&mut idle, at(OWN_SHARE_MS + 400)).unwrap() < 0.06);
    let again = Observation {
        started: Some(at(OWN_SHARE_MS + 450)),
        ..observation(warming(0.5, 0.0, 0.0))
    };
    idle.update_usage(at(OWN_SHARE_MS + 500), &[again]);
    let hints = idle.hints(at(OWN_SHARE_MS + 500)).hints;
    let new = hints.iter().find_map(|hint| {
        hint.quota
            .filter(|quota| quota.started == Some(at(OWN_SHARE_MS + 450)))
    });
    assert_eq!(new.map(|quota| quota.fraction), Some(0.5));
}

#[test]
fn a_forwarder_that_returns_uses_its_share_as_soon_as_all_planners_say_that_nothing_of_it_is_out() {
    let seated = ForwarderOptions {
        slot: SlotId(7),
        ..options()
    };
    let mut planners: Vec<Planner> = (1..=2).map(|n| planner(at(0), n, 0.0)).collect();
    let tell =
        |forwarder: &mut ForwarderSession, planners: &mut [Planner], which: usize, ms: u64| {
            let to = PlannerId(which as u32);
            let report = forwarder.report(at(ms), to, &[], position(0));
            let guidance = planners[which].handle_report(at(ms), &report).unwrap();
            forwarder
                .apply_guidance(at(ms + 1), to, guidance, position(0))
                .unwrap();
            forwarder.own_share_from()
        };
    let waits = lease_terms().forwarder_startup_wait();
    // The planners have just started as well: nobody can tell.
    let mut first = ForwarderSession::start(at(100), Epoch(1), seated, 2);
    tell(&mut first, &mut planners, 0, 110);
    assert_eq!(tell(&mut first, &mut planners, 1, 110), at(100) + waits);
    // Later both can; the first word of one of them is not enough.
    let mut second = ForwarderSession::start(at(20_000), Epoch(2), seated, 2);
    assert_eq!(
        tell(&mut second, &mut planners, 0, 20_010),
        at(20_000) + waits
    );
    assert_eq!(tell(&mut second, &mut planners, 1, 20_010), at(20_011));
    // A report of the first that was still on its way lends nothing any more.
    let late = first.report(at(19_900), PLANNER, &[], position(0));
    assert_eq!(
        planners[0].handle_report(at(20_100), &late),
        Err(MessageError::OldEpoch { epoch: Epoch(1) })
    );
}
