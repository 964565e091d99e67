//! Forwarders and planners, as processes on loopback, after an outage of the coordinator that is slow to send what
//! happened meanwhile: nothing that a planner or the coordinator leaves unsaid confirms the endpoint list.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod clients;

use std::path::PathBuf;
use std::time::Duration;

use clients::wait_until_done;
use flaxdeck_emulator::fleet::{Fault, Fleet, Setup};
use flaxdeck_emulator::{Clients, HostKind, Layout, Load, World};
use flaxdeck_invariants::{FinalAnswer, RecordedEvent};

/// When an event is in force by the protocol, whether or not it has arrived, and the grace for drains after it.
const MAX_EVENT_DELAY_MS: f64 = 7_000.0;
const DRAIN_GRACE_MS: f64 = 1_000.0;
const PURGE_GRACE_MS: f64 = 500.0;
/// The most popular object of the clients' load.
const MOST_POPULAR: &str = "9e3779b97f4a7c15";
/// By how much each limit is longer on sockets.
const SOCKET_ALLOWANCE_MS: f64 = 50.0;
/// The coordinator's heartbeat interval, and what is left for connecting to it and for its delay.
const SERVED_WITHIN_MS: f64 = 1_000.0 + 1_500.0;

/// An outage, and the backlog that the coordinator sends after it.
struct Outage {
    length_ms: f64,
    pace_ms: f64,
}

/// Plays an outage in which a host drains and the most popular object is purged as the last of several events. Checks
/// that neither the host gets anything new nor an older copy of the object is served once these events are in force. Returns the fraction of the requests that were served once the coordinator has sent everything.
fn play(setup: Setup, outage: &Outage) -> f64 {
    let forwarders = setup.forwarders;
    let world = World::start(Layout {
        forwarders,
        purge_grace_ms: PURGE_GRACE_MS,
        ..Layout::default()
    })
    .unwrap();
    let mut fleet = Fleet::start(world, setup).unwrap();
    let caches = fleet.world.hosts(HostKind::Cache);
    let start_ms = fleet.world.now() + 1_500.0;
    let drained_ms = start_ms + 300.0;
    let purged_ms = drained_ms + 50.0;
    let returned_ms = start_ms + outage.length_ms;
    let backlog_sent_ms = returned_ms + 5.0 * outage.pace_ms;
    let measured_from_ms = backlog_sent_ms + SERVED_WITHIN_MS;
    let end_ms = measured_from_ms + 2_000.0;
    let clients = start_clients(&fleet, start_ms, end_ms);
    let pace = Duration::from_secs_f64(outage.pace_ms / 1_000.0);
    let mut script = vec![
        (start_ms, Fault::SilenceCoordinator(true)),
        (start_ms, Fault::PaceCoordinator(pace)),
    ];
    let unpopular = format!("{:016x}", 77);
    script.extend((1..=3).map(|n| {
        let at_ms = start_ms + 50.0 * f64::from(n);
        (at_ms, Fault::Purge(unpopular.clone()))
    }));
    script.push((drained_ms, Fault::Drain(caches[0].clone())));
    script.push((purged_ms, Fault::Purge(MOST_POPULAR.into())));
    script.push((returned_ms, Fault::SilenceCoordinator(false)));
    fleet.play(&script).unwrap();
    wait_until_done(&fleet, || clients.is_done());
    assert_eq!(clients.statistics().wrong_bytes, 0);
    let in_force_ms = drained_ms + MAX_EVENT_DELAY_MS + DRAIN_GRACE_MS + SOCKET_ALLOWANCE_MS;
    let late = work_arrived(&fleet, &caches[0], in_force_ms);
    assert_eq!(
        late,
        Vec::<f64>::new(),
        "the draining host got requests this late, in ms: {:#?}",
        fleet.lines()
    );
    let in_force_ms = purged_ms + MAX_EVENT_DELAY_MS + PURGE_GRACE_MS + SOCKET_ALLOWANCE_MS;
    let late = purged_copies_served(&fleet, purged_ms, in_force_ms);
    assert_eq!(
        late,
        Vec::<f64>::new(),
        "purged copies were served to requests sent this late, in ms"
    );
    served_fraction(&fleet, measured_from_ms)
}

fn start_clients(fleet: &Fleet, from_ms: f64, to_ms: f64) -> Clients {
    let load = Load {
        seed: 11,
        requests_per_s: vec![50.0],
        objects: 300,
        popularity_exponent: 0.8,
        write_fraction: 0.02,
        from_ms,
        to_ms,
        timeout_ms: 2_500,
        first_connection: 0,
    };
    fleet.world.clients(&fleet.addresses(), &load)
}

/// Returns how long after a time each later attempt arrived at a host.
fn work_arrived(fleet: &Fleet, drained: &str, after_ms: f64) -> Vec<f64> {
    let record = fleet.world.record();
    let late = record.iter().filter(|entry| {
        entry.at_ms > after_ms
            && matches!(&entry.event, RecordedEvent::WorkArrived { host, .. } if host == drained)
    });
    late.map(|entry| entry.at_ms - after_ms).collect()
}

/// Returns how long after a time each request was sent that was answered from a copy older than the purge.
fn purged_copies_served(fleet: &Fleet, purged_ms: f64, after_ms: f64) -> Vec<f64> {
    let record = fleet.world.record();
    let late = record.iter().filter_map(|entry| match &entry.event {
        RecordedEvent::CopyServed {
            object,
            sent_ms,
            made_ms,
        } if object == MOST_POPULAR && *made_ms < purged_ms && *sent_ms > after_ms => {
            Some(sent_ms - after_ms)
        }
        _ => None,
    });
    late.collect()
}

/// Returns the fraction of the requests sent from a time on that were served.
fn served_fraction(fleet: &Fleet, from_ms: f64) -> f64 {
    let record = fleet.world.record();
    let sent: Vec<&String> = record
        .iter()
        .filter(|entry| entry.at_ms >= from_ms)
        .filter_map(|entry| match &entry.event {
            RecordedEvent::RequestSent { request, .. } => Some(request),
            _ => None,
        })
        .collect();
    let served = record.iter().filter(|entry| {
        matches!(&entry.event, RecordedEvent::Answered { request, answer }
            if *answer == FinalAnswer::Served && sent.contains(&request))
    });
    served.count() as f64 / sent.len().max(1) as f64
}

fn setup(planners: usize, plan_forms: &'static str) -> Setup {
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_flaxdeck"));
    Setup {
        guided: true,
        plan_forms,
        ..Setup::new(binary, planners, 2)
    }
}

const LONG_OUTAGE: Outage = Outage {
    length_ms: 8_600.0,
    pace_ms: 500.0,
};

// Guards against a forwarder that takes a pause in a slow backlog for its end, and sends to a host that drains.
#[test]
fn forwarder_without_planners_is_not_confirmed_by_a_slow_backlog() {
    let served = play(setup(0, ""), &LONG_OUTAGE);
    assert!(served > 0.97, "fraction {served} served after the backlog");
}

// Guards against a planner that takes such a pause for the end, and confirms the lists of its forwarders.
#[test]
fn planner_does_not_confirm_lists_by_a_slow_backlog() {
    let served = play(setup(1, ""), &LONG_OUTAGE);
    assert!(served > 0.97, "fraction {served} served after the backlog");
}

// The same where the planner delivers the events in batches.
#[test]
fn planner_with_batches_does_not_confirm_lists_by_a_slow_backlog() {
    let served = play(
        setup(1, "(events (by digest) (batch-ms 150))"),
        &LONG_OUTAGE,
    );
    assert!(served > 0.97, "fraction {served} served after the backlog");
}
