//! Synthetic measurements, for tests of the fitted lines.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

use flaxdeck_scale::fit::line::Line;
use flaxdeck_scale::fit::nature::Size;
use flaxdeck_scale::fit::{NO_FAULT, fit};
use flaxdeck_scale::measurement::{Distribution, Measurement, Metric, Role};

/// Returns a row at a size of forwarders, hosts and purges a second.
pub(crate) fn row(role: Role, metric: Metric, size: (u32, u32, f64), value: f64) -> Measurement {
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

/// Returns deterministic relative noise between -1 % and 1 %, with a mean near zero.
pub(crate) fn noise(at: usize) -> f64 {
    ((at as f64 * 0.618_034).fract() - 0.5) * 0.02
}

/// Returns all combinations of three values of each driver, each twice.
pub(crate) fn sizes() -> Vec<(u32, u32, f64)> {
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

/// Returns noisy rows of a metric at all [`sizes`]; `truth` computes the value without noise.
pub(crate) fn noisy_rows(
    role: Role,
    metric: Metric,
    truth: impl Fn(&Size) -> f64,
) -> Vec<Measurement> {
    let noisy = |(at, size): (usize, (u32, u32, f64))| {
        let plain = row(role, metric, size, 0.0);
        let value = truth(&Size::of(&plain)) * (1.0 + noise(at));
        Measurement { value, ..plain }
    };
    sizes().into_iter().enumerate().map(noisy).collect()
}

/// Fits the rows, which have to form a single series, and returns its line.
pub(crate) fn single_line(rows: &[Measurement]) -> Line {
    let mut lines = fit(rows);
    assert_eq!(
        lines.len(),
        1,
        "the rows form more than one series, or none"
    );
    lines.remove(0)
}

/// Asserts that a value deviates from the expected one by at most the fraction `part`.
pub(crate) fn assert_near(found: f64, truth: f64, part: f64) {
    assert!(
        (found - truth).abs() <= part * truth.abs(),
        "the value is {found}, expected {truth} within a fraction of {part}"
    );
}
