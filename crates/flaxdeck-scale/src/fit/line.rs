//! A fitted line, or what was measured where no line could be: the rows of `docs/capacity/slopes.csv`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::nature::{Size, Term};
use crate::measurement::{Distribution, Metric, Role};

/// Whose figures are fitted together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Series {
    /// How events reached the forwarders.
    pub distribution: Distribution,
    /// `none`, or the fault of the runs.
    pub fault: String,
    /// Planners of the runs.
    pub planners: u32,
    /// Whose figures they are.
    pub role: Role,
    /// What was measured.
    pub metric: Metric,
    /// The kind of message where the metric has kinds; else empty.
    pub kind: String,
}

/// How a line is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Evidence {
    /// Fitted over three sizes or more of its main driver.
    Slope,
    /// Measured at some sizes, too few to draw it out.
    Measured,
}

/// One term of a line over the sizes measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FittedTerm {
    /// The term.
    pub term: Term,
    /// None where the driver was not varied enough, can't be told from another one, or does less than the noise.
    pub coefficient: Option<f64>,
    /// The least value of its driver that was measured.
    pub least: f64,
    /// The largest value of its driver that was measured.
    pub most: f64,
    /// How many different values of the driver were measured.
    pub sizes: u32,
}

/// A fitted line, with what was measured at the largest size.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Whose figures were fitted.
    pub series: Series,
    /// How the line is known.
    pub evidence: Evidence,
    /// The constant first; empty where only what was measured is told.
    pub terms: Vec<FittedTerm>,
    /// Points that were measured.
    pub points: u32,
    /// Points left out: a thread or the machine was full in their runs, or real forwarders took part uncounted.
    pub excluded_points: u32,
    /// Root mean square of the residuals; of the points at the largest size where there is no slope.
    pub residual: f64,
    /// The largest value of all points.
    pub largest: f64,
    /// The largest size measured.
    pub at: Size,
    /// The value there.
    pub value: f64,
    /// Of runs with a fault: the value of those without it at that size.
    pub twin: Option<f64>,
    /// Names of the runs, sorted.
    pub runs: Vec<String>,
}

impl Line {
    /// The value that the line gives at a size.
    pub fn predict(&self, size: &Size) -> f64 {
        let part = |term: &FittedTerm| term.coefficient.unwrap_or(0.0) * term.term.driver(size);
        self.terms.iter().map(part).sum::<f64>().max(0.0)
    }

    /// What each further unit of a driver adds.
    pub fn coefficient(&self, term: Term) -> Option<f64> {
        self.terms
            .iter()
            .find(|fitted| fitted.term == term)
            .and_then(|fitted| fitted.coefficient)
    }

    /// By how much the line is drawn out at a size: the driver there over the largest one measured, the worst of all
    /// terms that were varied, at least 1.
    pub fn factor(&self, size: &Size) -> f64 {
        let varied = self
            .terms
            .iter()
            .filter(|term| term.sizes >= super::MIN_SIZES && term.most > 0.0);
        varied
            .map(|term| term.term.driver(size) / term.most)
            .fold(1.0, f64::max)
    }

    /// Drivers that belong to the metric and were held at one size or two, below that size.
    pub fn unvaried_terms(&self, size: &Size) -> Vec<&FittedTerm> {
        let is_below = |term: &&FittedTerm| term.most < term.term.driver(size);
        let unvaried = self
            .terms
            .iter()
            .filter(|term| term.sizes < super::MIN_SIZES);
        unvaried
            .filter(|term| term.term != Term::Constant)
            .filter(is_below)
            .collect()
    }
}

/// A row of `slopes.csv`: one term of a line, with what belongs to the whole line repeated beside it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlopeRow {
    /// As in [`Series`].
    pub distribution: Distribution,
    /// As in [`Series`].
    pub fault: String,
    /// As in [`Series`].
    pub planners: u32,
    /// As in [`Series`].
    pub role: Role,
    /// As in [`Series`].
    pub metric: Metric,
    /// As in [`Series`].
    pub kind: String,
    /// As in [`Line`].
    pub evidence: Evidence,
    /// None in the only row of what was measured and not fitted.
    pub term: Option<Term>,
    /// As in [`FittedTerm`].
    pub coefficient: Option<f64>,
    /// What the coefficient is counted in.
    pub unit: String,
    /// The least value of the term's driver.
    pub driver_least: Option<f64>,
    /// The largest value of the term's driver.
    pub driver_most: Option<f64>,
    /// Different values of the term's driver.
    pub driver_sizes: Option<u32>,
    /// As in [`Line`].
    pub points: u32,
    /// As in [`Line`].
    pub left_out: u32,
    /// As in [`Line`].
    pub residual: f64,
    /// As in [`Line`].
    pub largest: f64,
    /// Forwarders at the largest size.
    pub at_forwarders: f64,
    /// Hosts at the largest size.
    pub at_hosts: f64,
    /// Purges a second at the largest size.
    pub at_purges_per_s: f64,
    /// As in [`Line`].
    pub value: f64,
    /// As in [`Line`].
    pub twin: Option<f64>,
    /// Separated by `;`.
    pub runs: String,
}

