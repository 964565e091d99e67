//! Figures in the text of the page: those of the target, and limits in the code from which the text draws conclusions.

use flaxdeck_control::messages::MAX_EVENTS;
use flaxdeck_control::planner::{FORWARDER_TIMEOUT, MAX_RELAYED_EVENTS};
use flaxdeck_net::listener::BACKLOG;
use flaxdeck_plan::WithoutContact;
use flaxdeck_recovery::reconnect_backoff::{MAX_INITIAL_DELAY, MIN_INITIAL_DELAY};
use flaxdeck_recovery::stored_state;
use serde::Serialize;

use super::NOT_SHOWN;
use crate::capacity::figures::{count, duration, figure};
use crate::capacity::state::default_plan;
use crate::target::Target;

#[derive(Serialize)]
pub(super) struct TargetFields {
    dispatchers: String,
    sites: String,
    hosts: String,
    regions: String,
    zones: String,
    requests: String,
    tbit: String,
    objects: String,
    purges: String,
    purge_within: String,
    changes: String,
    change_within: String,
    core_percent: String,
    memory: String,
    bytes: String,
    machines: String,
    failures: String,
    restarts: String,
    requests_each: String,
    dispatchers_a_site: String,
    dispatchers_a_region: String,
    hosts_a_region: String,
    dispatchers_a_zone: String,
    hosts_a_zone: String,
    change_each: String,
    planners_each: String,
    dispatchers_a_planner: String,
}

pub(super) fn target_fields(target: &Target) -> TargetFields {
    TargetFields {
        dispatchers: count(target.dispatchers),
        sites: count(target.sites),
        hosts: count(target.hosts),
        regions: count(target.regions),
        zones: count(target.zones),
        requests: count(target.requests_per_s),
        tbit: figure(target.tbit_per_s),
        objects: count(target.objects),
        purges: figure(target.purges_per_s),
        purge_within: duration(target.purge_within_s),
        changes: count(target.changes_per_day),
        change_within: duration(target.change_within_s),
        core_percent: figure(100.0 * target.budget_cores),
        memory: figure(target.budget_memory_mb),
        bytes: count(target.budget_bytes_per_s),
        machines: count(target.machines),
        failures: count(target.failures_per_day),
        restarts: count(target.restarts_per_day),
        requests_each: count(target.mean_requests_per_s()),
        dispatchers_a_site: count(target.dispatchers_per_site()),
        dispatchers_a_region: count(target.dispatchers_per_region()),
        hosts_a_region: count(target.hosts_per_region()),
        dispatchers_a_zone: count(target.dispatchers_per_zone()),
        hosts_a_zone: count(target.hosts_per_zone()),
        change_each: duration(target.change_interval_s()),
        planners_each: count(target.planners_per_dispatcher),
        dispatchers_a_planner: count(target.dispatchers_per_planner()),
    }
}

/// Limits in the code, and figures derived from them, that the text of the page refers to.
#[derive(Serialize)]
pub(super) struct BoundFields {
    backlog: String,
    first_least: String,
    first_most: String,
    rack_calls: String,
    zone_calls: String,
    region_calls: String,
    forgotten: String,
    forgotten_in_rolling: String,
    isolation: String,
    missed_while_cut_off: String,
    log: String,
    log_reach: String,
    log_reach_in_storm: String,
    store: String,
    store_reach_in_storm: String,
    storm_purges: String,
    events_a_message: String,
}

pub(super) fn bound_fields(target: &Target) -> BoundFields {
    let (least, most) = (MIN_INITIAL_DELAY, MAX_INITIAL_DELAY);
    let spread_s = (most.ms() - least.ms()) / 1e3;
    let calls = |dispatchers: f64| figure(dispatchers / spread_s);
    let forgotten_s = FORWARDER_TIMEOUT.ms() / 1e3;
    let storm_events = target.storm_per_s() + target.changes_per_s();
    BoundFields {
        backlog: count(f64::from(BACKLOG)),
        first_least: duration(least.ms() / 1e3),
        first_most: duration(most.ms() / 1e3),
        rack_calls: calls(target.rack_dispatchers),
        zone_calls: calls(target.dispatchers_per_zone()),
        region_calls: calls(target.dispatchers_per_region()),
        forgotten: duration(forgotten_s),
        forgotten_in_rolling: figure(target.rolling_per_s() * forgotten_s),
        isolation: isolation(),
        missed_while_cut_off: count(target.events_per_s() * target.cut_off_s),
        log: count(MAX_RELAYED_EVENTS as f64),
        log_reach: duration(MAX_RELAYED_EVENTS as f64 / target.events_per_s()),
        log_reach_in_storm: duration(MAX_RELAYED_EVENTS as f64 / storm_events),
        store: count(stored_state::MAX_PURGES as f64),
        store_reach_in_storm: duration(stored_state::MAX_PURGES as f64 / target.storm_per_s()),
        storm_purges: count(target.storm_per_s() * target.storm_s),
        events_a_message: count(MAX_EVENTS as f64),
    }
}

/// Returns the time after which a dispatcher without contact to planners and coordinator rejects requests, by the
/// default of the plan file.
fn isolation() -> String {
    match default_plan().map(|plan| plan.without_contact) {
        Some(WithoutContact::RejectAfter { ms }) => duration(ms / 1e3),
        Some(WithoutContact::GoOn) | None => NOT_SHOWN.to_owned(),
    }
}
