//! Plays one run: a world of stand-ins, a fleet of real programs, clients, and what is killed.

use std::path::PathBuf;
use std::thread::sleep;
use std::time::Duration;

use flaxdeck_emulator::fleet::{Fault, Fleet, Setup};
use flaxdeck_emulator::{
    HostKind, INTERVAL_MS, IntervalCounters, Layout, Load, OperationEnd, RetryPolicy,
    RetryingClients, World,
};
use flaxdeck_experiments::recovery::{SLICE_MS, Slice};

use super::arguments::{Arguments, Environment, SavedState, Trial};
use crate::exit::{self, ExitError};

/// The day's course, in milliseconds from when it begins: processes are killed, ...
pub(crate) const KILLED_MS: f64 = 4_000.0;
/// ... run again, ...
pub(crate) const UP_MS: f64 = 5_000.0;
/// ... and it ends.
pub(crate) const END_MS: f64 = 16_000.0;
/// Clients come from so long before the day on.
const WARMUP_MS: f64 = 1_000.0;
/// The clients' last requests have ended by then.
const DRAIN_MS: f64 = 6_000.0;
/// The latency objective of the stand-ins' pages, with its stretch at the mean size, in milliseconds.
const OBJECTIVE_MS: f64 = 440.0;
/// What a slot takes on average for a request of the stand-ins, in milliseconds.
const MEAN_SERVICE_MS: f64 = 21.0;
/// Forwarders that have just started leave cold hosts alone; they are through with it after that.
const SETTLED_MS: f64 = 5_500.0;

/// What one run came to.
pub(crate) struct Run {
    pub slices: Vec<Slice>,
    /// The stand-ins' counters, from the day's beginning on.
    pub intervals: Vec<IntervalCounters>,
    /// Violations of the rules, and what else went wrong, in words.
    pub violations: Vec<String>,
    pub peak_cold_load: f64,
    pub all_accounted_for: bool,
}

fn layout(arguments: &Arguments, trial: Trial) -> Layout {
    let base = Layout {
        caches: arguments.caches,
        cache_slots: arguments.places,
        parents: 3,
        forwarders: trial.forwarders,
        sockets: 1024,
        ..Layout::default()
    };
    match trial.environment {
        Environment::Plain => base,
        Environment::Connections => Layout {
            max_host_connections: arguments.connections,
            ..base
        },
        Environment::Lists => Layout {
            coordinator_calls_per_s: 3.0,
            ..base
        },
        Environment::Cold => Layout {
            origin_slots: 8.0,
            ..base
        },
    }
}

fn binary(arguments: &Arguments) -> Result<PathBuf, ExitError> {
    match &arguments.program {
        Some(program) => Ok(program.clone()),
        None => exit::own_binary(),
    }
}

fn start_fleet(arguments: &Arguments, trial: Trial) -> Result<Fleet, ExitError> {
    let binary = binary(arguments)?;
    let world = World::start(layout(arguments, trial)).map_err(ExitError::failed)?;
    let keeps_state = trial.state != SavedState::None;
    let setup = Setup {
        keeps_first_config: trial.environment == Environment::Lists,
        keeps_state,
        ..Setup::new(binary, trial.planners, trial.forwarders)
    };
    let mut fleet = Fleet::start(world, setup).map_err(ExitError::failed)?;
    if keeps_state {
        // State is kept from the second start on.
        for forwarder in 0..trial.forwarders {
            fleet
                .inject(&Fault::KillForwarder(forwarder))
                .map_err(ExitError::failed)?;
            fleet
                .inject(&Fault::StartForwarder(forwarder))
                .map_err(ExitError::failed)?;
        }
    }
    Ok(fleet)
}

fn load(arguments: &Arguments, trial: Trial, begins: f64) -> Load {
    let slots = arguments.caches as f64 * arguments.places;
    let rate = arguments.load * slots / MEAN_SERVICE_MS * 1000.0;
    Load {
        seed: trial.seed,
        requests_per_s: vec![rate / trial.forwarders as f64],
        objects: 3_000,
        popularity_exponent: 0.8,
        write_fraction: 0.01,
        from_ms: begins - WARMUP_MS,
        to_ms: begins + END_MS,
        timeout_ms: 2_500,
        first_connection: 0,
    }
}

