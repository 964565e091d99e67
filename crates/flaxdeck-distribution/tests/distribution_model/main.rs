//! Model checking of the distribution of events: a coordinator that emits events and loses its numbering, two planners
//! that receive them late or not at all and restart, one forwarder that restarts, and between them a network that
//! loses, delays, duplicates and reorders messages. The state machines are the real ones.
//!
//! A message is delivered at once unless its direction is held; then it is delivered in any order, at any time, or
//! never. The total number of such faults is bounded, and every way to place them among the events and the time steps
//! is tried.
//!
//! Each event's hash is its index among all events ever emitted, in whichever numbering. So "never out of order, and no
//! older list" means that the hash of the position never decreases. "Nothing skipped without being reported" means that
//! each unsettled purge up to the position was applied, or that copies older than it are not served.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod model;
mod state;
mod transitions;

use flaxdeck::Span;
use model::{LIVENESS, SAFETY};
use state::{Action, Distribution, Mutation};
use stateright::{Checker, Model, UniformChooser};

fn distribution(mutation: Mutation) -> Distribution {
    Distribution {
        mutation,
        steps: 3,
        events: 2,
        renumberings: 0,
        faults: 1,
        keep_for: Span::from_ms(30_000),
        initial_actions: &[],
    }
}

fn assert_properties_hold(model: Distribution) {
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

fn assert_mutation_is_detected(model: Distribution) {
    let mutation = model.mutation;
    let checker = model.checker().threads(4).spawn_bfs().join();
    let found = checker.discovery(SAFETY);
    let found = found.unwrap_or_else(|| {
        panic!(
            "{mutation:?} was not detected in {} states",
            checker.state_count()
        )
    });
    let violation = found.last_state().violation.unwrap_or_default();
    println!(
        "{mutation:?} detected after {:?}: {violation}",
        found.into_actions()
    );
}

#[test]
fn events_are_complete_and_ordered_with_one_fault_of_any_kind() {
    assert_properties_hold(Distribution {
        events: 2,
        faults: 1,
        ..distribution(Mutation::None)
    });
}

#[test]
fn events_are_complete_and_ordered_with_two_faults() {
    assert_properties_hold(Distribution {
        steps: 2,
        events: 2,
        faults: 2,
        ..distribution(Mutation::None)
    });
}

#[test]
fn events_are_complete_and_ordered_when_the_numbering_changes() {
    assert_properties_hold(Distribution {
        steps: 6,
        events: 1,
        faults: 1,
        renumberings: 1,
        ..distribution(Mutation::None)
    });
}

#[test]
fn events_are_complete_and_ordered_when_planners_retain_little() {
    let keep_for = Span::from_ms(900);
    assert_properties_hold(Distribution {
        steps: 5,
        events: 2,
        faults: 1,
        keep_for,
        ..distribution(Mutation::None)
    });
}

/// Random schedules with more events, faults and renumberings, each run to its end.
#[test]
fn events_are_complete_and_ordered_in_long_random_schedules() {
    let model = Distribution {
        steps: 24,
        events: 8,
        faults: 8,
        renumberings: 2,
        ..distribution(Mutation::None)
    };
    let checker = model.checker().target_state_count(10_000);
    let checker = checker.spawn_simulation(7, UniformChooser).join();
    println!(
        "{} states, depth {}",
        checker.state_count(),
        checker.max_depth()
    );
    checker.assert_no_discovery(SAFETY);
    checker.assert_no_discovery(LIVENESS);
}

#[test]
fn moving_the_position_before_applying_is_detected() {
    assert_mutation_is_detected(distribution(Mutation::MovesBeforeApplying));
}

#[test]
fn ignoring_a_gap_is_detected() {
    assert_mutation_is_detected(distribution(Mutation::GapIgnored));
}

#[test]
fn comparing_positions_without_their_hashes_is_detected() {
    assert_mutation_is_detected(Distribution {
        steps: 6,
        renumberings: 1,
        ..distribution(Mutation::HashNotCompared)
    });
}

#[test]
fn a_snapshot_of_a_planner_that_is_not_current_is_detected() {
    let initial_actions = &[Action::Event, Action::Partition(0), Action::Renumber];
    let mutation = distribution(Mutation::SnapshotWhileNotCurrent);
    assert_mutation_is_detected(Distribution {
        steps: 6,
        events: 1,
        renumberings: 1,
        initial_actions,
        ..mutation
    });
}

#[test]
fn accepting_an_older_snapshot_is_detected() {
    let mutation = distribution(Mutation::OlderSnapshotTaken);
    assert_mutation_is_detected(Distribution {
        steps: 2,
        events: 0,
        renumberings: 1,
        faults: 2,
        ..mutation
    });
}

#[test]
fn overstating_how_far_purges_reach_is_detected() {
    assert_mutation_is_detected(Distribution {
        steps: 2,
        events: 1,
        faults: 2,
        ..distribution(Mutation::ReachOverstated)
    });
}

#[test]
fn keeping_the_log_when_the_numbering_changes_is_detected() {
    assert_mutation_is_detected(Distribution {
        steps: 6,
        renumberings: 1,
        ..distribution(Mutation::LogKeptOverRenumbering)
    });
}
