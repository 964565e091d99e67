//! Rows of the page's tables, with every cell formatted as text.

use serde::Serialize;

use super::NOT_SHOWN;
use crate::capacity::estimate::Estimate;
use crate::capacity::events::Event;
use crate::capacity::faults::FaultRun;
use crate::capacity::figures::{count, figure};
use crate::capacity::rows::{Basis, DISTRIBUTIONS, RoleRows, Row};
use crate::capacity::state::{Bytes, State};
use crate::measurement::{DECISIONS_RUN, Distribution, Metric, Role};

#[derive(Serialize)]
pub(super) struct RoleTable {
    title: String,
    rows: Vec<RowCells>,
}

#[derive(Serialize)]
struct RowCells {
    what: String,
    budget: String,
    each_event: EstimateCells,
    digest: EstimateCells,
    mechanism: String,
}

#[derive(Serialize)]
struct EstimateCells {
    value: String,
    ratio: String,
    known: String,
}

/// Formats a value with its unit; countable units are written as integers.
fn with_unit(value: f64, unit: &str) -> String {
    match unit {
        "descriptors" | "events" | "machines" => format!("{} {unit}", count(value)),
        "cores" if value == 1.0 => "1 core".into(),
        _ => format!("{} {unit}", figure(value)),
    }
}

pub(super) fn role_table(role: &RoleRows) -> RoleTable {
    RoleTable {
        title: role.title.clone(),
        rows: role.rows.iter().map(row_cells).collect(),
    }
}

fn row_cells(row: &Row) -> RowCells {
    RowCells {
        what: row.what.clone(),
        budget: row
            .budget
            .map_or("none".into(), |budget| with_unit(budget, row.unit)),
        each_event: estimate_cells(row, 0),
        digest: estimate_cells(row, 1),
        mechanism: row.mechanism.to_owned(),
    }
}

fn estimate_cells(row: &Row, at: usize) -> EstimateCells {
    let Estimate { value, provenance } = &row.estimates[at];
    let prefix = if provenance.is_lower_bound() {
        "at least "
    } else {
        ""
    };
    let ratio = match (row.ratios()[at], row.is_over(at)) {
        (Some(ratio), true) => format!("**{prefix}{} over**", figure(ratio)),
        (Some(ratio), false) => format!("{prefix}{}", figure(ratio)),
        (None, true) => "**over**".into(),
        (None, false) => "-".into(),
    };
    EstimateCells {
        value: value.map_or("-".into(), |value| {
            format!("{prefix}{}", with_unit(value, row.unit))
        }),
        ratio,
        known: provenance.to_string(),
    }
}

#[derive(Serialize)]
pub(super) struct OverCells {
    role: String,
    what: String,
    distribution: &'static str,
    ratio: String,
}

fn distribution_name(distribution: Distribution) -> &'static str {
    match distribution {
        Distribution::EachEvent => "each event",
        Distribution::Digest => "digest",
    }
}

/// Returns the rows over their budget, the largest ratio first.
pub(super) fn over_budget(roles: &[RoleRows]) -> Vec<OverCells> {
    let mut found: Vec<(f64, OverCells)> = Vec::new();
    for role in roles {
        for row in &role.rows {
            for (at, distribution) in DISTRIBUTIONS.into_iter().enumerate() {
                if !row.is_over(at) {
                    continue;
                }
                let ratio = row.ratios()[at];
                let prefix = if row.estimates[at].provenance.is_lower_bound() {
                    "at least "
                } else {
                    ""
                };
                let cells = OverCells {
                    role: role.title.clone(),
                    what: row.what.clone(),
                    distribution: distribution_name(distribution),
                    ratio: ratio.map_or("none is allowed".into(), |ratio| {
                        format!("{prefix}{}", figure(ratio))
                    }),
                };
                found.push((ratio.unwrap_or(f64::INFINITY), cells));
            }
        }
    }
    found.sort_by(|one, other| other.0.total_cmp(&one.0));
    found.into_iter().map(|(_, cells)| cells).collect()
}

#[derive(Serialize)]
pub(super) struct StateCells {
    role: &'static str,
    what: &'static str,
    needed: String,
    bytes_each: String,
    kept: String,
    bound: String,
    ratio: String,
    known: &'static str,
}

