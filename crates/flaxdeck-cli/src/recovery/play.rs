//! Plays one run: a world of stand-ins, a fleet of real processes, clients, and faults.

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

/// When processes are killed, in milliseconds from the day's start.
pub(crate) const KILL_MS: f64 = 4_000.0;
/// When the killed processes are started again, in milliseconds from the day's start.
pub(crate) const RESTART_MS: f64 = 5_000.0;
/// The length of the day.
pub(crate) const END_MS: f64 = 16_000.0;
/// How long before the day the clients start.
const WARMUP_MS: f64 = 1_000.0;
/// Longest wait after the day's end for the answers to the clients' last requests.
const MAX_CLIENT_WAIT_MS: f64 = 6_000.0;
/// The latency objective of the request class `page` of the stand-ins, with its allowance for an object of mean size.
const OBJECTIVE_MS: f64 = 440.0;
/// The mean time for which a request occupies a slot of a stand-in.
const MEAN_SERVICE_MS: f64 = 21.0;
/// Time between the start of the fleet and the day. For some seconds after its start a forwarder does not use its
/// quotas of cold hosts; that time is over when the day starts.
const STARTUP_WAIT_MS: f64 = 5_500.0;

/// The results of one run.
pub(crate) struct Run {
    pub slices: Vec<Slice>,
    /// The stand-ins' counters from the day's start on.
    pub intervals: Vec<IntervalCounters>,
    /// Violations of the rules and other failures of the run, as text.
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
        // Forwarders store state only from their second start on, so each is restarted once before the run.
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

fn load(arguments: &Arguments, trial: Trial, start_ms: f64) -> Load {
    let slots = arguments.caches as f64 * arguments.places;
    let rate = arguments.load * slots / MEAN_SERVICE_MS * 1000.0;
    Load {
        seed: trial.seed,
        requests_per_s: vec![rate / trial.forwarders as f64],
        objects: 3_000,
        popularity_exponent: 0.8,
        write_fraction: 0.01,
        from_ms: start_ms - WARMUP_MS,
        to_ms: start_ms + END_MS,
        timeout_ms: 2_500,
        first_connection: 0,
    }
}

/// Returns the faults of a day that starts at `start_ms`, in order.
fn script(fleet: &Fleet, trial: Trial, start_ms: f64) -> Vec<(f64, Fault)> {
    let kill = start_ms + KILL_MS;
    let restart = start_ms + RESTART_MS;
    let caches = fleet.world.hosts(HostKind::Cache);
    let mut script = Vec::new();
    if trial.environment == Environment::Cold {
        let parents = fleet.world.hosts(HostKind::Parent);
        let cold = [&caches[0], &caches[1], &parents[0]];
        script.extend(cold.map(|host| (kill, Fault::RestartHost(host.clone()))));
    }
    if trial.environment == Environment::Lists {
        script.push((kill + 300.0, Fault::Drain(caches[0].clone())));
    }
    let forwarders = 0..trial.killed_forwarders();
    let planners = 0..trial.killed_planners();
    script.extend(
        forwarders
            .clone()
            .map(|index| (kill, Fault::KillForwarder(index))),
    );
    if trial.state == SavedState::Lost {
        script.extend(
            forwarders
                .clone()
                .map(|index| (kill + 1.0, Fault::LoseState(index))),
        );
    }
    script.extend(
        planners
            .clone()
            .map(|index| (kill, Fault::KillPlanner(index))),
    );
    script.extend(planners.map(|index| (restart, Fault::StartPlanner(index))));
    script.extend(forwarders.map(|index| (restart, Fault::StartForwarder(index))));
    script.sort_by(|a, b| a.0.total_cmp(&b.0));
    script
}

/// Plays one run and returns its results.
pub(crate) fn play(arguments: &Arguments, trial: Trial) -> Result<Run, ExitError> {
    let mut fleet = start_fleet(arguments, trial)?;
    let start_ms = fleet.world.now() + STARTUP_WAIT_MS;
    let policies: &[RetryPolicy] = match trial.environment {
        Environment::Connections => &[RetryPolicy::Immediate],
        _ => &[
            RetryPolicy::HonorRetryAfter,
            RetryPolicy::Immediate,
            RetryPolicy::Never,
        ],
    };
    let load = load(arguments, trial, start_ms);
    let clients = fleet
        .world
        .retrying_clients(&fleet.addresses(), &load, policies);
    let script = script(&fleet, trial, start_ms);
    fleet.play(&script).map_err(ExitError::failed)?;
    let limit = start_ms + END_MS + MAX_CLIENT_WAIT_MS;
    while !clients.is_done() && fleet.world.now() < limit {
        sleep(Duration::from_millis(20));
    }
    Ok(collect(&fleet, &clients, start_ms))
}

fn collect(fleet: &Fleet, clients: &RetryingClients, start_ms: f64) -> Run {
    let first = (start_ms / INTERVAL_MS) as usize;
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
        slices: slices(clients, &intervals, start_ms),
        intervals,
        violations,
        peak_cold_load: verdict.peak_cold_load,
        all_accounted_for: verdict.all_accounted_for(),
    }
}

/// Counts the outcomes of the clients' operations, and the hosts' answers and refusals, by slices of the day.
fn slices(clients: &RetryingClients, intervals: &[IntervalCounters], start_ms: f64) -> Vec<Slice> {
    let mut slices = vec![Slice::default(); (END_MS / SLICE_MS) as usize];
    for outcome in clients.outcomes() {
        let index = (outcome.started_ms - start_ms) / SLICE_MS;
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
