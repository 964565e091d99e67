//! Forwarders and planners as processes on loopback, among stand-ins, with the faults that the two levels are for.
//! Each world's record goes to the checker of the rules; each story's own point is asserted beside that.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::path::PathBuf;
use std::thread::sleep;
use std::time::Duration;

use flaxdeck_emulator::fleet::{Fault, Fleet, Setup};
use flaxdeck_emulator::{Clients, FailureMode, HostKind, Layout, LinkState, Load, World};
use flaxdeck_invariants::Verdict;

/// Forwarders that have just started leave cold hosts alone for this long.
const WAITS: f64 = 4_600.0;

fn setup(planners: usize, forwarders: usize) -> Setup {
    Setup::new(
        PathBuf::from(env!("CARGO_BIN_EXE_flaxdeck")),
        planners,
        forwarders,
    )
}

fn fleet(setup: Setup, layout: Layout) -> Fleet {
    let world = World::start(Layout {
        forwarders: setup.forwarders,
        ..layout
    })
    .unwrap();
    Fleet::start(world, setup).unwrap()
}

fn load(fleet: &Fleet, rates: &[f64], from: f64, lasts: f64) -> (Clients, f64) {
    let begins = fleet.world.now() + from;
    let load = Load {
        seed: 11,
        requests_per_s: rates.to_vec(),
        objects: 500,
        popularity_exponent: 0.8,
        write_fraction: 0.03,
        from_ms: begins,
        to_ms: begins + lasts,
        timeout_ms: 2_500,
        first_connection: 0,
    };
    (fleet.world.clients(&fleet.addresses(), &load), begins)
}

/// Waits for the clients and judges; every request must be accounted for and no byte wrong.
fn judged(fleet: &Fleet, clients: &Clients) -> Verdict {
    let limit = fleet.world.now() + 20_000.0;
    while !clients.is_done() {
        assert!(fleet.world.now() < limit, "the clients do not end");
        sleep(Duration::from_millis(10));
    }
    let verdict = fleet.world.verdict();
    assert!(verdict.all_accounted_for(), "{verdict:?}");
    assert_eq!(clients.statistics().wrong_bytes, 0);
    verdict
}

fn kept(fleet: &Fleet, clients: &Clients) -> Verdict {
    let verdict = judged(fleet, clients);
    assert_eq!(verdict.violations, [], "{:?}", &fleet.lines());
    verdict
}

fn logged(fleet: &Fleet, words: &str) -> bool {
    fleet.lines().iter().any(|line| line.contains(words))
}

