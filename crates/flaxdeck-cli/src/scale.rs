//! `flaxdeck scale`: plays the runs of a scale file. Also holds the hidden sub-commands that these runs start.

use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Args, ValueEnum};
use flaxdeck_plan::LogFormat;
use flaxdeck_scale::measurement::{Distribution, Measurement, Metric, Role};
use flaxdeck_scale::messages::{CoordinatorOrders, HollowOrders};
use flaxdeck_scale::options::RunOptions;
use flaxdeck_scale::report::{self, RunRows};
use flaxdeck_scale::scenario::{Fault, Point, Scenario};
use flaxdeck_scale::{bounds, run, scenario};
use indicatif::{ProgressBar, ProgressStyle};
use serde::de::DeserializeOwned;
use tokio::signal::unix::{SignalKind, signal};

use crate::exit::{self, ExitError, file_faults, usage_error};
use crate::files::{self, KeyedPlan};
use crate::forward::control_client_options;
use crate::log;

/// Arguments of `flaxdeck scale`.
#[derive(Args)]
pub(crate) struct Arguments {
    /// The scale file: sizes, rates, times, a fault
    file: String,
    /// Write the rows of results there, as CSV
    #[arg(long)]
    out: Option<PathBuf>,
    /// Only the point of that place in the file, counted from 1
    #[arg(long)]
    point: Option<usize>,
    /// Leave the run's own files in the folder for temporary ones: logs of all processes, notes, counters
    #[arg(long)]
    keep_files: bool,
    /// How events reach the forwarders, in place of what the file says; several are played side by side, point by point
    #[arg(long, value_enum, value_delimiter = ',')]
    distribution: Vec<DistributionName>,
    /// Only check the file and the bounds, and tell what would be run
    #[arg(long)]
    check: bool,
}

/// A way of distribution, as the command line names it.
#[derive(Clone, Copy, ValueEnum)]
enum DistributionName {
    EachEvent,
    Digest,
}

impl DistributionName {
    fn distribution(self) -> Distribution {
        match self {
            DistributionName::EachEvent => Distribution::EachEvent,
            DistributionName::Digest => Distribution::Digest,
        }
    }
}

/// One run of a point of the scale file.
struct PlannedRun {
    distribution: Distribution,
    point: Point,
    seed: u64,
    fault: Option<Fault>,
}

