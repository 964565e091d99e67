//! Which measurements are fitted together, and which are left out.

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
    let points = |role: Role| {
        let line = lines
            .iter()
            .find(|line| line.series.role == role)
            .expect("it is a series");
        (line.points, line.excluded_points)
    };
    assert_eq!(points(Role::Planner), (3, 1));
    assert_eq!(points(Role::HollowForwarder), (4, 0));
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
    let line = single_line(&rows);
    assert_eq!((line.points, line.value), (1, 104.0));
}

#[test]
fn slopes_are_the_same_after_the_table() {
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
