//! Reports and guidance of a forwarder that receives events by a subscription: reports are sent less often, and both
//! are limited in size.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use flaxdeck::{
    CompleteAsOf, CoordinatorKnowledge, HostId, Observation, SourceMeasurements, Span, Time,
    WarmupUsage,
};
use flaxdeck_control::forwarder::{ForwarderOptions, ForwarderSession};
use flaxdeck_control::membership::PlannerId;
use flaxdeck_control::messages::{Epoch, MAX_ROUTINE_RATINGS, RelayedEvent, SlotId};
use flaxdeck_control::planner::Planner;
use flaxdeck_control::{LeaseTerms, QuotaFraction};
use flaxdeck_recovery::EventPosition;

const SUBSCRIBED: PlannerId = PlannerId(0);
const OTHER: PlannerId = PlannerId(1);
const IDLE_INTERVAL: Span = Span::from_ms(1_500);
const HOSTS: u32 = 20;

fn at(ms: u64) -> Time {
    Time::at_ms(1_000_000.0 + ms as f64)
}

fn lease_terms() -> LeaseTerms {
    LeaseTerms::new(Span::from_ms(3_000), Span::from_ms(1_200), 10)
}

fn forwarder(epoch: u64) -> ForwarderSession {
    let options = ForwarderOptions {
        lease_terms: lease_terms(),
        reserve: 0.0,
        has_slot: true,
        slot: SlotId(epoch),
        unconfirmed_limit: Some(Span::from_ms(2_500)),
    };
    let mut forwarder = ForwarderSession::start(at(0), Epoch(epoch), options, 2);
    forwarder.suppress_reports(IDLE_INTERVAL);
    forwarder.set_subscribed_to(Some(SUBSCRIBED));
    forwarder
}

fn host(n: u32) -> HostId {
    HostId(format!("s-{n:08x}").into())
}

fn observation(n: u32, measured_at: Option<Time>, failed_at: Option<Time>) -> Observation {
    Observation {
        host: host(n),
        started: None,
        measurements: SourceMeasurements {
            latency: measured_at.map(|_| 10.0 + f64::from(n)),
            bandwidth: None,
        },
        measured_at,
        last_success: measured_at,
        last_failure: failed_at,
        in_flight: 0.0,
        warmup: None,
    }
}

fn all_measured(now: Time) -> Vec<Observation> {
    (0..HOSTS)
        .map(|n| observation(n, Some(now), None))
        .collect()
}

fn planner() -> Planner {
    let mut planner = Planner::start(at(0), Epoch(1), lease_terms(), QuotaFraction::NONE);
    for n in 0..HOSTS {
        planner.update_host(at(0), &host(n).0, Some(0));
    }
    planner
}

/// Exchanges one report to the planner subscribed to and its guidance, without delay. Returns the number of ratings in
/// the guidance.
fn round_trip(
    now: Time,
    forwarder: &mut ForwarderSession,
    planner: &mut Planner,
    observations: &[Observation],
) -> usize {
    let report = forwarder.report(now, SUBSCRIBED, observations, EventPosition::NONE);
    let guidance = planner.handle_report(now, &report).unwrap();
    let ratings = guidance.ratings.len();
    assert!(guidance.events.is_empty());
    forwarder
        .apply_guidance(now, SUBSCRIBED, guidance, EventPosition::NONE)
        .unwrap();
    ratings
}

#[test]
fn report_is_due_after_the_idle_interval_and_at_once_for_a_failure_or_a_warming_host() {
    let (mut forwarder, mut planner) = (forwarder(10), planner());
    assert!(
        forwarder.is_report_due(at(0), SUBSCRIBED, &[]),
        "the first report is always due"
    );
    round_trip(at(0), &mut forwarder, &mut planner, &[]);
    let without_failure = all_measured(at(100));
    assert!(!forwarder.is_report_due(at(200), SUBSCRIBED, &without_failure));
    assert!(!forwarder.is_report_due(at(1_499), SUBSCRIBED, &without_failure));
    assert!(forwarder.is_report_due(at(1_500), SUBSCRIBED, &without_failure));
    let failed = [observation(3, None, Some(at(150)))];
    assert!(forwarder.is_report_due(at(200), SUBSCRIBED, &failed));
    let usage = WarmupUsage {
        equal_share: 0.5,
        used: 0.0,
        unmet: 0.0,
    };
    let warming = [Observation {
        warmup: Some(usage),
        ..observation(3, None, None)
    }];
    assert!(forwarder.is_report_due(at(200), SUBSCRIBED, &warming));
    round_trip(at(200), &mut forwarder, &mut planner, &failed);
    assert!(
        !forwarder.is_report_due(at(400), SUBSCRIBED, &failed),
        "a failure is reported once"
    );
}

