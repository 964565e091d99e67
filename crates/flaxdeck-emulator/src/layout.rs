//! The size and parameters of a world, and the platform's settings derived from them.

use serde_json::{Value, json};

use crate::objects::KB_PER_MS;

/// The size and parameters of a world.
#[derive(Clone, Debug)]
pub struct Layout {
    /// The number of cache hosts.
    pub caches: usize,
    /// The number of parents.
    pub parents: usize,
    /// The number of requests that a warm cache host processes concurrently.
    pub cache_slots: f64,
    /// The number of requests that a warm parent processes concurrently.
    pub parent_slots: f64,
    /// The number of requests that the origin processes concurrently.
    pub origin_slots: f64,
    /// The number of forwarders that the settings state.
    pub forwarders: usize,
    /// The fraction of its full capacity that a host has when it starts.
    pub slow_start_initial: f64,
    /// The time until a started host has its full capacity, in milliseconds.
    pub slow_start_ms: f64,
    /// The window over which a cold host's work is summed, in milliseconds.
    pub load_window_ms: f64,
    /// A cold host crashes when the work requested within the window exceeds this many times its capacity.
    pub overload_factor: f64,
    /// A parent's time to first byte, in milliseconds.
    pub parent_latency_ms: f64,
    /// The origin's time to first byte, in milliseconds.
    pub origin_latency_ms: f64,
    /// The memory limit of a dispatcher, in MB.
    pub memory_mb: u32,
    /// The socket limit of a dispatcher.
    pub sockets: u32,
    /// The number of connections that a host holds at once; it closes further ones at once.
    pub max_host_connections: u32,
    /// The calls per second that the coordinator answers; it closes the connections of others.
    pub coordinator_calls_per_s: f64,
    /// How long after the publication of a purge older copies may still be served, in milliseconds.
    pub purge_grace_ms: f64,
}

impl Default for Layout {
    /// A small world whose hosts and coordinator accept all connections.
    fn default() -> Layout {
        Layout {
            caches: 4,
            parents: 2,
            cache_slots: 12.0,
            parent_slots: 16.0,
            origin_slots: 24.0,
            forwarders: 3,
            slow_start_initial: 0.2,
            slow_start_ms: 12_000.0,
            load_window_ms: 2_000.0,
            overload_factor: 2.0,
            parent_latency_ms: 4.0,
            origin_latency_ms: 25.0,
            memory_mb: 64,
            sockets: 512,
            max_host_connections: u32::MAX,
            coordinator_calls_per_s: f64::INFINITY,
            purge_grace_ms: 500.0,
        }
    }
}

/// Returns the platform's settings for a world of this layout, in the form of the configuration file.
pub fn settings(layout: &Layout) -> Value {
    json!({
        "allowed": {"cancel": true, "conn_idle_ms": 15000.0, "connect_timeout_ms": 400.0, "max_attempts": 6,
            "max_retry_after_ms": 2000.0, "may_duplicate": true, "retry_after": true},
        "family": "edge",
        "family_info": {"class_parts": [false, false], "client_kb_per_s": KB_PER_MS * 1000.0,
            "collapses": false, "count_by_zone": [layout.forwarders, 0], "direct": true,
            "goes_through": [false, true], "max_age_ms": [0.0, 0.0], "purge_grace_ms": layout.purge_grace_ms,
            "purge_settles_ms": 6000.0, "shield_kind": 1, "source_kind": 2,
            "upper_cold_from": layout.slow_start_initial, "upper_cold_ms": layout.slow_start_ms,
            "upper_fall_multiple": layout.overload_factor},
        "group_size": layout.forwarders,
        "kinds": ["cache", "parent", "origin"],
        "request_classes": [
            {"name": "page", "effect": "idempotent", "objective_ms": 400.0, "aim_stretch": 2.0,
                "deadline_ms": 2500.0},
            {"name": "submit", "effect": "at_most_once", "objective_ms": 800.0, "deadline_ms": 2500.0}],
        "rules": {"answer_slack_ms": 8.0, "cold_from": layout.slow_start_initial, "fall_ms": layout.load_window_ms,
            "overload_factor": layout.overload_factor, "stop_sending_within_ms": 1000.0,
            "warm_within_ms": layout.slow_start_ms},
        "stats": {"fields": ["outstanding", "x0", "x1"], "via": "inline"},
        "tick_ms": 2.0, "zone": "here", "zones": ["here", "hub"]
    })
}
