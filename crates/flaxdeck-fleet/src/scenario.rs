//! What a run is of: one fleet, its traffic, and the faults of a day.

use crate::faults::Fault;
use crate::traffic::TrafficLaw;

/// Jobs that a warm host of each tier works on at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotsByTier {
    /// Slots of each cache.
    pub cache: f64,
    /// Slots of each parent.
    pub parent: f64,
    /// Slots of the origin.
    pub origin: f64,
}

/// One fleet, its traffic, and the faults of a day.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Zones, each with its own forwarders and caches.
    pub zones: usize,
    /// Forwarders of each zone.
    pub forwarders_per_zone: usize,
    /// Planners of the whole fleet; none leaves forwarders without guidance.
    pub planners: usize,
    /// Caches of each zone.
    pub caches_per_zone: usize,
    /// Parents of the whole fleet.
    pub parents: usize,
    /// Slots of each host.
    pub slots: SlotsByTier,
    /// KB that each cache can hold.
    pub cache_kb: f64,
    /// KB that each parent can hold.
    pub parent_kb: f64,
    /// KB a millisecond that a slot sends.
    pub slot_kb_per_ms: f64,
    /// KB a millisecond that a zone's link carries.
    pub link_kb_per_ms: f64,
    /// Milliseconds from a forwarder to a cache of its zone.
    pub near_latency_ms: f64,
    /// Milliseconds from a zone to parents, the origin and planners.
    pub far_latency_ms: f64,
    /// The origin's own milliseconds before its first byte.
    pub origin_latency_ms: f64,
    /// The fraction of its capacity that a host has when its slow start begins.
    pub slow_start_initial: f64,
    /// Milliseconds that slow start lasts.
    pub slow_start_ms: f64,
    /// Milliseconds over which a host's work is added up during slow start.
    pub load_window_ms: f64,
    /// During slow start a host crashes when it is asked for more than so many times its capacity within the window.
    pub overload_factor: f64,
    /// Milliseconds until the coordinator's events reach anybody.
    pub coordinator_delay_ms: f64,
    /// The law of the traffic.
    pub traffic: TrafficLaw,
    /// Milliseconds during which clients come.
    pub duration_ms: f64,
    /// Requests that a client sends for one operation, at most.
    pub max_tries: u32,
    /// Milliseconds that a client waits for the answer to each request.
    pub client_timeout_ms: f64,
    /// What goes wrong, and when.
    pub faults: Vec<Fault>,
    /// Whether the five rules are judged from a record of all that was seen, at a cost in memory and time.
    pub check_invariants: bool,
}

impl Default for Scenario {
    /// A small fleet on a quiet day.
    fn default() -> Scenario {
        Scenario {
            zones: 2,
            forwarders_per_zone: 2,
            planners: 0,
            caches_per_zone: 4,
            parents: 3,
            slots: SlotsByTier {
                cache: 4.0,
                parent: 8.0,
                origin: 8.0,
            },
            cache_kb: 60_000.0,
            parent_kb: 300_000.0,
            slot_kb_per_ms: 11.0,
            link_kb_per_ms: 60.0,
            near_latency_ms: 0.5,
            far_latency_ms: 6.0,
            origin_latency_ms: 15.0,
            slow_start_initial: 0.2,
            slow_start_ms: 12_000.0,
            load_window_ms: 2_000.0,
            overload_factor: 2.0,
            coordinator_delay_ms: 300.0,
            traffic: TrafficLaw::default(),
            duration_ms: 30_000.0,
            max_tries: 3,
            client_timeout_ms: 2_500.0,
            faults: Vec::new(),
            check_invariants: false,
        }
    }
}