/// Until a line with those words comes.
fn wait_for(fleet: &Fleet, words: &str) {
    let limit = fleet.world.now() + 15_000.0;
    while !logged(fleet, words) {
        assert!(
            fleet.world.now() < limit,
            "no line with {words:?}: {:?}",
            fleet.lines()
        );
        sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_planner_killed_frozen_and_slow_midway_costs_no_request_its_answer() {
    let mut fleet = fleet(setup(2, 3), Layout::default());
    let (clients, begins) = load(&fleet, &[60.0], 200.0, 7_000.0);
    let script = [
        (begins + 1_000.0, Fault::KillPlanner(0)),
        (begins + 2_000.0, Fault::StartPlanner(0)),
        (begins + 3_000.0, Fault::FreezePlanner(1)),
        (begins + 4_500.0, Fault::ThawPlanner(1)),
        (
            begins + 4_600.0,
            Fault::PlannerLink(0, 0, LinkState::Delayed(300)),
        ),
        (
            begins + 5_200.0,
            Fault::PlannerLink(0, 0, LinkState::Delayed(900)),
        ),
        (
            begins + 5_800.0,
            Fault::PlannerLink(1, 0, LinkState::Stalled),
        ),
    ];
    fleet.play(&script).unwrap();
    let verdict = kept(&fleet, &clients);
    assert_eq!(verdict.left, 0);
    assert!(
        verdict.requests > 900 && verdict.served * 100 >= verdict.requests * 98,
        "{verdict:?}"
    );
}

#[test]
fn with_all_planners_gone_a_forwarder_is_a_lone_dispatcher() {
    let mut fleet = fleet(setup(2, 2), Layout::default());
    let (clients, begins) = load(&fleet, &[60.0], 200.0, 5_000.0);
    let planners = [
        (begins + 1_000.0, Fault::KillPlanner(0)),
        (begins + 1_000.0, Fault::KillPlanner(1)),
    ];
    fleet.play(&planners).unwrap();
    wait_for(&fleet, "guidance is now Ageing");
    let verdict = kept(&fleet, &clients);
    assert!(verdict.served * 100 >= verdict.requests * 98, "{verdict:?}");
}

#[test]
fn a_drain_reaches_a_forwarder_by_the_planners_when_its_coordinator_is_out_of_reach() {
    let mut fleet = fleet(setup(2, 2), Layout::default());
    let caches = fleet.world.hosts(HostKind::Cache);
    let (clients, begins) = load(&fleet, &[80.0], 200.0, 4_000.0);
    let script = [
        (
            begins + 800.0,
            Fault::CoordinatorLink(0, LinkState::Stalled),
        ),
        (begins + 1_000.0, Fault::Drain(caches[0].clone())),
        (begins + 1_800.0, Fault::Drain(caches[1].clone())),
    ];
    fleet.play(&script).unwrap();
    let verdict = kept(&fleet, &clients);
    assert!(verdict.latest_arrival < 1_000.0, "{verdict:?}");
}

#[test]
fn a_drain_reaches_a_forwarder_by_the_coordinator_when_its_planners_stand_still() {
    let mut fleet = fleet(setup(2, 2), Layout::default());
    let caches = fleet.world.hosts(HostKind::Cache);
    let (clients, begins) = load(&fleet, &[80.0], 200.0, 3_000.0);
    let script = [
        (begins + 500.0, Fault::FreezePlanner(0)),
        (begins + 500.0, Fault::FreezePlanner(1)),
        (begins + 1_000.0, Fault::Drain(caches[0].clone())),
    ];
    fleet.play(&script).unwrap();
    kept(&fleet, &clients);
}

#[test]
fn a_forwarder_that_hears_nobody_rejects_before_a_drain_is_a_second_old() {
    let mut fleet = fleet(
        Setup {
            plan_forms: "(blind (after-ms 900))",
            ..setup(2, 2)
        },
        Layout::default(),
    );
    let caches = fleet.world.hosts(HostKind::Cache);
    let (clients, begins) = load(&fleet, &[80.0], 200.0, 6_000.0);
    let cut = begins + 1_500.0;
    let mut script = vec![(cut, Fault::CoordinatorLink(0, LinkState::Stalled))];
    script.extend((0..2).map(|planner| (cut, Fault::PlannerLink(0, planner, LinkState::Stalled))));
    script.push((cut, Fault::Drain(caches[0].clone())));
    let heals = begins + 4_000.0;
    script.push((heals, Fault::CoordinatorLink(0, LinkState::Up)));
    script.extend((0..2).map(|planner| (heals, Fault::PlannerLink(0, planner, LinkState::Up))));
    fleet.play(&script).unwrap();
    let verdict = kept(&fleet, &clients);
    assert!(verdict.rejected > 50, "{verdict:?}");
    assert!(
        logged(&fleet, "guidance is now Blind") && logged(&fleet, "was Blind"),
        "{:?}",
        fleet.lines()
    );
}

#[test]
fn two_planners_that_both_believe_to_be_in_charge_never_push_a_cold_cache_over() {
    let layout = Layout {
        caches: 1,
        cache_slots: 32.0,
        slow_start_initial: 0.1,
        ..Layout::default()
    };
    let mut fleet = fleet(
        Setup {
            reserve: 0.3,
            ..setup(2, 3)
        },
        layout,
    );
    let cache = fleet.world.hosts(HostKind::Cache)[0].clone();
    let (clients, begins) = load(&fleet, &[200.0, 120.0, 5.0], WAITS, 9_000.0);
    let mut script = vec![(begins + 500.0, Fault::RestartHost(cache))];
    let apart = |at: f64, wire| {
        [
            Fault::PlannerLink(0, 0, wire),
            Fault::PlannerLink(1, 1, wire),
        ]
        .map(|f| (at, f))
    };
    script.extend(apart(begins + 1_500.0, LinkState::Stalled));
    script.extend(apart(begins + 4_500.0, LinkState::Up));
    script.push((begins + 5_500.0, Fault::KillPlanner(0)));
    script.push((begins + 6_000.0, Fault::StartPlanner(0)));
    fleet.play(&script).unwrap();
    let verdict = kept(&fleet, &clients);
    assert_eq!(fleet.world.overloaded_hosts(), 0);
    assert!(
        verdict.peak_cold_load > 0.15,
        "the cold cache is asked for something: {verdict:?}"
    );
}

#[test]
fn a_forwarder_killed_and_started_again_does_not_use_what_it_lent() {
    let layout = Layout {
        caches: 1,
        cache_slots: 32.0,
        slow_start_initial: 0.1,
        ..Layout::default()
    };
    let mut fleet = fleet(setup(1, 2), layout);
    let cache = fleet.world.hosts(HostKind::Cache)[0].clone();
    let (clients, begins) = load(&fleet, &[200.0, 60.0], WAITS, 7_000.0);
    let script = [
        (begins + 300.0, Fault::RestartHost(cache)),
        (begins + 2_000.0, Fault::KillForwarder(1)),
        (begins + 2_200.0, Fault::StartForwarder(1)),
    ];
    fleet.play(&script).unwrap();
    let verdict = kept(&fleet, &clients);
    assert!(
        verdict.left > 0,
        "its clients lost their connections: {verdict:?}"
    );
    assert_eq!(fleet.world.overloaded_hosts(), 0);
}

#[test]
fn a_purge_heard_by_both_ways_in_either_order_is_never_applied_later() {
    let mut fleet = fleet(setup(2, 2), Layout::default());
    let (clients, begins) = load(&fleet, &[120.0], 200.0, 5_000.0);
    let object = |rank: u64| format!("{:016x}", rank.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let mut script = vec![(
        begins + 900.0,
        Fault::CoordinatorLink(0, LinkState::Stalled),
    )];
    script.extend((1..=3).map(|rank| (begins + 1_000.0, Fault::Purge(object(rank)))));
    script.push((begins + 1_800.0, Fault::CoordinatorLink(0, LinkState::Up)));
    script.push((
        begins + 2_000.0,
        Fault::PlannerLink(1, 0, LinkState::Delayed(400)),
    ));
    script.push((
        begins + 2_000.0,
        Fault::PlannerLink(1, 1, LinkState::Delayed(400)),
    ));
    script.extend((1..=3).map(|rank| (begins + 2_200.0, Fault::Purge(object(rank)))));
    fleet.play(&script).unwrap();
    kept(&fleet, &clients);
}

#[test]
fn a_parent_that_fails_is_left_by_all_once_some_have_found_out() {
    let mut fleet = fleet(
        setup(1, 3),
        Layout {
            parents: 3,
            ..Layout::default()
        },
    );
    let parent = fleet.world.hosts(HostKind::Parent)[0].clone();
    let (clients, begins) = load(&fleet, &[100.0], 200.0, 4_000.0);
    fleet
        .play(&[(
            begins + 1_000.0,
            Fault::HostFailureMode(parent, FailureMode::Failing),
        )])
        .unwrap();
    let verdict = kept(&fleet, &clients);
    assert!(verdict.served * 100 >= verdict.requests * 98, "{verdict:?}");
}
