//! `flaxdeck recovery`: kills and restarts forwarders and planners among stand-ins on loopback, and compares each run
//! with a twin in which no forwarder or planner is killed.

mod arguments;
mod play;
mod raw_results;
mod table;

use flaxdeck_experiments::recovery::{excess_losses, time_to_full_service};

use crate::exit::{ExitError, usage_error};
pub(crate) use arguments::Arguments;
use arguments::Trial;
use play::{KILL_MS, RESTART_MS};
use raw_results::{RawResults, RunResult, RunSlices};
use table::Row;

/// Plays every combination of the arguments and prints a row for each.
pub(crate) fn run(arguments: &Arguments) -> Result<(), ExitError> {
    let is_fraction = |killed: &f64| (0.0..=1.0).contains(killed);
    if !arguments.killed.iter().all(is_fraction) {
        return Err(usage_error(format!(
            "--killed: fractions from 0 to 1 expected, got {:?}",
            arguments.killed
        )));
    }
    table::print_head();
    let mut violations = 0;
    let mut raw_results = RawResults::default();
    for trial in arguments.trials() {
        let row = play_row(arguments, trial, &mut raw_results)?;
        row.print(&trial, arguments.runs);
        violations += row.violations();
    }
    if let Some(folder) = &arguments.keep {
        raw_results.write(folder)?;
    }
    if violations == 0 {
        Ok(())
    } else {
        Err(ExitError::failed(format!(
            "{violations} violations of the rules in all runs"
        )))
    }
}

/// Plays the runs of one row, each after its twin.
fn play_row(
    arguments: &Arguments,
    trial: Trial,
    raw_results: &mut RawResults,
) -> Result<Row, ExitError> {
    let mut row = Row::default();
    for seed in arguments.seed..arguments.seed + arguments.runs {
        let trial = Trial { seed, ..trial };
        let twin = play::play(arguments, trial.twin())?;
        let played_trial = if arguments.noise { trial.twin() } else { trial };
        let run = play::play(arguments, played_trial)?;
        let full_ms = time_to_full_service(&run.slices, &twin.slices, RESTART_MS);
        let losses = excess_losses(&run.slices, &twin.slices, KILL_MS, RESTART_MS);
        if arguments.slices {
            table::print_slices(&run.slices, &twin.slices);
        }
        row.add_violations(&twin);
        row.add_violations(&run);
        row.add(&run, full_ms, losses);
        raw_results.results.push(RunResult {
            trial,
            full_ms,
            losses,
        });
        for (is_twin, run) in [(true, twin), (false, run)] {
            raw_results.slices.push(RunSlices {
                trial,
                is_twin,
                slices: run.slices,
            });
        }
    }
    Ok(row)
}
