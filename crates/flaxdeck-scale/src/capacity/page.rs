//! The page as Markdown: tables put together here, words around them from the template `page.md.j2`.

use flaxdeck_guidance::messages::EVENTS_MOST;
use flaxdeck_guidance::planner::{FORGOTTEN, LOG_MOST};
use flaxdeck_net::listener::BACKLOG;
use flaxdeck_plan::Blind;
use flaxdeck_recovery::{belief, pace};
use minijinja::syntax::SyntaxConfig;
use minijinja::value::Serde;
use minijinja::{Environment, UndefinedBehavior};
use serde::Serialize;

use super::estimate::{Estimate, Known, Lines};
use super::events::{Event, events};
use super::faults::{FaultRun, fault_runs};
use super::figures::{count, figure, span};
use super::rows::{Basis, DISTRIBUTIONS, RoleRows, Row, roles};
use super::state::{Bytes, State, states};
use crate::charts;
use crate::error::CapacityError;
use crate::fit::line::{SlopeRow, lines};
use crate::fit::{FULL_CORES, FULL_IDLE};
use crate::measurement::{DECISIONS_RUN, Distribution, Metric, Role};
use crate::target::Target;

const TEMPLATE: &str = include_str!("page.md.j2");
const NOT_SHOWN: &str = "not shown";

/// The page for these slopes and that target.
pub fn page(slopes: &[SlopeRow], target: &Target) -> Result<String, CapacityError> {
    let lines = lines(slopes);
    let basis = Basis { lines: Lines::new(&lines, target.planners_each as u32), target };
    let fault_runs = fault_runs(basis.lines.with_faults());
    let context = Context {
        target: target_fields(target),
        roles: roles(basis).iter().map(role_table).collect(),
        over: over(&roles(basis)),
        states: states(basis).iter().map(state_cells).collect(),
        events: events(target).into_iter().map(|event| event_cells(event, &fault_runs)).collect(),
        faults: fault_runs.iter().map(fault_cells).collect(),
        charts: charts::titles(&lines).into_iter().map(chart_cells).collect(),
        idle: DISTRIBUTIONS.map(|distribution| idle_percent(basis, distribution)),
        full_core: figure(100.0 * FULL_CORES),
        full_idle: figure(100.0 * FULL_IDLE),
        runs: run_cells(&basis.lines.runs()),
        bounds: bound_fields(target),
    };
    let failed = |error: minijinja::Error| CapacityError::Template(format!("{error:#}"));
    render(context).map_err(failed)
}

/// Fills the template in. A field that is not there is a fault.
fn render(context: Context) -> Result<String, minijinja::Error> {
    let syntax = SyntaxConfig::builder().trim_blocks(true).keep_trailing_newline(true).build()?;
    let mut environment = Environment::new();
    environment.set_syntax(syntax);
    environment.set_undefined_behavior(UndefinedBehavior::Strict);
    environment.add_template("page.md", TEMPLATE)?;
    environment.get_template("page.md")?.render(Serde(context))
}

/// All that the template may name. Figures are texts already.
#[derive(Serialize)]
struct Context {
    target: TargetFields,
    roles: Vec<RoleTable>,
    /// What is over its budget, by the most first.
    over: Vec<OverCells>,
    states: Vec<StateCells>,
    events: Vec<EventCells>,
    faults: Vec<FaultCells>,
    charts: Vec<ChartCells>,
    /// Idle share of the machine at the largest size, under each event and digest, in percent.
    idle: [String; 2],
    full_core: String,
    full_idle: String,
    runs: Vec<RunCells>,
    bounds: BoundFields,
}

#[derive(Serialize)]
struct TargetFields {
    dispatchers: String,
    sites: String,
    hosts: String,
    regions: String,
    zones: String,
    requests: String,
    tbit: String,
    objects: String,
    purges: String,
    purge_within: String,
    changes: String,
    change_within: String,
    core_percent: String,
    memory: String,
    bytes: String,
    machines: String,
    failures: String,
    restarts: String,
    requests_each: String,
    dispatchers_a_site: String,
    dispatchers_a_region: String,
    hosts_a_region: String,
    dispatchers_a_zone: String,
    hosts_a_zone: String,
    change_each: String,
    planners_each: String,
    dispatchers_a_planner: String,
}

