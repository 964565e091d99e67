//! Lines fitted to the measurements of runs of several sizes. Each (distribution, fault, planners, role, metric, kind) is
//! fitted by itself over the drivers that the metric goes with by its nature.

pub mod least_squares;
pub mod line;
pub mod nature;

use std::collections::{BTreeMap, BTreeSet};

use crate::measurement::{Distribution, Measurement, Metric, Role};
use least_squares::{Solution, least_squares};
use line::{Evidence, FittedTerm, Line, Series};
use nature::{Nature, Size, Term, nature};

/// Sizes of a driver from which on it has a slope: two would fit any line exactly.
pub const MIN_SIZES: u32 = 3;
/// The fault of runs without one: only these have slopes.
pub const NO_FAULT: &str = "none";

/// Cores of a planner or coordinator from which on its one thread is full. It then tells several events in one message, and
/// what it sends and takes is less than it was asked for.
pub const FULL_CORES: f64 = 0.9;
/// Idle share of the machine below which processes wait for each other, so that no figure of cost or delay counts.
pub const FULL_IDLE: f64 = 0.05;
/// Under [`Distribution::EachEvent`] each event comes in a message of its own from each planner and the coordinator. With
/// fewer messages than this share of that, several went in one, and bytes and messages are less than was asked for.
pub const CROWDED_SHARE: f64 = 0.97;

/// The lines of all series of the measurements, in their order.
pub fn fit(measurements: &[Measurement]) -> Vec<Line> {
    let exclusions = Exclusions::of(measurements);
    let mut groups: BTreeMap<Series, Vec<&Measurement>> = BTreeMap::new();
    for row in valid_measurements(measurements) {
        groups.entry(series_of(row)).or_default().push(row);
    }
    let line = |(series, rows): (&Series, &Vec<&Measurement>)| {
        let line = fit_series(series.clone(), rows, &exclusions);
        Line {
            twin: twin(&line, &groups),
            ..line
        }
    };
    groups.iter().map(line).collect()
}

/// The measurements that are valid: figures of cost and delay only of runs that the machine had room for.
pub fn valid_measurements(measurements: &[Measurement]) -> Vec<&Measurement> {
    let exclusions = Exclusions::of(measurements);
    measurements
        .iter()
        .filter(|row| row.value.is_finite() && !exclusions.hides(row))
        .collect()
}

/// One run at one size.
type RunKey = (String, Series, [u64; 3]);

fn run_key(row: &Measurement) -> RunKey {
    let Size {
        forwarders,
        hosts,
        purges,
    } = Size::of(row);
    let of_all = Series {
        role: Role::Planner,
        metric: Metric::Cores,
        kind: String::new(),
        ..series_of(row)
    };
    (
        row.run.clone(),
        of_all,
        [forwarders, hosts, purges].map(f64::to_bits),
    )
}

/// Runs whose figures don't count, or not for all metrics.
struct Exclusions {
    /// The machine was full: figures of cost and delay don't count at all.
    busy: BTreeSet<RunKey>,
    /// The thread of a planner or the coordinator was full, or several events went in one message: no line is fitted
    /// through them.
    full: BTreeSet<RunKey>,
    /// Real forwarders under load took part, which the number of forwarders does not count: no line of a planner or the
    /// coordinator is fitted through them.
    with_real: BTreeSet<RunKey>,
}

fn is_server(role: Role) -> bool {
    matches!(role, Role::Planner | Role::Coordinator)
}

impl Exclusions {
    fn of(measurements: &[Measurement]) -> Exclusions {
        let keys_where = |is_so: &dyn Fn(&Measurement) -> bool| -> BTreeSet<RunKey> {
            measurements
                .iter()
                .filter(|row| is_so(row))
                .map(run_key)
                .collect()
        };
        let is_busy =
            |row: &Measurement| row.metric == Metric::MachineIdleShare && row.value < FULL_IDLE;
        let is_full = |row: &Measurement| {
            row.metric == Metric::Cores && is_server(row.role) && row.value >= FULL_CORES
        };
        let mut full = keys_where(&is_full);
        full.extend(crowded(measurements));
        Exclusions {
            busy: keys_where(&is_busy),
            full,
            with_real: keys_where(&|row| row.role == Role::RealForwarder),
        }
    }

