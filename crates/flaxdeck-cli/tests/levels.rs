//! Forwarders and planners as processes on loopback, among stand-ins, with faults of either level and of the links
//! between them. The record of each test is checked against the rules; each test also asserts its own outcome.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod clients;

use std::path::PathBuf;
use std::thread::sleep;
use std::time::Duration;

use clients::wait_until_done;
use flaxdeck_emulator::fleet::{Fault, Fleet, Setup};
use flaxdeck_emulator::{Clients, FailureMode, HostKind, Layout, LinkState, Load, World};
use flaxdeck_invariants::Verdict;

/// For this long after its start a forwarder does not use its quotas of cold hosts.
const STARTUP_WAIT_MS: f64 = 4_600.0;

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

/// Starts clients with a rate of requests per second for each forwarder; forwarders past the list get the last rate.
/// Returns the clients and their start time.
fn start_clients(fleet: &Fleet, rates: &[f64], delay_ms: f64, duration_ms: f64) -> (Clients, f64) {
    let start_ms = fleet.world.now() + delay_ms;
    let load = Load {
        seed: 11,
        requests_per_s: rates.to_vec(),
        objects: 500,
        popularity_exponent: 0.8,
        write_fraction: 0.03,
        from_ms: start_ms,
        to_ms: start_ms + duration_ms,
        timeout_ms: 2_500,
        first_connection: 0,
    };
    (fleet.world.clients(&fleet.addresses(), &load), start_ms)
}

/// Waits for the clients and returns the verdict. Every request must be accounted for, and no answer may hold wrong
/// bytes.
fn final_verdict(fleet: &Fleet, clients: &Clients) -> Verdict {
    wait_until_done(fleet, || clients.is_done());
    let verdict = fleet.world.verdict();
    assert!(verdict.all_accounted_for(), "{verdict:?}");
    assert_eq!(clients.statistics().wrong_bytes, 0);
    verdict
}

/// Returns the [`final_verdict`], in which no rule may be broken.
fn verdict_without_violations(fleet: &Fleet, clients: &Clients) -> Verdict {
    let verdict = final_verdict(fleet, clients);
    assert_eq!(verdict.violations, [], "{:?}", &fleet.lines());
    verdict
}

fn logged(fleet: &Fleet, text: &str) -> bool {
    fleet.lines().iter().any(|line| line.contains(text))
}

/// Waits until a log line contains the text.
fn wait_for_line(fleet: &Fleet, text: &str) {
    let limit = fleet.world.now() + 15_000.0;
    while !logged(fleet, text) {
        assert!(
            fleet.world.now() < limit,
            "no log line with {text:?} within 15 s: {:?}",
            fleet.lines()
        );
        sleep(Duration::from_millis(20));
    }
}

#[test]
fn no_request_goes_unanswered_while_planners_are_killed_frozen_or_slow() {
    let mut fleet = fleet(setup(2, 3), Layout::default());
    let (clients, start_ms) = start_clients(&fleet, &[60.0], 200.0, 7_000.0);
    let script = [
        (start_ms + 1_000.0, Fault::KillPlanner(0)),
        (start_ms + 2_000.0, Fault::StartPlanner(0)),
        (start_ms + 3_000.0, Fault::FreezePlanner(1)),
        (start_ms + 4_500.0, Fault::ThawPlanner(1)),
        (
            start_ms + 4_600.0,
            Fault::PlannerLink(0, 0, LinkState::Delayed(300)),
        ),
        (
            start_ms + 5_200.0,
            Fault::PlannerLink(0, 0, LinkState::Delayed(900)),
        ),
        (
            start_ms + 5_800.0,
            Fault::PlannerLink(1, 0, LinkState::Stalled),
        ),
    ];
    fleet.play(&script).unwrap();
    let verdict = verdict_without_violations(&fleet, &clients);
    assert_eq!(verdict.left, 0);
    assert!(
        verdict.requests > 900 && verdict.served * 100 >= verdict.requests * 98,
        "{verdict:?}"
    );
}