pub(super) fn state_cells(state: &State) -> StateCells {
    let ratio = state.ratio();
    let (bytes_each, known) = match &state.bytes_each {
        Bytes::BySlope([each_event, digest]) => {
            let text = |bytes: &Option<f64>| bytes.map_or("-".to_owned(), figure);
            (
                format!("{} / {}", text(each_event), text(digest)),
                "slope; entries by the target",
            )
        }
        Bytes::Encoded(bytes) => (figure(*bytes), "measured: encoded by this command"),
        Bytes::NotShown => (NOT_SHOWN.to_owned(), "by reading"),
    };
    StateCells {
        role: state.role,
        what: state.what,
        needed: count(state.needed),
        bytes_each,
        kept: state.kept.clone(),
        bound: match &state.bound {
            Some(bound) => format!("{}, {}", count(bound.max), bound.name),
            None => "none".into(),
        },
        ratio: match ratio {
            Some(ratio) if ratio > 1.0 => format!("**{} over**", figure(ratio)),
            Some(ratio) => figure(ratio),
            None => "-".into(),
        },
        known,
    }
}

#[derive(Serialize)]
pub(super) struct EventCells {
    key: &'static str,
    name: &'static str,
    size: String,
    by_run: String,
}

pub(super) fn event_cells(event: Event, runs: &[FaultRun]) -> EventCells {
    let shown: Vec<String> = runs
        .iter()
        .filter(|run| event.faults.contains(&run.fault.as_str()))
        .map(|run| format!("`{}`, {}", run.fault, distribution_name(run.distribution)))
        .collect();
    let by_run = if shown.is_empty() {
        NOT_SHOWN.to_owned()
    } else {
        shown.join("; ")
    };
    EventCells {
        key: event.key,
        name: event.name,
        size: event.size,
        by_run,
    }
}

#[derive(Serialize)]
pub(super) struct FaultCells {
    fault: String,
    distribution: &'static str,
    at: String,
    summary: String,
}

pub(super) fn fault_cells(run: &FaultRun) -> FaultCells {
    let at = run.at;
    FaultCells {
        fault: run.fault.clone(),
        distribution: distribution_name(run.distribution),
        at: format!(
            "{} forwarders, {} hosts, {} purges/s",
            count(at.forwarders),
            count(at.hosts),
            figure(at.purges)
        ),
        summary: run.summary(),
    }
}

pub(super) fn idle_percent(basis: Basis, distribution: Distribution) -> String {
    let line = basis
        .lines
        .single(distribution, Role::Coordinator, Metric::MachineIdleShare);
    line.map_or(NOT_SHOWN.to_owned(), |line| {
        format!("{} %", figure(100.0 * line.value))
    })
}

#[derive(Serialize)]
pub(super) struct ChartCells {
    file: &'static str,
    title: &'static str,
}

pub(super) fn chart_cells((file, title): (&'static str, &'static str)) -> ChartCells {
    ChartCells { file, title }
}

#[derive(Serialize)]
pub(super) struct RunCells {
    name: String,
    seeds: String,
    command: String,
}

/// Groups runs by scale file: their names have the form `name-seed`, and each name gets one entry that lists its seeds.
pub(super) fn run_cells(runs: &[String]) -> Vec<RunCells> {
    let mut cells: Vec<RunCells> = Vec::new();
    for run in runs {
        let (name, seed) = run.rsplit_once('-').unwrap_or((run, ""));
        match cells.iter_mut().find(|cell| cell.name == name) {
            Some(cell) => cell.seeds = format!("{}, {seed}", cell.seeds),
            None => cells.push(RunCells {
                name: name.to_owned(),
                seeds: seed.to_owned(),
                command: command(name),
            }),
        }
    }
    cells
}

/// Returns the command that repeats the runs of a name.
fn command(name: &str) -> String {
    if name == DECISIONS_RUN {
        let example = "cargo run --release -p flaxdeck-scale --example decisions";
        return format!("{example} -- docs/capacity/target.plan > docs/capacity/runs/{name}.csv");
    }
    format!("flaxdeck scale scale/{name}.scale --out docs/capacity/runs/{name}.csv")
}
