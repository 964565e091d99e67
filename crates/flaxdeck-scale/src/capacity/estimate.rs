//! Estimates of a metric at a given size from the fitted lines, each with its provenance.

use std::fmt;

use super::figures::{count, figure};
use crate::fit::NO_FAULT;
use crate::fit::line::{Evidence, Line};
use crate::fit::nature::{Model, Size, Term, model};
use crate::measurement::{Distribution, Metric, Role};

/// How a value was obtained. Its `Display` text is the column "known" of the page.
#[derive(Clone, Debug, PartialEq)]
pub enum Provenance {
    /// Measured at one size and not extrapolated.
    Measured {
        /// The size of the measurement.
        at: Size,
    },
    /// Measured only at a size with smaller drivers than the requested one. The metric grows with them, so the value is
    /// a lower bound.
    MeasuredAtSmallerSize {
        /// The size of the measurement.
        at: Size,
    },
    /// Measured separately from the runs of a fleet, so no fleet size applies.
    MeasuredSeparately,
    /// Read from a fitted line, extrapolated by a factor.
    Slope {
        /// The driver at the requested size divided by the largest value measured; the maximum over all terms.
        factor: f64,
        /// Drivers that were not varied enough for a slope and stayed below the requested size, with their largest
        /// value.
        unvaried: Vec<(Term, f64)>,
        /// The size at which a part of a sum was measured without a slope, if there is such a part.
        partly_measured_at: Option<Size>,
    },
    /// No run measured it.
    NotShown,
}

impl Provenance {
    /// Whether a driver was smaller in the runs than at the requested size, so that the value is a lower bound.
    pub fn is_lower_bound(&self) -> bool {
        match self {
            Provenance::MeasuredAtSmallerSize { .. } => true,
            Provenance::Slope { unvaried, .. } => !unvaried.is_empty(),
            Provenance::Measured { .. } | Provenance::MeasuredSeparately | Provenance::NotShown => {
                false
            }
        }
    }

    /// The size of a measurement that was not extrapolated.
    fn measured_at(&self) -> Option<Size> {
        match self {
            Provenance::Measured { at } | Provenance::MeasuredAtSmallerSize { at } => Some(*at),
            Provenance::MeasuredSeparately | Provenance::Slope { .. } | Provenance::NotShown => {
                None
            }
        }
    }
}

fn size_text(size: &Size) -> String {
    let (forwarders, hosts, purges) = (
        count(size.forwarders),
        count(size.hosts),
        figure(size.purges),
    );
    format!("{forwarders} forwarders, {hosts} hosts, {purges} purges/s")
}

impl fmt::Display for Provenance {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Provenance::Measured { at } => write!(out, "measured at {}", size_text(at)),
            Provenance::MeasuredAtSmallerSize { at } => {
                write!(out, "measured at {} only", size_text(at))
            }
            Provenance::MeasuredSeparately => write!(out, "measured"),
            Provenance::Slope {
                factor,
                unvaried,
                partly_measured_at,
            } => {
                write!(out, "slope x {}", figure(*factor))?;
                for (term, at) in unvaried {
                    write!(out, ", {} held at {}", term.name(), figure(*at))?;
                }
                match partly_measured_at {
                    Some(at) => write!(out, ", a part measured at {}", size_text(at)),
                    None => Ok(()),
                }
            }
            Provenance::NotShown => write!(out, "not shown"),
        }
    }
}

/// The value of a metric at a size.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    /// The value; `None` if no run measured it.
    pub value: Option<f64>,
    /// How the value was obtained.
    pub provenance: Provenance,
}

impl Estimate {
    /// No run measured the value.
    pub const NOT_SHOWN: Estimate = Estimate {
        value: None,
        provenance: Provenance::NotShown,
    };

    /// Applies a conversion to the value and keeps the provenance.
    pub fn map(self, change: impl FnOnce(f64) -> f64) -> Estimate {
        Estimate {
            value: self.value.map(change),
            ..self
        }
    }
}

/// Returns the estimate that one line gives at a size.
pub fn estimate(line: &Line, size: &Size) -> Estimate {
    match line.evidence {
        Evidence::Measured => {
            let provenance = match model(line.series.role, line.series.metric) {
                Model::Line(terms) if is_smaller(line.at, size, terms) => {
                    Provenance::MeasuredAtSmallerSize { at: line.at }
                }
                _ => Provenance::Measured { at: line.at },
            };
            Estimate {
                value: Some(line.value),
                provenance,
            }
        }
        Evidence::Slope => {
            let unvaried = line
                .unvaried_terms(size)
                .iter()
                .map(|term| (term.term, term.max))
                .collect();
            let provenance = Provenance::Slope {
                factor: line.factor(size),
                unvaried,
                partly_measured_at: None,
            };
            Estimate {
                value: Some(line.predict(size)),
                provenance,
            }
        }
    }
}

/// Whether the driver of any term is smaller at `one` than at `other`.
fn is_smaller(one: Size, other: &Size, terms: &[Term]) -> bool {
    terms
        .iter()
        .any(|term| term.driver(&one) < term.driver(other))
}

/// Returns the sum of the estimates of several lines at a size, with the weakest provenance among them.
pub fn total<'a>(lines: impl IntoIterator<Item = &'a Line>, size: &Size) -> Estimate {
    let estimates = lines.into_iter().map(|line| estimate(line, size));
    estimates.reduce(add).unwrap_or(Estimate::NOT_SHOWN)
}