#[test]
fn samples_rotate_to_the_subscribed_planner_and_failures_go_to_all() {
    let mut forwarder = forwarder(10);
    let mut reported_hosts: Vec<String> = Vec::new();
    for round in 1..=10 {
        let now = at(round * 1_500);
        let report = forwarder.report(now, SUBSCRIBED, &all_measured(now), EventPosition::NONE);
        assert_eq!(report.samples.len(), MAX_ROUTINE_RATINGS);
        reported_hosts.extend(report.samples.into_iter().map(|sample| sample.host));
        assert!(
            forwarder
                .report(now, OTHER, &all_measured(now), EventPosition::NONE)
                .samples
                .is_empty()
        );
    }
    reported_hosts.sort();
    reported_hosts.dedup();
    assert_eq!(
        reported_hosts.len(),
        HOSTS as usize,
        "every host has its turn"
    );
    let now = at(20_000);
    let mut observations = all_measured(now);
    observations[7].last_failure = Some(now);
    let report = forwarder.report(now, OTHER, &observations, EventPosition::NONE);
    assert_eq!(
        report
            .samples
            .iter()
            .map(|sample| &*sample.host)
            .collect::<Vec<_>>(),
        [&*host(7).0]
    );
}

#[test]
fn ratings_are_limited_and_hosts_that_are_down_come_first() {
    let (mut planner, mut one, mut other, mut late) =
        (planner(), forwarder(10), forwarder(11), forwarder(12));
    for forwarder in [&mut one, &mut other, &mut late] {
        round_trip(at(0), forwarder, &mut planner, &[]);
    }
    for round in 1..=6u64 {
        let now = at(round * 1_500);
        round_trip(now, &mut one, &mut planner, &all_measured(now));
    }
    assert!(round_trip(at(9_100), &mut other, &mut planner, &[]) <= MAX_ROUTINE_RATINGS);
    round_trip(at(9_100), &mut late, &mut planner, &[]);
    let failed = [
        observation(0, None, Some(at(9_200))),
        observation(1, None, Some(at(9_200))),
    ];
    round_trip(at(9_200), &mut one, &mut planner, &failed);
    round_trip(at(9_200), &mut other, &mut planner, &failed);
    // Later changes of other hosts don't displace them.
    round_trip(
        at(9_300),
        &mut one,
        &mut planner,
        &all_measured(at(9_300))[2..],
    );
    let report = late.report(at(9_400), SUBSCRIBED, &[], EventPosition::NONE);
    let guidance = planner.handle_report(at(9_400), &report).unwrap();
    let down = |n: u32| {
        guidance
            .ratings
            .iter()
            .any(|rating| rating.host == *host(n).0 && rating.down_ago_ms.is_some())
    };
    assert!(down(0) && down(1), "{:?}", guidance.ratings);
    assert!(guidance.ratings.len() <= MAX_ROUTINE_RATINGS + 2);
}

#[test]
fn events_are_pushed_only_to_forwarders_without_a_subscription() {
    let mut planner = planner();
    let mut subscribed = forwarder(10);
    let options = ForwarderOptions {
        lease_terms: lease_terms(),
        reserve: 0.0,
        has_slot: true,
        slot: SlotId(11),
        unconfirmed_limit: None,
    };
    let mut unsubscribed = ForwarderSession::start(at(0), Epoch(11), options, 2);
    planner.restart_log_at(EventPosition { number: 1, hash: 1 });
    for forwarder in [&mut subscribed, &mut unsubscribed] {
        let report = forwarder.report(at(0), SUBSCRIBED, &[], EventPosition { number: 1, hash: 1 });
        planner.handle_report(at(0), &report).unwrap();
    }
    let event = RelayedEvent {
        position: EventPosition { number: 2, hash: 2 },
        frame: vec![0],
    };
    planner.coordinator_heard(
        at(10),
        Some(event),
        CoordinatorKnowledge::complete(CompleteAsOf::by_heartbeat(at(10))),
    );
    assert!(planner.unsolicited_guidance(at(10), Epoch(10)).is_none());
    assert_eq!(
        planner
            .unsolicited_guidance(at(10), Epoch(11))
            .unwrap()
            .events
            .len(),
        1
    );
}
