//! Lines fitted to made-up measurements.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use flaxdeck_scale::files;
use flaxdeck_scale::fit::least_squares::least_squares;
use flaxdeck_scale::fit::line::{self, Evidence, Line, SlopeRow};
use flaxdeck_scale::fit::nature::{Size, Term};
use flaxdeck_scale::fit::{NO_FAULT, fit};
use flaxdeck_scale::measurement::{Distribution, Measurement, Metric, Role};

/// A made-up row at a size.
fn row(role: Role, metric: Metric, size: (u32, u32, f64), value: f64) -> Measurement {
    let (hollow_forwarders, hosts, purges_per_s) = size;
    Measurement {
        run: format!("made-{hollow_forwarders}-{hosts}-{purges_per_s}"),
        seed: 1,
        distribution: Distribution::EachEvent,
        hollow_forwarders,
        hosts,
        purges_per_s,
        planners: 2,
        fault: NO_FAULT.to_owned(),
        role,
        metric,
        kind: String::new(),
        value,
    }
}

/// Noise that is the same at each run: within a part of the value, its mean near zero.
fn noise(at: usize) -> f64 {
    ((at as f64 * 0.618_034).fract() - 0.5) * 0.02
}

/// Sizes varied one at a time and together, each twice.
fn sizes() -> Vec<(u32, u32, f64)> {
    let mut sizes = Vec::new();
    for forwarders in [100, 300, 1_000] {
        for hosts in [100, 1_000, 3_500] {
            for purges in [33.0, 100.0, 330.0] {
                sizes.extend([(forwarders, hosts, purges); 2]);
            }
        }
    }
    sizes
}

fn made(role: Role, metric: Metric, truth: impl Fn(&Size) -> f64) -> Vec<Measurement> {
    let noisy = |(at, size): (usize, (u32, u32, f64))| {
        let plain = row(role, metric, size, 0.0);
        let value = truth(&Size::of(&plain)) * (1.0 + noise(at));
        Measurement { value, ..plain }
    };
    sizes().into_iter().enumerate().map(noisy).collect()
}

fn the_line(rows: &[Measurement]) -> Line {
    let mut lines = fit(rows);
    assert_eq!(lines.len(), 1, "one series");
    lines.remove(0)
}

fn near(found: f64, truth: f64, part: f64) {
    assert!(
        (found - truth).abs() <= part * truth.abs(),
        "{found} is not within {part} of {truth}"
    );
}

#[test]
fn an_exact_plane_is_found_exactly() {
    let rows: Vec<Vec<f64>> = (0..12)
        .map(|n| vec![1.0, f64::from(n % 4), f64::from(n / 4) * 1e5])
        .collect();
    let values: Vec<f64> = rows
        .iter()
        .map(|row| 7.0 + 3.0 * row[1] + 2e-5 * row[2])
        .collect();
    let solution = least_squares(&rows, &values).expect("the columns are independent");
    near(solution.coefficients[0], 7.0, 1e-9);
    near(solution.coefficients[1], 3.0, 1e-9);
    near(solution.coefficients[2], 2e-5, 1e-9);
    assert!(
        solution.residual < 1e-9,
        "nothing is left over: {}",
        solution.residual
    );
}

