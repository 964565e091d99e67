//! Model check of the lending of quotas. The model has two forwarders and up to two planners that both act as lease
//! holder; messages that are lost, delayed, duplicated and reordered; restarts of either side; and clocks that show
//! different times and drift by the maximum that the lease terms allow. In every state, the forwarders' total use of a
//! warming host within the window must stay within the host's full quota. The model uses the real `Quotas` and
//! `QuotaPool`. It leaves out the checks of epochs and message numbers, because the bound must not depend on them.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod model;
mod transitions;

use model::{DRIFT_PER_MILLE, Defect, Lending};
use stateright::{Checker, Model};

fn lending(defect: Defect) -> Lending {
    let rates = [
        1000 - u64::from(DRIFT_PER_MILLE),
        1000 + u64::from(DRIFT_PER_MILLE),
        1000 - u64::from(DRIFT_PER_MILLE),
        1000,
    ];
    Lending {
        defect,
        both_roles: false,
        reserve: 0.0,
        steps: 8,
        reports: [1, 1],
        window: 2,
        restarts: 0,
        planners: 1,
        rates,
        empty_answers: false,
    }
}

fn assert_properties(model: Lending) {
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!(
        "{} states, {} unique, depth {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
}

fn assert_violation_found(model: Lending) {
    let defect = model.defect;
    let checker = model.checker().threads(4).spawn_bfs().join();
    let found = checker.discovery(model::WITHIN_QUOTA);
    let found = found.unwrap_or_else(|| {
        panic!(
            "defect {defect:?} caused no violation in {} states",
            checker.state_count()
        )
    });
    println!(
        "defect {defect:?} causes a violation after {} actions",
        found.into_actions().len()
    );
}

#[test]
fn use_stays_within_the_quota_with_one_planner() {
    assert_properties(Lending {
        reports: [2, 2],
        steps: 6,
        ..lending(Defect::None)
    });
}

#[test]
fn use_stays_within_the_quota_over_the_lifetime_of_a_deposit() {
    assert_properties(Lending {
        reports: [1, 2],
        steps: 9,
        ..lending(Defect::None)
    });
}

#[test]
fn use_stays_within_the_quota_if_both_may_lend_or_borrow() {
    assert_properties(Lending {
        both_roles: true,
        steps: 7,
        ..lending(Defect::None)
    });
}

#[test]
fn use_stays_within_the_quota_with_two_lease_holders() {
    assert_properties(Lending {
        planners: 2,
        reports: [2, 1],
        steps: 5,
        ..lending(Defect::None)
    });
}

#[test]
fn use_stays_within_the_quota_if_either_side_restarts() {
    assert_properties(Lending {
        restarts: 1,
        steps: 5,
        ..lending(Defect::None)
    });
}

#[test]
fn use_stays_within_the_quota_if_planners_have_own_quota() {
    assert_properties(Lending {
        reserve: 0.4,
        restarts: 1,
        steps: 7,
        reports: [0, 2],
        ..lending(Defect::None)
    });
}

/// Takes several minutes and gigabytes of memory:
/// `cargo test --release -p flaxdeck-control --test lease_model -- --ignored`.
#[test]
#[ignore = "long"]
fn use_stays_within_the_quota_in_longer_runs() {
    assert_properties(Lending {
        restarts: 1,
        steps: 6,
        ..lending(Defect::None)
    });
    assert_properties(Lending {
        planners: 2,
        reports: [2, 2],
        steps: 3,
        ..lending(Defect::None)
    });
    assert_properties(Lending {
        both_roles: true,
        reports: [2, 2],
        steps: 5,
        ..lending(Defect::None)
    });
}

#[test]
fn planner_that_skips_its_startup_wait_is_detected() {
    let defect = Defect::PlannerSkipsStartupWait;
    assert_violation_found(Lending {
        reserve: 0.4,
        restarts: 1,
        steps: 3,
        reports: [0, 2],
        ..lending(defect)
    });
}

#[test]
fn deposit_counted_from_its_receipt_is_detected() {
    assert_violation_found(lending(Defect::DepositFromReceipt));
}

#[test]
fn forwarder_that_skips_its_startup_wait_is_detected() {
    assert_violation_found(Lending {
        restarts: 1,
        steps: 4,
        ..lending(Defect::ForwarderSkipsStartupWait)
    });
}

#[test]
fn grant_without_a_reserved_window_is_detected() {
    let rates = [
        1000 + u64::from(DRIFT_PER_MILLE),
        1000 - u64::from(DRIFT_PER_MILLE),
        1000,
        1000,
    ];
    assert_violation_found(Lending {
        window: 3,
        rates,
        steps: 8,
        ..lending(Defect::WindowNotReserved)
    });
}

#[test]
fn grant_counted_from_its_receipt_is_detected() {
    assert_violation_found(lending(Defect::GrantFromReceipt));
}

#[test]
fn lender_that_uses_its_deposit_is_detected() {
    assert_violation_found(Lending {
        steps: 3,
        ..lending(Defect::LenderKeepsUsing)
    });
}
