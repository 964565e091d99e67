//! One world's size and terms, and the platform's settings that follow from them.

use serde_json::{Value, json};

use crate::objects::KB_PER_MS;

/// One world's size and terms.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Cache hosts.
    pub caches: usize,
    /// Parents.
    pub parents: usize,
    /// Requests that a warm cache works on at once.
    pub cache_slots: f64,
    /// Requests that a warm parent works on at once.
    pub parent_slots: f64,
    /// Requests that the origin works on at once.
    pub origin_slots: f64,
    /// Forwarders that the settings name.
    pub forwarders: usize,
    /// The fraction of its capacity that a host has when it starts.
    pub slow_start_initial: f64,
    /// Milliseconds in which its capacity rises to all of it.
    pub slow_start_ms: f64,
    /// Milliseconds over which a cold host's work is added up.
    pub load_window_ms: f64,
    /// A cold host crashes when asked for more than so many times its capacity within the window.
    pub overload_factor: f64,
    /// Milliseconds to a parent's first byte.
    pub parent_latency_ms: f64,
    /// Milliseconds to the origin's first byte.
    pub origin_latency_ms: f64,
    /// MB of memory that a dispatcher may use.
    pub memory_mb: u32,
    /// Sockets that a dispatcher may use.
    pub sockets: u32,
    /// Connections that a host holds at once; further ones are closed as they come.
    pub max_host_connections: u32,
    /// Calls a second that the coordinator answers; it closes the others.
    pub coordinator_calls_per_s: f64,
    /// Milliseconds after a purge's announcement within which older copies may still be handed out.
    pub purge_grace_ms: f64,
}

impl Default for Layout {
    /// A small world whose hosts and coordinator take all connections.
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

/// The platform's settings of a world of that layout, in the platform's words.
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