/// Plays the runs of a scale file and prints a row for each.
pub(crate) fn run(arguments: &Arguments) -> Result<(), ExitError> {
    let file = &arguments.file;
    let text = files::read_text(file)?;
    let scenario = scenario::read(file, &text).map_err(|faults| file_faults(&faults))?;
    let planned = plan_runs(&scenario, arguments)?;
    for PlannedRun { point, .. } in &planned {
        bounds::check(point)
            .map_err(|error| usage_error(format!("{file}: {point:?} takes {error}")))?;
    }
    println!("{HEAD}");
    if arguments.check {
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime
        .map_err(|error| ExitError::failed(format!("cannot create the async runtime: {error}")))?;
    runtime.block_on(run_until_signal(play_all(arguments, &scenario, &planned)))
}

/// Plays the runs until they are done or the program gets SIGINT or SIGTERM. The started processes end in either case.
async fn run_until_signal(
    play: impl Future<Output = Result<(), ExitError>>,
) -> Result<(), ExitError> {
    let listen = |kind| {
        signal(kind)
            .map_err(|error| ExitError::failed(format!("cannot listen for signals: {error}")))
    };
    let mut interrupt = listen(SignalKind::interrupt())?;
    let mut terminate = listen(SignalKind::terminate())?;
    tokio::select! {
        result = play => result,
        _ = interrupt.recv() => Err(stopped_by("ctrl-c")),
        _ = terminate.recv() => Err(stopped_by("SIGTERM")),
    }
}

fn stopped_by(signal: &str) -> ExitError {
    ExitError::failed(format!(
        "stopped by {signal}; all started processes were ended"
    ))
}

/// Returns all runs of a file in order: for each point, seed and distribution the run without a fault, followed by the
/// run with the file's fault if it has one.
fn plan_runs(scenario: &Scenario, arguments: &Arguments) -> Result<Vec<PlannedRun>, ExitError> {
    let mut distributions: Vec<Distribution> = arguments
        .distribution
        .iter()
        .map(|name| name.distribution())
        .collect();
    if distributions.is_empty() {
        distributions.push(scenario.distribution);
    }
    let points: Vec<Point> = match arguments.point {
        None => scenario.points.clone(),
        Some(number) => {
            let point = number
                .checked_sub(1)
                .and_then(|index| scenario.points.get(index));
            vec![*point.ok_or_else(|| {
                usage_error(format!(
                    "--point {number}: the scale file has {} points",
                    scenario.points.len()
                ))
            })?]
        }
    };
    let mut planned = Vec::new();
    for point in points {
        for run in 0..scenario.runs {
            let seed = scenario.seed + u64::from(run);
            for distribution in &distributions {
                let planned_run = |fault| PlannedRun {
                    distribution: *distribution,
                    point,
                    seed,
                    fault,
                };
                planned.push(planned_run(None));
                planned.extend(scenario.fault.map(|fault| planned_run(Some(fault))));
            }
        }
    }
    Ok(planned)
}

fn progress_bar(runs: usize) -> ProgressBar {
    let bar = ProgressBar::new(runs as u64);
    let style = ProgressStyle::with_template("{elapsed_precise} {bar:30} {pos}/{len} {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.enable_steady_tick(Duration::from_millis(200));
    bar
}

/// Plays all runs one after another. After each it prints a row and writes the measurements of all runs so far.
async fn play_all(
    arguments: &Arguments,
    scenario: &Scenario,
    planned: &[PlannedRun],
) -> Result<(), ExitError> {
    let binary = exit::own_binary()?;
    let bar = progress_bar(planned.len());
    let mut rows: Vec<Measurement> = Vec::new();
    for run in planned {
        let scenario = Scenario {
            distribution: run.distribution,
            ..scenario.clone()
        };
        let options = RunOptions {
            scenario: &scenario,
            point: run.point,
            seed: run.seed,
            fault: run.fault,
            keeps_files: arguments.keep_files,
            binary: &binary,
        };
        let progress = |step: &str| bar.set_message(step.to_owned());
        let played = run::play(&options, &progress)
            .await
            .map_err(ExitError::failed)?;
        bar.suspend(|| println!("{}", format_row(&options, &played.rows)));
        bar.inc(1);
        rows.extend(played.rows.rows);
        if let Some(out) = &arguments.out {
            report::write(out, &rows).map_err(ExitError::failed)?;
        }
    }
    bar.finish_and_clear();
    Ok(())
}

const HEAD: &str = "distribution  hollow  hosts  purges/s  planners  fault                bytes/s  messages/s  headers/s  cores  planner  coordinator  delay ms: median      99th     worst  expected      lost  replaced  doubled  disordered  machine idle";

/// Formats the results of a run as a row: bytes, messages and cores of one hollow forwarder, cores of a planner and of
/// the coordinator, delays of events, and counts of expected and faulty deliveries.
fn format_row(options: &RunOptions, rows: &RunRows) -> String {
    let hollow_sum = |metrics: &[Metric]| -> f64 {
        metrics
            .iter()
            .filter_map(|metric| rows.sum(Role::HollowForwarder, *metric))
            .sum()
    };
    let hollow = |metric: Metric| hollow_sum(&[metric]);
    let cores = |role: Role| rows.sum(role, Metric::Cores).unwrap_or(f64::NAN);
    let distribution = match options.scenario.distribution {
        Distribution::EachEvent => "each-event",
        Distribution::Digest => "digest",
    };
    let fault = options.fault.map_or("none", |fault| fault.kind.word());
    format!(
        "{distribution:<12}  {:>6}  {:>5}  {:>8}  {:>8}  {fault:<19}  {:>7.0}  {:>10.1}  {:>9.0}  {:.4}  {:>7.3}  {:>11.3}  {:>16.1}  {:>8.1}  {:>8.1}  {:>8}  {:>8}  {:>8}  {:>7}  {:>10}  {:>12.2}",
        options.point.hollow,
        options.point.hosts,
        options.point.purges_per_s,
        options.point.planners,
        hollow_sum(&[Metric::BytesInPerS, Metric::BytesOutPerS]),
        hollow_sum(&[Metric::MessagesInPerS, Metric::MessagesOutPerS]),
        hollow(Metric::HeaderBytesPerS),
        hollow(Metric::Cores),
        cores(Role::Planner),
        cores(Role::Coordinator),
        hollow(Metric::DelayMedianMs),
        hollow(Metric::DelayP99Ms),
        hollow(Metric::DelayWorstMs),
        hollow(Metric::EventsExpected),
        hollow(Metric::EventsLost),
        hollow(Metric::EventsReplaced),
        hollow(Metric::EventsDoubled),
        hollow(Metric::EventsOutOfOrder),
        rows.sum(Role::Coordinator, Metric::MachineIdleShare)
            .unwrap_or(f64::NAN),
    )
}

fn read_orders<T: DeserializeOwned>(path: &Path) -> Result<T, ExitError> {
    let text = files::read_text(&path.to_string_lossy())?;
    serde_json::from_str(&text)
        .map_err(|error| usage_error(format!("{}: not valid orders: {error}", path.display())))
}

/// Runs a process of hollow forwarders with the orders in a file.
pub(crate) fn run_hollow_forwarders(path: &Path) -> Result<(), ExitError> {
    let orders: HollowOrders = read_orders(path)?;
    let KeyedPlan { plan, key } = files::read_plan(&orders.plan.to_string_lossy())?;
    let window = files::read_platform(&orders.configuration.to_string_lossy())?.window;
    let _log = log::start("warn", LogFormat::Text)?;
    let options = |name: &str| control_client_options(&plan, key.clone(), window, name);
    flaxdeck_scale::hollow::run(&orders, options).map_err(ExitError::failed)
}

/// Runs the stand-in coordinator with the orders in a file.
pub(crate) fn run_coordinator(path: &Path) -> Result<(), ExitError> {
    let orders: CoordinatorOrders = read_orders(path)?;
    let _log = log::start("warn", LogFormat::Text)?;
    flaxdeck_scale::coordinator::run(orders).map_err(ExitError::failed)
}
