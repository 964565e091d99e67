//! Measures the time that all decisions about one request take, with the hosts of one region and of the whole fleet in
//! the endpoint list, and with and without the target's rate of purges. Prints result rows in the form of the scale
//! runs, which measure no decisions. On an otherwise idle machine:
//!
//!     cargo run --release -p flaxdeck-scale --example decisions -- docs/capacity/target.plan > docs/capacity/runs/decisions.csv

use std::error::Error;
use std::path::Path;
use std::time::Instant;

use flaxdeck::decision::DecisionEngine;
use flaxdeck::{
    Attempt, AttemptEnded, AttemptIndex, AttemptOutcome, CellId, ClassId, DeploymentTerms,
    Endpoint, FillOutcome, GroupId, Health, HostId, ListKind, LoadReport, ObjectId, Repeats,
    Request, RequestClass, RequestId, Role as HostRole, Span, Time, ZoneId,
};
use flaxdeck_scale::files;
use flaxdeck_scale::fit::NO_FAULT;
use flaxdeck_scale::measurement::{DECISIONS_RUN, Distribution, Measurement, Metric, Role};
use flaxdeck_scale::target::{self, Target};

/// Number of runs of each point, each with a seed of its own.
const RUNS: u64 = 3;
/// Number of requests per run whose decisions are timed.
const TIMED_REQUESTS: u64 = 2_000;
/// Number of requests before the timed ones, for warm-up.
const WARM_UP_REQUESTS: u64 = 200;
/// Number of objects that the requests cycle through.
const OBJECTS: u64 = 1_000;
/// Numbers of purged objects start above this one, so that no request is for one of them.
const PURGED_OBJECTS_START: u64 = 1_000_000;
/// One in this many hosts is a parent.
const HOSTS_PER_PARENT: u64 = 10;
/// One in this many hosts is cold.
const HOSTS_PER_COLD_HOST: u64 = 20;

fn main() -> Result<(), Box<dyn Error>> {
    let file = std::env::args()
        .nth(1)
        .ok_or("missing argument: the path of the target file")?;
    let text = files::read_text(Path::new(&file))?;
    let target =
        target::read(&file, &text).map_err(flaxdeck_scale::error::CapacityError::Target)?;
    let mut rows = Vec::new();
    for hosts in [target.hosts_per_region().round(), target.hosts] {
        for purges_per_s in [0.0, target.purges_per_s] {
            for seed in 1..=RUNS {
                let value = decision_micros(&target, hosts as u64, purges_per_s, seed);
                rows.push(row(hosts as u32, purges_per_s, seed, value));
            }
        }
    }
    print!("{}", files::table_text(&rows)?);
    Ok(())
}

fn row(hosts: u32, purges_per_s: f64, seed: u64, value: f64) -> Measurement {
    Measurement {
        run: format!("{DECISIONS_RUN}-{seed}"),
        seed,
        distribution: Distribution::EachEvent,
        hollow_forwarders: 0,
        hosts,
        purges_per_s,
        planners: 0,
        fault: NO_FAULT.to_owned(),
        role: Role::Dispatcher,
        metric: Metric::DecisionMicros,
        kind: format!("hosts={hosts} purges={purges_per_s}"),
        value,
    }
}

/// Events at a constant rate.
struct Schedule {
    every_ms: f64,
    next_ms: f64,
    happened: u64,
}

impl Schedule {
    fn new(per_s: f64) -> Schedule {
        let every_ms = 1e3 / per_s;
        Schedule {
            every_ms,
            next_ms: every_ms,
            happened: 0,
        }
    }

    /// Returns the number of the next event, counted from 1, if it is due by `now_ms`.
    fn due(&mut self, now_ms: f64) -> Option<u64> {
        (self.next_ms <= now_ms).then(|| {
            self.next_ms += self.every_ms;
            self.happened += 1;
            self.happened
        })
    }
}

fn at(ms: f64) -> Time {
    Time::at_ms(1_000_000.0 + ms)
}

