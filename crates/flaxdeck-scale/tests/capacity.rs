//! Rows and state entries of the capacity page, computed from synthetic slopes.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod made_up_capacity;

use flaxdeck_scale::capacity::estimate::{Lines, Provenance};
use flaxdeck_scale::capacity::page::page;
use flaxdeck_scale::capacity::rows::{Basis, RoleRows, Row};
use flaxdeck_scale::capacity::state::states;
use flaxdeck_scale::fit::fit;
use flaxdeck_scale::measurement::{Measurement, Metric, Role};

use made_up_capacity::{assert_near, committed_target, made_up_rows, row, slopes, with_roles};

#[test]
fn dispatcher_control_traffic_is_the_sum_over_message_kinds_compared_with_the_budget() {
    with_roles(&made_up_rows(), |roles| {
        let row = row(roles, "Dispatcher", "all control");
        assert_near(row.estimates[0].value, 80.0 * 330.0 + 1_000.0);
        assert_near(row.ratios()[0], 27_400.0 / 2_000.0);
        assert!(row.is_over(0));
        assert_near(row.estimates[1].value, 3.0 * 330.0 + 400.0);
        assert_near(row.ratios()[1], 1_390.0 / 2_000.0);
        assert!(!row.is_over(1));
        let provenance = Provenance::Slope {
            factor: 1.0,
            unvaried: vec![],
            partly_measured_at: None,
        };
        assert_eq!(
            row.estimates[0].provenance, provenance,
            "the target's purge rate and number of hosts were measured, so the factor is 1"
        );
    });
}

#[test]
fn memory_is_estimated_from_the_fitted_slope() {
    with_roles(&made_up_rows(), |roles| {
        let row = row(roles, "Dispatcher", "resident memory");
        assert_near(row.estimates[0].value, 1e6 + 500.0 * 3_500.0);
        assert_near(row.ratios()[0], 2.75e6 / 64e6);
        assert_eq!(
            row.estimates[1].provenance,
            Provenance::NotShown,
            "no row measures memory under the digest distribution"
        );
    });
}

#[test]
fn planner_load_is_extrapolated_by_the_number_of_dispatchers() {
    with_roles(&made_up_rows(), |roles| {
        let whole = row(roles, "Planner that hears", "processor time");
        assert_near(
            whole.estimates[0].value,
            0.01 + 14_000.0 * (330.0 * 1e-6 + 1e-5),
        );
        let provenance = Provenance::Slope {
            factor: 14.0,
            unvaried: vec![],
            partly_measured_at: None,
        };
        assert_eq!(whole.estimates[0].provenance, provenance);
        assert!(whole.is_over(0), "the budget of a planner is one core");
        let group = row(roles, "Planner where", "processor time");
        assert_near(
            group.estimates[0].value,
            0.01 + 1_167.0 * (330.0 * 1e-6 + 1e-5),
        );
        assert!(!group.is_over(0));
        let descriptors = row(roles, "Planner that hears", "descriptors");
        assert_near(descriptors.ratios()[0], 14_020.0 / 4_096.0);
    });
}

#[test]
fn machines_needed_is_the_fleet_divided_by_the_dispatchers_that_one_core_serves() {
    with_roles(&made_up_rows(), |roles| {
        let row = row(roles, "The machines", "machines needed");
        let served: f64 = (1.0 - 0.01) / (330.0 * 1e-6 + 1e-5);
        assert_near(row.estimates[0].value, (28_000.0 / served).ceil());
        let cores = cores_row(roles);
        assert_near(
            cores.estimates[0].value,
            24.0 * (0.01 + 1_167.0 * (330.0 * 1e-6 + 1e-5)),
        );
    });
}

fn cores_row(roles: &[RoleRows]) -> &Row {
    row(roles, "The machines", "processor time")
}

#[test]
fn delays_are_not_extrapolated() {
    with_roles(&made_up_rows(), |roles| {
        let row = row(roles, "Dispatcher", "an event until");
        assert_near(row.estimates[0].value, 1_000.0);
        assert!(
            matches!(row.estimates[0].provenance, Provenance::Measured { at } if at.forwarders == 1_000.0)
        );
    });
}

