//! Measures the cost of the control plane: memory and time of a planner that handles generated reports, the time of a
//! forwarder's reports, and the time of a request's decisions with and without guidance.
//! Run with `cargo run --release -p flaxdeck-control --example size`.

use std::time::Instant;

use flaxdeck::decision::DecisionEngine;
use flaxdeck::{
    AttemptEnded, AttemptIndex, AttemptOutcome, CellId, ClassId, DeploymentTerms, Endpoint,
    FillOutcome, GroupId, Health, HostId, ListKind, LoadReport, ObjectId, PeerHint, PeerHints,
    Repeats, Request, RequestClass, RequestId, Role, Sampled, SourceMeasurements, Span, Time,
    WarmupQuota, ZoneId,
};
use flaxdeck_control::forwarder::{ForwarderOptions, ForwarderSession};
use flaxdeck_control::membership::PlannerId;
use flaxdeck_control::messages::{
    Envelope, Epoch, Incarnation, LeaseReport, Measurements, Report, Sample, SlotId, Stamp,
};
use flaxdeck_control::planner::Planner;
use flaxdeck_control::{LeaseSchedule, LeaseTerms, QuotaFraction};
use flaxdeck_recovery::EventPosition;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Start time of the warming hosts, in milliseconds of Unix time.
const STARTED_MS: u64 = 999_000;

fn at(ms: u64) -> Time {
    Time::at_ms(1_000_000.0 + ms as f64)
}

fn lease_terms() -> LeaseTerms {
    LeaseTerms::new(Span::from_ms(3_000), Span::from_ms(1_200), 10)
}

/// Returns the resident memory of this process in MB; `None` if the system does not report it.
fn memory_mb() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace()
        .next()?
        .parse()
        .ok()
        .map(|kb: f64| kb / 1024.0)
}

fn host_name(n: u64) -> String {
    format!("s-{n:08x}")
}

fn generated_sample(n: u64) -> Sample {
    Sample {
        host: host_name(n),
        measurements: Measurements {
            latency_ms: Some(5.0 + n as f32 % 7.0),
            bandwidth: None,
        },
        measured_ago_ms: 50,
        last_success_ago_ms: Some(10),
        last_failure_ago_ms: None,
        in_flight: 2,
    }
}

/// Generates a lease report: three of four forwarders lend, the fourth demands.
fn generated_lease_report(host: u64, from: u64) -> LeaseReport {
    let lends = !from.is_multiple_of(4);
    let (deposit, demand) = if lends {
        (QuotaFraction(500), QuotaFraction::NONE)
    } else {
        (QuotaFraction::NONE, QuotaFraction(3_000))
    };
    LeaseReport {
        incarnation: Incarnation {
            host: host_name(host),
            started: STARTED_MS,
        },
        deposit,
        demand,
        in_flight: 1,
    }
}

fn generated_report(now: Time, round: u64, from: u64, hosts: u64, random: &mut Pcg64Mcg) -> Report {
    let samples = (0..20).map(|_| generated_sample(random.random_range(0..hosts)));
    let lease_reports = (0..hosts / 20)
        .take(40)
        .map(|n| generated_lease_report(n * 20, from));
    Report {
        envelope: Envelope {
            from: Epoch(from + 10),
            to: Epoch(1),
            number: round + 1,
            sent: Stamp::default(),
            echo: (round > 0).then(|| Stamp::of(now - Span::from_ms(200))),
        },
        slot: SlotId::NONE,
        last_event: EventPosition::NONE,
        subscribes: false,
        version: round * 1_000,
        zone: 0,
        link: None,
        lease_reports: lease_reports.collect(),
        samples: samples.collect(),
    }
}