#[test]
fn forwarders_keep_serving_after_all_planners_are_killed() {
    let mut fleet = fleet(setup(2, 2), Layout::default());
    let (clients, start_ms) = start_clients(&fleet, &[60.0], 200.0, 5_000.0);
    let kills = [
        (start_ms + 1_000.0, Fault::KillPlanner(0)),
        (start_ms + 1_000.0, Fault::KillPlanner(1)),
    ];
    fleet.play(&kills).unwrap();
    wait_for_line(&fleet, "guidance is now Ageing");
    let verdict = verdict_without_violations(&fleet, &clients);
    assert!(verdict.served * 100 >= verdict.requests * 98, "{verdict:?}");
}

#[test]
fn drain_reaches_a_forwarder_through_planners_when_its_coordinator_link_stalls() {
    let mut fleet = fleet(setup(2, 2), Layout::default());
    let caches = fleet.world.hosts(HostKind::Cache);
    let (clients, start_ms) = start_clients(&fleet, &[80.0], 200.0, 4_000.0);
    let script = [
        (
            start_ms + 800.0,
            Fault::CoordinatorLink(0, LinkState::Stalled),
        ),
        (start_ms + 1_000.0, Fault::Drain(caches[0].clone())),
        (start_ms + 1_800.0, Fault::Drain(caches[1].clone())),
    ];
    fleet.play(&script).unwrap();
    let verdict = verdict_without_violations(&fleet, &clients);
    assert!(verdict.latest_arrival < 1_000.0, "{verdict:?}");
}

#[test]
fn drain_reaches_a_forwarder_through_the_coordinator_when_planners_are_frozen() {
    let mut fleet = fleet(setup(2, 2), Layout::default());
    let caches = fleet.world.hosts(HostKind::Cache);
    let (clients, start_ms) = start_clients(&fleet, &[80.0], 200.0, 3_000.0);
    let script = [
        (start_ms + 500.0, Fault::FreezePlanner(0)),
        (start_ms + 500.0, Fault::FreezePlanner(1)),
        (start_ms + 1_000.0, Fault::Drain(caches[0].clone())),
    ];
    fleet.play(&script).unwrap();
    verdict_without_violations(&fleet, &clients);
}

#[test]
fn forwarder_without_any_contact_rejects_within_a_second_of_a_drain() {
    let mut fleet = fleet(
        Setup {
            plan_forms: "(blind (after-ms 900))",
            ..setup(2, 2)
        },
        Layout::default(),
    );
    let caches = fleet.world.hosts(HostKind::Cache);
    let (clients, start_ms) = start_clients(&fleet, &[80.0], 200.0, 6_000.0);
    let stalled_ms = start_ms + 1_500.0;
    let mut script = vec![(stalled_ms, Fault::CoordinatorLink(0, LinkState::Stalled))];
    script.extend((0..2).map(|planner| {
        (
            stalled_ms,
            Fault::PlannerLink(0, planner, LinkState::Stalled),
        )
    }));
    script.push((stalled_ms, Fault::Drain(caches[0].clone())));
    let restored_ms = start_ms + 4_000.0;
    script.push((restored_ms, Fault::CoordinatorLink(0, LinkState::Up)));
    script
        .extend((0..2).map(|planner| (restored_ms, Fault::PlannerLink(0, planner, LinkState::Up))));
    fleet.play(&script).unwrap();
    let verdict = verdict_without_violations(&fleet, &clients);
    assert!(verdict.rejected > 50, "{verdict:?}");
    assert!(
        logged(&fleet, "guidance is now Blind") && logged(&fleet, "was Blind"),
        "{:?}",
        fleet.lines()
    );
}

