//! What the fitted lines say of a size: a value, and how it is known.

use std::fmt;

use super::figures::{count, figure};
use crate::fit::NO_FAULT;
use crate::fit::line::{Evidence, Line};
use crate::fit::nature::{Nature, Size, Term, nature};
use crate::measurement::{Distribution, Metric, Role};

/// How a value is known.
#[derive(Clone, Debug, PartialEq)]
pub enum Known {
    /// Measured at that size, not drawn out.
    Measured {
        /// The size.
        at: Size,
    },
    /// Measured at that size only, though it grows with drivers that are larger elsewhere: a least value there.
    MeasuredBelow {
        /// The size.
        at: Size,
    },
    /// Measured apart from any size of the fleet.
    MeasuredApart,
    /// Read off a line that is drawn out by that factor.
    Slope {
        /// The driver at the size over the largest one measured, the worst of all terms.
        factor: f64,
        /// Drivers that were held elsewhere than at the size, with their value.
        unvaried: Vec<(Term, f64)>,
        /// A part of it was only measured, at that size.
        partly_at: Option<Size>,
    },
    /// No run shows it.
    NotShown,
}

impl Known {
    /// Whether drivers were smaller than at the size, so that the value there is this one or more.
    pub fn is_least(&self) -> bool {
        match self {
            Known::MeasuredBelow { .. } => true,
            Known::Slope { unvaried, .. } => !unvaried.is_empty(),
            Known::Measured { .. } | Known::MeasuredApart | Known::NotShown => false,
        }
    }

    /// The size at which something was measured that is not drawn out.
    fn measured_at(&self) -> Option<Size> {
        match self {
            Known::Measured { at } | Known::MeasuredBelow { at } => Some(*at),
            Known::MeasuredApart | Known::Slope { .. } | Known::NotShown => None,
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

impl fmt::Display for Known {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Known::Measured { at } => write!(out, "measured at {}", size_text(at)),
            Known::MeasuredBelow { at } => write!(out, "measured at {} only", size_text(at)),
            Known::MeasuredApart => write!(out, "measured"),
            Known::Slope {
                factor,
                unvaried,
                partly_at,
            } => {
                write!(out, "slope x {}", figure(*factor))?;
                for (term, at) in unvaried {
                    write!(out, ", {} held at {}", term.name(), figure(*at))?;
                }
                match partly_at {
                    Some(at) => write!(out, ", a part measured at {}", size_text(at)),
                    None => Ok(()),
                }
            }
            Known::NotShown => write!(out, "not shown"),
        }
    }
}

/// A value at a size.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    /// The value; none where it is not shown.
    pub value: Option<f64>,
    /// How it is known.
    pub known: Known,
}

impl Estimate {
    /// Nothing is known.
    pub const NOT_SHOWN: Estimate = Estimate {
        value: None,
        known: Known::NotShown,
    };

    /// The same, counted otherwise.
    pub fn map(self, change: impl FnOnce(f64) -> f64) -> Estimate {
        Estimate {
            value: self.value.map(change),
            ..self
        }
    }
}

/// What one line says of a size.
pub fn estimate(line: &Line, size: &Size) -> Estimate {
    match line.evidence {
        Evidence::Measured => {
            let known = match nature(line.series.role, line.series.metric) {
                Nature::Line(terms) if is_below(line.at, size, terms) => {
                    Known::MeasuredBelow { at: line.at }
                }
                _ => Known::Measured { at: line.at },
            };
            Estimate {
                value: Some(line.value),
                known,
            }
        }
        Evidence::Slope => {
            let unvaried = line
                .unvaried_terms(size)
                .iter()
                .map(|term| (term.term, term.most))
                .collect();
            let known = Known::Slope {
                factor: line.factor(size),
                unvaried,
                partly_at: None,
            };
            Estimate {
                value: Some(line.predict(size)),
                known,
            }
        }
    }
}

/// Whether one of the drivers is smaller at one size than at another.
fn is_below(one: Size, other: &Size, terms: &[Term]) -> bool {
    terms
        .iter()
        .any(|term| term.driver(&one) < term.driver(other))
}

/// The sum of what several lines say of a size, known as well as the least known of them.
pub fn total<'a>(lines: impl IntoIterator<Item = &'a Line>, size: &Size) -> Estimate {
    let estimates = lines.into_iter().map(|line| estimate(line, size));
    estimates.reduce(plus).unwrap_or(Estimate::NOT_SHOWN)
}