fn measure_planner(forwarders: u64, hosts: u64) {
    let before = memory_mb().unwrap_or(0.0);
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut planner = Planner::start(at(0), Epoch(1), lease_terms(), QuotaFraction::NONE);
    for n in 0..hosts {
        // A twentieth of the hosts is warming up, as in a rolling deployment.
        let started = if n.is_multiple_of(20) { STARTED_MS } else { 0 };
        planner.update_host(at(0), &host_name(n), Some(started));
    }
    let (mut total_us, mut reports, mut max_us) = (0.0, 0u32, 0.0f64);
    for round in 0..10u64 {
        for from in 0..forwarders {
            let now = at(round * 200 + from * 200 / forwarders);
            let report = generated_report(now, round, from, hosts, &mut random);
            let start = Instant::now();
            if let Err(error) = planner.handle_report(now, &report) {
                panic!("generated report {round} of forwarder {from} rejected: {error}");
            }
            let elapsed_us = start.elapsed().as_secs_f64() * 1e6;
            total_us += elapsed_us;
            reports += 1;
            max_us = max_us.max(elapsed_us);
        }
    }
    let after = memory_mb().unwrap_or(0.0);
    let mean_us = total_us / f64::from(reports);
    println!(
        "planner, {forwarders} forwarders, {hosts} hosts: {:.1} MB, {mean_us:.1} us per report, \
         at most {max_us:.0} us, {:.0} % of a core at 5 reports per second and forwarder",
        after - before,
        mean_us * forwarders as f64 * 5.0 / 1e4,
    );
}

fn measure_reports(hosts: u64) {
    let (mut engine, _) = DecisionEngine::start(at(0), 1, terms());
    engine.list(at(0), ListKind::Full, endpoints(hosts));
    let options = ForwarderOptions {
        lease_terms: lease_terms(),
        reserve: 0.0,
        has_slot: true,
        slot: SlotId::NONE,
        unconfirmed_limit: None,
    };
    let mut forwarder = ForwarderSession::start(at(0), Epoch(1), options, 2);
    let start = Instant::now();
    const ROUNDS: u64 = 50;
    for n in 0..ROUNDS {
        let now = at(200 * n);
        let observations = engine.observations(now);
        forwarder.update_usage(now, &observations);
        for to in 0..2 {
            forwarder.report(now, PlannerId(to), &observations, EventPosition::NONE);
        }
        let hints = forwarder.hints(now);
        engine.apply_peer_hints(now, hints);
    }
    let elapsed_us = start.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64;
    println!(
        "forwarder, {hosts} hosts: {elapsed_us:.0} us for observations, two reports and hints to the engine, \
         5 times per second"
    );
}

fn terms() -> DeploymentTerms {
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
        max_retry_after: Span::from_ms(1000),
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
        purge_settles: Span::from_ms(2000),
        drain_grace: Span::from_ms(1000),
        purge_grace: Span::from_ms(500),
        sizes_are_claims: false,
        reports_link_load: true,
        may_poll_load: false,
    }
}

fn endpoints(hosts: u64) -> Vec<Endpoint> {
    let endpoint = |n: u64| Endpoint {
        host: HostId(format!("s-{n:08x}").into()),
        weight: 5.0,
        zone: Some(ZoneId(usize::from(n.is_multiple_of(10)))),
        cell: CellId(0),
        role: if n == 0 {
            Role::Origin
        } else if n.is_multiple_of(10) {
            Role::Parent
        } else {
            Role::Cache
        },
        health: Health::InService,
        started: n.is_multiple_of(20).then(|| at(0)),
    };
    (0..hosts).map(endpoint).collect()
}

fn peer_hints(now: Time, hosts: u64) -> PeerHints {
    let hint = |n: u64| PeerHint {
        host: HostId(host_name(n).into()),
        quota: n.is_multiple_of(20).then(|| WarmupQuota {
            started: Some(at(0)),
            fraction: 0.3,
        }),
        measurements: SourceMeasurements {
            latency: Some(8.0),
            bandwidth: None,
        },
        measured_at: Some(now - Span::from_ms(100)),
        down_at: None,
        last_success: Some(now - Span::from_ms(50)),
        window: None,
        others_in_flight: Some(Sampled {
            value: 3.0,
            at: now,
        }),
    };
    PeerHints {
        hints: (0..hosts).map(hint).collect(),
        unhinted_share: 1.0,
        link: None,
        list_trusted: true,
    }
}

