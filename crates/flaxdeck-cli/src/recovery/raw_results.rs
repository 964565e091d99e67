//! Raw results of all runs, written as Parquet files.

use std::path::Path;

use flaxdeck_experiments::parquet_table::{Column, write_table};
use flaxdeck_experiments::recovery::{ExcessLosses, SLICE_MS, Slice};

use super::arguments::Trial;
use crate::exit::ExitError;

/// Written as `full_ms` for a run that did not return to full service.
const NEVER_FULL_MS: f64 = -1.0;

/// The slices of one run.
pub(crate) struct RunSlices {
    pub trial: Trial,
    pub is_twin: bool,
    pub slices: Vec<Slice>,
}

/// How one run recovered in comparison with its twin.
pub(crate) struct RunResult {
    pub trial: Trial,
    /// Milliseconds until full service; `None` if the run did not return to it.
    pub full_ms: Option<f64>,
    pub losses: ExcessLosses,
}

/// The slices and results of all runs.
#[derive(Default)]
pub(crate) struct RawResults {
    pub slices: Vec<RunSlices>,
    pub results: Vec<RunResult>,
}

/// A row of the table of slices.
struct SliceRow<'a> {
    run: &'a RunSlices,
    from_ms: i64,
    slice: &'a Slice,
}

impl RawResults {
    /// Writes `slices.parquet` and `runs.parquet` into a folder, which is created if it does not exist.
    pub(crate) fn write(&self, folder: &Path) -> Result<(), ExitError> {
        std::fs::create_dir_all(folder).map_err(|error| {
            ExitError::failed(format!("{}: cannot be created: {error}", folder.display()))
        })?;
        write_table(&folder.join("slices.parquet"), &self.slice_columns())
            .map_err(ExitError::failed)?;
        write_table(&folder.join("runs.parquet"), &self.result_columns())
            .map_err(ExitError::failed)?;
        Ok(())
    }

    fn slice_rows(&self) -> Vec<SliceRow<'_>> {
        let mut rows = Vec::new();
        for run in &self.slices {
            for (index, slice) in run.slices.iter().enumerate() {
                let from_ms = (index as f64 * SLICE_MS) as i64;
                rows.push(SliceRow {
                    run,
                    from_ms,
                    slice,
                });
            }
        }
        rows
    }

    fn slice_columns(&self) -> Vec<Column> {
        let rows = self.slice_rows();
        let texts = |name, value: fn(&Trial) -> String| {
            Column::texts(name, rows.iter().map(|row| value(&row.run.trial)).collect())
        };
        let integers = |name, value: fn(&SliceRow) -> i64| {
            Column::integers(name, rows.iter().map(value).collect())
        };
        vec![
            texts("world", Trial::environment_name),
            texts("state", Trial::state_name),
            integers("forwarders", |row| row.run.trial.forwarders as i64),
            integers("planners", |row| row.run.trial.planners as i64),
            integers("killed_percent", |row| {
                (row.run.trial.killed * 100.0).round() as i64
            }),
            integers("seed", |row| row.run.trial.seed as i64),
            integers("is_twin", |row| i64::from(row.run.is_twin)),
            integers("from_ms", |row| row.from_ms),
            integers("wants", |row| row.slice.operations as i64),
            integers("in_time", |row| row.slice.in_time as i64),
            integers("rejected", |row| row.slice.rejected as i64),
            integers("cache_answers", |row| row.slice.cache_answers as i64),
            integers("cache_hits", |row| row.slice.cache_hits as i64),
            integers("turned_away", |row| row.slice.refused_connections as i64),
        ]
    }

    fn result_columns(&self) -> Vec<Column> {
        let texts = |name, value: fn(&Trial) -> String| {
            let rows = self.results.iter().map(|result| value(&result.trial));
            Column::texts(name, rows.collect())
        };
        let floats = |name, value: fn(&RunResult) -> f64| {
            Column::floats(name, self.results.iter().map(value).collect())
        };
        vec![
            texts("world", Trial::environment_name),
            texts("state", Trial::state_name),
            floats("forwarders", |result| result.trial.forwarders as f64),
            floats("planners", |result| result.trial.planners as f64),
            floats("killed", |result| result.trial.killed),
            floats("seed", |result| result.trial.seed as f64),
            floats("full_ms", |result| result.full_ms.unwrap_or(NEVER_FULL_MS)),
            floats("lost_in_hand", |result| result.losses.in_flight),
            floats("lost_while_down", |result| result.losses.while_down),
            floats("lost_after", |result| result.losses.after_restart),
        ]
    }
}