#[test]
fn values_measured_below_the_target_size_are_lower_bounds() {
    let mut rows = made_up_rows();
    rows.retain(|row| row.metric != Metric::Descriptors || row.hollow_forwarders == 1_000);
    with_roles(&rows, |roles| {
        let whole = row(roles, "Planner that hears", "descriptors");
        assert!(
            matches!(
                whole.estimates[0].provenance,
                Provenance::MeasuredAtSmallerSize { .. }
            ),
            "{whole:?}"
        );
    });
    let page = page(&slopes(&rows), &committed_target()).expect("the page is rendered");
    assert!(page.contains("| at least 1,020 descriptors | at least 0.249 | measured at 1,000 forwarders, 3,500 hosts, 330 purges/s only |"));
}

#[test]
fn runs_with_different_numbers_of_planners_are_not_summed() {
    let mut rows = made_up_rows();
    let others = rows.clone().into_iter().flat_map(|row| {
        [1, 4].map(|planners| Measurement {
            planners,
            value: 3.0 * row.value,
            ..row.clone()
        })
    });
    rows.extend(others.collect::<Vec<_>>());
    with_roles(&rows, |roles| {
        assert_near(
            row(roles, "Dispatcher", "all control").estimates[0].value,
            27_400.0,
        );
    });
    rows.retain(|row| row.planners != 2);
    with_roles(&rows, |roles| {
        assert_near(
            row(roles, "Dispatcher", "all control").estimates[0].value,
            3.0 * 27_400.0,
        );
    });
}

#[test]
fn rows_of_a_role_are_sorted_by_budget_ratio() {
    with_roles(&made_up_rows(), |roles| {
        for role in roles {
            let weights: Vec<f64> = role
                .rows
                .iter()
                .map(|row| row.ratios().into_iter().flatten().fold(-1.0, f64::max))
                .collect();
            assert!(
                weights.is_sorted_by(|one, other| one >= other),
                "rows of {} are not sorted by ratio: {weights:?}",
                role.title
            );
        }
    });
}

#[test]
fn any_lost_event_exceeds_a_budget_of_zero() {
    let mut rows = made_up_rows();
    let lost = |value| Measurement {
        role: Role::HollowForwarder,
        metric: Metric::EventsLost,
        value,
        ..rows[0].clone()
    };
    let (none, some) = (
        lost(0.0),
        Measurement {
            hollow_forwarders: 30,
            ..lost(2.0)
        },
    );
    rows.extend([none, some]);
    with_roles(&rows, |roles| {
        let row = row(roles, "Dispatcher", "lost");
        assert!(
            row.is_over(0),
            "events lost at a smaller size than the largest count as well"
        );
        assert!(
            !row.is_over(1),
            "a value that no run measured is not over budget"
        );
    });
}

#[test]
fn state_entries_are_compared_with_the_limits_in_the_code() {
    let (target, lines) = (committed_target(), fit(&made_up_rows()));
    let states = states(Basis {
        lines: Lines::new(&lines, 2),
        target: &target,
    });
    let ratio = |what: &str| {
        states
            .iter()
            .find(|state| state.what.starts_with(what))
            .and_then(|state| state.ratio())
    };
    let of_role = |role: &str, what: &str| {
        let of_role = states.iter().filter(|state| state.role.starts_with(role));
        of_role
            .filter(|state| state.what.starts_with(what))
            .find_map(|state| state.ratio())
    };
    assert_near(ratio("dispatchers heard, if"), 14_000.0 / 4_096.0);
    let in_store = |what: &str| {
        let in_store = states
            .iter()
            .filter(|state| state.role.starts_with("an operator's store"));
        in_store
            .filter(|state| state.what == what)
            .find_map(|state| state.ratio())
    };
    assert_near(
        in_store("purges, as far back as one may take"),
        330.0 * 6.8 / 32_768.0,
    );
    assert_near(
        in_store("purges, as far back as one may take, in a purge storm"),
        3_300.0 * 6.8 / 32_768.0,
    );
    assert_near(
        of_role("a batch", "purges, as far back as one may take, in"),
        3_300.0 * 6.8 / 4_096.0,
    );
    assert_near(
        ratio("events told in messages"),
        (330.0 + 82_000.0 / 86_400.0) / 320.0,
    );
}
