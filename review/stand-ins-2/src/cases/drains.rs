//! The rule on drains: nothing new to a cache host later than the grace after it counts as told that it drains.

use crate::Verdict;
use crate::coordinator::Coordinator;
use crate::host::{Host, Want, name};
use crate::world::{Rules, SLACK_MS, TOLD_WITHIN_MS};

/// Judges the rule on drains. `drains` holds the hosts that drain, each with the number of the event that says so.
pub fn judge(
    rules: &Rules,
    coordinator: &Coordinator,
    caches: &[Host],
    drains: &[(u32, u64)],
) -> Verdict {
    let mut violations = Vec::new();
    let mut summary = Vec::new();
    for (id, number) in drains {
        let (at, told) = coordinator.times(*number);
        let counts_as_told = told.unwrap_or(f64::INFINITY).min(at + TOLD_WITHIN_MS);
        let latest = counts_as_told + rules.drain_grace_ms + SLACK_MS;
        let wants = caches
            .iter()
            .filter(|cache| cache.id == *id)
            .flat_map(|cache| cache.received());
        let late: Vec<Want> = wants.filter(|want| want.at > latest).collect();
        summary.push(format!(
            "{}: draining at {at:.0} ms, told at {told:.0?}, counts as told at {counts_as_told:.0}, new work allowed \
             until {latest:.0}, {} requests later",
            name(*id),
            late.len()
        ));
        violations.extend(late.iter().map(|want| {
            format!(
                "request {} came to {} at {:.0} ms, {:.0} ms too late",
                want.id,
                name(*id),
                want.at,
                want.at - latest
            )
        }));
    }
    Verdict {
        violations,
        summary: summary.join("\n"),
    }
}