/// Two estimates together.
pub fn plus(one: Estimate, other: Estimate) -> Estimate {
    let value = one.value.zip(other.value).map(|(one, other)| one + other);
    Estimate {
        value,
        known: least_known(one.known, other.known),
    }
}

/// The less known of two, with what both have of slopes and measurements.
fn least_known(one: Known, other: Known) -> Known {
    match (one, other) {
        (Known::NotShown, _) | (_, Known::NotShown) => Known::NotShown,
        (Known::MeasuredApart, other) | (other, Known::MeasuredApart) => other,
        (
            Known::Slope {
                factor,
                unvaried,
                partly_at,
            },
            other,
        )
        | (
            other,
            Known::Slope {
                factor,
                unvaried,
                partly_at,
            },
        ) => slope_with(factor, unvaried, partly_at, other),
        (one, other) => less_measured(&one, &other),
    }
}

/// A slope together with another slope, or with what was only measured.
fn slope_with(
    factor: f64,
    mut unvaried: Vec<(Term, f64)>,
    partly_at: Option<Size>,
    other: Known,
) -> Known {
    let other_at = other.measured_at();
    let Known::Slope {
        factor: other_factor,
        unvaried: other_unvaried,
        partly_at: other_partly_at,
    } = other
    else {
        return Known::Slope {
            factor,
            unvaried,
            partly_at: smallest([partly_at, other_at]),
        };
    };
    for term in other_unvaried {
        if !unvaried.contains(&term) {
            unvaried.push(term);
        }
    }
    Known::Slope {
        factor: factor.max(other_factor),
        unvaried,
        partly_at: smallest([partly_at, other_partly_at]),
    }
}

fn less_measured(one: &Known, other: &Known) -> Known {
    let is_below = |known: &Known| matches!(known, Known::MeasuredBelow { .. });
    match smallest([one.measured_at(), other.measured_at()]) {
        Some(at) if is_below(one) || is_below(other) => Known::MeasuredBelow { at },
        Some(at) => Known::Measured { at },
        None => Known::NotShown,
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

/// The fitted lines, by what they tell.
#[derive(Clone, Copy)]
pub struct Lines<'a> {
    lines: &'a [Line],
    planners: u32,
}

/// A kind that stands for all kinds together, where a run tells that, too.
const ALL_KINDS: &[&str] = &["", "all", "total"];

impl<'a> Lines<'a> {
    /// Goes by runs whose number of planners is nearest to that one.
    pub fn new(lines: &'a [Line], planners: u32) -> Lines<'a> {
        Lines { lines, planners }
    }

    /// The lines of a metric without faults, one for each kind of message. A line of all kinds together is left out where
    /// there are lines by kind.
    pub fn by_kind(&self, distribution: Distribution, role: Role, metric: Metric) -> Vec<&'a Line> {
        let fits = |line: &&Line| {
            let series = &line.series;
            (series.distribution, series.role, series.metric) == (distribution, role, metric)
                && series.fault == NO_FAULT
        };
        let all: Vec<&Line> = self.lines.iter().filter(fits).collect();
        let numbers = all.iter().map(|line| line.series.planners);
        let nearest = numbers.min_by_key(|planners| planners.abs_diff(self.planners));
        let few = all
            .into_iter()
            .filter(|line| Some(line.series.planners) == nearest);
        let (whole, kinds): (Vec<&Line>, Vec<&Line>) =
            few.partition(|line| ALL_KINDS.contains(&line.series.kind.as_str()));
        if kinds.is_empty() { whole } else { kinds }
    }

    /// The only line of a metric without kinds.
    pub fn one(&self, distribution: Distribution, role: Role, metric: Metric) -> Option<&'a Line> {
        self.by_kind(distribution, role, metric).into_iter().next()
    }

    /// The lines of runs with a fault.
    pub fn with_faults(&self) -> impl Iterator<Item = &'a Line> + Clone + use<'a> {
        self.lines
            .iter()
            .filter(|line| line.series.fault != NO_FAULT)
    }

    /// All kinds of some metrics together, at a size.
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

    /// Names of all runs, sorted, each once.
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
