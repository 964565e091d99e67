//! What each role carries at the size of the target, beside its budget.

use flaxdeck_planner::MAX_CONNECTIONS;

use super::estimate::{Estimate, Known, Lines, estimate};
use crate::fit::line::{Evidence, Line};
use crate::fit::nature::Size;
use crate::measurement::{Distribution, Metric, Role};
use crate::target::Target;

/// Both distributions, in the order in which they stand side by side.
pub const DISTRIBUTIONS: [Distribution; 2] = [Distribution::EachEvent, Distribution::Digest];

/// The bytes of all connections both ways, with the headers below them.
const BYTES: &[Metric] = &[
    Metric::BytesInPerS,
    Metric::BytesOutPerS,
    Metric::HeaderBytesPerS,
];
/// The same without those headers, which are estimated by the number of messages.
const BODIES: &[Metric] = &[Metric::BytesInPerS, Metric::BytesOutPerS];
const MESSAGES: &[Metric] = &[Metric::MessagesInPerS, Metric::MessagesOutPerS];

/// One figure of a role under both distributions.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub what: String,
    pub unit: &'static str,
    pub budget: Option<f64>,
    /// In the order of [`DISTRIBUTIONS`].
    pub estimates: [Estimate; 2],
    pub mechanism: &'static str,
}

impl Row {
    /// Value over budget, one for each distribution.
    pub fn ratios(&self) -> [Option<f64>; 2] {
        let ratio = |estimate: &Estimate| {
            Some(estimate.value? / self.budget.filter(|budget| *budget > 0.0)?)
        };
        [ratio(&self.estimates[0]), ratio(&self.estimates[1])]
    }

    /// Whether a distribution's value is over the budget; where the budget is none at all, whether there is any.
    pub fn is_over(&self, at: usize) -> bool {
        let value = self.estimates[at].value.unwrap_or(0.0);
        self.budget.is_some_and(|budget| value > budget)
    }

    /// The worse of the two ratios; below all ratios where there is none.
    fn weight(&self) -> f64 {
        self.ratios().into_iter().flatten().fold(-1.0, f64::max)
    }
}

/// A role with its rows, the one over its budget by most first.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleRows {
    pub title: String,
    pub rows: Vec<Row>,
}

/// Everything that rows are computed from.
#[derive(Clone, Copy)]
pub struct Basis<'a> {
    pub lines: Lines<'a>,
    pub target: &'a Target,
}

/// The rows of all roles.
pub fn roles(basis: Basis) -> Vec<RoleRows> {
    let target = basis.target;
    let (whole, group) = (target.size(), target.size_of_a_group());
    let roles = vec![
        RoleRows {
            title: "Dispatcher (forwarder)".into(),
            rows: forwarder(basis),
        },
        RoleRows {
            title: "Planner that hears every dispatcher".into(),
            rows: planner(basis, &whole),
        },
        RoleRows {
            title: "Planner where the fleet is divided between the machines".into(),
            rows: planner(basis, &group),
        },
        RoleRows {
            title: "Coordinator (a stand-in's figures)".into(),
            rows: coordinator(basis),
        },
        RoleRows {
            title: "The machines set aside, together".into(),
            rows: machines(basis),
        },
    ];
    roles.into_iter().map(sorted).collect()
}

/// Rows without a ratio keep their order, behind all others.
fn sorted(mut role: RoleRows) -> RoleRows {
    role.rows
        .sort_by(|one, other| other.weight().total_cmp(&one.weight()));
    role
}

fn both(of: impl Fn(Distribution) -> Estimate) -> [Estimate; 2] {
    DISTRIBUTIONS.map(of)
}

const BY_EVENTS: &str =
    "each event from each planner and the coordinator; digest: batches from one planner";
const BY_REPORTS: &str = "reports and guidance with each planner";
const BY_GUIDE: &str =
    "the control side of a forwarder: guide, feed, store of purges and endpoints";

fn forwarder(basis: Basis) -> Vec<Row> {
    let (role, size, target) = (Role::HollowForwarder, basis.target.size(), basis.target);
    let (lines, bytes) = (basis.lines, Some(target.budget_bytes_per_s));
    let total = |metrics: &'static [Metric]| {
        both(|distribution| lines.total(distribution, role, metrics, &size))
    };
    let row = |what: &str, unit, budget, estimates, mechanism| Row {
        what: what.to_owned(),
        unit,
        budget,
        estimates,
        mechanism,
    };
    let mut rows = vec![
        row(
            "all control, both ways, with headers (estimated)",
            "bytes/s",
            bytes,
            total(BYTES),
            BY_EVENTS,
        ),
        row(
            "all control, both ways, without headers",
            "bytes/s",
            bytes,
            total(BODIES),
            BY_EVENTS,
        ),
        row(
            "messages, both ways",
            "messages/s",
            None,
            total(MESSAGES),
            BY_EVENTS,
        ),
        row(
            "processor time",
            "cores",
            Some(target.budget_cores),
            total(&[Metric::Cores]),
            BY_GUIDE,
        ),
        row(
            "resident memory",
            "bytes",
            Some(target.budget_memory_bytes()),
            total(&[Metric::ResidentBytes]),
            BY_GUIDE,
        ),
        row(
            "descriptors",
            "descriptors",
            None,
            total(&[Metric::Descriptors]),
            "a connection to each planner and the coordinator",
        ),
    ];
    rows.extend(kinds(basis, role, &size));
    rows.extend(delays(basis));
    rows.extend(events(basis));
    rows.extend(service(basis));
    rows.extend(decisions(basis));
    rows
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