#[test]
fn columns_that_depend_on_each_other_have_no_solution() {
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
fn known_coefficients_of_a_forwarder_are_recovered_from_noise() {
    let truth = |size: &Size| 400.0 + 88.0 * size.purges + 0.25 * size.hosts;
    let line = the_line(&made(Role::HollowForwarder, Metric::BytesInPerS, truth));
    assert_eq!(line.evidence, Evidence::Slope);
    assert_eq!(line.points, 54);
    near(
        line.coefficient(Term::Purges).expect("it was varied"),
        88.0,
        0.01,
    );
    near(
        line.coefficient(Term::Hosts).expect("it was varied"),
        0.25,
        0.2,
    );
    assert!(
        line.residual > 0.0 && line.residual < 300.0,
        "of values up to 30,000: {}",
        line.residual
    );
    let target = Size {
        forwarders: 14_000.0,
        hosts: 3_500.0,
        purges: 660.0,
    };
    near(line.predict(&target), truth(&target), 0.02);
    assert_eq!(
        line.factor(&target),
        2.0,
        "twice the purges that were measured"
    );
    assert!(line.held(&target).is_empty());
}

#[test]
fn known_coefficients_of_a_planner_are_recovered_from_noise() {
    let truth = |size: &Size| 0.01 + 2e-6 * size.forwarders * size.purges + 4e-5 * size.forwarders;
    let line = the_line(&made(Role::Planner, Metric::Cores, truth));
    near(
        line.coefficient(Term::ForwarderPurges)
            .expect("it was varied"),
        2e-6,
        0.02,
    );
    near(
        line.coefficient(Term::Forwarders).expect("it was varied"),
        4e-5,
        0.25,
    );
    let target = Size {
        forwarders: 14_000.0,
        hosts: 3_500.0,
        purges: 330.0,
    };
    near(line.predict(&target), truth(&target), 0.03);
    assert_eq!(line.factor(&target), 14.0);
}

#[test]
fn memory_goes_with_hosts() {
    let truth = |size: &Size| 900_000.0 + 410.0 * size.hosts;
    let line = the_line(&made(Role::HollowForwarder, Metric::ResidentBytes, truth));
    near(
        line.coefficient(Term::Hosts).expect("it was varied"),
        410.0,
        0.1,
    );
    let target = Size {
        forwarders: 14_000.0,
        hosts: 3_500.0,
        purges: 330.0,
    };
    near(line.predict(&target), truth(&target), 0.02);
}

#[test]
fn two_sizes_are_no_slope() {
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
    let line = the_line(&rows);
    assert_eq!(line.evidence, Evidence::Measured);
    assert_eq!(line.coefficient(Term::Purges), None);
    assert_eq!(
        (line.at.purges, line.value),
        (330.0, 29_700.0),
        "what was measured at the largest size is told"
    );
}

#[test]
fn three_points_do_not_bear_two_coefficients_and_a_residual() {
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
    let line = the_line(&rows);
    assert_eq!(line.evidence, Evidence::Slope);
    near(
        line.coefficient(Term::Purges)
            .expect("the main driver stays"),
        90.0,
        1e-6,
    );
    assert_eq!(
        line.coefficient(Term::Hosts),
        None,
        "three points, three columns: nothing would be left over"
    );
}

#[test]
fn a_driver_held_elsewhere_is_told() {
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
    let line = the_line(&rows);
    let held = line.held(&Size {
        forwarders: 14_000.0,
        hosts: 3_500.0,
        purges: 330.0,
    });
    assert_eq!(
        held.iter()
            .map(|term| (term.term, term.most))
            .collect::<Vec<_>>(),
        [(Term::Hosts, 100.0)]
    );
    assert!(
        line.held(&Size {
            forwarders: 14_000.0,
            hosts: 100.0,
            purges: 330.0
        })
        .is_empty()
    );
}

#[test]
fn a_slope_below_zero_is_noise() {
    let truth = |size: &Size| 5_000.0 + 90.0 * size.purges - 0.5 * size.hosts;
    let line = the_line(&made(Role::HollowForwarder, Metric::BytesInPerS, truth));
    assert_eq!(line.coefficient(Term::Hosts), None);
    assert!(line.coefficient(Term::Purges).is_some());
}

#[test]
fn what_does_not_go_with_its_driver_is_a_constant() {
    let line = the_line(&made(
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
    near(line.predict(&target), 5.0, 0.02);
    assert_eq!(
        line.factor(&target),
        10.0,
        "that it does not grow is drawn out, too"
    );
}

#[test]
fn a_fault_stands_beside_its_twin() {
    let plain = row(
        Role::HollowForwarder,
        Metric::DelayWorstMs,
        (100, 100, 33.0),
        80.0,
    );
    let larger = row(
        Role::HollowForwarder,
        Metric::DelayWorstMs,
        (1_000, 100, 33.0),
        300.0,
    );
    let faulty = Measurement {
        fault: "planner-killed".into(),
        value: 1_400.0,
        ..plain.clone()
    };
    let lines = fit(&[plain, larger, faulty]);
    let line = lines
        .iter()
        .find(|line| line.series.fault != NO_FAULT)
        .expect("it is a series");
    assert_eq!((line.value, line.twin), (1_400.0, Some(80.0)));
}

#[test]
fn delay_is_the_worst_at_the_largest_size() {
    let mut rows = vec![
        row(
            Role::HollowForwarder,
            Metric::DelayWorstMs,
            (100, 100, 33.0),
            900.0,
        ),
        row(
            Role::HollowForwarder,
            Metric::DelayWorstMs,
            (1_000, 100, 330.0),
            310.0,
        ),
        row(
            Role::HollowForwarder,
            Metric::DelayWorstMs,
            (1_000, 100, 330.0),
            420.0,
        ),
    ];
    rows.push(row(
        Role::HollowForwarder,
        Metric::DelayWorstMs,
        (300, 100, 330.0),
        250.0,
    ));
    let line = the_line(&rows);
    assert_eq!(line.evidence, Evidence::Measured);
    assert_eq!((line.value, line.largest), (420.0, 900.0));
    assert_eq!(
        line.at,
        Size {
            forwarders: 1_000.0,
            hosts: 100.0,
            purges: 330.0
        }
    );
}

#[test]
fn runs_with_a_fault_and_other_planners_are_series_of_their_own() {
    let plain = row(Role::Planner, Metric::Cores, (100, 100, 33.0), 0.1);
    let faulty = Measurement {
        fault: "planner-killed".into(),
        ..plain.clone()
    };
    let alone = Measurement {
        planners: 1,
        ..plain.clone()
    };
    let digest = Measurement {
        distribution: Distribution::Digest,
        ..plain.clone()
    };
    assert_eq!(fit(&[plain, faulty, alone, digest]).len(), 4);
}

#[test]
fn runs_with_a_full_thread_are_left_out_of_slopes() {
    let mut rows = Vec::new();
    for (forwarders, cores) in [(100, 0.2), (300, 0.4), (600, 0.7), (1_000, 0.98)] {
        // At 1,000 it sends another amount than it was asked for.
        let bytes = if cores > 0.9 { 500.0 } else { 1.0 } * f64::from(forwarders);
        rows.push(row(
            Role::Planner,
            Metric::Cores,
            (forwarders, 100, 33.0),
            cores,
        ));
        rows.push(row(
            Role::Planner,
            Metric::BytesOutPerS,
            (forwarders, 100, 33.0),
            bytes,
        ));
    }
    let lines = fit(&rows);
    let bytes = lines
        .iter()
        .find(|line| line.series.metric == Metric::BytesOutPerS)
        .expect("it is a series");
    assert_eq!(
        (bytes.evidence, bytes.points, bytes.left_out),
        (Evidence::Slope, 3, 1)
    );
    let size = Size {
        forwarders: 1_200.0,
        hosts: 100.0,
        purges: 33.0,
    };
    near(bytes.predict(&size), 1_200.0, 1e-6);
    assert_eq!(
        bytes.factor(&size),
        2.0,
        "drawn out from 600, where it was measured unhindered"
    );
}

#[test]
fn costs_and_delays_of_a_full_machine_do_not_count() {
    let mut rows = Vec::new();
    for (purges, idle) in [(33.0, 0.6), (100.0, 0.5), (200.0, 0.2), (330.0, 0.01)] {
        let mut add = |role, metric, value| rows.push(row(role, metric, (100, 100, purges), value));
        add(Role::Coordinator, Metric::MachineIdleShare, idle);
        add(Role::HollowForwarder, Metric::BytesInPerS, 90.0 * purges);
        add(Role::HollowForwarder, Metric::Cores, 1e-5 * purges);
        add(Role::HollowForwarder, Metric::DelayWorstMs, purges);
    }
    let lines = fit(&rows);
    let line = |metric: Metric| {
        lines
            .iter()
            .find(|line| line.series.metric == metric)
            .expect("it is a series")
    };
    assert_eq!(
        line(Metric::BytesInPerS).points,
        4,
        "bytes count, as nothing shows that they are too few"
    );
    assert_eq!(line(Metric::Cores).points, 3);
    assert_eq!(
        line(Metric::DelayWorstMs).value,
        200.0,
        "at the largest size at which it counts"
    );
    assert_eq!(
        line(Metric::MachineIdleShare).value,
        0.01,
        "the share itself is told"
    );
    rows.retain(|row| row.purges_per_s == 330.0);
    assert!(
        fit(&rows)
            .iter()
            .all(|line| !line.series.metric.is_cost_or_delay()),
        "none is left to show"
    );
}

#[test]
fn runs_in_which_several_events_went_in_one_message_are_left_out_of_slopes() {
    let mut rows = Vec::new();
    // Of what two planners and the coordinator tell at 330 a second a quarter came in messages of its own.
    for (purges, share) in [(0.0, 1.0), (33.0, 1.0), (100.0, 0.98), (330.0, 0.25)] {
        let mut add = |metric, kind: &str, value| {
            let plain = row(Role::HollowForwarder, metric, (100, 100, purges), value);
            rows.push(Measurement {
                kind: kind.into(),
                ..plain
            });
        };
        add(Metric::MessagesInPerS, "feed", share * purges);
        add(
            Metric::MessagesInPerS,
            "guidance",
            2.0 * share * purges + 10.0,
        );
        add(Metric::MessagesOutPerS, "reports", 10.0);
        add(Metric::BytesInPerS, "feed", 30.0 * share * purges);
    }
    let lines = fit(&rows);
    let bytes = lines
        .iter()
        .find(|line| line.series.metric == Metric::BytesInPerS)
        .expect("it is a series");
    assert_eq!(
        (bytes.evidence, bytes.points, bytes.left_out),
        (Evidence::Slope, 3, 1)
    );
    let mut digests = rows.clone();
    digests
        .iter_mut()
        .for_each(|row| row.distribution = Distribution::Digest);
    let lines = fit(&digests);
    assert!(
        lines.iter().all(|line| line.left_out == 0),
        "batches hold several by their nature"
    );
}

#[test]
fn runs_with_real_forwarders_are_left_out_of_planners_slopes() {
    let mut rows = Vec::new();
    for forwarders in [100, 300, 600, 1_000] {
        let bytes = if forwarders == 600 {
            800.0
        } else {
            f64::from(forwarders)
        };
        for role in [Role::Planner, Role::HollowForwarder] {
            rows.push(row(
                role,
                Metric::BytesOutPerS,
                (forwarders, 100, f64::from(forwarders)),
                bytes,
            ));
        }
    }
    rows.push(row(
        Role::RealForwarder,
        Metric::Cores,
        (600, 100, 600.0),
        0.1,
    ));
    let lines = fit(&rows);
    let left_out = |role: Role| {
        let line = lines
            .iter()
            .find(|line| line.series.role == role)
            .expect("it is a series");
        (line.points, line.left_out)
    };
    assert_eq!(left_out(Role::Planner), (3, 1));
    assert_eq!(left_out(Role::HollowForwarder), (4, 0));
}

#[test]
fn figures_that_are_no_numbers_are_left_out() {
    let rows = [
        row(
            Role::Planner,
            Metric::Descriptors,
            (100, 100, 33.0),
            f64::NAN,
        ),
        row(Role::Planner, Metric::Descriptors, (100, 100, 33.0), 104.0),
    ];
    let line = the_line(&rows);
    assert_eq!((line.points, line.value), (1, 104.0));
}

#[test]
fn slopes_are_the_same_after_the_table() {
    let mut rows = made(Role::Planner, Metric::Cores, |size| {
        0.01 + 2e-6 * size.forwarders * size.purges
    });
    rows.extend(made(Role::HollowForwarder, Metric::DelayWorstMs, |size| {
        size.purges
    }));
    let lines = fit(&rows);
    let table: Vec<SlopeRow> = lines.iter().flat_map(line::rows).collect();
    let text = files::table_text(&table).expect("it can be written");
    let mut reader = csv::Reader::from_reader(text.as_bytes());
    let read: Vec<SlopeRow> = reader
        .deserialize()
        .collect::<Result<_, _>>()
        .expect("it can be read");
    assert_eq!(read, table);
    let again: Vec<SlopeRow> = line::lines(&read).iter().flat_map(line::rows).collect();
    assert_eq!(again, table);
}
