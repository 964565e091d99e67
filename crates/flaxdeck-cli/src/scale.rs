//! `flaxdeck scale`: runs of a scale file, and the processes that they start.

use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Args, ValueEnum};
use flaxdeck_plan::LogFormat;
use flaxdeck_scale::measurement::{Distribution, Measurement, Metric, Role};
use flaxdeck_scale::messages::{CoordinatorOrders, HollowOrders};
use flaxdeck_scale::report::{self, Rows};
use flaxdeck_scale::scenario::{Fault, Point, Scenario};
use flaxdeck_scale::{bounds, run, scenario};
use indicatif::{ProgressBar, ProgressStyle};
use serde::de::DeserializeOwned;
use tokio::signal::unix::{SignalKind, signal};

use crate::{Stop, faulty, files, guidelines, log};

/// What `flaxdeck scale` is asked.
#[derive(Args)]
pub struct Asked {
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

/// One run to be played.
struct Planned {
    distribution: Distribution,
    point: Point,
    seed: u64,
    fault: Option<Fault>,
}

pub fn run(asked: &Asked) -> Result<(), Stop> {
    let lines = |faults: Vec<flaxdeck_plan::Fault>| {
        faulty(
            faults
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join("\n"),
        )
    };
    let scenario = scenario::read(&asked.file, &files::text(&asked.file)?).map_err(lines)?;
    let planned = planned(&scenario, asked)?;
    for Planned { point, .. } in &planned {
        bounds::check(point)
            .map_err(|over| faulty(format!("{}: {point:?} takes {over}", asked.file)))?;
    }
    println!("{HEAD}");
    if asked.check {
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| format!("no runtime: {error}"))?;
    runtime.block_on(until_ended(play_all(asked, &scenario, &planned)))
}

/// Plays on unless somebody ends the program; what was started is ended either way.
async fn until_ended(playing: impl Future<Output = Result<(), Stop>>) -> Result<(), Stop> {
    let signals = |kind| signal(kind).map_err(|error| format!("no signals: {error}"));
    let (mut interrupt, mut terminate) = (
        signals(SignalKind::interrupt())?,
        signals(SignalKind::terminate())?,
    );
    tokio::select! {
        played = playing => played,
        _ = interrupt.recv() => Err(Stop(1, "ended by ctrl-c, and all that was started with it".into())),
        _ = terminate.recv() => Err(Stop(1, "ended by SIGTERM, and all that was started with it".into())),
    }
}

/// All runs of a file: each with a fault beside a twin that has none, and the ways of distribution beside each other.
fn planned(scenario: &Scenario, asked: &Asked) -> Result<Vec<Planned>, Stop> {
    let mut distributions: Vec<Distribution> = asked
        .distribution
        .iter()
        .map(|name| name.distribution())
        .collect();
    if distributions.is_empty() {
        distributions.push(scenario.distribution);
    }
    let points: Vec<Point> = match asked.point {
        None => scenario.points.clone(),
        Some(at) => {
            let point = at.checked_sub(1).and_then(|at| scenario.points.get(at));
            vec![
                *point
                    .ok_or_else(|| faulty(format!("there are {} points", scenario.points.len())))?,
            ]
        }
    };
    let mut planned = Vec::new();
    for point in points {
        for run in 0..scenario.runs {
            let seed = scenario.seed + u64::from(run);
            for distribution in &distributions {
                let planned_with = |fault| Planned {
                    distribution: *distribution,
                    point,
                    seed,
                    fault,
                };
                planned.push(planned_with(None));
                planned.extend(scenario.fault.map(|fault| planned_with(Some(fault))));
            }
        }
    }
    Ok(planned)
}

async fn play_all(asked: &Asked, scenario: &Scenario, planned: &[Planned]) -> Result<(), Stop> {
    let binary =
        std::env::current_exe().map_err(|error| format!("no path of this program: {error}"))?;
    let bar = ProgressBar::new(planned.len() as u64);
    let style = ProgressStyle::with_template("{elapsed_precise} {bar:30} {pos}/{len} {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.enable_steady_tick(Duration::from_millis(200));
    let mut rows: Vec<Measurement> = Vec::new();
    for Planned {
        distribution,
        point,
        seed,
        fault,
    } in planned
    {
        let scenario = Scenario {
            distribution: *distribution,
            ..scenario.clone()
        };
        let one = run::Asked {
            scenario: &scenario,
            point: *point,
            seed: *seed,
            fault: *fault,
            keeps_files: asked.keep_files,
            binary: &binary,
        };
        let progress = |what: &str| bar.set_message(what.to_owned());
        let played = run::play(&one, &progress).await?;
        bar.suspend(|| println!("{}", line(&one, &played.rows)));
        bar.inc(1);
        rows.extend(played.rows.rows);
        if let Some(out) = &asked.out {
            report::write(out, &rows)?;
        }
    }
    bar.finish_and_clear();
    Ok(())
}

const HEAD: &str = "distribution  hollow  hosts  purges/s  planners  fault                bytes/s  messages/s  headers/s  cores  planner  coordinator  delay ms: median      99th     worst  expected      lost  replaced  doubled  disordered  machine idle";

/// A run in a line: bytes, messages and cores of one hollow forwarder, cores of a planner and the coordinator.
fn line(asked: &run::Asked, rows: &Rows) -> String {
    let hollow = |metrics: &[Metric]| -> f64 {
        metrics
            .iter()
            .filter_map(|metric| rows.sum(Role::HollowForwarder, *metric))
            .sum()
    };
    let one = |metric: Metric| hollow(&[metric]);
    let cores = |role: Role| rows.sum(role, Metric::Cores).unwrap_or(f64::NAN);
    let distribution = match asked.scenario.distribution {
        Distribution::EachEvent => "each-event",
        Distribution::Digest => "digest",
    };
    let fault = asked.fault.map_or("none", |fault| fault.kind.word());
    format!(
        "{distribution:<12}  {:>6}  {:>5}  {:>8}  {:>8}  {fault:<19}  {:>7.0}  {:>10.1}  {:>9.0}  {:.4}  {:>7.3}  {:>11.3}  {:>16.1}  {:>8.1}  {:>8.1}  {:>8}  {:>8}  {:>8}  {:>7}  {:>10}  {:>12.2}",
        asked.point.hollow,
        asked.point.hosts,
        asked.point.purges_per_s,
        asked.point.planners,
        hollow(&[Metric::BytesInPerS, Metric::BytesOutPerS]),
        hollow(&[Metric::MessagesInPerS, Metric::MessagesOutPerS]),
        one(Metric::HeaderBytesPerS),
        one(Metric::Cores),
        cores(Role::Planner),
        cores(Role::Coordinator),
        one(Metric::DelayMedianMs),
        one(Metric::DelayP99Ms),
        one(Metric::DelayWorstMs),
        one(Metric::EventsExpected),
        one(Metric::EventsLost),
        one(Metric::EventsReplaced),
        one(Metric::EventsDoubled),
        one(Metric::EventsOutOfOrder),
        rows.sum(Role::Coordinator, Metric::MachineIdleShare)
            .unwrap_or(f64::NAN),
    )
}

fn orders<T: DeserializeOwned>(path: &Path) -> Result<T, Stop> {
    let text = files::text(&path.to_string_lossy())?;
    serde_json::from_str(&text).map_err(|error| faulty(format!("{}: {error}", path.display())))
}

/// A process of hollow forwarders.
pub fn hollow(path: &Path) -> Result<(), Stop> {
    let orders: HollowOrders = orders(path)?;
    let (plan, key) = files::plan(&orders.plan.to_string_lossy())?;
    let window = files::world(&orders.configuration.to_string_lossy())?.window;
    let _log = log::start("warn", LogFormat::Text)?;
    let guidelines = |name: &str| guidelines(&plan, key.clone(), window, name);
    Ok(flaxdeck_scale::hollow::run(&orders, guidelines)?)
}

/// The stand-in coordinator.
pub fn coordinator(path: &Path) -> Result<(), Stop> {
    let orders: CoordinatorOrders = orders(path)?;
    let _log = log::start("warn", LogFormat::Text)?;
    Ok(flaxdeck_scale::coordinator::run(orders)?)
}
