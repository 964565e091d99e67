//! The load of a dispatcher: control traffic and resources, delays of events, and the service of its requests
//! meanwhile.

use super::{BYTES, Basis, DISTRIBUTIONS, MESSAGES, Row, per_distribution};
use crate::capacity::estimate::{Estimate, Provenance, estimate};
use crate::fit::line::Line;
use crate::fit::nature::Size;
use crate::measurement::{Metric, Role};

/// Bytes of all connections in both directions, without TCP and IP headers (which are estimated from the number of
/// messages).
const BODIES: &[Metric] = &[Metric::BytesInPerS, Metric::BytesOutPerS];
const EVENTS_MECHANISM: &str =
    "each event from each planner and the coordinator; digest: batches from one planner";
const REPORTS_MECHANISM: &str = "reports and guidance with each planner";
const CONTROL_MECHANISM: &str =
    "the control side of a forwarder: guide, feed, store of purges and endpoints";

/// Returns all rows of a dispatcher.
pub(super) fn rows(basis: Basis) -> Vec<Row> {
    let mut rows = traffic(basis);
    rows.extend(resources(basis));
    rows.extend(kinds(basis, Role::HollowForwarder, &basis.target.size()));
    rows.extend(delays(basis));
    rows.extend(events(basis));
    rows.extend(service(basis));
    rows.extend(decisions(basis));
    rows
}

/// Returns the sum of some metrics over all message kinds at the target size.
fn total(basis: Basis, metrics: &[Metric]) -> [Estimate; 2] {
    let size = basis.target.size();
    per_distribution(|distribution| {
        let role = Role::HollowForwarder;
        basis.lines.total(distribution, role, metrics, &size)
    })
}

fn traffic(basis: Basis) -> Vec<Row> {
    let row = |what: &str, unit, budget, metrics| Row {
        what: what.to_owned(),
        unit,
        budget,
        estimates: total(basis, metrics),
        mechanism: EVENTS_MECHANISM,
    };
    let bytes = Some(basis.target.budget_bytes_per_s);
    vec![
        row(
            "all control, both ways, with headers (estimated)",
            "bytes/s",
            bytes,
            BYTES,
        ),
        row(
            "all control, both ways, without headers",
            "bytes/s",
            bytes,
            BODIES,
        ),
        row("messages, both ways", "messages/s", None, MESSAGES),
    ]
}

fn resources(basis: Basis) -> Vec<Row> {
    let row = |what: &str, unit, budget, metric, mechanism| Row {
        what: what.to_owned(),
        unit,
        budget,
        estimates: total(basis, &[metric]),
        mechanism,
    };
    let target = basis.target;
    vec![
        row(
            "processor time",
            "cores",
            Some(target.budget_cores),
            Metric::Cores,
            CONTROL_MECHANISM,
        ),
        row(
            "resident memory",
            "bytes",
            Some(target.budget_memory_bytes()),
            Metric::ResidentBytes,
            CONTROL_MECHANISM,
        ),
        row(
            "descriptors",
            "descriptors",
            None,
            Metric::Descriptors,
            "a connection to each planner and the coordinator",
        ),
    ]
}

/// Returns the bytes of each kind of message, compared with the budget for all kinds together.
fn kinds(basis: Basis, role: Role, size: &Size) -> Vec<Row> {
    let parts = [
        ("in", Metric::BytesInPerS),
        ("out", Metric::BytesOutPerS),
        ("headers", Metric::HeaderBytesPerS),
    ];
    let mut rows = Vec::new();
    for (way, metric) in parts {
        for kind in kind_names(basis, role, metric) {
            let of_kind = |distribution| {
                let found = basis.lines.by_kind(distribution, role, metric);
                let line = found.into_iter().find(|line| line.series.kind == kind);
                line.map_or(Estimate::NOT_SHOWN, |line| estimate(line, size))
            };
            let what = if kind.is_empty() {
                way.to_owned()
            } else {
                format!("{kind}, {way}")
            };
            rows.push(Row {
                what: format!("of these: {what}"),
                unit: "bytes/s",
                budget: Some(basis.target.budget_bytes_per_s),
                estimates: per_distribution(of_kind),
                mechanism: mechanism(&kind),
            });
        }
    }
    rows
}

fn kind_names(basis: Basis, role: Role, metric: Metric) -> Vec<String> {
    let lines = DISTRIBUTIONS
        .iter()
        .flat_map(|distribution| basis.lines.by_kind(*distribution, role, metric));
    let mut names: Vec<String> = lines.map(|line| line.series.kind.clone()).collect();
    names.sort();
    names.dedup();
    names
}

