//! The deployment terms of forwarders, which real ones get from the platform's settings: request classes, zones, slow
//! start.

use flaxdeck::{DeploymentTerms, Repeats, RequestClass, Span, ZoneId};

use crate::scenario::Scenario;

/// The fixed part of the latency objective, in milliseconds.
pub(super) const OBJECTIVE_MS: u64 = 400;
/// The latency objective grows with the size of the object: by this multiple of the time that a slot takes to send it.
pub(super) const OBJECTIVE_STRETCH: f64 = 2.0;

fn request_class(repeats: Repeats, goes_through: bool) -> RequestClass {
    RequestClass {
        objective: Span::from_ms(OBJECTIVE_MS),
        stretch: OBJECTIVE_STRETCH,
        repeats,
        goes_through,
        parted: false,
        fresh: None,
        stale_grace: Span::ZERO,
    }
}

/// Returns the terms of a zone's forwarders. Class 0 is for reads, class 1 for writes.
pub(super) fn deployment_terms(scenario: &Scenario, zone: usize) -> DeploymentTerms {
    let forwarders = scenario.forwarders_per_zone;
    DeploymentTerms {
        classes: vec![
            request_class(Repeats::Idempotent, false),
            request_class(Repeats::AtMostOnce, true),
        ],
        zone: ZoneId(zone),
        zone_dispatchers: vec![forwarders as u32; scenario.zones],
        dispatchers: (forwarders * scenario.zones) as u32,
        tick: Span::from_ms(2),
        may_cancel: true,
        may_duplicate: true,
        may_set_retry_after: true,
        max_retry_after: Span::from_ms(2_000),
        most_attempts: 6,
        cold_from: scenario.slow_start_initial,
        warm_within: Span::of_ms(scenario.slow_start_ms),
        overload_factor: scenario.overload_factor,
        overload_window: Span::of_ms(scenario.load_window_ms),
        parent_cold_from: scenario.slow_start_initial,
        parent_warm_within: Span::of_ms(scenario.slow_start_ms),
        parent_overload_factor: scenario.overload_factor,
        direct: true,
        joins: false,
        client_kb_per_s: scenario.slot_kb_per_ms * 1000.0,
        purge_settles: Span::from_ms(6_000),
        drain_grace: Span::from_ms(1000),
        purge_grace: Span::from_ms(500),
        sizes_are_claims: false,
        reports_link_load: true,
        may_poll_load: false,
    }
}
