//! What a dispatcher carries: control of its own, delays of events, and the service beside.

use super::{BYTES, Basis, DISTRIBUTIONS, MESSAGES, Row, both};
use crate::capacity::estimate::{Estimate, Known, estimate};
use crate::fit::line::Line;
use crate::fit::nature::Size;
use crate::measurement::{Metric, Role};

/// The bytes of all connections both ways without headers, which are estimated by the number of messages.
const BODIES: &[Metric] = &[Metric::BytesInPerS, Metric::BytesOutPerS];
const BY_EVENTS: &str =
    "each event from each planner and the coordinator; digest: batches from one planner";
const BY_REPORTS: &str = "reports and guidance with each planner";
const BY_CONTROL: &str =
    "the control side of a forwarder: guide, feed, store of purges and endpoints";

/// All figures of a dispatcher.
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

/// All kinds of some metrics together, at the size of the target.
fn total(basis: Basis, metrics: &[Metric]) -> [Estimate; 2] {
    let size = basis.target.size();
    both(|distribution| {
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
        mechanism: BY_EVENTS,
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
            BY_CONTROL,
        ),
        row(
            "resident memory",
            "bytes",
            Some(target.budget_memory_bytes()),
            Metric::ResidentBytes,
            BY_CONTROL,
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

/// The bytes of each kind of message, as a part of the budget of all.
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
                estimates: both(of_kind),
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

/// What carries a kind of message.
fn mechanism(kind: &str) -> &'static str {
    match kind {
        "feed" => "the coordinator's own frames",
        "reports" | "guidance" => BY_REPORTS,
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
        estimates: both(|distribution| {
            basis.lines.total(
                distribution,
                Role::HollowForwarder,
                &[metric],
                &basis.target.size(),
            )
        }),
        mechanism: BY_EVENTS,
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

/// Events that did not come as they should, over all runs without a fault.
fn events(basis: Basis) -> Vec<Row> {
    let row = |what: &str, metric, budget| Row {
        what: what.to_owned(),
        unit: "events",
        budget,
        estimates: both(|distribution| {
            let line = basis.lines.one(distribution, Role::HollowForwarder, metric);
            line.map_or(Estimate::NOT_SHOWN, most_of_all)
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

/// The largest value of all points of a line, wherever it was measured.
fn most_of_all(line: &Line) -> Estimate {
    Estimate {
        value: Some(line.largest),
        known: Known::Measured { at: line.at },
    }
}

/// What became of requests at real forwarders beside the hollow ones, in runs without a fault.
fn service(basis: Basis) -> Vec<Row> {
    let row = |what: &str, unit, budget, metric| Row {
        what: what.to_owned(),
        unit,
        budget,
        estimates: both(|distribution| {
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

/// What decisions about requests take, which is not control but shares the core.
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
                known: Known::MeasuredApart,
            })
        };
        let rate = basis.target.requests_each_per_s();
        rows.push(Row {
            what: format!("decisions at the mean rate of requests ({kind})"),
            unit: "cores",
            budget: Some(1.0),
            estimates: both(|distribution| micros(distribution).map(|micros| micros * 1e-6 * rate)),
            mechanism: "the decision engine, which looks through the hosts listed and the purges not settled",
        });
        rows.push(Row {
            what: format!("the decisions of one request ({kind})"),
            unit: "us",
            budget: None,
            estimates: both(micros),
            mechanism: "the same",
        });
    }
    rows
}
