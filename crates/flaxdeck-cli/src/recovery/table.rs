//! The printed table: a row for each trial, and the slices of its runs if `--slices` is given.

use flaxdeck_emulator::{INTERVAL_MS, IntervalCounters};
use flaxdeck_experiments::recovery::{ExcessLosses, SLICE_MS, Slice, median_and_worst};

use super::arguments::Trial;
use super::play::{END_MS, KILL_MS, Run};

const HEAD: [&str; 16] = [
    "world",
    "forwarders",
    "planners",
    "killed",
    "state",
    "full, s",
    "worst",
    "in hand",
    "while down",
    "after",
    "held most",
    "turned away",
    "lists/s",
    "origin refuses",
    "of bound",
    "broken",
];
/// Minimum width of a column, in characters.
const MIN_WIDTH: usize = 9;
/// Maximum number of violations that are printed for a row.
const PRINTED_VIOLATIONS: usize = 3;

/// Formats cells to align with the column names.
fn aligned(cells: &[String]) -> String {
    let cell = |(cell, name): (&String, &&str)| {
        let width = name.len().max(MIN_WIDTH);
        format!("{cell:>width$}")
    };
    let cells: Vec<String> = cells.iter().zip(&HEAD).map(cell).collect();
    cells.join("  ")
}

/// Prints the column names.
pub(crate) fn print_head() {
    println!("{}", aligned(&HEAD.map(String::from)));
}

/// The collected results of the runs of one row.
#[derive(Default)]
pub(crate) struct Row {
    full_ms: Vec<Option<f64>>,
    losses: Vec<ExcessLosses>,
    violations: Vec<String>,
    peak_cold_load: f64,
    peak_connections: u32,
    refused_connections: u32,
    peak_coordinator_calls_per_s: u32,
    refused_origin_fills: u32,
}

/// Returns the sum of a counter between two times of the day, in milliseconds.
fn sum(run: &Run, counter: fn(&IntervalCounters) -> u32, from_ms: f64, to_ms: f64) -> u32 {
    let from = (from_ms / INTERVAL_MS) as usize;
    let to = (to_ms / INTERVAL_MS) as usize;
    let within = run.intervals.iter().take(to).skip(from);
    within.map(counter).sum()
}

impl Row {
    /// Adds a run, with its time to full service and its losses in comparison with its twin.
    pub(crate) fn add(&mut self, run: &Run, full_ms: Option<f64>, losses: ExcessLosses) {
        self.full_ms.push(full_ms);
        self.losses.push(losses);
        self.peak_cold_load = self.peak_cold_load.max(run.peak_cold_load);
        let connections = run
            .intervals
            .iter()
            .map(|interval| interval.peak_connections);
        self.peak_connections = self.peak_connections.max(connections.max().unwrap_or(0));
        let refused = sum(
            run,
            |interval| interval.connections_refused,
            KILL_MS,
            END_MS,
        );
        self.refused_connections = self.refused_connections.max(refused);
        let seconds = KILL_MS as u32 / 1000..END_MS as u32 / 1000;
        let calls = seconds.map(|second| {
            let from_ms = f64::from(second) * 1000.0;
            sum(
                run,
                |interval| interval.coordinator_calls,
                from_ms,
                from_ms + 1000.0,
            )
        });
        self.peak_coordinator_calls_per_s = self
            .peak_coordinator_calls_per_s
            .max(calls.max().unwrap_or(0));
        self.refused_origin_fills += sum(
            run,
            |interval| interval.origin_fills_refused,
            KILL_MS,
            END_MS,
        );
    }

    /// Adds the violations of a run or a twin.
    pub(crate) fn add_violations(&mut self, run: &Run) {
        self.violations.extend(run.violations.iter().cloned());
        if !run.all_accounted_for {
            let unaccounted = "some request was not accounted for";
            self.violations.push(unaccounted.into());
        }
    }

    /// Returns the number of violations.
    pub(crate) fn violations(&self) -> usize {
        self.violations.len()
    }

    fn mean_loss(&self, loss: fn(&ExcessLosses) -> f64) -> String {
        let sum: f64 = self.losses.iter().map(loss).sum();
        format!("{:.0}", sum / self.losses.len() as f64)
    }

    /// Prints the row, and the first violations below it.
    pub(crate) fn print(&self, trial: &Trial, runs: u64) {
        let recovery_times = median_and_worst(&self.full_ms);
        let seconds = |ms: Option<f64>| match ms {
            Some(ms) => format!("{:.1}", ms / 1000.0),
            None => "never".to_owned(),
        };
        let cells = [
            trial.environment_name(),
            trial.forwarders.to_string(),
            trial.planners.to_string(),
            trial.killed.to_string(),
            trial.state_name(),
            seconds(recovery_times.median),
            seconds(recovery_times.worst),
            self.mean_loss(|losses| losses.in_flight),
            self.mean_loss(|losses| losses.while_down),
            self.mean_loss(|losses| losses.after_restart),
            self.peak_connections.to_string(),
            self.refused_connections.to_string(),
            self.peak_coordinator_calls_per_s.to_string(),
            (self.refused_origin_fills / runs.max(1) as u32).to_string(),
            format!("{:.2}", self.peak_cold_load),
            self.violations.len().to_string(),
        ];
        println!("{}", aligned(&cells));
        for violation in self.violations.iter().take(PRINTED_VIOLATIONS) {
            println!("    {violation}");
        }
    }
}

/// Prints each slice of a run, with the twin's figures in brackets.
pub(crate) fn print_slices(run: &[Slice], twin: &[Slice]) {
    for (index, (run, twin)) in run.iter().zip(twin).enumerate() {
        println!(
            "    {:>5.1} s  in time {:.4} ({:.4})  rejected {} ({})  hits {:.3} ({:.3})  turned away {} ({})",
            index as f64 * SLICE_MS / 1000.0,
            run.in_time_fraction(),
            twin.in_time_fraction(),
            run.rejected,
            twin.rejected,
            run.hit_ratio(),
            twin.hit_ratio(),
            run.refused_connections,
            twin.refused_connections
        );
    }
}
