//! Fits lines to the measurements of runs of several sizes. Each series (distribution, fault, planners, role, metric,
//! kind) is fitted separately over the drivers on which its metric depends.

pub mod least_squares;
pub mod line;
pub mod nature;

use std::collections::{BTreeMap, BTreeSet};

use crate::measurement::{Distribution, Measurement, Metric, Role};
use least_squares::{Solution, least_squares};
use line::{Evidence, FittedTerm, Line, Series};
use nature::{Model, Size, Term, model};

/// Least number of different values of a driver for a slope. A line through two values always fits exactly, so it shows
/// nothing.
pub const MIN_SIZES: u32 = 3;
/// The value of `fault` in runs without a fault. Only these runs have slopes.
pub const NO_FAULT: &str = "none";

/// Processor use, in cores, from which on the single thread of a planner or coordinator counts as saturated. It then
/// puts several events into one message, and its traffic and load are below what the run's rates ask for.
pub const SATURATED_CORES: f64 = 0.9;
/// Idle share of the machine below which processes wait for each other, so that figures of cost and delay are invalid.
pub const MIN_IDLE_SHARE: f64 = 0.05;
/// Under [`Distribution::EachEvent`] each planner and the coordinator send one message per event. If fewer than this
/// share of these messages arrive, several events were sent in one, and bytes and messages are below what the run's
/// rates ask for.
pub const BATCHED_SHARE: f64 = 0.97;

/// Returns the lines of all series of the measurements, in the order of the series.
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

/// Returns the valid measurements: finite values, and figures of cost and delay only from runs on a machine that was
/// not fully busy.
pub fn valid_measurements(measurements: &[Measurement]) -> Vec<&Measurement> {
    let exclusions = Exclusions::of(measurements);
    measurements
        .iter()
        .filter(|row| row.value.is_finite() && !exclusions.invalidates(row))
        .collect()
}

/// Identifies one run at one size; the role, metric and kind of its series are fixed placeholders.
type RunKey = (String, Series, [u64; 3]);

fn run_key(row: &Measurement) -> RunKey {
    let Size {
        forwarders,
        hosts,
        purges,
    } = Size::of(row);
    let run_series = Series {
        role: Role::Planner,
        metric: Metric::Cores,
        kind: String::new(),
        ..series_of(row)
    };
    (
        row.run.clone(),
        run_series,
        [forwarders, hosts, purges].map(f64::to_bits),
    )
}

/// Runs whose figures are invalid or excluded from slopes.
struct Exclusions {
    /// Runs on a fully busy machine: their figures of cost and delay are invalid.
    busy: BTreeSet<RunKey>,
    /// Runs in which the thread of a planner or the coordinator was saturated, or several events were sent in one
    /// message: excluded from slopes.
    saturated: BTreeSet<RunKey>,
    /// Runs with real forwarders under load, which the number of forwarders does not include: excluded from slopes of
    /// planners and the coordinator.
    with_real_forwarders: BTreeSet<RunKey>,
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
        let is_busy = |row: &Measurement| {
            row.metric == Metric::MachineIdleShare && row.value < MIN_IDLE_SHARE
        };
        let is_saturated = |row: &Measurement| {
            row.metric == Metric::Cores && is_server(row.role) && row.value >= SATURATED_CORES
        };
        let mut saturated = keys_where(&is_saturated);
        saturated.extend(batched_runs(measurements));
        Exclusions {
            busy: keys_where(&is_busy),
            saturated,
            with_real_forwarders: keys_where(&|row| row.role == Role::RealForwarder),
        }
    }

    /// Whether a row is invalid: a cost or delay measured on a fully busy machine.
    fn invalidates(&self, row: &Measurement) -> bool {
        row.metric.is_cost_or_delay() && self.busy.contains(&run_key(row))
    }

    /// Whether a row is excluded from fitting a line.
    fn excludes_from_slopes(&self, row: &Measurement) -> bool {
        let key = run_key(row);
        self.saturated.contains(&key)
            || (is_server(row.role) && self.with_real_forwarders.contains(&key))
    }
}

