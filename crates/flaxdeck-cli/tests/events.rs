//! Delivery of events by one planner, in batches and purge digests, among processes with faults. Most days with faults
//! are compared with a twin, the same day without them. The record of every day is checked against the rules, of which
//! rule 5 (no copy older than a purge is handed out after the grace) matters most here.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod clients;

use std::path::PathBuf;

use clients::wait_until_done;
use flaxdeck_emulator::fleet::{Fault, Fleet, Setup};
use flaxdeck_emulator::{Clients, Layout, LinkState, Load, World};
use flaxdeck_invariants::Verdict;

/// Forms of the plan for delivery by digest. Its batches are short enough that a forwarder leaves a planner that hangs
/// within [`PURGE_GRACE_MS`].
const DIGEST_FORMS: &str = "(events (by digest) (batch-ms 150))";
/// Longer than a planner can hang unnoticed and the interval between batches together.
const PURGE_GRACE_MS: f64 = 1_000.0;
const DURATION_MS: f64 = 6_000.0;
/// The fraction of the twin's served share that a day with faults must reach.
const MIN_SHARE_OF_TWIN: f64 = 0.97;

fn object(rank: u64) -> String {
    format!("{:016x}", rank.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Returns purges of the most popular objects at an even rate between two times.
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
    fn logged(&self, text: &str) -> bool {
        self.lines.iter().any(|line| line.contains(text))
    }

    fn served_share(&self) -> f64 {
        self.verdict.served as f64 / self.verdict.requests.max(1) as f64
    }
}

/// Plays a day with purges throughout. `faults` returns the further faults for the time at which the clients start.
fn play_day(
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
    let start_ms = fleet.world.now() + 1_000.0;
    let load = Load {
        seed: 17,
        requests_per_s: vec![80.0],
        objects: 200,
        popularity_exponent: 0.9,
        write_fraction: 0.02,
        from_ms: start_ms,
        to_ms: start_ms + DURATION_MS,
        timeout_ms: 2_500,
        first_connection: 0,
    };
    let clients = fleet.world.clients(&fleet.addresses(), &load);
    let mut script = purges(
        start_ms + 200.0,
        start_ms + DURATION_MS - 1_500.0,
        purges_per_s,
    );
    script.extend(faults(start_ms));
    script.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    fleet.play(&script).unwrap();
    let verdict = final_verdict(&fleet, &clients);
    Day {
        verdict,
        lines: fleet.lines(),
    }
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

fn setup(planners: usize, forwarders: usize) -> Setup {
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_flaxdeck"));
    Setup {
        plan_forms: DIGEST_FORMS,
        ..Setup::new(binary, planners, forwarders)
    }
}

/// Plays a day with faults and its twin without them. No rule may be broken in either, and the day must serve at least
/// [`MIN_SHARE_OF_TWIN`] of the twin's share. Returns the day with faults.
fn play_with_twin(
    setup: Setup,
    purges_per_s: f64,
    faults: impl Fn(f64) -> Vec<(f64, Fault)>,
) -> Day {
    let twin = play_day(setup.clone(), Layout::default(), purges_per_s, |_| {
        Vec::new()
    });
    let faulty = play_day(setup, Layout::default(), purges_per_s, faults);
    for (name, day) in [("the twin", &twin), ("the day with faults", &faulty)] {
        assert_eq!(day.verdict.violations, [], "{name}: {:#?}", day.lines);
        println!(
            "{name}: {:.4} of {} served",
            day.served_share(),
            day.verdict.requests
        );
    }
    let min_share = twin.served_share() * MIN_SHARE_OF_TWIN;
    assert!(
        faulty.served_share() >= min_share,
        "served share {} with faults, {} in the twin",
        faulty.served_share(),
        twin.served_share()
    );
    faulty
}

#[test]
fn planner_killed_during_a_batch_loses_no_event() {
    let script = |start_ms: f64| {
        let kill_and_restart = |at: f64, planner| {
            [
                (at, Fault::KillPlanner(planner)),
                (at + 900.0, Fault::StartPlanner(planner)),
            ]
        };
        [
            kill_and_restart(start_ms + 1_410.0, 0),
            kill_and_restart(start_ms + 3_475.0, 1),
        ]
        .concat()
    };
    let day = play_with_twin(setup(2, 3), 20.0, script);
    assert!(day.logged("the conversation is over"));
}

#[test]
fn forwarders_switch_from_a_hanging_planner_to_the_other() {
    let script = |start_ms: f64| {
        let freeze_and_thaw = |at: f64, planner| {
            [
                (at, Fault::FreezePlanner(planner)),
                (at + 1_500.0, Fault::ThawPlanner(planner)),
            ]
        };
        [
            freeze_and_thaw(start_ms + 1_000.0, 0),
            freeze_and_thaw(start_ms + 3_000.0, 1),
        ]
        .concat()
    };
    play_with_twin(setup(2, 3), 20.0, script);
}

#[test]
fn new_numbering_of_the_coordinator_loses_no_purge() {
    let day = play_with_twin(setup(2, 2), 20.0, |start_ms| {
        vec![
            (start_ms + 1_500.0, Fault::LoseNumbering),
            (start_ms + 3_000.0, Fault::JumpAhead(500)),
        ]
    });
    assert!(day.logged("its list is taken anew"));
}

#[test]
fn forwarder_with_delayed_links_catches_up_in_order() {
    play_with_twin(setup(2, 2), 20.0, |start_ms| {
        let delay = |planner| {
            (
                start_ms + 1_000.0,
                Fault::PlannerLink(0, planner, LinkState::Delayed(150)),
            )
        };
        let restore = |planner| {
            (
                start_ms + 3_500.0,
                Fault::PlannerLink(0, planner, LinkState::Up),
            )
        };
        vec![delay(0), delay(1), restore(0), restore(1)]
    });
}

#[test]
fn burst_of_ten_times_the_purges_is_delivered() {
    play_with_twin(setup(2, 2), 20.0, |start_ms| {
        purges(start_ms + 1_500.0, start_ms + 3_000.0, 200.0)
    });
}

#[test]
fn coordinator_delivers_events_until_killed_planners_are_back() {
    let day = play_with_twin(setup(2, 2), 20.0, |start_ms| {
        let kill = |planner| (start_ms + 1_000.0, Fault::KillPlanner(planner));
        let start = |planner| (start_ms + 2_500.0, Fault::StartPlanner(planner));
        vec![kill(0), kill(1), start(0), start(1)]
    });
    assert!(day.logged("no planner delivers"), "{:#?}", day.lines);
}

#[test]
fn restarted_forwarder_serves_no_copy_older_than_a_purge() {
    let with_state = Setup {
        keeps_state: true,
        ..setup(2, 2)
    };
    let day = play_day(with_state, Layout::default(), 20.0, |start_ms| {
        let kill_and_restart = |at: f64| {
            [
                (at, Fault::KillForwarder(0)),
                (at + 300.0, Fault::StartForwarder(0)),
            ]
        };
        [
            kill_and_restart(start_ms + 1_200.0),
            kill_and_restart(start_ms + 3_400.0),
        ]
        .concat()
    });
    assert_eq!(day.verdict.violations, [], "{:#?}", day.lines);
}

#[test]
fn drains_reach_every_forwarder_through_its_planner_alone() {
    let day = play_day(setup(2, 3), Layout::default(), 20.0, |start_ms| {
        vec![
            (start_ms + 1_500.0, Fault::Drain("s-0000ca00".into())),
            (start_ms + 2_500.0, Fault::Drain("s-0000ca01".into())),
        ]
    });
    assert_eq!(day.verdict.violations, [], "{:#?}", day.lines);
}
