//! Reports and guidance of a forwarder that hears of events by a subscription: only as often, and as much, as there is
//! something to say.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use flaxdeck::{HostId, Observation, SourceMeasurements, Span, Time, WarmupUsage};
use flaxdeck_control::forwarder::{ForwarderOptions, ForwarderSession};
use flaxdeck_control::membership::PlannerId;
use flaxdeck_control::messages::{Epoch, MAX_ROUTINE_RATINGS, RelayedEvent, SlotId};
use flaxdeck_control::planner::Planner;
use flaxdeck_control::{LeaseTerms, QuotaFraction};
use flaxdeck_recovery::EventPosition;

const FOLLOWED: PlannerId = PlannerId(0);
const OTHER: PlannerId = PlannerId(1);
const IDLE: Span = Span::from_ms(1_500);
const HOSTS: u32 = 20;

fn at(ms: u64) -> Time {
    Time::at_ms(1_000_000.0 + ms as f64)
}

fn lease_terms() -> LeaseTerms {
    LeaseTerms::new(Span::from_ms(3_000), Span::from_ms(1_200), 10)
}

fn forwarder(epoch: u64) -> ForwarderSession {
    let (lease_terms, blind_after) = (lease_terms(), Some(Span::from_ms(2_500)));
    let options = ForwarderOptions {
        lease_terms,
        reserve: 0.0,
        has_slot: true,
        slot: SlotId(epoch),
        unconfirmed_limit: blind_after,
    };
    let mut forwarder = ForwarderSession::start(at(0), Epoch(epoch), options, 2);
    forwarder.suppress_reports(IDLE);
    forwarder.set_subscribed_to(Some(FOLLOWED));
    forwarder
}

fn host(n: u32) -> HostId {
    HostId(format!("s-{n:08x}").into())
}

fn observation(n: u32, measured: Option<Time>, bad: Option<Time>) -> Observation {
    Observation {
        host: host(n),
        started: None,
        measurements: SourceMeasurements {
            latency: measured.map(|_| 10.0 + f64::from(n)),
            bandwidth: None,
        },
        measured_at: measured,
        last_success: measured,
        last_failure: bad,
        in_flight: 0.0,
        warmup: None,
    }
}

fn measured(now: Time) -> Vec<Observation> {
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

/// A report to the planner that is followed, and its answer, without delay; gives how many ratings came.
fn trip(
    now: Time,
    forwarder: &mut ForwarderSession,
    planner: &mut Planner,
    observations: &[Observation],
) -> usize {
    let report = forwarder.report(now, FOLLOWED, observations, EventPosition::NONE);
    let guidance = planner.handle_report(now, &report).unwrap();
    let ratings = guidance.ratings.len();
    assert!(guidance.events.is_empty());
    forwarder
        .apply_guidance(now, FOLLOWED, guidance, EventPosition::NONE)
        .unwrap();
    ratings
}

#[test]
fn a_report_is_due_after_the_idle_time_and_at_once_for_a_failure_or_a_cold_host() {
    let (mut forwarder, mut planner) = (forwarder(10), planner());
    assert!(
        forwarder.is_report_due(at(0), FOLLOWED, &[]),
        "the first is an introduction"
    );
    trip(at(0), &mut forwarder, &mut planner, &[]);
    let well = measured(at(100));
    assert!(!forwarder.is_report_due(at(200), FOLLOWED, &well));
    assert!(!forwarder.is_report_due(at(1_499), FOLLOWED, &well));
    assert!(forwarder.is_report_due(at(1_500), FOLLOWED, &well));
    let failed = [observation(3, None, Some(at(150)))];
    assert!(forwarder.is_report_due(at(200), FOLLOWED, &failed));
    let used = WarmupUsage {
        equal_share: 0.5,
        used: 0.0,
        unmet: 0.0,
    };
    let cold = [Observation {
        warmup: Some(used),
        ..observation(3, None, None)
    }];
    assert!(forwarder.is_report_due(at(200), FOLLOWED, &cold));
    trip(at(200), &mut forwarder, &mut planner, &failed);
    assert!(
        !forwarder.is_report_due(at(400), FOLLOWED, &failed),
        "it is told once"
    );
}

#[test]
fn samples_go_round_to_the_planner_that_is_followed_and_failures_to_all() {
    let mut forwarder = forwarder(10);
    let mut told: Vec<String> = Vec::new();
    for round in 1..=10 {
        let now = at(round * 1_500);
        let report = forwarder.report(now, FOLLOWED, &measured(now), EventPosition::NONE);
        assert_eq!(report.samples.len(), MAX_ROUTINE_RATINGS);
        told.extend(report.samples.into_iter().map(|sample| sample.host));
        assert!(
            forwarder
                .report(now, OTHER, &measured(now), EventPosition::NONE)
                .samples
                .is_empty()
        );
    }
    told.sort();
    told.dedup();
    assert_eq!(told.len(), HOSTS as usize, "each has its turn");
    let now = at(20_000);
    let mut observations = measured(now);
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
fn ratings_are_few_but_hosts_that_are_down_are_told_first() {
    let (mut planner, mut one, mut other, mut late) =
        (planner(), forwarder(10), forwarder(11), forwarder(12));
    for forwarder in [&mut one, &mut other, &mut late] {
        trip(at(0), forwarder, &mut planner, &[]);
    }
    for round in 1..=6u64 {
        let now = at(round * 1_500);
        trip(now, &mut one, &mut planner, &measured(now));
    }
    assert!(trip(at(9_100), &mut other, &mut planner, &[]) <= MAX_ROUTINE_RATINGS);
    trip(at(9_100), &mut late, &mut planner, &[]);
    let failed = [
        observation(0, None, Some(at(9_200))),
        observation(1, None, Some(at(9_200))),
    ];
    trip(at(9_200), &mut one, &mut planner, &failed);
    trip(at(9_200), &mut other, &mut planner, &failed);
    // Later changes of others don't push them out.
    trip(at(9_300), &mut one, &mut planner, &measured(at(9_300))[2..]);
    let report = late.report(at(9_400), FOLLOWED, &[], EventPosition::NONE);
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
fn who_subscribes_is_pushed_nothing_and_who_does_not_is() {
    let mut planner = planner();
    let mut subscribed = forwarder(10);
    let options = ForwarderOptions {
        lease_terms: lease_terms(),
        reserve: 0.0,
        has_slot: true,
        slot: SlotId(11),
        unconfirmed_limit: None,
    };
    let mut told = ForwarderSession::start(at(0), Epoch(11), options, 2);
    planner.restart_log_at(EventPosition { number: 1, hash: 1 });
    for forwarder in [&mut subscribed, &mut told] {
        let report = forwarder.report(at(0), FOLLOWED, &[], EventPosition { number: 1, hash: 1 });
        planner.handle_report(at(0), &report).unwrap();
    }
    let event = RelayedEvent {
        position: EventPosition { number: 2, hash: 2 },
        frame: vec![0],
    };
    planner.coordinator_heard(at(10), Some(event), true);
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