/// Returns the runs in which several events were sent to a hollow forwarder in one message.
fn batched_runs(measurements: &[Measurement]) -> BTreeSet<RunKey> {
    let mut received: BTreeMap<RunKey, f64> = BTreeMap::new();
    let mut published: BTreeMap<RunKey, f64> = BTreeMap::new();
    for row in measurements {
        // Each report is answered with guidance, also without an event to send, so as many messages are subtracted.
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
    let is_batched = |(key, received): (RunKey, f64)| {
        (received < BATCHED_SHARE * published[&key]).then_some(key)
    };
    received.into_iter().filter_map(is_batched).collect()
}

/// Returns the value of runs without a fault at the size of a line with a fault; `None` for a line without a fault.
fn twin(line: &Line, groups: &BTreeMap<Series, Vec<&Measurement>>) -> Option<f64> {
    if line.series.fault == NO_FAULT {
        return None;
    }
    let rows = groups.get(&Series {
        fault: NO_FAULT.to_owned(),
        ..line.series.clone()
    })?;
    let at_size: Vec<&Measurement> = rows
        .iter()
        .copied()
        .filter(|row| Size::of(row) == line.at)
        .collect();
    (!at_size.is_empty()).then(|| aggregate(&line.series, &at_size))
}

/// Combines the values of several rows into one, as the metric's model defines it.
fn aggregate(series: &Series, rows: &[&Measurement]) -> f64 {
    let values = rows.iter().map(|row| row.value);
    match model(series.role, series.metric) {
        Model::Line(_) | Model::Mean => values.sum::<f64>() / rows.len() as f64,
        Model::Max => values.fold(f64::NEG_INFINITY, f64::max),
        Model::Min => values.fold(f64::INFINITY, f64::min),
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
    let terms = match model(series.role, series.metric) {
        Model::Line(terms) if series.fault == NO_FAULT => terms,
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

/// Returns the range over which a term's driver was varied, without a coefficient.
fn range(term: Term, points: &[Point]) -> FittedTerm {
    let drivers: Vec<f64> = points
        .iter()
        .map(|point| term.driver(&point.size))
        .collect();
    let sizes: BTreeSet<u64> = drivers.iter().map(|driver| driver.to_bits()).collect();
    FittedTerm {
        term,
        coefficient: None,
        min: drivers.iter().copied().fold(f64::INFINITY, f64::min),
        max: drivers.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        sizes: sizes.len() as u32,
    }
}

/// Fits a constant and as many of the terms as the points allow. Returns `None` if the main term, which comes first,
/// has too few sizes. A term with a negative coefficient is removed: more of a driver never costs less, so the
/// coefficient is noise and would make extrapolated values too low.
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
            // Too few points, or the columns are linearly dependent: retry without the last term.
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

/// Returns the index of the most negative coefficient, ignoring the constant's.
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
        min: 1.0,
        max: 1.0,
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

/// Returns a line without a slope: the value measured at the largest size.
fn measured(series: Series, rows: &[&Measurement]) -> Line {
    let sizes = rows.iter().map(|row| Size::of(row));
    let at = sizes.max_by(Size::order).unwrap_or_default();
    let at_size: Vec<&Measurement> = rows
        .iter()
        .copied()
        .filter(|row| Size::of(row) == at)
        .collect();
    let value = aggregate(&series, &at_size);
    let squares: f64 = at_size.iter().map(|row| (row.value - value).powi(2)).sum();
    let runs: BTreeSet<String> = rows.iter().map(|row| row.run.clone()).collect();
    Line {
        series,
        evidence: Evidence::Measured,
        terms: Vec::new(),
        points: rows.len() as u32,
        excluded_points: 0,
        residual: (squares / at_size.len() as f64).sqrt(),
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
