//! Lines fitted to synthetic measurements: known coefficients are recovered, and noise gives no slope.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod made_up_runs;

use flaxdeck_scale::fit::least_squares::least_squares;
use flaxdeck_scale::fit::line::Evidence;
use flaxdeck_scale::fit::nature::{Size, Term};
use flaxdeck_scale::measurement::{Measurement, Metric, Role};

use made_up_runs::{assert_near, noisy_rows, row, single_line};

#[test]
fn least_squares_recovers_an_exact_plane() {
    let rows: Vec<Vec<f64>> = (0..12)
        .map(|n| vec![1.0, f64::from(n % 4), f64::from(n / 4) * 1e5])
        .collect();
    let values: Vec<f64> = rows
        .iter()
        .map(|row| 7.0 + 3.0 * row[1] + 2e-5 * row[2])
        .collect();
    let solution = least_squares(&rows, &values).expect("the columns are independent");
    assert_near(solution.coefficients[0], 7.0, 1e-9);
    assert_near(solution.coefficients[1], 3.0, 1e-9);
    assert_near(solution.coefficients[2], 2e-5, 1e-9);
    assert!(
        solution.residual < 1e-9,
        "the residual of an exact plane is not near 0: {}",
        solution.residual
    );
}

#[test]
fn linearly_dependent_columns_have_no_solution() {
    let rows: Vec<Vec<f64>> = (0..6)
        .map(|n| vec![1.0, f64::from(n), 5.0 * f64::from(n)])
        .collect();
    assert_eq!(least_squares(&rows, &[1.0, 2.0, 3.0, 4.0, 5.0, 6.0]), None);
    assert_eq!(
        least_squares(&rows[..2], &[1.0, 2.0]),
        None,
        "fewer points than columns"
    );
    assert_eq!(least_squares(&[], &[]), None);
}

#[test]
fn forwarder_coefficients_are_recovered_from_noisy_rows() {
    let truth = |size: &Size| 400.0 + 88.0 * size.purges + 0.25 * size.hosts;
    let line = single_line(&noisy_rows(
        Role::HollowForwarder,
        Metric::BytesInPerS,
        truth,
    ));
    assert_eq!(line.evidence, Evidence::Slope);
    assert_eq!(line.points, 54);
    assert_near(
        line.coefficient(Term::Purges)
            .expect("the driver was varied"),
        88.0,
        0.01,
    );
    assert_near(
        line.coefficient(Term::Hosts)
            .expect("the driver was varied"),
        0.25,
        0.2,
    );
    assert!(
        line.residual > 0.0 && line.residual < 300.0,
        "residual of values up to 30,000 is not between 0 and 300: {}",
        line.residual
    );
    let target = Size {
        forwarders: 14_000.0,
        hosts: 3_500.0,
        purges: 660.0,
    };
    assert_near(line.predict(&target), truth(&target), 0.02);
    assert_eq!(
        line.factor(&target),
        2.0,
        "the target has twice the measured purge rate"
    );
    assert!(line.unvaried_terms(&target).is_empty());
}

#[test]
fn planner_coefficients_are_recovered_from_noisy_rows() {
    let truth = |size: &Size| 0.01 + 2e-6 * size.forwarders * size.purges + 4e-5 * size.forwarders;
    let line = single_line(&noisy_rows(Role::Planner, Metric::Cores, truth));
    assert_near(
        line.coefficient(Term::ForwarderPurges)
            .expect("the driver was varied"),
        2e-6,
        0.02,
    );
    assert_near(
        line.coefficient(Term::Forwarders)
            .expect("the driver was varied"),
        4e-5,
        0.25,
    );
    let target = Size {
        forwarders: 14_000.0,
        hosts: 3_500.0,
        purges: 330.0,
    };
    assert_near(line.predict(&target), truth(&target), 0.03);
    assert_eq!(line.factor(&target), 14.0);
}

