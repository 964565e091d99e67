//! `flaxdeck demo`: a whole small world on loopback, shown at work and at a loss.

use std::thread::sleep;
use std::time::Duration;

use flaxdeck_emulator::fleet::{Fault, Fleet, Setup};
use flaxdeck_emulator::{Clients, Kind, Layout, Load, World};

use crate::Stop;

/// The demo's course, in milliseconds from when clients begin.
const COLD_AT: f64 = 1_000.0;
const KILL_AT: f64 = 4_000.0;
const DRAIN_AT: f64 = 6_500.0;
const END: f64 = 10_000.0;
const FORWARDERS: usize = 3;

pub fn run(rate: f64, alone: bool, shown: bool) -> Result<(), Stop> {
    let binary =
        std::env::current_exe().map_err(|error| format!("no path of this program: {error}"))?;
    let world = World::start(Layout {
        forwarders: FORWARDERS,
        ..Layout::default()
    })?;
    let caches = world.hosts(Kind::Cache);
    let planners = if alone { 0 } else { 2 };
    let setup = Setup {
        shown,
        ..Setup::of(binary, planners, FORWARDERS)
    };
    let mut fleet = Fleet::start(world, setup)?;
    println!(
        "a world of {} caches, 2 parents, an origin and a coordinator, on loopback",
        caches.len()
    );
    println!(
        "{FORWARDERS} forwarders, {}",
        if alone { "no planner" } else { "2 planners" }
    );
    // Forwarders that have just started leave cold hosts alone for some seconds: they might have lent their shares.
    let begins = fleet.world.now() + 4_500.0;
    let load = Load {
        seed: 7,
        rates: vec![rate, rate / 3.0, rate / 10.0],
        objects: 2_000,
        power: 0.8,
        writes: 0.02,
        from_ms: begins,
        to_ms: begins + END,
        wait_ms: 2_500,
        names_from: 0,
    };
    let clients = fleet.world.clients(&fleet.addresses(), &load);
    let mut script = vec![
        (
            COLD_AT,
            "a cache starts anew, cold and empty",
            Fault::RestartHost(caches[0].clone()),
        ),
        (
            DRAIN_AT,
            "another cache drains",
            Fault::Drain(caches[1].clone()),
        ),
    ];
    if !alone {
        script.insert(1, (KILL_AT, "a planner is killed", Fault::KillPlanner(0)));
    }
    println!("\n     s    sent    served  rejected     failed  open");
    let mut script = script.into_iter().peekable();
    for second in 0..=(END / 1000.0) as u64 {
        let at = begins + second as f64 * 1000.0;
        while let Some((when, what, fault)) = script.next_if(|(when, ..)| begins + when <= at) {
            fleet.world.wait_until(begins + when);
            fleet.cause(&fault)?;
            println!("        {what}");
        }
        fleet.world.wait_until(at);
        let so_far = fleet.world.verdict();
        let (asked, ended) = (
            so_far.requests,
            so_far.served + so_far.rejected + so_far.failed + so_far.left,
        );
        let (served, rejected, failed) = (so_far.served, so_far.rejected, so_far.failed);
        println!(
            "{second:>6}  {asked:>6}  {served:>8}  {rejected:>8}  {failed:>9}  {:>4}",
            asked - ended
        );
    }
    finish(&fleet, &clients)
}

fn finish(fleet: &Fleet, clients: &Clients) -> Result<(), Stop> {
    let limit = fleet.world.now() + 4_000.0;
    while !clients.done() && fleet.world.now() < limit {
        sleep(Duration::from_millis(20));
    }
    let (verdict, told) = (fleet.world.verdict(), clients.told());
    let mut took = told.took;
    took.sort_by(f64::total_cmp);
    let at = |part: f64| {
        took.get((took.len() as f64 * part) as usize)
            .copied()
            .unwrap_or(0.0)
    };
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
        at(0.5),
        at(0.99)
    );
    println!("answers with wrong bytes           {:>8}", told.wrong_bytes);
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
    for breach in verdict.violations.iter().take(10) {
        println!(
            "  rule {} at {:.0} ms: {}",
            breach.rule, breach.at_ms, breach.description
        );
    }
    if verdict.violations.is_empty() && verdict.all_accounted_for() && told.wrong_bytes == 0 {
        Ok(())
    } else {
        Err(Stop(1, "the demo found something broken".into()))
    }
}
