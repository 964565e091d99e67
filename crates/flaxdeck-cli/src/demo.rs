//! `flaxdeck demo`: runs a small world of stand-ins and real processes on loopback, injects faults, and reports what
//! became of every request.

use std::thread::sleep;
use std::time::Duration;

use flaxdeck_emulator::fleet::{Fault, Fleet, Setup};
use flaxdeck_emulator::{ClientStatistics, Clients, HostKind, Layout, Load, World};
use flaxdeck_invariants::Verdict;

use crate::exit::{self, ExitError};

/// When a cache restarts cold, in milliseconds from the start of the clients.
const CACHE_RESTART_MS: f64 = 1_000.0;
/// When a planner is killed, in milliseconds from the start of the clients.
const PLANNER_KILL_MS: f64 = 4_000.0;
/// When another cache starts to drain, in milliseconds from the start of the clients.
const DRAIN_MS: f64 = 6_500.0;
/// When the clients stop sending requests, in milliseconds from their start.
const END_MS: f64 = 10_000.0;
/// Wait before the clients start. A forwarder does not use its quotas of cold hosts for some seconds after its start,
/// since an earlier run of it may have lent them.
const STARTUP_WAIT_MS: f64 = 4_500.0;
/// Longest wait for the answers to the clients' last requests.
const MAX_CLIENT_WAIT_MS: f64 = 4_000.0;
const FORWARDERS: usize = 3;
const PLANNERS: usize = 2;
/// Maximum number of violations that are printed.
const PRINTED_VIOLATIONS: usize = 10;

/// A scheduled fault and the line that announces it.
struct Step {
    /// Milliseconds from the start of the clients.
    at_ms: f64,
    description: &'static str,
    fault: Fault,
}

/// Runs the demo and prints a line for each second, then a table of the results.
pub(crate) fn run(rate: f64, alone: bool, show_logs: bool) -> Result<(), ExitError> {
    let world = World::start(Layout {
        forwarders: FORWARDERS,
        ..Layout::default()
    })
    .map_err(ExitError::failed)?;
    let caches = world.hosts(HostKind::Cache);
    let planners = if alone { 0 } else { PLANNERS };
    let setup = Setup {
        shows_logs: show_logs,
        ..Setup::new(exit::own_binary()?, planners, FORWARDERS)
    };
    let mut fleet = Fleet::start(world, setup).map_err(ExitError::failed)?;
    println!(
        "a world of {} caches, 2 parents, an origin and a coordinator, on loopback",
        caches.len()
    );
    let planners_text = if alone { "no planner" } else { "2 planners" };
    println!("{FORWARDERS} forwarders, {planners_text}");
    let start_ms = fleet.world.now() + STARTUP_WAIT_MS;
    let clients = fleet
        .world
        .clients(&fleet.addresses(), &load(rate, start_ms));
    play(&mut fleet, steps(&caches, alone), start_ms)?;
    let limit = fleet.world.now() + MAX_CLIENT_WAIT_MS;
    while !clients.is_done() && fleet.world.now() < limit {
        sleep(Duration::from_millis(20));
    }
    print_results(&fleet, &clients)
}

fn load(rate: f64, start_ms: f64) -> Load {
    Load {
        seed: 7,
        requests_per_s: vec![rate, rate / 3.0, rate / 10.0],
        objects: 2_000,
        popularity_exponent: 0.8,
        write_fraction: 0.02,
        from_ms: start_ms,
        to_ms: start_ms + END_MS,
        timeout_ms: 2_500,
        first_connection: 0,
    }
}

/// Returns the demo's faults in the order of their times.
fn steps(caches: &[String], alone: bool) -> Vec<Step> {
    let mut steps = vec![Step {
        at_ms: CACHE_RESTART_MS,
        description: "a cache starts anew, cold and empty",
        fault: Fault::RestartHost(caches[0].clone()),
    }];
    if !alone {
        steps.push(Step {
            at_ms: PLANNER_KILL_MS,
            description: "a planner is killed",
            fault: Fault::KillPlanner(0),
        });
    }
    steps.push(Step {
        at_ms: DRAIN_MS,
        description: "another cache drains",
        fault: Fault::Drain(caches[1].clone()),
    });
    steps
}

/// Injects the faults at their times and prints the request counts of each second.
fn play(fleet: &mut Fleet, steps: Vec<Step>, start_ms: f64) -> Result<(), ExitError> {
    println!("\n     s    sent    served  rejected     failed  open");
    let mut steps = steps.into_iter().peekable();
    for second in 0..=(END_MS / 1000.0) as u64 {
        let at = start_ms + second as f64 * 1000.0;
        while let Some(step) = steps.next_if(|step| start_ms + step.at_ms <= at) {
            fleet.world.wait_until(start_ms + step.at_ms);
            fleet.inject(&step.fault).map_err(ExitError::failed)?;
            println!("        {}", step.description);
        }
        fleet.world.wait_until(at);
        let verdict = fleet.world.verdict();
        let sent = verdict.requests;
        let (served, rejected, failed) = (verdict.served, verdict.rejected, verdict.failed);
        let in_flight = sent - (served + rejected + failed + verdict.left);
        println!("{second:>6}  {sent:>6}  {served:>8}  {rejected:>8}  {failed:>9}  {in_flight:>4}");
    }
    Ok(())
}

fn print_results(fleet: &Fleet, clients: &Clients) -> Result<(), ExitError> {
    let verdict = fleet.world.verdict();
    let statistics = clients.statistics();
    print_requests(&verdict, &statistics);
    println!(
        "fills at the origin                {:>8}",
        fleet.world.fills_at_origin()
    );
    println!(
        "latest work after a drain          {:>8.0} ms, 1000 allowed",
        verdict.latest_arrival
    );
    println!(
        "most asked of a cold host          {:>8.2} of what it bears",
        verdict.peak_cold_load
    );
    println!(
        "rules broken                       {:>8}",
        verdict.violations.len()
    );
    for violation in verdict.violations.iter().take(PRINTED_VIOLATIONS) {
        println!(
            "  rule {} at {:.0} ms: {}",
            violation.rule, violation.at_ms, violation.description
        );
    }
    if verdict.violations.is_empty() && verdict.all_accounted_for() && statistics.wrong_bytes == 0 {
        Ok(())
    } else {
        Err(ExitError::failed(
            "the demo failed: a rule was broken, a request is unaccounted for, or an answer held wrong bytes",
        ))
    }
}

fn print_requests(verdict: &Verdict, statistics: &ClientStatistics) {
    let accounted = if verdict.all_accounted_for() {
        "all accounted for"
    } else {
        "SOME UNACCOUNTED FOR"
    };
    println!(
        "\nrequests sent                     {:>8}",
        verdict.requests
    );
    println!("  served                           {:>8}", verdict.served);
    println!(
        "  rejected, with a time to come back {:>6}",
        verdict.rejected
    );
    println!("  failed                           {:>8}", verdict.failed);
    println!(
        "  left by clients                  {:>8}   {accounted}",
        verdict.left
    );
    println!(
        "time of an answer, median and 99th {:>8.1} {:.1} ms",
        statistics.latency_quantile(0.5),
        statistics.latency_quantile(0.99)
    );
    println!(
        "answers with wrong bytes           {:>8}",
        statistics.wrong_bytes
    );
}
