//! RowBuilder-up slopes and the committed target, for tests of the capacity page.

#![allow(dead_code, reason = "each test file uses some of it")]

use flaxdeck_scale::capacity::estimate::Lines;
use flaxdeck_scale::capacity::rows::{Basis, RoleRows, Row, roles};
use flaxdeck_scale::fit::line::{Line, SlopeRow, rows};
use flaxdeck_scale::fit::{NO_FAULT, fit};
use flaxdeck_scale::measurement::{Distribution, Measurement, Metric, Role};
use flaxdeck_scale::target::{self, Target};

const TARGET: &str = include_str!("../../../../docs/capacity/target.plan");

/// The committed target.
pub(crate) fn committed_target() -> Target {
    target::read("target.plan", TARGET).expect("it has no faults")
}

/// Rows that are made up.
struct RowBuilder {
    rows: Vec<Measurement>,
}

impl RowBuilder {
    /// One metric over three sizes of each driver, as that function tells.
    fn metric(
        &mut self,
        distribution: Distribution,
        role: Role,
        metric: Metric,
        kind: &str,
        value: impl Fn(f64, f64, f64) -> f64,
    ) {
        for (forwarders, hosts, purges) in [
            (100, 100, 33.0),
            (300, 100, 33.0),
            (1_000, 100, 33.0),
            (1_000, 1_000, 33.0),
            (1_000, 3_500, 33.0),
            (1_000, 3_500, 100.0),
            (1_000, 3_500, 330.0),
        ] {
            self.rows.push(Measurement {
                run: "made-1".into(),
                seed: 1,
                distribution,
                hollow_forwarders: forwarders,
                hosts,
                purges_per_s: purges,
                planners: 2,
                fault: NO_FAULT.into(),
                role,
                metric,
                kind: kind.into(),
                value: value(f64::from(forwarders), f64::from(hosts), purges),
            });
        }
    }
}

/// A forwarder that hears 80 bytes a purge under each event and 3 by digests, beside reports that don't change.
pub(crate) fn made_up_rows() -> Vec<Measurement> {
    use Distribution::{Digest, EachEvent};
    let mut builder = RowBuilder { rows: Vec::new() };
    let hollow = Role::HollowForwarder;
    builder.metric(
        EachEvent,
        hollow,
        Metric::BytesInPerS,
        "feed",
        |_, _, purges| 80.0 * purges,
    );
    builder.metric(
        EachEvent,
        hollow,
        Metric::BytesOutPerS,
        "reports",
        |_, _, _| 1_000.0,
    );
    builder.metric(
        Digest,
        hollow,
        Metric::BytesInPerS,
        "deliveries",
        |_, _, purges| 3.0 * purges,
    );
    builder.metric(
        Digest,
        hollow,
        Metric::BytesOutPerS,
        "reports",
        |_, _, _| 400.0,
    );
    builder.metric(
        EachEvent,
        hollow,
        Metric::ResidentBytes,
        "",
        |_, hosts, _| 1e6 + 500.0 * hosts,
    );
    builder.metric(
        EachEvent,
        hollow,
        Metric::DelayWorstMs,
        "",
        |forwarders, _, _| forwarders,
    );
    builder.metric(
        EachEvent,
        Role::Planner,
        Metric::Cores,
        "",
        |forwarders, _, purges| 0.01 + forwarders * (purges * 1e-6 + 1e-5),
    );
    builder.metric(
        EachEvent,
        Role::Planner,
        Metric::Descriptors,
        "",
        |forwarders, _, _| 20.0 + forwarders,
    );
    builder.rows
}

/// The rows of all roles, for these measurements.
pub(crate) fn with_roles<T>(
    measurements: &[Measurement],
    look: impl FnOnce(&[RoleRows]) -> T,
) -> T {
    let (target, lines): (Target, Vec<Line>) = (committed_target(), fit(measurements));
    look(&roles(Basis {
        lines: Lines::new(&lines, 2),
        target: &target,
    }))
}

/// A row by the beginnings of its role and its name.
pub(crate) fn row<'a>(roles: &'a [RoleRows], title: &str, what: &str) -> &'a Row {
    let role = roles
        .iter()
        .find(|role| role.title.starts_with(title))
        .expect("the role stands there");
    role.rows
        .iter()
        .find(|row| row.what.starts_with(what))
        .expect("the row stands there")
}

/// Fails unless there is a value, and it is the truth.
pub(crate) fn assert_near(found: Option<f64>, truth: f64) {
    let found = found.expect("there is a value");
    assert!(
        (found - truth).abs() <= 1e-6 * truth.abs(),
        "{found} is not {truth}"
    );
}

/// The rows of the lines fitted to these measurements.
pub(crate) fn slopes(measurements: &[Measurement]) -> Vec<SlopeRow> {
    fit(measurements).iter().flat_map(rows).collect()
}