/// Returns the mechanism that causes messages of a kind.
fn mechanism(kind: &str) -> &'static str {
    match kind {
        "feed" => "the coordinator's own frames",
        "reports" | "guidance" => REPORTS_MECHANISM,
        "subscriptions" | "deliveries" => "batches with digests, from one planner",
        "greetings" => "the first message of a connection",
        _ => "headers of the segments, estimated by messages",
    }
}

fn delays(basis: Basis) -> Vec<Row> {
    let within = Some(basis.target.purge_within_s * 1e3);
    let delay = |what: &str, metric, budget| Row {
        what: what.to_owned(),
        unit: "ms",
        budget,
        estimates: per_distribution(|distribution| {
            basis.lines.total(
                distribution,
                Role::HollowForwarder,
                &[metric],
                &basis.target.size(),
            )
        }),
        mechanism: EVENTS_MECHANISM,
    };
    vec![
        delay(
            "an event until it is in force: worst",
            Metric::DelayWorstMs,
            within,
        ),
        delay(
            "an event until it is in force: 99th percentile",
            Metric::DelayP99Ms,
            within,
        ),
        delay(
            "an event until it is in force: median",
            Metric::DelayMedianMs,
            within,
        ),
    ]
}

/// Returns the numbers of events lost, duplicated, reordered or replaced, over all runs without a fault.
fn events(basis: Basis) -> Vec<Row> {
    let row = |what: &str, metric, budget| Row {
        what: what.to_owned(),
        unit: "events",
        budget,
        estimates: per_distribution(|distribution| {
            let line = basis
                .lines
                .single(distribution, Role::HollowForwarder, metric);
            line.map_or(Estimate::NOT_SHOWN, largest_value)
        }),
        mechanism: "numbers and hashes of the coordinator's events",
    };
    vec![
        row("lost, most of any run", Metric::EventsLost, Some(0.0)),
        row("doubled, most of any run", Metric::EventsDoubled, Some(0.0)),
        row(
            "out of order, most of any run",
            Metric::EventsOutOfOrder,
            Some(0.0),
        ),
        row(
            "covered by a whole list, copies in doubt, most of any run",
            Metric::EventsReplaced,
            None,
        ),
    ]
}

/// Returns the largest value of all points of a line, whatever the size at which it was measured.
fn largest_value(line: &Line) -> Estimate {
    Estimate {
        value: Some(line.largest),
        provenance: Provenance::Measured { at: line.at },
    }
}

/// Returns the quality of service of the real forwarders that ran next to the hollow ones, in runs without a fault.
fn service(basis: Basis) -> Vec<Row> {
    let row = |what: &str, unit, budget, metric| Row {
        what: what.to_owned(),
        unit,
        budget,
        estimates: per_distribution(|distribution| {
            basis.lines.total(
                distribution,
                Role::RealForwarder,
                &[metric],
                &basis.target.size(),
            )
        }),
        mechanism: "real forwarders under load beside the hollow ones",
    };
    vec![
        row(
            "rules broken by real forwarders",
            "breaks",
            Some(0.0),
            Metric::RulesBroken,
        ),
        row(
            "service of real forwarders: share in time",
            "of all",
            None,
            Metric::ServedShare,
        ),
        row(
            "service of real forwarders: 99th percentile",
            "ms",
            None,
            Metric::ServiceP99Ms,
        ),
    ]
}

/// Returns the processor time of routing decisions, which are not control traffic but run on the same core.
fn decisions(basis: Basis) -> Vec<Row> {
    let mut rows = Vec::new();
    for kind in kind_names(basis, Role::Dispatcher, Metric::DecisionMicros) {
        let micros = |distribution| {
            let found = basis
                .lines
                .by_kind(distribution, Role::Dispatcher, Metric::DecisionMicros);
            let line = found.into_iter().find(|line| line.series.kind == kind);
            line.map_or(Estimate::NOT_SHOWN, |line| Estimate {
                value: Some(line.value),
                provenance: Provenance::MeasuredSeparately,
            })
        };
        let rate = basis.target.mean_requests_per_s();
        rows.push(Row {
            what: format!("decisions at the mean rate of requests ({kind})"),
            unit: "cores",
            budget: Some(1.0),
            estimates: per_distribution(|distribution| micros(distribution).map(|micros| micros * 1e-6 * rate)),
            mechanism: "the decision engine, which looks through the hosts listed and the purges not settled",
        });
        rows.push(Row {
            what: format!("the decisions of one request ({kind})"),
            unit: "us",
            budget: None,
            estimates: per_distribution(micros),
            mechanism: "the same",
        });
    }
    rows
}