/// Returns the mean time in microseconds of all decisions about a request, from its arrival to the end of its attempts.
/// Requests arrive at the mean rate of a dispatcher, and every one is a hit.
fn decision_micros(target: &Target, hosts: u64, purges_per_s: f64, seed: u64) -> f64 {
    let settles_ms = 1e3 * target.purge_within_s;
    let (mut engine, _) = DecisionEngine::start(at(0.0), seed, terms(settles_ms));
    engine.list(at(0.0), ListKind::Full, endpoints(hosts));
    let mut purges = Schedule::new(purges_per_s);
    let mut ticks = Schedule::new(1.0);
    let each_ms = 1e3 / target.mean_requests_per_s();
    // Starts one purge grace after 0, so that the first requests find as many unsettled purges as all later ones.
    let mut now_ms = settles_ms;
    let mut spent_s = 0.0;
    for request in 0..WARM_UP_REQUESTS + TIMED_REQUESTS {
        now_ms += each_ms;
        while let Some(number) = purges.due(now_ms) {
            let made = at(purges.next_ms - purges.every_ms);
            engine.purge(
                at(now_ms),
                Some(ObjectId(PURGED_OBJECTS_START + number)),
                GroupId(1),
                made,
            );
        }
        while ticks.due(now_ms).is_some() {
            engine.wake(at(now_ms));
        }
        let elapsed_s = timed_request(&mut engine, at(now_ms), request);
        spent_s += if request >= WARM_UP_REQUESTS {
            elapsed_s
        } else {
            0.0
        };
    }
    spent_s * 1e6 / TIMED_REQUESTS as f64
}

/// Returns the time in seconds of all decisions about one request.
fn timed_request(engine: &mut DecisionEngine, now: Time, number: u64) -> f64 {
    let request = Request {
        id: RequestId(number),
        class: ClassId(0),
        object: ObjectId(number % OBJECTS),
        part: 0,
        group: GroupId(0),
        size_kb: Some(50.0),
        deadline: now + Span::from_ms(2_500),
        is_retry: false,
    };
    let begun = Instant::now();
    let attempts = engine.request(now, request).attempts;
    for (index, attempt) in attempts.into_iter().enumerate() {
        engine.attempt_ended(now, hit(attempt, index as u32));
    }
    begun.elapsed().as_secs_f64()
}

fn hit(attempt: Attempt, index: u32) -> AttemptEnded {
    AttemptEnded {
        request: attempt.request,
        index: AttemptIndex(index),
        host: attempt.host,
        outcome: AttemptOutcome::Answered,
        took: Span::from_ms(5),
        closed: true,
        fill: FillOutcome::Hit,
        waited: None,
        actual_kb: None,
        unchanged: false,
        report: LoadReport::default(),
    }
}

fn endpoints(hosts: u64) -> Vec<Endpoint> {
    let line = |number: u64| Endpoint {
        host: HostId(format!("s-{number:08x}").into()),
        weight: 5.0,
        zone: Some(ZoneId(usize::from(number.is_multiple_of(HOSTS_PER_PARENT)))),
        cell: CellId(0),
        role: role(number),
        health: Health::InService,
        started: number.is_multiple_of(HOSTS_PER_COLD_HOST).then(|| at(0.0)),
    };
    (0..hosts).map(line).collect()
}

fn role(number: u64) -> HostRole {
    match number {
        0 => HostRole::Origin,
        parent if parent.is_multiple_of(HOSTS_PER_PARENT) => HostRole::Parent,
        _ => HostRole::Cache,
    }
}

/// Returns the terms of `flaxdeck-control`'s example `size`, except for the purge grace.
fn terms(settles_ms: f64) -> DeploymentTerms {
    let class = RequestClass {
        objective: Span::from_ms(500),
        stretch: 2.0,
        repeats: Repeats::Idempotent,
        goes_through: false,
        parted: false,
        fresh: None,
        stale_grace: Span::ZERO,
    };
    DeploymentTerms {
        classes: vec![class],
        zone: ZoneId(0),
        zone_dispatchers: vec![8, 0],
        dispatchers: 8,
        tick: Span::from_ms(2),
        may_cancel: true,
        may_duplicate: true,
        may_set_retry_after: true,
        max_retry_after: Span::from_ms(1_000),
        most_attempts: 6,
        cold_from: 0.2,
        warm_within: Span::from_ms(60_000),
        overload_factor: 2.0,
        overload_window: Span::from_ms(3_000),
        parent_cold_from: 0.1,
        parent_warm_within: Span::from_ms(60_000),
        parent_overload_factor: 2.0,
        direct: true,
        joins: false,
        client_kb_per_s: 11_000.0,
        purge_settles: Span::of_ms(settles_ms),
        drain_grace: Span::from_ms(1000),
        purge_grace: Span::from_ms(500),
        sizes_are_claims: true,
        reports_link_load: true,
        may_poll_load: false,
    }
}
