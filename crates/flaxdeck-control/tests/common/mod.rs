//! Forwarders, planners and hosts for tests in virtual time.

#![allow(dead_code, reason = "each test takes the helpers that it needs")]
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use flaxdeck::{HostId, Observation, SourceMeasurements, Span, Time, WarmupUsage};
use flaxdeck_control::forwarder::{ForwarderOptions, ForwarderSession};
use flaxdeck_control::membership::PlannerId;
use flaxdeck_control::messages::{Epoch, Report, SlotId};
use flaxdeck_control::planner::Planner;
use flaxdeck_control::{LeaseTerms, QuotaFraction};
use flaxdeck_recovery::EventPosition;

pub(crate) const WINDOW: u64 = 3_000;

pub(crate) const PLANNER: PlannerId = PlannerId(0);

/// Here a number is its event.
pub(crate) fn position(number: u64) -> EventPosition {
    EventPosition {
        number,
        hash: number,
    }
}

pub(crate) fn at(ms: u64) -> Time {
    Time::at_ms(1_000_000.0 + ms as f64)
}

pub(crate) fn lease_terms() -> LeaseTerms {
    LeaseTerms::new(Span::from_ms(WINDOW), Span::from_ms(1_200), 10)
}

pub(crate) fn options() -> ForwarderOptions {
    let (lease_terms, blind_after) = (lease_terms(), Some(Span::from_ms(2_500)));
    ForwarderOptions {
        lease_terms,
        reserve: 0.0,
        has_slot: true,
        slot: SlotId(0),
        unconfirmed_limit: blind_after,
    }
}

/// A host as a forwarder sees it.
pub(crate) fn observation(cold: Option<WarmupUsage>) -> Observation {
    Observation {
        host: HostId("s-1".into()),
        started: Some(at(0)),
        measurements: SourceMeasurements::default(),
        measured_at: None,
        last_success: None,
        last_failure: None,
        in_flight: 0.0,
        warmup: cold,
    }
}

pub(crate) fn warming(right: f64, spent: f64, unmet: f64) -> Option<WarmupUsage> {
    Some(WarmupUsage {
        equal_share: right,
        used: spent,
        unmet,
    })
}

pub(crate) fn planner(now: Time, epoch: u64, own: f64) -> Planner {
    let mut planner = Planner::start(
        now,
        Epoch(epoch),
        lease_terms(),
        QuotaFraction::rounded_down(own),
    );
    planner.update_host(now, "s-1", Some(at(0).ms() as u64));
    planner
}

/// A round trip without delay.
pub(crate) fn trip(
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

/// So many round trips with the same observation, 200 ms apart, from when own shares may be used.
pub(crate) fn trips(
    count: u64,
    forwarder: &mut ForwarderSession,
    planner: &mut Planner,
    observation: Observation,
) {
    for n in 0..count {
        let now = at(OWN_SHARE_MS + n * 200);
        trip(now, forwarder, planner, std::slice::from_ref(&observation));
    }
}

/// What a forwarder may use of the warming host; none if it is not told.
pub(crate) fn share(forwarder: &mut ForwarderSession, now: Time) -> Option<f64> {
    forwarder
        .hints(now)
        .hints
        .iter()
        .find_map(|hint| hint.quota)
        .map(|quota| quota.fraction)
}

/// Past the time for which a forwarder that starts leaves its share alone.
pub(crate) const OWN_SHARE_MS: u64 = 6_000;
