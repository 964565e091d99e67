//! The load of planners, the coordinator and the machines reserved for control.

use flaxdeck_planner::MAX_CONNECTIONS;

use super::{BYTES, Basis, MESSAGES, Row, per_distribution};
use crate::capacity::estimate::{Estimate, estimate};
use crate::fit::line::Evidence;
use crate::fit::nature::Size;
use crate::measurement::{Distribution, Metric, Role};

/// Returns the rows of a planner with `size.forwarders` dispatchers connected. A planner runs on one thread, so its
/// budget is one core.
pub(super) fn planner(basis: Basis, size: &Size) -> Vec<Row> {
    let mut rows = server(
        basis,
        Role::Planner,
        size,
        Some(1.0),
        Some(MAX_CONNECTIONS as f64),
    );
    let micros_per_message = |distribution| {
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
        estimates: per_distribution(micros_per_message),
        mechanism: "reports in, guidance, events or batches out",
    });
    rows
}

/// Returns the rows of the coordinator, which has no budget.
pub(super) fn coordinator(basis: Basis) -> Vec<Row> {
    server(basis, Role::Coordinator, &basis.target.size(), None, None)
}

const SERVER_MECHANISM: &str =
    "each event to each dispatcher; digest: batches to those that subscribe";

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
        estimates: per_distribution(|distribution| {
            basis.lines.total(distribution, role, metrics, size)
        }),
        mechanism: SERVER_MECHANISM,
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

/// Returns the rows of all machines reserved for control, each with one planner, with the dispatchers divided between
/// them.
pub(super) fn machines(basis: Basis) -> Vec<Row> {
    let machines = Some(basis.target.machines);
    let of_all_planners = |metrics| all_planners(basis, metrics);
    vec![
        machine_row(
            "machines needed, one core and as many connections as the code allows each",
            "machines",
            machines,
            per_distribution(|distribution| machines_needed(basis, distribution)),
        ),
        machine_row(
            "processor time of all planners",
            "cores",
            machines,
            of_all_planners(&[Metric::Cores]),
        ),
        machine_row(
            "bytes of all planners, both ways, with headers",
            "bytes/s",
            None,
            of_all_planners(BYTES),
        ),
        machine_row(
            "messages of all planners",
            "messages/s",
            None,
            of_all_planners(MESSAGES),
        ),
        machine_row(
            "resident memory of all planners",
            "bytes",
            None,
            of_all_planners(&[Metric::ResidentBytes]),
        ),
    ]
}

/// Returns the load of one planner with its part of the fleet, multiplied by the number of machines.
fn all_planners(basis: Basis, metrics: &[Metric]) -> [Estimate; 2] {
    let size = basis.target.size_per_planner();
    per_distribution(|distribution| {
        let role = Role::Planner;
        let planner = basis.lines.total(distribution, role, metrics, &size);
        planner.map(|value| value * basis.target.machines)
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

/// Returns the number of machines needed if each planner accepts dispatchers until its one core or its connection limit
/// is exhausted.
fn machines_needed(basis: Basis, distribution: Distribution) -> Estimate {
    let Some(line) = basis
        .lines
        .single(distribution, Role::Planner, Metric::Cores)
    else {
        return Estimate::NOT_SHOWN;
    };
    if line.evidence != Evidence::Slope {
        return Estimate::NOT_SHOWN;
    }
    let target = basis.target;
    let no_dispatchers = Size {
        forwarders: 0.0,
        ..target.size()
    };
    let base_cores = line.predict(&no_dispatchers);
    let cores_per_dispatcher = (line.predict(&target.size()) - base_cores) / target.dispatchers;
    if cores_per_dispatcher <= 0.0 || base_cores >= 1.0 {
        return Estimate::NOT_SHOWN;
    }
    let served = ((1.0 - base_cores) / cores_per_dispatcher).min(MAX_CONNECTIONS as f64);
    let needed = (target.dispatchers * target.planners_per_dispatcher / served).ceil();
    let served_size = Size {
        forwarders: served,
        ..target.size()
    };
    Estimate {
        value: Some(needed),
        provenance: estimate(line, &served_size).provenance,
    }
}