fn target_fields(target: &Target) -> TargetFields {
    TargetFields {
        dispatchers: count(target.dispatchers),
        sites: count(target.sites),
        hosts: count(target.hosts),
        regions: count(target.regions),
        zones: count(target.zones),
        requests: count(target.requests_per_s),
        tbit: figure(target.tbit_per_s),
        objects: count(target.objects),
        purges: figure(target.purges_per_s),
        purge_within: span(target.purge_within_s),
        changes: count(target.changes_per_day),
        change_within: span(target.change_within_s),
        core_percent: figure(100.0 * target.budget_cores),
        memory: figure(target.budget_memory_mb),
        bytes: count(target.budget_bytes_per_s),
        machines: count(target.machines),
        failures: count(target.failures_per_day),
        restarts: count(target.restarts_per_day),
        requests_each: count(target.requests_each_per_s()),
        dispatchers_a_site: count(target.dispatchers_a_site()),
        dispatchers_a_region: count(target.dispatchers_a_region()),
        hosts_a_region: count(target.hosts_a_region()),
        dispatchers_a_zone: count(target.dispatchers_a_zone()),
        hosts_a_zone: count(target.hosts_a_zone()),
        change_each: span(target.change_each_s()),
        planners_each: count(target.planners_each),
        dispatchers_a_planner: count(target.dispatchers_a_planner()),
    }
}

