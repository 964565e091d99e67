//! The distribution of events, model-checked: a coordinator that gives out events and loses its numbering, two planners
//! that hear it late or not at all and restart, one forwarder that restarts, and between them a network that loses,
//! delays, doubles and reorders whatever is sent. The state machines are the real ones.
//!
//! What is sent comes at once unless its way is held up; then it comes in any order, at any time, or never. All such
//! faults together are bounded in number, and every way to place them among the events and the steps of time is tried.
//!
//! Each event's hash is its place among all that were ever told, in whatever numbering. So "never out of order, and no
//! older list" means that the hash of the position never falls, and "nothing skipped without being reported" that each purge up
//! to it that has not settled was applied, or that copies from before it are refused.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod model;
mod state;
mod transitions;

use flaxdeck::Span;
use model::{LIVE, SAFE};
use state::{Action, Broken, Distribution};
use stateright::{Checker, Model, UniformChooser};

fn distribution(broken: Broken) -> Distribution {
    Distribution {
        broken,
        steps: 3,
        events: 2,
        renumberings: 0,
        faults: 1,
        keep_for: Span::from_ms(30_000),
        before: &[],
    }
}

fn holds(model: Distribution) {
    let started = std::time::Instant::now();
    let checker = model.checker().threads(4).spawn_bfs().join();
    let (all, unique, depth) = (
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth(),
    );
    println!(
        "{all} states, {unique} unique, depth {depth}, {:.1} s",
        started.elapsed().as_secs_f64()
    );
    checker.assert_properties();
}

fn breaks(model: Distribution) {
    let broken = model.broken;
    let checker = model.checker().threads(4).spawn_bfs().join();
    let found = checker.discovery(SAFE);
    let found = found.unwrap_or_else(|| {
        panic!(
            "{broken:?} is not found in {} states",
            checker.state_count()
        )
    });
    let wrong = found.last_state().wrong.unwrap_or_default();
    println!("{broken:?} after {:?}: {wrong}", found.into_actions());
}

#[test]
fn nothing_is_skipped_or_out_of_order_with_one_fault_of_any_kind() {
    holds(Distribution {
        events: 2,
        faults: 1,
        ..distribution(Broken::Nothing)
    });
}

#[test]
fn nothing_is_skipped_or_out_of_order_with_two_faults() {
    holds(Distribution {
        steps: 2,
        events: 2,
        faults: 2,
        ..distribution(Broken::Nothing)
    });
}

#[test]
fn nothing_is_skipped_or_out_of_order_where_the_numbering_turns_out_another() {
    holds(Distribution {
        steps: 6,
        events: 1,
        faults: 1,
        renumberings: 1,
        ..distribution(Broken::Nothing)
    });
}

#[test]
fn nothing_is_skipped_or_out_of_order_where_planners_keep_little() {
    let keep_for = Span::from_ms(900);
    holds(Distribution {
        steps: 5,
        events: 2,
        faults: 1,
        keep_for,
        ..distribution(Broken::Nothing)
    });
}

/// Schedules with more of everything, by chance, each to its end.
#[test]
fn nothing_is_skipped_or_out_of_order_in_long_random_schedules() {
    let model = Distribution {
        steps: 24,
        events: 8,
        faults: 8,
        renumberings: 2,
        ..distribution(Broken::Nothing)
    };
    let checker = model.checker().target_state_count(10_000);
    let checker = checker.spawn_simulation(7, UniformChooser).join();
    println!(
        "{} states, depth {}",
        checker.state_count(),
        checker.max_depth()
    );
    checker.assert_no_discovery(SAFE);
    checker.assert_no_discovery(LIVE);
}

#[test]
fn moving_the_position_before_applying_is_found() {
    breaks(distribution(Broken::MovesBeforeApplying));
}

#[test]
fn ignoring_a_gap_is_found() {
    breaks(distribution(Broken::GapIgnored));
}

#[test]
fn comparing_numbers_alone_is_found() {
    breaks(Distribution {
        steps: 6,
        renumberings: 1,
        ..distribution(Broken::HashNotCompared)
    });
}

#[test]
fn a_snapshot_of_a_planner_that_is_not_current_is_found() {
    let before = &[Action::Event, Action::Deafen(0), Action::Renumber];
    let broken = distribution(Broken::SnapshotWhileNotCurrent);
    breaks(Distribution {
        steps: 6,
        events: 1,
        renumberings: 1,
        before,
        ..broken
    });
}

#[test]
fn taking_an_older_snapshot_is_found() {
    let broken = distribution(Broken::OlderSnapshotTaken);
    breaks(Distribution {
        steps: 2,
        events: 0,
        renumberings: 1,
        faults: 2,
        ..broken
    });
}

#[test]
fn overstating_how_far_purges_reach_is_found() {
    breaks(Distribution {
        steps: 2,
        events: 1,
        faults: 2,
        ..distribution(Broken::ReachOverstated)
    });
}

#[test]
fn keeping_the_log_over_another_numbering_is_found() {
    breaks(Distribution {
        steps: 6,
        renumberings: 1,
        ..distribution(Broken::LogKeptOverRenumbering)
    });
}