    /// Whether a row is not to be believed at all.
    fn hides(&self, row: &Measurement) -> bool {
        row.metric.is_cost_or_delay() && self.busy.contains(&run_key(row))
    }

    /// Whether no line is to be fitted through a row.
    fn excludes_from_slopes(&self, row: &Measurement) -> bool {
        let key = run_key(row);
        self.full.contains(&key) || (is_server(row.role) && self.with_real.contains(&key))
    }
}

/// Runs in which several events went in one message to a hollow forwarder.
fn crowded(measurements: &[Measurement]) -> BTreeSet<RunKey> {
    let mut received: BTreeMap<RunKey, f64> = BTreeMap::new();
    let mut published: BTreeMap<RunKey, f64> = BTreeMap::new();
    for row in measurements {
        // A report is answered with guidance, which has no event if there is none.
        let sign = match (row.metric, row.kind.as_str()) {
            (Metric::MessagesInPerS, "feed" | "guidance") => 1.0,
            (Metric::MessagesOutPerS, "reports") => -1.0,
            _ => continue,
        };
        if row.role == Role::HollowForwarder && row.distribution == Distribution::EachEvent {
            *received.entry(run_key(row)).or_default() += sign * row.value;
            published.insert(run_key(row), f64::from(row.planners + 1) * row.purges_per_s);
        }
    }
    let is_crowded = |(key, received): (RunKey, f64)| {
        (received < CROWDED_SHARE * published[&key]).then_some(key)
    };
    received.into_iter().filter_map(is_crowded).collect()
}

/// What was measured without a fault where a line with one was.
fn twin(line: &Line, groups: &BTreeMap<Series, Vec<&Measurement>>) -> Option<f64> {
    if line.series.fault == NO_FAULT {
        return None;
    }
    let rows = groups.get(&Series {
        fault: NO_FAULT.to_owned(),
        ..line.series.clone()
    })?;
    let there: Vec<&Measurement> = rows
        .iter()
        .copied()
        .filter(|row| Size::of(row) == line.at)
        .collect();
    (!there.is_empty()).then(|| summed_up(&line.series, &there))
}

/// One value for several points.
fn summed_up(series: &Series, rows: &[&Measurement]) -> f64 {
    let values = rows.iter().map(|row| row.value);
    match nature(series.role, series.metric) {
        Nature::Line(_) | Nature::Mean => values.sum::<f64>() / rows.len() as f64,
        Nature::Max => values.fold(f64::NEG_INFINITY, f64::max),
        Nature::Min => values.fold(f64::INFINITY, f64::min),
    }
}

fn series_of(row: &Measurement) -> Series {
    Series {
        distribution: row.distribution,
        fault: row.fault.clone(),
        planners: row.planners,
        role: row.role,
        metric: row.metric,
        kind: row.kind.clone(),
    }
}

fn fit_series(series: Series, rows: &[&Measurement], exclusions: &Exclusions) -> Line {
    let terms = match nature(series.role, series.metric) {
        Nature::Line(terms) if series.fault == NO_FAULT => terms,
        _ => return measured(series, rows),
    };
    let included: Vec<&Measurement> = rows
        .iter()
        .copied()
        .filter(|row| !exclusions.excludes_from_slopes(row))
        .collect();
    let point = |row: &&Measurement| Point {
        size: Size::of(row),
        value: row.value,
    };
    let points: Vec<Point> = included.iter().map(point).collect();
    let ranges: Vec<FittedTerm> = terms.iter().map(|term| range(*term, &points)).collect();
    match fit_terms(terms, &ranges, &points) {
        Some((fitted, solution)) => {
            let excluded_points = (rows.len() - included.len()) as u32;
            let line = slope(series, &included, &ranges, &fitted, &solution);
            Line {
                excluded_points,
                ..line
            }
        }
        None => measured(series, rows),
    }
}

struct Point {
    size: Size,
    value: f64,
}

