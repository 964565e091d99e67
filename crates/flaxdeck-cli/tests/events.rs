//! Events by one planner's batches and purge digests, among processes with faults between them. Each fault stands beside
//! its twin, the same day without it; rule 5 (nothing older than a purge after its grace) is judged over the record.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::path::PathBuf;
use std::thread::sleep;
use std::time::Duration;

use flaxdeck_emulator::fleet::{Fault, Fleet, Setup};
use flaxdeck_emulator::{Clients, Layout, LinkState, Load, World};
use flaxdeck_invariants::Verdict;

/// Batches at which a planner that hangs is left within the graces of these worlds.
const DIGESTS: &str = "(events (by digest) (batch-ms 150))";
/// Longer than a planner may hang unnoticed, and a batch.
const PURGE_GRACE_MS: f64 = 1_000.0;
const LASTS_MS: f64 = 6_000.0;
/// The share of the twin's answers that a day with a fault has at least.
const OF_THE_TWIN: f64 = 0.97;

fn object(rank: u64) -> String {
    format!("{:016x}", rank.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Purges of the objects most asked for, so many a second over that time.
fn purges(from: f64, to: f64, per_s: f64) -> Vec<(f64, Fault)> {
    let count = ((to - from) / 1_000.0 * per_s) as u64;
    (0..count)
        .map(|n| {
            (
                from + n as f64 * 1_000.0 / per_s,
                Fault::Purge(object(1 + n % 40)),
            )
        })
        .collect()
}

struct Day {
    verdict: Verdict,
    lines: Vec<String>,
}

impl Day {
    fn logged(&self, words: &str) -> bool {
        self.lines.iter().any(|line| line.contains(words))
    }

    fn served_share(&self) -> f64 {
        self.verdict.served as f64 / self.verdict.requests.max(1) as f64
    }
}

/// Plays a day with purges all along; `faults` gives what happens beside them, from the day's begin.
fn day(
    setup: Setup,
    layout: Layout,
    purges_per_s: f64,
    faults: impl Fn(f64) -> Vec<(f64, Fault)>,
) -> Day {
    let forwarders = setup.forwarders;
    let world = World::start(Layout {
        forwarders,
        purge_grace_ms: PURGE_GRACE_MS,
        ..layout
    })
    .unwrap();
    let mut fleet = Fleet::start(world, setup).unwrap();
    let begins = fleet.world.now() + 1_000.0;
    let load = Load {
        seed: 17,
        requests_per_s: vec![80.0],
        objects: 200,
        popularity_exponent: 0.9,
        write_fraction: 0.02,
        from_ms: begins,
        to_ms: begins + LASTS_MS,
        timeout_ms: 2_500,
        first_connection: 0,
    };
    let clients = fleet.world.clients(&fleet.addresses(), &load);
    let mut script = purges(begins + 200.0, begins + LASTS_MS - 1_500.0, purges_per_s);
    script.extend(faults(begins));
    script.sort_by(|(one, _), (other, _)| one.total_cmp(other));
    fleet.play(&script).unwrap();
    let verdict = judged(&fleet, &clients);
    Day {
        verdict,
        lines: fleet.lines(),
    }
}

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

fn setup(planners: usize, forwarders: usize) -> Setup {
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_flaxdeck"));
    Setup {
        plan_forms: DIGESTS,
        ..Setup::new(binary, planners, forwarders)
    }
}

/// The day with its faults and its twin without: no rule is broken in either, and the faults cost little.
fn beside_its_twin(
    setup: Setup,
    purges_per_s: f64,
    faults: impl Fn(f64) -> Vec<(f64, Fault)>,
) -> Day {
    let twin = day(setup.clone(), Layout::default(), purges_per_s, |_| {
        Vec::new()
    });
    let faulty = day(setup, Layout::default(), purges_per_s, faults);
    for (what, day) in [("the twin", &twin), ("the day", &faulty)] {
        assert_eq!(day.verdict.violations, [], "{what}: {:#?}", day.lines);
        println!(
            "{what}: {:.4} of {} served",
            day.served_share(),
            day.verdict.requests
        );
    }
    let least = twin.served_share() * OF_THE_TWIN;
    assert!(
        faulty.served_share() >= least,
        "{} of {}",
        faulty.served_share(),
        twin.served_share()
    );
    faulty
}

#[test]
fn a_planner_killed_at_a_batch_costs_no_event() {
    let script = |begins: f64| {
        let kill = |at: f64, planner| {
            [
                (at, Fault::KillPlanner(planner)),
                (at + 900.0, Fault::StartPlanner(planner)),
            ]
        };
        [kill(begins + 1_410.0, 0), kill(begins + 3_475.0, 1)].concat()
    };
    let day = beside_its_twin(setup(2, 3), 20.0, script);
    assert!(day.logged("the conversation is over"));
}

#[test]
fn a_planner_that_hangs_is_left_for_the_other() {
    let script = |begins: f64| {
        let hang = |at: f64, planner| {
            [
                (at, Fault::FreezePlanner(planner)),
                (at + 1_500.0, Fault::ThawPlanner(planner)),
            ]
        };
        [hang(begins + 1_000.0, 0), hang(begins + 3_000.0, 1)].concat()
    };
    beside_its_twin(setup(2, 3), 20.0, script);
}

#[test]
fn another_numbering_of_the_coordinator_loses_no_purge() {
    let day = beside_its_twin(setup(2, 2), 20.0, |begins| {
        vec![
            (begins + 1_500.0, Fault::LoseNumbering),
            (begins + 3_000.0, Fault::JumpAhead(500)),
        ]
    });
    assert!(day.logged("its list is taken anew"));
}

#[test]
fn a_forwarder_that_reads_late_catches_up_in_order() {
    beside_its_twin(setup(2, 2), 20.0, |begins| {
        let late = |planner| {
            (
                begins + 1_000.0,
                Fault::PlannerLink(0, planner, LinkState::Delayed(150)),
            )
        };
        let whole = |planner| {
            (
                begins + 3_500.0,
                Fault::PlannerLink(0, planner, LinkState::Up),
            )
        };
        vec![late(0), late(1), whole(0), whole(1)]
    });
}

#[test]
fn a_storm_of_ten_times_the_purges_is_passed_on() {
    beside_its_twin(setup(2, 2), 20.0, |begins| {
        purges(begins + 1_500.0, begins + 3_000.0, 200.0)
    });
}

#[test]
fn without_planners_the_coordinator_tells_the_events_and_planners_take_over_again() {
    let day = beside_its_twin(setup(2, 2), 20.0, |begins| {
        let kill = |planner| (begins + 1_000.0, Fault::KillPlanner(planner));
        let start = |planner| (begins + 2_500.0, Fault::StartPlanner(planner));
        vec![kill(0), kill(1), start(0), start(1)]
    });
    assert!(day.logged("no planner delivers"), "{:#?}", day.lines);
}

#[test]
fn a_forwarder_killed_and_back_hands_out_nothing_older_than_a_purge() {
    let state = Setup {
        keeps_state: true,
        ..setup(2, 2)
    };
    let day = day(state, Layout::default(), 20.0, |begins| {
        let kill = |at: f64| {
            [
                (at, Fault::KillForwarder(0)),
                (at + 300.0, Fault::StartForwarder(0)),
            ]
        };
        [kill(begins + 1_200.0), kill(begins + 3_400.0)].concat()
    });
    assert_eq!(day.verdict.violations, [], "{:#?}", day.lines);
}

#[test]
fn a_drain_reaches_every_forwarder_by_its_planner_alone() {
    let day = day(setup(2, 3), Layout::default(), 20.0, |begins| {
        vec![
            (begins + 1_500.0, Fault::Drain("s-0000ca00".into())),
            (begins + 2_500.0, Fault::Drain("s-0000ca01".into())),
        ]
    });
    assert_eq!(day.verdict.violations, [], "{:#?}", day.lines);
}
