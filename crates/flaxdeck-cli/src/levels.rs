//! `flaxdeck levels`: plays the same day without and with planners on loopback, and prints the results row by row.

use std::ops::Range;
use std::thread::sleep;
use std::time::Duration;

use flaxdeck_emulator::fleet::{Fault, Fleet, Setup};
use flaxdeck_emulator::{ClientStatistics, Clients, FailureMode, HostKind, Layout, Load, World};
use flaxdeck_invariants::{RecordEntry, RecordedEvent, SamplingPeriod, mean_cold_load};

use crate::exit::{self, ExitError};

/// When a cache restarts cold, in milliseconds from the start of the clients.
const CACHE_RESTART_MS: f64 = 1_000.0;
/// When a parent starts to fail, in milliseconds from the start of the clients.
const PARENT_FAILURE_MS: f64 = 9_000.0;
/// When the parent recovers, in milliseconds from the start of the clients.
const PARENT_RECOVERY_MS: f64 = 13_000.0;
/// When the clients stop sending requests, in milliseconds from their start.
const END_MS: f64 = 15_000.0;
/// How long before the parent's failure the load of rare objects starts.
const RARE_LOAD_LEAD_MS: f64 = 500.0;
/// Wait before the clients start. A forwarder does not use its quotas of cold hosts for some seconds after its start,
/// since an earlier run of it may have lent them.
const STARTUP_WAIT_MS: f64 = 4_800.0;
/// Longest wait for the answers to the clients' last requests.
const MAX_CLIENT_WAIT_MS: f64 = 10_000.0;
/// The latency objective of the request class `page` of the stand-ins.
const OBJECTIVE_MS: f64 = 400.0;
/// A cold cache crashes when it is asked for more than this multiple of its capacity.
const OVERLOAD_FACTOR: f64 = 2.0;
/// Attempts at the failed parent from this time after its failure on are further trials of the ejected host.
const FURTHER_TRIALS_MS: f64 = 3_500.0;
/// How long after its start the load on the cold cache is first sampled.
const FIRST_SAMPLE_MS: f64 = 3_000.0;
/// The interval between samples of the load on the cold cache.
const SAMPLE_STEP_MS: f64 = 50.0;

/// The results of one run.
struct Row {
    in_time: f64,
    rejected: u64,
    origin_fills: u64,
    mean_cold_load: f64,
    peak_cold_load: f64,
    attempts_at_failed: usize,
    /// The last attempt at the failed parent before further trials, in milliseconds from the start of its failure.
    last_attempt_ms: f64,
    report_bytes_per_s: f64,
    guidance_bytes_per_s: f64,
    violations: usize,
    median_ms: f64,
    p99_ms: f64,
}

/// Plays each number of forwarders without and with planners, and prints a row for each run.
pub(crate) fn run(forwarders: &[usize], rate: f64, runs: u64, seed: u64) -> Result<(), ExitError> {
    println!(
        "forwarders  planners  seed  in time  rejected  origin  cold use  cold most  at failed parent  last, ms  \
         reports, B/s  guidance, B/s  median, ms  99th, ms  broken"
    );
    let mut violations = 0;
    for count in forwarders {
        for seed in seed..seed + runs {
            for planners in [0, 2] {
                let row = play(*count, planners, rate, seed)?;
                print_row(*count, planners, seed, &row);
                violations += row.violations;
            }
        }
    }
    if violations == 0 {
        Ok(())
    } else {
        Err(ExitError::failed(format!(
            "{violations} violations of the rules in all runs"
        )))
    }
}

fn print_row(forwarders: usize, planners: usize, seed: u64, row: &Row) {
    println!(
        "{forwarders:>10}  {planners:>8}  {seed:>4}  {:>7.4}  {:>7}  {:>6}  {:>8.3}  {:>9.3}  {:>16}  {:>8.0}  {:>12.0}  {:>13.0}  {:>10.1}  {:>8.1}  {:>6}",
        row.in_time,
        row.rejected,
        row.origin_fills,
        row.mean_cold_load,
        row.peak_cold_load,
        row.attempts_at_failed,
        row.last_attempt_ms,
        row.report_bytes_per_s,
        row.guidance_bytes_per_s,
        row.median_ms,
        row.p99_ms,
        row.violations,
    );
}

fn layout(forwarders: usize) -> Layout {
    Layout {
        overload_factor: OVERLOAD_FACTOR,
        caches: 3,
        parents: 3,
        forwarders,
        slow_start_initial: 0.15,
        cache_slots: 24.0,
        slow_start_ms: 60_000.0,
        ..Layout::default()
    }
}

/// Returns a load of which the first forwarder gets nine tenths and the others share the rest evenly.
fn uneven_load(forwarders: usize, rate: f64, seed: u64, start_ms: f64) -> Load {
    let others = rate * 0.1 / (forwarders.max(2) - 1) as f64;
    let mut rates = vec![others; forwarders];
    if let Some(first) = rates.first_mut() {
        *first = rate * 0.9;
    }
    Load {
        seed,
        requests_per_s: rates,
        objects: 600,
        popularity_exponent: 0.9,
        write_fraction: 0.0,
        from_ms: start_ms,
        to_ms: start_ms + END_MS,
        timeout_ms: 2_500,
        first_connection: 0,
    }
}

