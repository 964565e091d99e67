//! Scenarios: the fleet, the traffic and the faults of a run.

use crate::faults::Fault;
use crate::traffic::TrafficLaw;

/// The number of jobs that a warm host serves at the same time, by tier.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotsByTier {
    /// Slots of each cache.
    pub cache: f64,
    /// Slots of each parent.
    pub parent: f64,
    /// Slots of the origin.
    pub origin: f64,
}

/// The fleet, the traffic and the faults of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// The number of zones; each has its own forwarders and caches.
    pub zones: usize,
    /// The number of forwarders in each zone.
    pub forwarders_per_zone: usize,
    /// The number of planners in the whole fleet; with 0, forwarders run without guidance.
    pub planners: usize,
    /// The number of caches in each zone.
    pub caches_per_zone: usize,
    /// The number of parents in the whole fleet.
    pub parents: usize,
    /// The number of slots of each host, by tier.
    pub slots: SlotsByTier,
    /// The size of each cache in KB.
    pub cache_kb: f64,
    /// The size of each parent's cache in KB.
    pub parent_kb: f64,
    /// The rate at which a slot sends, in KB per millisecond.
    pub slot_kb_per_ms: f64,
    /// The bandwidth of a zone's link, in KB per millisecond.
    pub link_kb_per_ms: f64,
    /// The one-way latency between a forwarder and a cache of its zone, in milliseconds.
    pub near_latency_ms: f64,
    /// The one-way latency between a zone and parents, the origin or planners, in milliseconds.
    pub far_latency_ms: f64,
    /// The time that the origin takes to its first byte, in milliseconds.
    pub origin_latency_ms: f64,
    /// The fraction of its full capacity that a host has at the beginning of its slow start.
    pub slow_start_initial: f64,
    /// The duration of slow start in milliseconds.
    pub slow_start_ms: f64,
    /// The window over which the work requested from a host is added up during slow start, in milliseconds.
    pub load_window_ms: f64,
    /// A host in slow start crashes when the work requested within the load window exceeds its capacity by this factor.
    pub overload_factor: f64,
    /// The delay until the coordinator's events reach forwarders and planners, in milliseconds.
    pub coordinator_delay_ms: f64,
    /// The distribution of the traffic.
    pub traffic: TrafficLaw,
    /// The time during which clients arrive, in milliseconds.
    pub duration_ms: f64,
    /// The maximum number of requests that a client sends for one operation.
    pub max_tries: u32,
    /// The time that a client waits for the answer to each request, in milliseconds.
    pub client_timeout_ms: f64,
    /// The faults of the run.
    pub faults: Vec<Fault>,
    /// Whether to record the run's events and check the five rules of the fleet; this costs memory and time.
    pub check_invariants: bool,
}

impl Default for Scenario {
    /// Returns a small fleet without planners and without faults.
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
