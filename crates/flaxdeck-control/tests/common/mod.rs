//! Helpers for tests in virtual time: forwarders, planners and hosts.

#![allow(dead_code, reason = "not every test uses every helper")]
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
use flaxdeck_control::messages::{Epoch, Report, SlotId};
use flaxdeck_control::planner::Planner;
use flaxdeck_control::{LeaseTerms, QuotaFraction};
use flaxdeck_recovery::EventPosition;

/// The window over which a warming host's load is summed.
pub(crate) const WINDOW_MS: u64 = 3_000;

pub(crate) const PLANNER: PlannerId = PlannerId(0);

/// An event position for tests, where equal numbers have equal hashes.
pub(crate) fn position(number: u64) -> EventPosition {
    EventPosition {
        number,
        hash: number,
    }
}

pub(crate) fn at(ms: u64) -> Time {
    Time::at_ms(1_000_000.0 + ms as f64)
}

/// A process that has all of the coordinator's events as of that time.
pub(crate) fn complete(as_of: Time) -> CoordinatorKnowledge {
    CoordinatorKnowledge::complete(CompleteAsOf::by_heartbeat(as_of))
}

pub(crate) fn lease_terms() -> LeaseTerms {
    LeaseTerms::new(Span::from_ms(WINDOW_MS), Span::from_ms(1_200), 10)
}

pub(crate) fn options() -> ForwarderOptions {
    ForwarderOptions {
        lease_terms: lease_terms(),
        reserve: 0.0,
        has_slot: true,
        slot: SlotId(0),
        unconfirmed_limit: Some(Span::from_ms(2_500)),
    }
}

/// A forwarder's observation of the host `s-1`.
pub(crate) fn observation(warmup: Option<WarmupUsage>) -> Observation {
    Observation {
        host: HostId("s-1".into()),
        started: Some(at(0)),
        measurements: SourceMeasurements::default(),
        measured_at: None,
        last_success: None,
        last_failure: None,
        in_flight: 0.0,
        warmup,
    }
}

pub(crate) fn warming(equal_share: f64, used: f64, unmet: f64) -> Option<WarmupUsage> {
    Some(WarmupUsage {
        equal_share,
        used,
        unmet,
    })
}

pub(crate) fn planner(now: Time, epoch: u64, own_quota: f64) -> Planner {
    let mut planner = Planner::start(
        now,
        Epoch(epoch),
        lease_terms(),
        QuotaFraction::rounded_down(own_quota),
    );
    planner.update_host(now, "s-1", Some(at(0).ms() as u64));
    planner
}

/// Exchanges one report and its guidance without delay; returns the report.
pub(crate) fn round_trip(
    now: Time,
    forwarder: &mut ForwarderSession,
    planner: &mut Planner,
    observations: &[Observation],
) -> Report {
    forwarder.update_usage(now, observations);
    let report = forwarder.report(now, PLANNER, observations, position(0));
    let guidance = planner.handle_report(now, &report).unwrap();
    forwarder
        .apply_guidance(now, PLANNER, guidance, position(0))
        .unwrap();
    report
}

/// Makes `count` round trips with the same observation, 200 ms apart, from the time at which own shares may be used.
pub(crate) fn round_trips(
    count: u64,
    forwarder: &mut ForwarderSession,
    planner: &mut Planner,
    observation: Observation,
) {
    for n in 0..count {
        let now = at(OWN_SHARE_FROM_MS + n * 200);
        round_trip(now, forwarder, planner, std::slice::from_ref(&observation));
    }
}

/// Returns the quota of the warming host in the forwarder's hints, if there is one.
pub(crate) fn usable_quota(forwarder: &mut ForwarderSession, now: Time) -> Option<f64> {
    forwarder
        .hints(now)
        .hints
        .iter()
        .find_map(|hint| hint.quota)
        .map(|quota| quota.fraction)
}

/// A time after the startup wait, at which a forwarder that started at 0 may use its own share.
pub(crate) const OWN_SHARE_FROM_MS: u64 = 6_000;