/// Returns a load of objects that are hardly ever requested twice, spread evenly over all forwarders: caches miss, so
/// that each forwarder needs the parents.
fn rare_load(forwarders: usize, rate: f64, seed: u64, start_ms: f64) -> Load {
    Load {
        seed: seed + 1,
        requests_per_s: vec![rate * 0.15 / forwarders as f64],
        objects: 1_000_000,
        popularity_exponent: 0.0,
        from_ms: start_ms + PARENT_FAILURE_MS - RARE_LOAD_LEAD_MS,
        first_connection: 100_000,
        ..uneven_load(forwarders, rate, seed, start_ms)
    }
}

fn play(forwarders: usize, planners: usize, rate: f64, seed: u64) -> Result<Row, ExitError> {
    let world = World::start(layout(forwarders)).map_err(ExitError::failed)?;
    let cache = world.hosts(HostKind::Cache)[0].clone();
    let parent = world.hosts(HostKind::Parent)[0].clone();
    let setup = Setup::new(exit::own_binary()?, planners, forwarders);
    let mut fleet = Fleet::start(world, setup).map_err(ExitError::failed)?;
    let start_ms = fleet.world.now() + STARTUP_WAIT_MS;
    let addresses = fleet.addresses();
    let clients = [
        uneven_load(forwarders, rate, seed, start_ms),
        rare_load(forwarders, rate, seed, start_ms),
    ]
    .map(|load| fleet.world.clients(&addresses, &load));
    fleet.world.wait_until(start_ms);
    let before = fleet.control_bytes();
    let failing = start_ms + PARENT_FAILURE_MS..start_ms + PARENT_RECOVERY_MS;
    fleet
        .play(&script(&cache, &parent, start_ms))
        .map_err(ExitError::failed)?;
    wait_for_clients(&fleet, &clients);
    let forwarder_seconds = (fleet.world.now() - start_ms) / 1000.0 * forwarders as f64;
    let after = fleet.control_bytes();
    let attempts = attempts_at(&parent, &failing, &fleet.world.record());
    Ok(Row {
        attempts_at_failed: attempts.len(),
        last_attempt_ms: last_attempt(&attempts),
        report_bytes_per_s: (after.reports - before.reports) as f64 / forwarder_seconds,
        guidance_bytes_per_s: (after.guidance - before.guidance) as f64 / forwarder_seconds,
        mean_cold_load: cold_load(&fleet.world, &cache, failing.start),
        ..client_figures(&fleet.world, &clients)
    })
}

/// Returns the day's faults: a cache restarts cold, and a parent fails and recovers.
fn script(cache: &str, parent: &str, start_ms: f64) -> [(f64, Fault); 3] {
    let parent_mode = |mode| Fault::HostFailureMode(parent.to_owned(), mode);
    [
        (
            start_ms + CACHE_RESTART_MS,
            Fault::RestartHost(cache.to_owned()),
        ),
        (
            start_ms + PARENT_FAILURE_MS,
            parent_mode(FailureMode::Failing),
        ),
        (
            start_ms + PARENT_RECOVERY_MS,
            parent_mode(FailureMode::Healthy),
        ),
    ]
}

fn wait_for_clients(fleet: &Fleet, clients: &[Clients]) {
    let limit = fleet.world.now() + MAX_CLIENT_WAIT_MS;
    while !clients.iter().all(Clients::is_done) && fleet.world.now() < limit {
        sleep(Duration::from_millis(20));
    }
}

/// Returns the times at which work arrived at a host while it failed, in milliseconds from the start of the failure.
fn attempts_at(host: &str, failing: &Range<f64>, record: &[RecordEntry]) -> Vec<f64> {
    let arrived = |entry: &&RecordEntry| {
        failing.contains(&entry.at_ms)
            && matches!(&entry.event, RecordedEvent::WorkArrived { host: at } if at == host)
    };
    let attempts = record.iter().filter(arrived);
    attempts.map(|entry| entry.at_ms - failing.start).collect()
}

/// Returns the time of the last attempt before further trials, in milliseconds from the start of the failure, or 0.
fn last_attempt(attempts: &[f64]) -> f64 {
    let early = attempts.iter().filter(|at| **at < FURTHER_TRIALS_MS);
    early.copied().fold(0.0, f64::max)
}

/// Returns the mean load on the cold cache, as a multiple of its capacity.
fn cold_load(world: &World, cache: &str, until_ms: f64) -> f64 {
    let period = SamplingPeriod {
        after_start_ms: FIRST_SAMPLE_MS,
        until_ms,
        step_ms: SAMPLE_STEP_MS,
    };
    mean_cold_load(&world.invariant_terms(), &world.record(), cache, period) * OVERLOAD_FACTOR
}

/// Returns a row with the figures that the verdict and the clients' statistics give; the other figures are 0.
fn client_figures(world: &World, clients: &[Clients]) -> Row {
    let verdict = world.verdict();
    let statistics = ClientStatistics::merged(clients.iter().map(Clients::statistics));
    let latencies = statistics.latencies_ms.iter();
    let in_time = latencies
        .filter(|latency| **latency <= OBJECTIVE_MS)
        .count();
    Row {
        in_time: in_time as f64 / verdict.requests.max(1) as f64,
        rejected: verdict.rejected,
        origin_fills: world.fills_at_origin(),
        mean_cold_load: 0.0,
        peak_cold_load: verdict.peak_cold_load,
        attempts_at_failed: 0,
        last_attempt_ms: 0.0,
        report_bytes_per_s: 0.0,
        guidance_bytes_per_s: 0.0,
        violations: verdict.violations.len(),
        median_ms: statistics.latency_quantile(0.5),
        p99_ms: statistics.latency_quantile(0.99),
    }
}
