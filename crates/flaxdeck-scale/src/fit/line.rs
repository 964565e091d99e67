//! A fitted line, or the measured value where no line could be fitted, and the rows of `docs/capacity/slopes.csv`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::nature::{Size, Term};
use crate::measurement::{Distribution, Metric, Role};

/// Identifies the measurements that are fitted together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Series {
    /// How events were distributed to the forwarders.
    pub distribution: Distribution,
    /// `none`, or the fault of the runs.
    pub fault: String,
    /// Number of planners of the runs.
    pub planners: u32,
    /// The role that was measured.
    pub role: Role,
    /// What was measured.
    pub metric: Metric,
    /// The kind of message if the metric has kinds; otherwise empty.
    pub kind: String,
}

/// Whether a line was fitted or only measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Evidence {
    /// Fitted over three or more values of its main driver.
    Slope,
    /// Measured at too few sizes for a fit.
    Measured,
}

/// One term of a line, with the range of its driver in the measurements.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FittedTerm {
    /// The term.
    pub term: Term,
    /// `None` if the driver was not varied enough, can't be separated from another driver, or has less effect than the
    /// noise.
    pub coefficient: Option<f64>,
    /// The smallest measured value of its driver.
    pub min: f64,
    /// The largest measured value of its driver.
    pub max: f64,
    /// The number of different values of the driver that were measured.
    pub sizes: u32,
}

/// A fitted line, with the value measured at the largest size.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// The series that was fitted.
    pub series: Series,
    /// Whether the line was fitted or only measured.
    pub evidence: Evidence,
    /// The terms, the constant first; empty if the line was only measured.
    pub terms: Vec<FittedTerm>,
    /// Number of points used.
    pub points: u32,
    /// Number of points excluded from the fit because of a saturated thread, several events in one message, or real
    /// forwarders that are not included in the number of forwarders.
    pub excluded_points: u32,
    /// Root mean square of the residuals; without a slope, of the deviations of the points at the largest size.
    pub residual: f64,
    /// The largest value of all points.
    pub largest: f64,
    /// The largest size measured.
    pub at: Size,
    /// The value at the largest size.
    pub value: f64,
    /// For runs with a fault: the value of the runs without it at the same size.
    pub twin: Option<f64>,
    /// Names of the runs, sorted.
    pub runs: Vec<String>,
}

impl Line {
    /// Returns the value of the line at a size, at least 0.
    pub fn predict(&self, size: &Size) -> f64 {
        let part = |term: &FittedTerm| term.coefficient.unwrap_or(0.0) * term.term.driver(size);
        self.terms.iter().map(part).sum::<f64>().max(0.0)
    }

    /// Returns the coefficient of a term: the growth of the value per unit of its driver.
    pub fn coefficient(&self, term: Term) -> Option<f64> {
        self.terms
            .iter()
            .find(|fitted| fitted.term == term)
            .and_then(|fitted| fitted.coefficient)
    }

    /// Returns the extrapolation factor at a size: the driver at that size divided by the largest one measured, the
    /// maximum over all varied terms, at least 1.
    pub fn factor(&self, size: &Size) -> f64 {
        let varied = self
            .terms
            .iter()
            .filter(|term| term.sizes >= super::MIN_SIZES && term.max > 0.0);
        varied
            .map(|term| term.term.driver(size) / term.max)
            .fold(1.0, f64::max)
    }

    /// Returns the terms whose driver was measured at fewer than [`super::MIN_SIZES`] values, all of them below `size`.
    pub fn unvaried_terms(&self, size: &Size) -> Vec<&FittedTerm> {
        let is_below = |term: &&FittedTerm| term.max < term.term.driver(size);
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

/// A row of `slopes.csv`: one term of a line; the fields of the line itself are repeated in each of its rows.
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
    /// `None` in the single row of a line that was only measured.
    pub term: Option<Term>,
    /// As in [`FittedTerm`].
    pub coefficient: Option<f64>,
    /// The unit of the coefficient.
    pub unit: String,
    /// The smallest value of the term's driver.
    pub driver_least: Option<f64>,
    /// The largest value of the term's driver.
    pub driver_most: Option<f64>,
    /// The number of different values of the term's driver.
    pub driver_sizes: Option<u32>,
    /// As in [`Line`].
    pub points: u32,
    /// [`Line::excluded_points`].
    pub left_out: u32,
    /// As in [`Line`].
    pub residual: f64,
    /// As in [`Line`].
    pub largest: f64,
    /// Number of forwarders at the largest size.
    pub at_forwarders: f64,
    /// Number of hosts at the largest size.
    pub at_hosts: f64,
    /// Purges a second at the largest size.
    pub at_purges_per_s: f64,
    /// As in [`Line`].
    pub value: f64,
    /// As in [`Line`].
    pub twin: Option<f64>,
    /// Names of the runs, separated by `;`.
    pub runs: String,
}

/// Number of significant digits of written figures.
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

/// Returns the rows of a line: one for each term, or a single row without a term.
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
        driver_least: term.map(|term| term.min),
        driver_most: term.map(|term| term.max),
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

/// Rebuilds the lines from their rows, in the order of their series.
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
    let (min, max, sizes) = (row.driver_least?, row.driver_most?, row.driver_sizes?);
    Some(FittedTerm {
        term: row.term?,
        coefficient: row.coefficient,
        min,
        max,
        sizes,
    })
}