/// Returns the mean time in microseconds of all decisions about a request, from its arrival to its end. Every request
/// is a hit.
fn decision_time_us(hosts: u64, guided: bool) -> f64 {
    let (mut engine, _) = DecisionEngine::start(at(0), 1, terms());
    engine.list(at(0), ListKind::Full, endpoints(hosts));
    const REQUESTS: u64 = 20_000;
    let mut total_s = 0.0;
    for n in 0..REQUESTS {
        let now = at(5_000 + n);
        if guided && n.is_multiple_of(200) {
            engine.apply_peer_hints(now, peer_hints(now, hosts));
        }
        let request = Request {
            id: RequestId(n),
            class: ClassId(0),
            object: ObjectId(n % 1_000),
            part: 0,
            group: GroupId(0),
            size_kb: Some(50.0),
            deadline: now + Span::from_ms(2_500),
            is_retry: false,
        };
        let start = Instant::now();
        let attempts = engine.request(now, request).attempts;
        for (index, attempt) in attempts.into_iter().enumerate() {
            let ended = AttemptEnded {
                request: attempt.request,
                index: AttemptIndex(index as u32),
                host: attempt.host,
                outcome: AttemptOutcome::Answered,
                took: Span::from_ms(5),
                closed: true,
                fill: FillOutcome::Hit,
                waited: None,
                actual_kb: None,
                unchanged: false,
                report: LoadReport::default(),
            };
            engine.attempt_ended(now, ended);
        }
        total_s += start.elapsed().as_secs_f64();
    }
    total_s * 1e6 / REQUESTS as f64
}

/// Compares the time of a lease schedule with that of a plain list of all promises.
fn measure_lease_schedule() {
    let measure_renewals =
        |add: &mut dyn FnMut(QuotaFraction, Time),
         amount_at: &mut dyn FnMut(Time) -> QuotaFraction| {
            let start = Instant::now();
            let mut sum = 0u64;
            for n in 0..100_000u64 {
                add(
                    QuotaFraction(1_000 + (n * 7 % 13) as u32),
                    at(n * 200 + 4_900),
                );
                sum += u64::from(amount_at(at(n * 200)).0);
            }
            (start.elapsed().as_secs_f64() * 1e4, sum)
        };
    let schedule = std::cell::RefCell::new(LeaseSchedule::default());
    let (schedule_ns, schedule_sum) = measure_renewals(
        &mut |amount, until| schedule.borrow_mut().add(amount, until),
        &mut |now| {
            schedule.borrow_mut().prune(now);
            schedule.borrow().amount_at(now)
        },
    );
    let list = std::cell::RefCell::new(Vec::new());
    let (list_ns, list_sum) = measure_renewals(
        &mut |amount, until| list.borrow_mut().push((until, amount)),
        &mut |now| {
            list.borrow_mut().retain(|(until, _)| *until > now);
            list.borrow()
                .iter()
                .map(|(_, amount)| *amount)
                .max()
                .unwrap_or_default()
        },
    );
    assert_eq!(
        schedule_sum, list_sum,
        "schedule and list give the same amounts"
    );
    println!(
        "a promise added and looked up: {schedule_ns:.0} ns in a schedule, {list_ns:.0} ns in a plain list"
    );
}

fn main() {
    for (forwarders, hosts) in [(10, 100), (100, 1_000), (1_000, 1_000), (1_000, 5_000)] {
        measure_planner(forwarders, hosts);
    }
    [10, 100, 1_000, 5_000]
        .into_iter()
        .for_each(measure_reports);
    for hosts in [10, 100, 1_000] {
        let (unguided_us, guided_us) = (
            decision_time_us(hosts, false),
            decision_time_us(hosts, true),
        );
        println!(
            "a request's decisions at {hosts} hosts: {unguided_us:.2} us without guidance, \
             {guided_us:.2} us with guidance"
        );
    }
    measure_lease_schedule();
}