#[test]
fn memory_of_a_forwarder_grows_with_hosts() {
    let truth = |size: &Size| 900_000.0 + 410.0 * size.hosts;
    let line = single_line(&noisy_rows(
        Role::HollowForwarder,
        Metric::ResidentBytes,
        truth,
    ));
    assert_near(
        line.coefficient(Term::Hosts)
            .expect("the driver was varied"),
        410.0,
        0.1,
    );
    let target = Size {
        forwarders: 14_000.0,
        hosts: 3_500.0,
        purges: 330.0,
    };
    assert_near(line.predict(&target), truth(&target), 0.02);
}

#[test]
fn two_sizes_give_no_slope() {
    let rows: Vec<Measurement> = [(100, 100, 33.0), (100, 100, 330.0), (100, 100, 330.0)]
        .iter()
        .map(|size| {
            row(
                Role::HollowForwarder,
                Metric::BytesInPerS,
                *size,
                90.0 * size.2,
            )
        })
        .collect();
    let line = single_line(&rows);
    assert_eq!(line.evidence, Evidence::Measured);
    assert_eq!(line.coefficient(Term::Purges), None);
    assert_eq!(
        (line.at.purges, line.value),
        (330.0, 29_700.0),
        "the line has the value measured at the largest size"
    );
}

#[test]
fn three_points_are_too_few_for_a_constant_and_two_slopes() {
    let rows: Vec<Measurement> = [(100, 100, 33.0), (100, 1_000, 100.0), (100, 3_500, 330.0)]
        .iter()
        .map(|size| {
            row(
                Role::HollowForwarder,
                Metric::BytesInPerS,
                *size,
                90.0 * size.2,
            )
        })
        .collect();
    let line = single_line(&rows);
    assert_eq!(line.evidence, Evidence::Slope);
    assert_near(
        line.coefficient(Term::Purges)
            .expect("the main term is kept"),
        90.0,
        1e-6,
    );
    assert_eq!(
        line.coefficient(Term::Hosts),
        None,
        "three points determine three coefficients exactly, without a residual"
    );
}

#[test]
fn unvaried_drivers_are_reported() {
    let rows: Vec<Measurement> = [33.0, 33.0, 100.0, 100.0, 330.0, 330.0]
        .iter()
        .map(|purges| {
            row(
                Role::HollowForwarder,
                Metric::BytesInPerS,
                (100, 100, *purges),
                90.0 * purges,
            )
        })
        .collect();
    let line = single_line(&rows);
    let unvaried = line.unvaried_terms(&Size {
        forwarders: 14_000.0,
        hosts: 3_500.0,
        purges: 330.0,
    });
    assert_eq!(
        unvaried
            .iter()
            .map(|term| (term.term, term.max))
            .collect::<Vec<_>>(),
        [(Term::Hosts, 100.0)]
    );
    assert!(
        line.unvaried_terms(&Size {
            forwarders: 14_000.0,
            hosts: 100.0,
            purges: 330.0
        })
        .is_empty()
    );
}

#[test]
fn a_term_with_a_negative_coefficient_is_removed() {
    let truth = |size: &Size| 5_000.0 + 90.0 * size.purges - 0.5 * size.hosts;
    let line = single_line(&noisy_rows(
        Role::HollowForwarder,
        Metric::BytesInPerS,
        truth,
    ));
    assert_eq!(line.coefficient(Term::Hosts), None);
    assert!(line.coefficient(Term::Purges).is_some());
}

#[test]
fn a_metric_that_does_not_grow_with_its_driver_is_constant() {
    let line = single_line(&noisy_rows(
        Role::HollowForwarder,
        Metric::MessagesInPerS,
        |size| 5.0 - 1e-4 * size.purges,
    ));
    assert_eq!(line.evidence, Evidence::Slope);
    let target = Size {
        forwarders: 14_000.0,
        hosts: 3_500.0,
        purges: 3_300.0,
    };
    assert_near(line.predict(&target), 5.0, 0.02);
    assert_eq!(
        line.factor(&target),
        10.0,
        "the constant is extrapolated by the same factor"
    );
}
