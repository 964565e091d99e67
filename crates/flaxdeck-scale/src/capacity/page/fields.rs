//! Figures that the words of the page name: the target's, and bounds of the code that readings go by.

use flaxdeck_control::messages::MAX_EVENTS;
use flaxdeck_control::planner::{FORWARDER_TIMEOUT, MAX_RELAYED_EVENTS};
use flaxdeck_net::listener::BACKLOG;
use flaxdeck_plan::WithoutContact;
use flaxdeck_recovery::reconnect_backoff::{MAX_INITIAL_DELAY, MIN_INITIAL_DELAY};
use flaxdeck_recovery::stored_state;
use serde::Serialize;

use super::NOT_SHOWN;
use crate::capacity::figures::{count, figure, span};
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
        purge_within: span(target.purge_within_s),
        changes: count(target.changes_per_day),
        change_within: span(target.change_within_s),
        core_percent: figure(100.0 * target.budget_cores),
        memory: figure(target.budget_memory_mb),
        bytes: count(target.budget_bytes_per_s),
        machines: count(target.machines),
        failures: count(target.failures_per_day),
        restarts: count(target.restarts_per_day),
        requests_each: count(target.requests_each_per_s()),
        dispatchers_a_site: count(target.dispatchers_a_site()),
        dispatchers_a_region: count(target.dispatchers_a_region()),
        hosts_a_region: count(target.hosts_a_region()),
        dispatchers_a_zone: count(target.dispatchers_a_zone()),
        hosts_a_zone: count(target.hosts_a_zone()),
        change_each: span(target.change_each_s()),
        planners_each: count(target.planners_each),
        dispatchers_a_planner: count(target.dispatchers_a_planner()),
    }
}

/// Bounds of the code that the readings name.
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
        first_least: span(least.ms() / 1e3),
        first_most: span(most.ms() / 1e3),
        rack_calls: calls(target.rack_dispatchers),
        zone_calls: calls(target.dispatchers_a_zone()),
        region_calls: calls(target.dispatchers_a_region()),
        forgotten: span(forgotten_s),
        forgotten_in_rolling: figure(target.rolling_per_s() * forgotten_s),
        isolation: isolation(),
        missed_while_cut_off: count(target.events_per_s() * target.cut_off_s),
        log: count(MAX_RELAYED_EVENTS as f64),
        log_reach: span(MAX_RELAYED_EVENTS as f64 / target.events_per_s()),
        log_reach_in_storm: span(MAX_RELAYED_EVENTS as f64 / storm_events),
        store: count(stored_state::MAX_PURGES as f64),
        store_reach_in_storm: span(stored_state::MAX_PURGES as f64 / target.storm_per_s()),
        storm_purges: count(target.storm_per_s() * target.storm_s),
        events_a_message: count(MAX_EVENTS as f64),
    }
}

/// After how long a dispatcher that hears nobody rejects requests, by the plan file's default.
fn isolation() -> String {
    match default_plan().map(|plan| plan.without_contact) {
        Some(WithoutContact::RejectAfter { ms }) => span(ms / 1e3),
        Some(WithoutContact::GoOn) | None => NOT_SHOWN.to_owned(),
    }
}