#[test]
fn planners_that_each_consider_themselves_in_charge_never_overload_a_cold_cache() {
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
    let (clients, start_ms) = start_clients(&fleet, &[200.0, 120.0, 5.0], STARTUP_WAIT_MS, 9_000.0);
    let mut script = vec![(start_ms + 500.0, Fault::RestartHost(cache))];
    let set_links = |at: f64, link_state| {
        [
            Fault::PlannerLink(0, 0, link_state),
            Fault::PlannerLink(1, 1, link_state),
        ]
        .map(|fault| (at, fault))
    };
    script.extend(set_links(start_ms + 1_500.0, LinkState::Stalled));
    script.extend(set_links(start_ms + 4_500.0, LinkState::Up));
    script.push((start_ms + 5_500.0, Fault::KillPlanner(0)));
    script.push((start_ms + 6_000.0, Fault::StartPlanner(0)));
    fleet.play(&script).unwrap();
    let verdict = verdict_without_violations(&fleet, &clients);
    assert_eq!(fleet.world.overloaded_hosts(), 0);
    assert!(
        verdict.peak_cold_load > 0.15,
        "the cold cache gets load: {verdict:?}"
    );
}

#[test]
fn restarted_forwarder_does_not_use_quotas_that_it_lent() {
    let layout = Layout {
        caches: 1,
        cache_slots: 32.0,
        slow_start_initial: 0.1,
        ..Layout::default()
    };
    let mut fleet = fleet(setup(1, 2), layout);
    let cache = fleet.world.hosts(HostKind::Cache)[0].clone();
    let (clients, start_ms) = start_clients(&fleet, &[200.0, 60.0], STARTUP_WAIT_MS, 7_000.0);
    let script = [
        (start_ms + 300.0, Fault::RestartHost(cache)),
        (start_ms + 2_000.0, Fault::KillForwarder(1)),
        (start_ms + 2_200.0, Fault::StartForwarder(1)),
    ];
    fleet.play(&script).unwrap();
    let verdict = verdict_without_violations(&fleet, &clients);
    assert!(
        verdict.left > 0,
        "clients lose their connections to the killed forwarder: {verdict:?}"
    );
    assert_eq!(fleet.world.overloaded_hosts(), 0);
}

#[test]
fn purge_received_by_both_routes_in_either_order_is_applied_in_time() {
    let mut fleet = fleet(setup(2, 2), Layout::default());
    let (clients, start_ms) = start_clients(&fleet, &[120.0], 200.0, 5_000.0);
    let object = |rank: u64| format!("{:016x}", rank.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let mut script = vec![(
        start_ms + 900.0,
        Fault::CoordinatorLink(0, LinkState::Stalled),
    )];
    script.extend((1..=3).map(|rank| (start_ms + 1_000.0, Fault::Purge(object(rank)))));
    script.push((start_ms + 1_800.0, Fault::CoordinatorLink(0, LinkState::Up)));
    script.push((
        start_ms + 2_000.0,
        Fault::PlannerLink(1, 0, LinkState::Delayed(400)),
    ));
    script.push((
        start_ms + 2_000.0,
        Fault::PlannerLink(1, 1, LinkState::Delayed(400)),
    ));
    script.extend((1..=3).map(|rank| (start_ms + 2_200.0, Fault::Purge(object(rank)))));
    fleet.play(&script).unwrap();
    verdict_without_violations(&fleet, &clients);
}

#[test]
fn forwarders_avoid_a_failing_parent_and_keep_serving() {
    let mut fleet = fleet(
        setup(1, 3),
        Layout {
            parents: 3,
            ..Layout::default()
        },
    );
    let parent = fleet.world.hosts(HostKind::Parent)[0].clone();
    let (clients, start_ms) = start_clients(&fleet, &[100.0], 200.0, 4_000.0);
    fleet
        .play(&[(
            start_ms + 1_000.0,
            Fault::HostFailureMode(parent, FailureMode::Failing),
        )])
        .unwrap();
    let verdict = verdict_without_violations(&fleet, &clients);
    assert!(verdict.served * 100 >= verdict.requests * 98, "{verdict:?}");
}
