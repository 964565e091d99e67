//! Renders the capacity page as Markdown: the tables are computed here, the text around them is in the template
//! `page.md.j2`.

mod cells;
mod fields;

use minijinja::syntax::SyntaxConfig;
use minijinja::value::Serde;
use minijinja::{Environment, UndefinedBehavior};
use serde::Serialize;

use super::estimate::Lines;
use super::events::events;
use super::faults::fault_runs;
use super::figures::figure;
use super::rows::{Basis, DISTRIBUTIONS, roles};
use super::state::states;
use crate::charts;
use crate::error::CapacityError;
use crate::fit::line::{SlopeRow, lines};
use crate::fit::{MIN_IDLE_SHARE, SATURATED_CORES};
use crate::target::Target;
use cells::{
    ChartCells, EventCells, FaultCells, OverCells, RoleTable, RunCells, StateCells, chart_cells,
    event_cells, fault_cells, idle_percent, over_budget, role_table, run_cells, state_cells,
};
use fields::{BoundFields, TargetFields, bound_fields, target_fields};

const TEMPLATE: &str = include_str!("page.md.j2");
const NOT_SHOWN: &str = "not shown";

/// Renders the page from the fitted slopes and the target.
///
/// # Errors
///
/// [`CapacityError::Template`] if the template refers to a field that does not exist.
pub fn page(slopes: &[SlopeRow], target: &Target) -> Result<String, CapacityError> {
    let lines = lines(slopes);
    let basis = Basis {
        lines: Lines::new(&lines, target.planners_per_dispatcher as u32),
        target,
    };
    let fault_runs = fault_runs(basis.lines.with_faults());
    let context = Context {
        target: target_fields(target),
        roles: roles(basis).iter().map(role_table).collect(),
        over: over_budget(&roles(basis)),
        states: states(basis).iter().map(state_cells).collect(),
        events: events(target)
            .into_iter()
            .map(|event| event_cells(event, &fault_runs))
            .collect(),
        faults: fault_runs.iter().map(fault_cells).collect(),
        charts: charts::titles(&lines)
            .into_iter()
            .map(chart_cells)
            .collect(),
        idle: DISTRIBUTIONS.map(|distribution| idle_percent(basis, distribution)),
        full_core: figure(100.0 * SATURATED_CORES),
        full_idle: figure(100.0 * MIN_IDLE_SHARE),
        runs: run_cells(&basis.lines.runs()),
        bounds: bound_fields(target),
    };
    render(context).map_err(CapacityError::Template)
}

/// Renders the template. An undefined field is an error.
fn render(context: Context) -> Result<String, minijinja::Error> {
    let syntax = SyntaxConfig::builder()
        .trim_blocks(true)
        .keep_trailing_newline(true)
        .build()?;
    let mut environment = Environment::new();
    environment.set_syntax(syntax);
    environment.set_undefined_behavior(UndefinedBehavior::Strict);
    environment.add_template("page.md", TEMPLATE)?;
    environment.get_template("page.md")?.render(Serde(context))
}

/// Everything that the template can refer to. Figures are already formatted as text.
#[derive(Serialize)]
struct Context {
    target: TargetFields,
    roles: Vec<RoleTable>,
    /// Rows over their budget, the largest ratio first.
    over: Vec<OverCells>,
    states: Vec<StateCells>,
    events: Vec<EventCells>,
    faults: Vec<FaultCells>,
    charts: Vec<ChartCells>,
    /// Idle share of the machine at the largest size, in percent, one value for each of [`DISTRIBUTIONS`].
    idle: [String; 2],
    full_core: String,
    full_idle: String,
    runs: Vec<RunCells>,
    bounds: BoundFields,
}
