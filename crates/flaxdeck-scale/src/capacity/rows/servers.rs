//! What planners, the coordinator and the machines set aside carry.

use flaxdeck_planner::MAX_CONNECTIONS;

use super::{BYTES, Basis, MESSAGES, Row, both};
use crate::capacity::estimate::{Estimate, estimate};
use crate::fit::line::Evidence;
use crate::fit::nature::Size;
use crate::measurement::{Distribution, Metric, Role};

/// A planner at a number of dispatchers that are connected to it. Its program is one thread, so one core is all it has.
pub(super) fn planner(basis: Basis, size: &Size) -> Vec<Row> {
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

/// The coordinator, which has no budget.
pub(super) fn coordinator(basis: Basis) -> Vec<Row> {
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
pub(super) fn machines(basis: Basis) -> Vec<Row> {
    let machines = Some(basis.target.machines);
    let all = |metrics| all_planners(basis, metrics);
    vec![
        machine_row(
            "machines needed, one core and as many connections as the code allows each",
            "machines",
            machines,
            both(|distribution| machines_needed(basis, distribution)),
        ),
        machine_row(
            "processor time of all planners",
            "cores",
            machines,
            all(&[Metric::Cores]),
        ),
        machine_row(
            "bytes of all planners, both ways, with headers",
            "bytes/s",
            None,
            all(BYTES),
        ),
        machine_row(
            "messages of all planners",
            "messages/s",
            None,
            all(MESSAGES),
        ),
        machine_row(
            "resident memory of all planners",
            "bytes",
            None,
            all(&[Metric::ResidentBytes]),
        ),
    ]
}

/// What one planner takes at the size of its part of the fleet, times the machines.
fn all_planners(basis: Basis, metrics: &[Metric]) -> [Estimate; 2] {
    let size = basis.target.size_of_a_group();
    both(|distribution| {
        let role = Role::Planner;
        let one = basis.lines.total(distribution, role, metrics, &size);
        one.map(|one| one * basis.target.machines)
    })
}

fn machine_row(
    what: &str,
    unit: &'static str,
    budget: Option<f64>,
    estimates: [Estimate; 2],
) -> Row {
    Row {
        what: what.to_owned(),
        unit,
        budget,
        estimates,
        mechanism: "a planner on each machine, dispatchers divided between them",
    }
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
