//! `flaxdeck capacity`: fits slopes to the measurements of runs, draws charts, and prints the capacity page.

use std::path::{Path, PathBuf};

use clap::{Args, Subcommand};
use flaxdeck_scale::error::CapacityError;
use flaxdeck_scale::fit::line::{self, SlopeRow};
use flaxdeck_scale::{capacity, charts, files, fit, target};

use crate::exit::{ExitError, usage_error};

/// Arguments of `flaxdeck capacity`.
#[derive(Args)]
#[command(args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    task: Option<Task>,
    /// The lines that `capacity fit` wrote
    #[arg(required = true)]
    slopes: Option<PathBuf>,
    /// The size that the page is for, in S-expressions
    #[arg(required = true)]
    target: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Task {
    /// Fit lines to the rows of runs by least squares
    Fit {
        /// The folder with the runs' CSV files
        runs: PathBuf,
        /// The file to write
        slopes: PathBuf,
    },
    /// Draw bytes, cores and delays over sizes with the fitted lines
    Charts {
        /// The folder with the runs' CSV files
        runs: PathBuf,
        /// The folder to write SVG files to
        folder: PathBuf,
    },
}

impl From<CapacityError> for ExitError {
    fn from(error: CapacityError) -> ExitError {
        usage_error(error.to_string())
    }
}

/// Fits slopes, draws charts or prints the capacity page, as the arguments ask for.
pub(crate) fn run(arguments: &Arguments) -> Result<(), ExitError> {
    match (&arguments.task, &arguments.slopes, &arguments.target) {
        (Some(Task::Fit { runs, slopes }), ..) => fit_runs(runs, slopes),
        (Some(Task::Charts { runs, folder }), ..) => draw(runs, folder),
        (None, Some(slopes), Some(target)) => print_page(slopes, target),
        (None, ..) => Err(usage_error(
            "the file of slopes and the target file are both required",
        )),
    }
}

fn fit_runs(runs: &Path, slopes: &Path) -> Result<(), ExitError> {
    let measurements = files::read_runs(runs)?;
    let lines = fit::fit(&measurements);
    let rows: Vec<SlopeRow> = lines.iter().flat_map(line::rows).collect();
    files::write_table(slopes, &rows)?;
    let with_slope = lines
        .iter()
        .filter(|line| line.evidence == line::Evidence::Slope)
        .count();
    println!(
        "{} rows of runs: {} lines, {with_slope} of them slopes",
        measurements.len(),
        lines.len()
    );
    Ok(())
}

fn draw(runs: &Path, folder: &Path) -> Result<(), ExitError> {
    for path in charts::draw(&files::read_runs(runs)?, folder)? {
        println!("{}", path.display());
    }
    Ok(())
}

fn print_page(slopes: &Path, target: &Path) -> Result<(), ExitError> {
    let text = files::read_text(target)?;
    let name = target.display().to_string();
    let target = target::read(&name, &text).map_err(CapacityError::Target)?;
    let rows: Vec<SlopeRow> = files::read_table(slopes)?;
    print!("{}", capacity::page::page(&rows, &target)?);
    Ok(())
}