/// A planner at a number of dispatchers that converse with it. Its program is one thread, so one core is all it has.
fn planner(basis: Basis, size: &Size) -> Vec<Row> {
    let mut rows = server(
        basis,
        Role::Planner,
        size,
        Some(1.0),
        Some(MAX_CONNECTIONS as f64),
    );
    let a_message = |distribution| {
        basis.lines.total(
            distribution,
            Role::Planner,
            &[Metric::MicrosPerMessage],
            size,
        )
    };
    rows.push(Row {
        what: "processor time a message".into(),
        unit: "us",
        budget: None,
        estimates: both(a_message),
        mechanism: "reports in, guidance, events or batches out",
    });
    rows
}

fn coordinator(basis: Basis) -> Vec<Row> {
    server(basis, Role::Coordinator, &basis.target.size(), None, None)
}

const BY_SERVING: &str = "each event to each dispatcher; digest: batches to those that subscribe";

fn server(
    basis: Basis,
    role: Role,
    size: &Size,
    cores: Option<f64>,
    descriptors: Option<f64>,
) -> Vec<Row> {
    let row = |what: &str, unit, budget, metrics: &'static [Metric]| Row {
        what: what.to_owned(),
        unit,
        budget,
        estimates: both(|distribution| basis.lines.total(distribution, role, metrics, size)),
        mechanism: BY_SERVING,
    };
    vec![
        row("processor time", "cores", cores, &[Metric::Cores]),
        row(
            "descriptors",
            "descriptors",
            descriptors,
            &[Metric::Descriptors],
        ),
        row("bytes in", "bytes/s", None, &[Metric::BytesInPerS]),
        row("bytes out", "bytes/s", None, &[Metric::BytesOutPerS]),
        row(
            "headers, both ways",
            "bytes/s",
            None,
            &[Metric::HeaderBytesPerS],
        ),
        row("messages, both ways", "messages/s", None, MESSAGES),
        row("resident memory", "bytes", None, &[Metric::ResidentBytes]),
    ]
}

/// All machines set aside, each with one planner, the fleet divided between them.
fn machines(basis: Basis) -> Vec<Row> {
    let (target, group) = (basis.target, basis.target.size_of_a_group());
    let all = |metrics: &'static [Metric]| {
        both(|distribution| {
            let one = basis
                .lines
                .total(distribution, Role::Planner, metrics, &group);
            one.map(|one| one * target.machines)
        })
    };
    let row = |what: &str, unit, budget, estimates| Row {
        what: what.to_owned(),
        unit,
        budget,
        estimates,
        mechanism: "a planner on each machine, dispatchers divided between them",
    };
    vec![
        row(
            "machines needed, one core and as many connections as the code allows each",
            "machines",
            Some(target.machines),
            both(|distribution| machines_needed(basis, distribution)),
        ),
        row(
            "processor time of all planners",
            "cores",
            Some(target.machines),
            all(&[Metric::Cores]),
        ),
        row(
            "bytes of all planners, both ways, with headers",
            "bytes/s",
            None,
            all(BYTES),
        ),
        row(
            "messages of all planners",
            "messages/s",
            None,
            all(MESSAGES),
        ),
        row(
            "resident memory of all planners",
            "bytes",
            None,
            all(&[Metric::ResidentBytes]),
        ),
    ]
}

/// How many machines serve the fleet if each planner takes on dispatchers until its one core or its connections are full.
fn machines_needed(basis: Basis, distribution: Distribution) -> Estimate {
    let Some(line) = basis.lines.one(distribution, Role::Planner, Metric::Cores) else {
        return Estimate::NOT_SHOWN;
    };
    if line.evidence != Evidence::Slope {
        return Estimate::NOT_SHOWN;
    }
    let target = basis.target;
    let none = Size {
        forwarders: 0.0,
        ..target.size()
    };
    let idle = line.predict(&none);
    let each = (line.predict(&target.size()) - idle) / target.dispatchers;
    if each <= 0.0 || idle >= 1.0 {
        return Estimate::NOT_SHOWN;
    }
    let served = ((1.0 - idle) / each).min(MAX_CONNECTIONS as f64);
    let needed = (target.dispatchers * target.planners_each / served).ceil();
    let at_that = Size {
        forwarders: served,
        ..target.size()
    };
    Estimate {
        value: Some(needed),
        known: estimate(line, &at_that).known,
    }
}
