//! Which measurements form a series, and which are invalid or excluded from slopes.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod made_up_runs;

use flaxdeck_scale::files;
use flaxdeck_scale::fit::line::{self, Evidence, SlopeRow};
use flaxdeck_scale::fit::nature::Size;
use flaxdeck_scale::fit::{NO_FAULT, fit};
use flaxdeck_scale::measurement::{Distribution, Measurement, Metric, Role};

use made_up_runs::{assert_near, noisy_rows, row, single_line};

#[test]
fn a_line_with_a_fault_has_the_value_of_its_twin() {
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
        .expect("the series has a line");
    assert_eq!((line.value, line.twin), (1_400.0, Some(80.0)));
}

#[test]
fn worst_delay_is_the_maximum_at_the_largest_size() {
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
    let line = single_line(&rows);
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
fn faults_distributions_and_numbers_of_planners_form_separate_series() {
    let plain = row(Role::Planner, Metric::Cores, (100, 100, 33.0), 0.1);
    let faulty = Measurement {
        fault: "planner-killed".into(),
        ..plain.clone()
    };
    let one_planner = Measurement {
        planners: 1,
        ..plain.clone()
    };
    let digest = Measurement {
        distribution: Distribution::Digest,
        ..plain.clone()
    };
    assert_eq!(fit(&[plain, faulty, one_planner, digest]).len(), 4);
}

#[test]
fn runs_with_a_saturated_thread_are_excluded_from_slopes() {
    let mut rows = Vec::new();
    for (forwarders, cores) in [(100, 0.2), (300, 0.4), (600, 0.7), (1_000, 0.98)] {
        // At 1,000 forwarders the planner is saturated, and its bytes no longer follow the line.
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
        .expect("the series has a line");
    assert_eq!(
        (bytes.evidence, bytes.points, bytes.excluded_points),
        (Evidence::Slope, 3, 1)
    );
    let size = Size {
        forwarders: 1_200.0,
        hosts: 100.0,
        purges: 33.0,
    };
    assert_near(bytes.predict(&size), 1_200.0, 1e-6);
    assert_eq!(
        bytes.factor(&size),
        2.0,
        "extrapolated from 600 forwarders, the largest size without saturation"
    );
}

#[test]
fn costs_and_delays_from_a_fully_busy_machine_are_invalid() {
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
            .expect("the series has a line")
    };
    assert_eq!(
        line(Metric::BytesInPerS).points,
        4,
        "bytes don't depend on the load of the machine and stay valid"
    );
    assert_eq!(line(Metric::Cores).points, 3);
    assert_eq!(
        line(Metric::DelayWorstMs).value,
        200.0,
        "the largest size with a valid delay"
    );
    assert_eq!(
        line(Metric::MachineIdleShare).value,
        0.01,
        "the idle share itself stays valid"
    );
    rows.retain(|row| row.purges_per_s == 330.0);
    assert!(
        fit(&rows)
            .iter()
            .all(|line| !line.series.metric.is_cost_or_delay()),
        "a figure of cost or delay from a fully busy machine was fitted"
    );
}

#[test]
fn runs_with_several_events_in_one_message_are_excluded_from_slopes() {
    let mut rows = Vec::new();
    // At 330 purges a second only a quarter as many messages arrive as two planners and the coordinator send events.
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
        .expect("the series has a line");
    assert_eq!(
        (bytes.evidence, bytes.points, bytes.excluded_points),
        (Evidence::Slope, 3, 1)
    );
    let mut digests = rows.clone();
    digests
        .iter_mut()
        .for_each(|row| row.distribution = Distribution::Digest);
    let lines = fit(&digests);
    assert!(
        lines.iter().all(|line| line.excluded_points == 0),
        "digest batches contain several events by design and are not excluded"
    );
}

#[test]
fn runs_with_real_forwarders_are_excluded_from_planner_slopes() {
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
    let points = |role: Role| {
        let line = lines
            .iter()
            .find(|line| line.series.role == role)
            .expect("the series has a line");
        (line.points, line.excluded_points)
    };
    assert_eq!(points(Role::Planner), (3, 1));
    assert_eq!(points(Role::HollowForwarder), (4, 0));
}

#[test]
fn values_that_are_not_numbers_are_ignored() {
    let rows = [
        row(
            Role::Planner,
            Metric::Descriptors,
            (100, 100, 33.0),
            f64::NAN,
        ),
        row(Role::Planner, Metric::Descriptors, (100, 100, 33.0), 104.0),
    ];
    let line = single_line(&rows);
    assert_eq!((line.points, line.value), (1, 104.0));
}

#[test]
fn slopes_survive_a_round_trip_through_csv() {
    let mut rows = noisy_rows(Role::Planner, Metric::Cores, |size| {
        0.01 + 2e-6 * size.forwarders * size.purges
    });
    rows.extend(noisy_rows(
        Role::HollowForwarder,
        Metric::DelayWorstMs,
        |size| size.purges,
    ));
    let lines = fit(&rows);
    let table: Vec<SlopeRow> = lines.iter().flat_map(line::rows).collect();
    let text = files::table_text(&table).expect("the table is written as CSV");
    let mut reader = csv::Reader::from_reader(text.as_bytes());
    let read: Vec<SlopeRow> = reader
        .deserialize()
        .collect::<Result<_, _>>()
        .expect("the table is read");
    assert_eq!(read, table);
    let again: Vec<SlopeRow> = line::lines(&read).iter().flat_map(line::rows).collect();
    assert_eq!(again, table);
}