/// Significant digits that figures are written with.
const DIGITS: i32 = 6;

fn rounded(value: f64) -> f64 {
    if value == 0.0 || !value.is_finite() {
        return value;
    }
    format!("{value:.*e}", (DIGITS - 1) as usize)
        .parse()
        .unwrap_or(value)
}

fn unit(metric: Metric, term: Option<Term>) -> String {
    let unit = metric.unit();
    match term {
        None | Some(Term::Constant) => unit.to_owned(),
        Some(Term::Forwarders) => format!("{unit} per forwarder"),
        Some(Term::Hosts) => format!("{unit} per host"),
        Some(Term::Purges) => format!("{unit} per purge/s"),
        Some(Term::ForwarderPurges) => format!("{unit} per forwarder and purge/s"),
    }
}

/// The rows of a line.
pub fn rows(line: &Line) -> Vec<SlopeRow> {
    if line.terms.is_empty() {
        return vec![row(line, None)];
    }
    line.terms
        .iter()
        .map(|term| row(line, Some(term)))
        .collect()
}

fn row(line: &Line, term: Option<&FittedTerm>) -> SlopeRow {
    let series = &line.series;
    SlopeRow {
        distribution: series.distribution,
        fault: series.fault.clone(),
        planners: series.planners,
        role: series.role,
        metric: series.metric,
        kind: series.kind.clone(),
        evidence: line.evidence,
        term: term.map(|term| term.term),
        coefficient: term.and_then(|term| term.coefficient).map(rounded),
        unit: unit(series.metric, term.map(|term| term.term)),
        driver_least: term.map(|term| term.least),
        driver_most: term.map(|term| term.most),
        driver_sizes: term.map(|term| term.sizes),
        points: line.points,
        left_out: line.excluded_points,
        residual: rounded(line.residual),
        largest: rounded(line.largest),
        at_forwarders: line.at.forwarders,
        at_hosts: line.at.hosts,
        at_purges_per_s: line.at.purges,
        value: rounded(line.value),
        twin: line.twin.map(rounded),
        runs: line.runs.join(";"),
    }
}

/// The lines that rows tell, in the order of their series.
pub fn lines(rows: &[SlopeRow]) -> Vec<Line> {
    let mut lines: BTreeMap<Series, Line> = BTreeMap::new();
    for row in rows {
        let line = lines
            .entry(series(row))
            .or_insert_with(|| line_without_terms(row));
        line.terms.extend(fitted_term(row));
    }
    lines.into_values().collect()
}

fn series(row: &SlopeRow) -> Series {
    Series {
        distribution: row.distribution,
        fault: row.fault.clone(),
        planners: row.planners,
        role: row.role,
        metric: row.metric,
        kind: row.kind.clone(),
    }
}

fn line_without_terms(row: &SlopeRow) -> Line {
    Line {
        series: series(row),
        evidence: row.evidence,
        terms: Vec::new(),
        points: row.points,
        excluded_points: row.left_out,
        residual: row.residual,
        largest: row.largest,
        at: Size {
            forwarders: row.at_forwarders,
            hosts: row.at_hosts,
            purges: row.at_purges_per_s,
        },
        value: row.value,
        twin: row.twin,
        runs: row
            .runs
            .split(';')
            .filter(|run| !run.is_empty())
            .map(str::to_owned)
            .collect(),
    }
}

fn fitted_term(row: &SlopeRow) -> Option<FittedTerm> {
    let (least, most, sizes) = (row.driver_least?, row.driver_most?, row.driver_sizes?);
    Some(FittedTerm {
        term: row.term?,
        coefficient: row.coefficient,
        least,
        most,
        sizes,
    })
}