/// The faults of a day that begins at that time, in order.
fn script(fleet: &Fleet, trial: Trial, begins: f64) -> Vec<(f64, Fault)> {
    let killed = begins + KILLED_MS;
    let up = begins + UP_MS;
    let caches = fleet.world.hosts(HostKind::Cache);
    let mut script = Vec::new();
    if trial.environment == Environment::Cold {
        let parents = fleet.world.hosts(HostKind::Parent);
        let cold = [&caches[0], &caches[1], &parents[0]];
        script.extend(cold.map(|host| (killed, Fault::RestartHost(host.clone()))));
    }
    if trial.environment == Environment::Lists {
        script.push((killed + 300.0, Fault::Drain(caches[0].clone())));
    }
    let forwarders = 0..trial.killed_forwarders();
    let planners = 0..trial.killed_planners();
    script.extend(
        forwarders
            .clone()
            .map(|at| (killed, Fault::KillForwarder(at))),
    );
    if trial.state == SavedState::Lost {
        script.extend(
            forwarders
                .clone()
                .map(|at| (killed + 1.0, Fault::LoseState(at))),
        );
    }
    script.extend(planners.clone().map(|at| (killed, Fault::KillPlanner(at))));
    script.extend(planners.map(|at| (up, Fault::StartPlanner(at))));
    script.extend(forwarders.map(|at| (up, Fault::StartForwarder(at))));
    script.sort_by(|a, b| a.0.total_cmp(&b.0));
    script
}

/// Plays a run to its end.
pub(crate) fn play(arguments: &Arguments, trial: Trial) -> Result<Run, ExitError> {
    let mut fleet = start_fleet(arguments, trial)?;
    let begins = fleet.world.now() + SETTLED_MS;
    let policies: &[RetryPolicy] = match trial.environment {
        Environment::Connections => &[RetryPolicy::Immediate],
        _ => &[
            RetryPolicy::HonorRetryAfter,
            RetryPolicy::Immediate,
            RetryPolicy::Never,
        ],
    };
    let load = load(arguments, trial, begins);
    let clients = fleet
        .world
        .retrying_clients(&fleet.addresses(), &load, policies);
    let script = script(&fleet, trial, begins);
    fleet.play(&script).map_err(ExitError::failed)?;
    let limit = begins + END_MS + DRAIN_MS;
    while !clients.is_done() && fleet.world.now() < limit {
        sleep(Duration::from_millis(20));
    }
    Ok(collect(&fleet, &clients, begins))
}

fn collect(fleet: &Fleet, clients: &RetryingClients, begins: f64) -> Run {
    let first = (begins / INTERVAL_MS) as usize;
    let intervals: Vec<IntervalCounters> =
        fleet.world.intervals().into_iter().skip(first).collect();
    let verdict = fleet.world.verdict();
    let mut violations: Vec<String> = verdict
        .violations
        .iter()
        .map(|violation| format!("rule {}: {}", violation.rule, violation.description))
        .collect();
    let wrong_bytes = clients.wrong_bytes();
    if wrong_bytes > 0 {
        violations.push(format!("{wrong_bytes} answers held wrong bytes"));
    }
    Run {
        slices: slices(clients, &intervals, begins),
        intervals,
        violations,
        peak_cold_load: verdict.peak_cold_load,
        all_accounted_for: verdict.all_accounted_for(),
    }
}

/// What became of the clients' operations and of the hosts' answers, by slices of the day.
fn slices(clients: &RetryingClients, intervals: &[IntervalCounters], begins: f64) -> Vec<Slice> {
    let mut slices = vec![Slice::default(); (END_MS / SLICE_MS) as usize];
    for outcome in clients.outcomes() {
        let index = (outcome.started_ms - begins) / SLICE_MS;
        if index < 0.0 {
            continue;
        }
        let Some(slice) = slices.get_mut(index as usize) else {
            continue;
        };
        let in_time =
            matches!(outcome.end, OperationEnd::Served { after_ms } if after_ms <= OBJECTIVE_MS);
        slice.operations += 1;
        slice.in_time += u64::from(in_time);
        slice.rejected += u64::from(outcome.end == OperationEnd::Rejected);
    }
    for (index, interval) in intervals.iter().enumerate() {
        let Some(slice) = slices.get_mut((index as f64 * INTERVAL_MS / SLICE_MS) as usize) else {
            break;
        };
        slice.cache_answers += u64::from(interval.cache_answers);
        slice.cache_hits += u64::from(interval.cache_hits);
        slice.refused_connections += u64::from(interval.connections_refused);
    }
    slices
}
