//! `flaxdeck levels`: the same day with planners and without, side by side, on loopback.

use std::thread::sleep;
use std::time::Duration;

use flaxdeck_emulator::fleet::{Fault, Fleet, Setup};
use flaxdeck_emulator::{FailureMode, Kind, Layout, Load, World};
use flaxdeck_invariants::{RecordEntry, RecordedEvent, SamplingPeriod, mean_cold_load};

use crate::Stop;

/// The day's course, in milliseconds from when clients begin.
const COLD_AT: f64 = 1_000.0;
const FAILS_AT: f64 = 9_000.0;
const MENDED_AT: f64 = 13_000.0;
const END: f64 = 15_000.0;
/// The promise of the stand-ins' pages, in milliseconds.
const IN_TIME: f64 = 400.0;

/// Of its capacity, what a cold cache bears.
const FACTOR: f64 = 2.0;

struct Row {
    in_time: f64,
    rejected: u64,
    origin_fills: u64,
    cold_use: f64,
    cold_most: f64,
    failed_offs: usize,
    last_off: f64,
    bytes: [f64; 2],
    breaches: usize,
    median: f64,
    tail: f64,
}

pub fn run(forwarders: &[usize], rate: f64, runs: u64, seed: u64) -> Result<(), Stop> {
    println!(
        "forwarders  planners  seed  in time  rejected  origin  cold use  cold most  at failed parent  last, ms  \
         reports, B/s  guidance, B/s  median, ms  99th, ms  broken"
    );
    let mut broken = 0;
    for count in forwarders {
        for seed in seed..seed + runs {
            for planners in [0, 2] {
                let row = play(*count, planners, rate, seed)?;
                println!(
                    "{count:>10}  {planners:>8}  {seed:>4}  {:>7.4}  {:>7}  {:>6}  {:>8.3}  {:>9.3}  {:>16}  {:>8.0}  {:>12.0}  {:>13.0}  {:>10.1}  {:>8.1}  {:>6}",
                    row.in_time,
                    row.rejected,
                    row.origin_fills,
                    row.cold_use,
                    row.cold_most,
                    row.failed_offs,
                    row.last_off,
                    row.bytes[0],
                    row.bytes[1],
                    row.median,
                    row.tail,
                    row.breaches,
                );
                broken += row.breaches;
            }
        }
    }
    if broken == 0 {
        Ok(())
    } else {
        Err(Stop(1, format!("{broken} times a rule was broken")))
    }
}

fn play(forwarders: usize, planners: usize, rate: f64, seed: u64) -> Result<Row, Stop> {
    let binary =
        std::env::current_exe().map_err(|error| format!("no path of this program: {error}"))?;
    let layout = Layout {
        factor: FACTOR,
        caches: 3,
        parents: 3,
        forwarders,
        cold_from: 0.15,
        cache_places: 24.0,
        warm_within_ms: 60_000.0,
        ..Layout::default()
    };
    let world = World::start(layout)?;
    let (cache, parent) = (
        world.hosts(Kind::Cache)[0].clone(),
        world.hosts(Kind::Parent)[0].clone(),
    );
    let mut fleet = Fleet::start(world, Setup::of(binary, planners, forwarders))?;
    let begins = fleet.world.now() + 4_800.0;
    // Nine tenths of the load come to one forwarder.
    let others = rate * 0.1 / (forwarders.max(2) - 1) as f64;
    let rates: Vec<f64> = (0..forwarders)
        .map(|n| if n == 0 { rate * 0.9 } else { others })
        .collect();
    let load = Load {
        seed,
        rates,
        objects: 600,
        power: 0.9,
        writes: 0.0,
        from_ms: begins,
        to_ms: begins + END,
        wait_ms: 2_500,
        names_from: 0,
    };
    let clients = fleet.world.clients(&fleet.addresses(), &load);
    // Objects asked for once, evenly at all forwarders, so that each needs its parents.
    let rare = Load {
        seed: seed + 1,
        rates: vec![rate * 0.15 / forwarders as f64],
        objects: 1_000_000,
        power: 0.0,
        from_ms: begins + FAILS_AT - 500.0,
        names_from: 100_000,
        ..load
    };
    let rare = fleet.world.clients(&fleet.addresses(), &rare);
    fleet.world.wait_until(begins);
    let before = fleet.spoken();
    let script = [
        (begins + COLD_AT, Fault::RestartHost(cache.clone())),
        (
            begins + FAILS_AT,
            Fault::HostManner(parent.clone(), FailureMode::Fail),
        ),
        (
            begins + MENDED_AT,
            Fault::HostManner(parent.clone(), FailureMode::Serve),
        ),
    ];
    fleet.play(&script)?;
    let limit = fleet.world.now() + 10_000.0;
    while !(clients.done() && rare.done()) && fleet.world.now() < limit {
        sleep(Duration::from_millis(20));
    }
    let seconds = (fleet.world.now() - begins) / 1000.0;
    let after = fleet.spoken();
    let (verdict, record) = (fleet.world.verdict(), fleet.world.record());
    let mut took = [clients.told().took, rare.told().took].concat();
    took.sort_by(f64::total_cmp);
    let at = |part: f64| {
        took.get((took.len() as f64 * part) as usize)
            .copied()
            .unwrap_or(0.0)
    };
    let failing = (begins + FAILS_AT)..(begins + MENDED_AT);
    let arrived = |entry: &&RecordEntry| {
        failing.contains(&entry.at_ms)
            && matches!(&entry.event, RecordedEvent::WorkArrived { host } if *host == parent)
    };
    let offs: Vec<f64> = record
        .iter()
        .filter(arrived)
        .map(|entry| entry.at_ms - failing.start)
        .collect();
    let terms = fleet.world.terms();
    let until = begins + FAILS_AT;
    let period = SamplingPeriod {
        after_start_ms: 3_000.0,
        until_ms: until,
        step_ms: 50.0,
    };
    let cold_use = mean_cold_load(&terms, &record, &cache, period) * FACTOR;
    let each = |way: usize| (after[way] - before[way]) as f64 / seconds / forwarders as f64;
    Ok(Row {
        in_time: took.iter().filter(|took| **took <= IN_TIME).count() as f64
            / verdict.requests.max(1) as f64,
        rejected: verdict.rejected,
        origin_fills: fleet.world.fills_at_origin(),
        cold_use,
        cold_most: verdict.peak_cold_load,
        failed_offs: offs.len(),
        last_off: offs
            .iter()
            .copied()
            .filter(|at| *at < 3_500.0)
            .fold(0.0, f64::max),
        bytes: [each(0), each(1)],
        breaches: verdict.violations.len(),
        median: at(0.5),
        tail: at(0.99),
    })
}