/// Adds two estimates; the sum has no value if either has none.
pub fn add(one: Estimate, other: Estimate) -> Estimate {
    let value = one.value.zip(other.value).map(|(one, other)| one + other);
    Estimate {
        value,
        provenance: weaker_provenance(one.provenance, other.provenance),
    }
}

/// Returns the weaker provenance of two, with the details of both slopes or measurements merged.
fn weaker_provenance(one: Provenance, other: Provenance) -> Provenance {
    match (one, other) {
        (Provenance::NotShown, _) | (_, Provenance::NotShown) => Provenance::NotShown,
        (Provenance::MeasuredSeparately, other) | (other, Provenance::MeasuredSeparately) => other,
        (
            Provenance::Slope {
                factor,
                unvaried,
                partly_measured_at,
            },
            other,
        )
        | (
            other,
            Provenance::Slope {
                factor,
                unvaried,
                partly_measured_at,
            },
        ) => combine_slope(factor, unvaried, partly_measured_at, other),
        (one, other) => combine_measured(&one, &other),
    }
}

/// Merges a slope with another slope, or with a value that was only measured.
fn combine_slope(
    factor: f64,
    mut unvaried: Vec<(Term, f64)>,
    partly_measured_at: Option<Size>,
    other: Provenance,
) -> Provenance {
    let other_at = other.measured_at();
    let Provenance::Slope {
        factor: other_factor,
        unvaried: other_unvaried,
        partly_measured_at: other_partly_measured_at,
    } = other
    else {
        return Provenance::Slope {
            factor,
            unvaried,
            partly_measured_at: smallest([partly_measured_at, other_at]),
        };
    };
    for term in other_unvaried {
        if !unvaried.contains(&term) {
            unvaried.push(term);
        }
    }
    Provenance::Slope {
        factor: factor.max(other_factor),
        unvaried,
        partly_measured_at: smallest([partly_measured_at, other_partly_measured_at]),
    }
}

/// Merges the provenance of two measured values: the smaller size, and a lower bound if either is one.
fn combine_measured(one: &Provenance, other: &Provenance) -> Provenance {
    let is_lower_bound =
        |provenance: &Provenance| matches!(provenance, Provenance::MeasuredAtSmallerSize { .. });
    match smallest([one.measured_at(), other.measured_at()]) {
        Some(at) if is_lower_bound(one) || is_lower_bound(other) => {
            Provenance::MeasuredAtSmallerSize { at }
        }
        Some(at) => Provenance::Measured { at },
        None => Provenance::NotShown,
    }
}

fn smallest(sizes: [Option<Size>; 2]) -> Option<Size> {
    sizes.into_iter().flatten().reduce(smaller)
}

fn smaller(one: Size, other: Size) -> Size {
    if one.order(&other).is_le() {
        one
    } else {
        other
    }
}

/// The fitted lines, looked up by distribution, role and metric.
#[derive(Clone, Copy)]
pub struct Lines<'a> {
    lines: &'a [Line],
    planners: u32,
}

/// Message kinds that stand for all kinds together, where a run records such a total.
const ALL_KINDS: &[&str] = &["", "all", "total"];

impl<'a> Lines<'a> {
    /// Creates a lookup that uses, for each metric, the runs whose number of planners is nearest to `planners`.
    pub fn new(lines: &'a [Line], planners: u32) -> Lines<'a> {
        Lines { lines, planners }
    }

    /// Returns the lines of a metric from runs without a fault, one for each kind of message. A line for all kinds
    /// together is omitted if there are lines by kind.
    pub fn by_kind(&self, distribution: Distribution, role: Role, metric: Metric) -> Vec<&'a Line> {
        let fits = |line: &&Line| {
            let series = &line.series;
            (series.distribution, series.role, series.metric) == (distribution, role, metric)
                && series.fault == NO_FAULT
        };
        let all: Vec<&Line> = self.lines.iter().filter(fits).collect();
        let numbers = all.iter().map(|line| line.series.planners);
        let nearest = numbers.min_by_key(|planners| planners.abs_diff(self.planners));
        let nearest_lines = all
            .into_iter()
            .filter(|line| Some(line.series.planners) == nearest);
        let (totals, kinds): (Vec<&Line>, Vec<&Line>) =
            nearest_lines.partition(|line| ALL_KINDS.contains(&line.series.kind.as_str()));
        if kinds.is_empty() { totals } else { kinds }
    }

    /// Returns the line of a metric that has no message kinds.
    pub fn single(
        &self,
        distribution: Distribution,
        role: Role,
        metric: Metric,
    ) -> Option<&'a Line> {
        self.by_kind(distribution, role, metric).into_iter().next()
    }

    /// Returns the lines of runs with a fault.
    pub fn with_faults(&self) -> impl Iterator<Item = &'a Line> + Clone + use<'a> {
        self.lines
            .iter()
            .filter(|line| line.series.fault != NO_FAULT)
    }

    /// Returns the sum of some metrics over all message kinds at a size.
    pub fn total(
        &self,
        distribution: Distribution,
        role: Role,
        metrics: &[Metric],
        size: &Size,
    ) -> Estimate {
        let lines = metrics
            .iter()
            .flat_map(|metric| self.by_kind(distribution, role, *metric));
        total(lines, size)
    }

    /// Returns the names of all runs, sorted and without duplicates.
    pub fn runs(&self) -> Vec<String> {
        let mut runs: Vec<String> = self
            .lines
            .iter()
            .flat_map(|line| line.runs.iter().cloned())
            .collect();
        runs.sort();
        runs.dedup();
        runs
    }
}