/// How far a term's driver was varied.
fn range(term: Term, points: &[Point]) -> FittedTerm {
    let drivers: Vec<f64> = points
        .iter()
        .map(|point| term.driver(&point.size))
        .collect();
    let sizes: BTreeSet<u64> = drivers.iter().map(|driver| driver.to_bits()).collect();
    FittedTerm {
        term,
        coefficient: None,
        least: drivers.iter().copied().fold(f64::INFINITY, f64::min),
        most: drivers.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        sizes: sizes.len() as u32,
    }
}

/// Fits a constant and as many of the terms as the points bear. None if the main one, which comes first, has too few sizes.
/// A term whose coefficient comes out below zero is left out: more of a driver costs no less, so it is noise, and would
/// flatter what is drawn out.
fn fit_terms(
    terms: &[Term],
    ranges: &[FittedTerm],
    points: &[Point],
) -> Option<(Vec<Term>, Solution)> {
    let varied = |term: &Term| {
        ranges
            .iter()
            .any(|range| range.term == *term && range.sizes >= MIN_SIZES)
    };
    terms.first().filter(|term| varied(term))?;
    let mut fitted = vec![Term::Constant];
    fitted.extend(terms.iter().copied().filter(varied));
    while !fitted.is_empty() {
        match solve(&fitted, points) {
            Some(solution) => match most_negative(&solution) {
                Some(at) => drop(fitted.remove(at)),
                None => return Some((fitted, solution)),
            },
            // The last one can't be told from those before it.
            None => drop(fitted.pop()),
        }
    }
    None
}

fn solve(terms: &[Term], points: &[Point]) -> Option<Solution> {
    if points.len() <= terms.len() {
        return None;
    }
    let row = |point: &Point| terms.iter().map(|term| term.driver(&point.size)).collect();
    let rows: Vec<Vec<f64>> = points.iter().map(row).collect();
    let values: Vec<f64> = points.iter().map(|point| point.value).collect();
    least_squares(&rows, &values)
}

/// The place of the most negative coefficient beside the constant's.
fn most_negative(solution: &Solution) -> Option<usize> {
    let negative = solution
        .coefficients
        .iter()
        .enumerate()
        .skip(1)
        .filter(|(_, value)| **value < 0.0);
    negative
        .min_by(|one, other| one.1.total_cmp(other.1))
        .map(|(at, _)| at)
}

fn slope(
    series: Series,
    rows: &[&Measurement],
    ranges: &[FittedTerm],
    fitted: &[Term],
    solution: &Solution,
) -> Line {
    let coefficient = |term: Term| {
        let at = fitted.iter().position(|other| *other == term)?;
        solution.coefficients.get(at).copied()
    };
    let constant = FittedTerm {
        term: Term::Constant,
        coefficient: coefficient(Term::Constant),
        least: 1.0,
        most: 1.0,
        sizes: 1,
    };
    let with_coefficient = |range: &FittedTerm| FittedTerm {
        coefficient: coefficient(range.term),
        ..*range
    };
    let mut terms = vec![constant];
    terms.extend(ranges.iter().map(with_coefficient));
    let measured = measured(series, rows);
    Line {
        evidence: Evidence::Slope,
        terms,
        residual: solution.residual,
        ..measured
    }
}

/// What was measured at the largest size, without a slope.
fn measured(series: Series, rows: &[&Measurement]) -> Line {
    let sizes = rows.iter().map(|row| Size::of(row));
    let at = sizes.max_by(Size::order).unwrap_or_default();
    let there: Vec<&Measurement> = rows
        .iter()
        .copied()
        .filter(|row| Size::of(row) == at)
        .collect();
    let value = summed_up(&series, &there);
    let squares: f64 = there.iter().map(|row| (row.value - value).powi(2)).sum();
    let runs: BTreeSet<String> = rows.iter().map(|row| row.run.clone()).collect();
    Line {
        series,
        evidence: Evidence::Measured,
        terms: Vec::new(),
        points: rows.len() as u32,
        excluded_points: 0,
        residual: (squares / there.len() as f64).sqrt(),
        largest: rows
            .iter()
            .map(|row| row.value)
            .fold(f64::NEG_INFINITY, f64::max),
        at,
        value,
        twin: None,
        runs: runs.into_iter().collect(),
    }
}