#[derive(Serialize)]
struct RoleTable {
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

/// A value with its unit; what is counted in whole things is written whole.
fn with_unit(value: f64, unit: &str) -> String {
    match unit {
        "descriptors" | "events" | "machines" => format!("{} {unit}", count(value)),
        "cores" if value == 1.0 => "1 core".into(),
        _ => format!("{} {unit}", figure(value)),
    }
}

fn role_table(role: &RoleRows) -> RoleTable {
    RoleTable { title: role.title.clone(), rows: role.rows.iter().map(row_cells).collect() }
}

fn row_cells(row: &Row) -> RowCells {
    RowCells {
        what: row.what.clone(),
        budget: row.budget.map_or("none".into(), |budget| with_unit(budget, row.unit)),
        each_event: estimate_cells(row, 0),
        digest: estimate_cells(row, 1),
        mechanism: row.mechanism.to_owned(),
    }
}

fn estimate_cells(row: &Row, at: usize) -> EstimateCells {
    let Estimate { value, known } = &row.estimates[at];
    let least = if matches!(known, Known::MeasuredBelow { .. }) { "at least " } else { "" };
    let ratio = match (row.ratios()[at], row.is_over(at)) {
        (Some(ratio), true) => format!("**{least}{} over**", figure(ratio)),
        (Some(ratio), false) => format!("{least}{}", figure(ratio)),
        (None, true) => "**over**".into(),
        (None, false) => "-".into(),
    };
    EstimateCells {
        value: value.map_or("-".into(), |value| with_unit(value, row.unit)),
        ratio,
        known: known.to_string(),
    }
}

#[derive(Serialize)]
struct OverCells {
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

/// Rows over their budget, by the largest factor first.
fn over(roles: &[RoleRows]) -> Vec<OverCells> {
    let mut found: Vec<(f64, OverCells)> = Vec::new();
    for role in roles {
        for row in &role.rows {
            for (at, distribution) in DISTRIBUTIONS.into_iter().enumerate() {
                if !row.is_over(at) {
                    continue;
                }
                let ratio = row.ratios()[at];
                let cells = OverCells {
                    role: role.title.clone(),
                    what: row.what.clone(),
                    distribution: distribution_name(distribution),
                    ratio: ratio.map_or("none is allowed".into(), figure),
                };
                found.push((ratio.unwrap_or(f64::INFINITY), cells));
            }
        }
    }
    found.sort_by(|one, other| other.0.total_cmp(&one.0));
    found.into_iter().map(|(_, cells)| cells).collect()
}

#[derive(Serialize)]
struct StateCells {
    role: &'static str,
    what: &'static str,
    needed: String,
    bytes_each: String,
    kept: String,
    bound: String,
    ratio: String,
    known: &'static str,
}

fn state_cells(state: &State) -> StateCells {
    let ratio = state.ratio();
    let (bytes_each, known) = match &state.bytes_each {
        Bytes::BySlope([each_event, digest]) => {
            let text = |bytes: &Option<f64>| bytes.map_or("-".to_owned(), figure);
            (format!("{} / {}", text(each_event), text(digest)), "slope; entries by the target")
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
            Some(bound) => format!("{}, {}", count(bound.most), bound.name),
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
struct EventCells {
    key: &'static str,
    name: &'static str,
    size: String,
    by_run: String,
}

fn event_cells(event: Event, runs: &[FaultRun]) -> EventCells {
    let shown: Vec<String> = runs
        .iter()
        .filter(|run| event.faults.contains(&run.fault.as_str()))
        .map(|run| format!("`{}`, {}", run.fault, distribution_name(run.distribution)))
        .collect();
    let by_run = if shown.is_empty() { NOT_SHOWN.to_owned() } else { shown.join("; ") };
    EventCells { key: event.key, name: event.name, size: event.size, by_run }
}

#[derive(Serialize)]
struct FaultCells {
    fault: String,
    distribution: &'static str,
    at: String,
    told: String,
}

fn fault_cells(run: &FaultRun) -> FaultCells {
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
        told: run.told(),
    }
}

fn idle_percent(basis: Basis, distribution: Distribution) -> String {
    let line = basis.lines.one(distribution, Role::Coordinator, Metric::MachineIdleShare);
    line.map_or(NOT_SHOWN.to_owned(), |line| format!("{} %", figure(100.0 * line.value)))
}

#[derive(Serialize)]
struct ChartCells {
    file: &'static str,
    title: &'static str,
}

fn chart_cells((file, title): (&'static str, &'static str)) -> ChartCells {
    ChartCells { file, title }
}

#[derive(Serialize)]
struct RunCells {
    name: String,
    seeds: String,
    command: String,
}

/// Runs are named by their file and seed, `name-seed`: one entry for a file, with its seeds.
fn run_cells(runs: &[String]) -> Vec<RunCells> {
    let mut cells: Vec<RunCells> = Vec::new();
    for run in runs {
        let (name, seed) = run.rsplit_once('-').unwrap_or((run, ""));
        match cells.iter_mut().find(|cell| cell.name == name) {
            Some(cell) => cell.seeds = format!("{}, {seed}", cell.seeds),
            None => {
                cells.push(RunCells { name: name.to_owned(), seeds: seed.to_owned(), command: command(name) })
            }
        }
    }
    cells
}

/// The one command by which the runs of a name are repeated.
fn command(name: &str) -> String {
    if name == DECISIONS_RUN {
        let example = "cargo run --release -p flaxdeck-scale --example decisions";
        return format!("{example} -- docs/capacity/target.plan > docs/capacity/runs/{name}.csv");
    }
    format!("flaxdeck scale scale/{name}.scale --out docs/capacity/runs/{name}.csv")
}

/// Bounds of the code that the readings name.
#[derive(Serialize)]
struct BoundFields {
    backlog: String,
    first_least: String,
    first_most: String,
    rack_calls: String,
    zone_calls: String,
    region_calls: String,
    forgotten: String,
    forgotten_in_rolling: String,
    blind: String,
    missed_while_cut_off: String,
    log: String,
    log_reach: String,
    log_reach_in_storm: String,
    store: String,
    store_reach_in_storm: String,
    storm_purges: String,
    events_a_message: String,
}

fn bound_fields(target: &Target) -> BoundFields {
    let [least, most] = pace::FIRST;
    let spread_s = (most.ms() - least.ms()) / 1e3;
    let calls = |dispatchers: f64| figure(dispatchers / spread_s);
    let forgotten_s = FORGOTTEN.ms() / 1e3;
    let storm_events = target.storm_per_s() + target.changes_per_s();
    BoundFields {
        backlog: count(f64::from(BACKLOG)),
        first_least: span(least.ms() / 1e3),
        first_most: span(most.ms() / 1e3),
        rack_calls: calls(target.rack_dispatchers),
        zone_calls: calls(target.dispatchers_a_zone()),
        region_calls: calls(target.dispatchers_a_region()),
        forgotten: span(forgotten_s),
        forgotten_in_rolling: figure(target.rolling_per_s() * forgotten_s),
        blind: blind(),
        missed_while_cut_off: count(target.events_per_s() * target.cut_off_s),
        log: count(LOG_MOST as f64),
        log_reach: span(LOG_MOST as f64 / target.events_per_s()),
        log_reach_in_storm: span(LOG_MOST as f64 / storm_events),
        store: count(belief::PURGES_MOST as f64),
        store_reach_in_storm: span(belief::PURGES_MOST as f64 / target.storm_per_s()),
        storm_purges: count(target.storm_per_s() * target.storm_s),
        events_a_message: count(EVENTS_MOST as f64),
    }
}

/// After how long a dispatcher that hears nobody bounces, by the plan file's default.
fn blind() -> String {
    match super::state::default_plan().map(|plan| plan.blind) {
        Some(Blind::BounceAfter { ms }) => span(ms / 1e3),
        Some(Blind::GoOn) | None => NOT_SHOWN.to_owned(),
    }
}
