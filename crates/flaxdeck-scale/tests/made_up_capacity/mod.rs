//! Synthetic slopes and the committed target, for tests of the capacity page.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

use flaxdeck_scale::capacity::estimate::Lines;
use flaxdeck_scale::capacity::rows::{Basis, RoleRows, Row, roles};
use flaxdeck_scale::fit::line::{Line, SlopeRow, rows};
use flaxdeck_scale::fit::{NO_FAULT, fit};
use flaxdeck_scale::measurement::{Distribution, Measurement, Metric, Role};
use flaxdeck_scale::target::{self, Target};

const TARGET: &str = include_str!("../../../../docs/capacity/target.plan");

/// Reads the committed target file.
pub(crate) fn committed_target() -> Target {
    target::read("target.plan", TARGET).expect("the committed target file has no faults")
}

/// Builds synthetic measurements.
struct RowBuilder {
    rows: Vec<Measurement>,
}

impl RowBuilder {
    /// Adds the rows of one metric over three sizes of each driver; `value` computes it from forwarders, hosts and
    /// purges.
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

/// Returns rows of a planner, and of a forwarder that receives 80 bytes a purge under `EachEvent` and 3 under `Digest`
/// and sends reports at a constant rate.
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

/// Passes the rows of all roles, computed from the measurements, to `look`.
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

/// Finds a row by the start of its role's title and the start of its own name.
pub(crate) fn row<'a>(roles: &'a [RoleRows], title: &str, what: &str) -> &'a Row {
    let role = roles
        .iter()
        .find(|role| role.title.starts_with(title))
        .expect("the page has this role");
    role.rows
        .iter()
        .find(|row| row.what.starts_with(what))
        .expect("the role has this row")
}

/// Asserts that there is a value and that it equals the expected one up to rounding.
pub(crate) fn assert_near(found: Option<f64>, truth: f64) {
    let found = found.expect("the estimate has a value");
    assert!(
        (found - truth).abs() <= 1e-6 * truth.abs(),
        "the value is {found}, expected {truth}"
    );
}

/// Returns the table rows of the lines fitted to the measurements.
pub(crate) fn slopes(measurements: &[Measurement]) -> Vec<SlopeRow> {
    fit(measurements).iter().flat_map(rows).collect()
}
