//! The lending of quotas, model-checked: two forwarders and two planners that both take themselves for the lease holder,
//! messages that are lost, delayed, duplicated and reordered, restarts of either side, and clocks that disagree and run
//! apart by the stated bound. Whatever happens, what all forwarders use of a warming host within its window stays within
//! the whole. The ledgers are the real ones; the checks of epochs and numbers are left out, as nothing may rest on them.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod model;
mod transitions;

use model::{Broken, DRIFT, Lending};
use stateright::{Checker, Model};

fn lending(broken: Broken) -> Lending {
    let rates = [
        1000 - u64::from(DRIFT),
        1000 + u64::from(DRIFT),
        1000 - u64::from(DRIFT),
        1000,
    ];
    Lending {
        broken,
        both: false,
        reserve: 0.0,
        steps: 8,
        reports: [1, 1],
        window: 2,
        restarts: 0,
        planners: 1,
        rates,
        stamps: false,
    }
}

fn holds(model: Lending) {
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!(
        "{} states, {} unique, depth {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
}

fn breaks(model: Lending) {
    let broken = model.broken;
    let checker = model.checker().threads(4).spawn_bfs().join();
    let found = checker.discovery(model::WITHIN_THE_WHOLE);
    let found = found.unwrap_or_else(|| {
        panic!(
            "{broken:?} is not found in {} states",
            checker.state_count()
        )
    });
    println!("{broken:?} after {} actions", found.into_actions().len());
}

#[test]
fn shares_never_add_up_to_more_than_the_whole_with_one_planner() {
    holds(Lending {
        reports: [2, 2],
        steps: 6,
        ..lending(Broken::Nothing)
    });
}

#[test]
fn shares_never_add_up_to_more_than_the_whole_over_a_deposits_life() {
    holds(Lending {
        reports: [1, 2],
        steps: 9,
        ..lending(Broken::Nothing)
    });
}

#[test]
fn shares_never_add_up_to_more_than_the_whole_when_either_may_lend_or_borrow() {
    holds(Lending {
        both: true,
        steps: 7,
        ..lending(Broken::Nothing)
    });
}

#[test]
fn shares_never_add_up_to_more_than_the_whole_with_two_lease_holders() {
    holds(Lending {
        planners: 2,
        reports: [2, 1],
        steps: 5,
        ..lending(Broken::Nothing)
    });
}

#[test]
fn shares_never_add_up_to_more_than_the_whole_when_either_side_restarts() {
    holds(Lending {
        restarts: 1,
        steps: 5,
        ..lending(Broken::Nothing)
    });
}

#[test]
fn shares_never_add_up_to_more_than_the_whole_with_parts_of_the_planners() {
    holds(Lending {
        reserve: 0.4,
        restarts: 1,
        steps: 7,
        reports: [0, 2],
        ..lending(Broken::Nothing)
    });
}

/// Some minutes and gigabytes: `cargo test --release -p flaxdeck-control --test lease_model -- --ignored`.
#[test]
#[ignore = "long"]
fn shares_never_add_up_to_more_than_the_whole_in_longer_runs() {
    holds(Lending {
        restarts: 1,
        steps: 6,
        ..lending(Broken::Nothing)
    });
    holds(Lending {
        planners: 2,
        reports: [2, 2],
        steps: 3,
        ..lending(Broken::Nothing)
    });
    holds(Lending {
        both: true,
        reports: [2, 2],
        steps: 5,
        ..lending(Broken::Nothing)
    });
}

#[test]
fn a_planner_that_does_not_wait_out_its_earlier_grants_is_found() {
    let broken = Broken::PlannerWaitsForNothing;
    breaks(Lending {
        reserve: 0.4,
        restarts: 1,
        steps: 3,
        reports: [0, 2],
        ..lending(broken)
    });
}

#[test]
fn a_deposit_counted_from_its_receipt_is_found() {
    breaks(lending(Broken::DepositFromReceipt));
}

#[test]
fn a_forwarder_that_restarts_into_what_it_lent_is_found() {
    breaks(Lending {
        restarts: 1,
        steps: 4,
        ..lending(Broken::ForwarderWaitsForNothing)
    });
}

#[test]
fn a_grant_whose_last_use_is_forgotten_is_found() {
    let rates = [1000 + u64::from(DRIFT), 1000 - u64::from(DRIFT), 1000, 1000];
    breaks(Lending {
        window: 3,
        rates,
        steps: 8,
        ..lending(Broken::WindowForgotten)
    });
}

#[test]
fn a_grant_counted_from_its_receipt_is_found() {
    breaks(lending(Broken::GrantFromReceipt));
}

#[test]
fn a_lender_that_uses_what_it_lent_is_found() {
    breaks(Lending {
        steps: 3,
        ..lending(Broken::LenderKeepsUsing)
    });
}
