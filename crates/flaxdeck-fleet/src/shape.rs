//! What a run is of: one fleet, its traffic and its day.

use crate::faults::Fault;
use crate::traffic::Law;

/// One fleet, its traffic and its day.
#[derive(Clone, Debug, PartialEq)]
pub struct Shape {
    /// Locations, each with its own forwarders and caches.
    pub zones: usize,
    /// Forwarders of each location.
    pub forwarders: usize,
    /// Planners of the whole fleet; none leaves forwarders without guidance.
    pub planners: usize,
    /// Caches of each location.
    pub caches: usize,
    /// Parents of the whole fleet.
    pub parents: usize,
    /// Places of each cache, parent and the origin.
    pub places: [f64; 3],
    /// KB that each cache and parent keeps.
    pub keeps_kb: [f64; 2],
    /// KB a millisecond that a place sends.
    pub place_pace: f64,
    /// KB a millisecond that a location's link carries.
    pub link_pace: f64,
    /// Milliseconds from a forwarder to a cache of its location.
    pub near_ms: f64,
    /// Milliseconds from a location to parents, the origin and planners.
    pub far_ms: f64,
    /// The origin's own milliseconds before its first byte.
    pub origin_ms: f64,
    /// The part of its capacity that a host has when its slow start begins.
    pub cold_from: f64,
    /// Milliseconds that slow start lasts.
    pub warm_within_ms: f64,
    /// Milliseconds over which a host's work is added up during slow start.
    pub window_ms: f64,
    /// A host falls over during slow start when it is asked for more than so many times its capacity within the window.
    pub factor: f64,
    /// Milliseconds until the coordinator's events reach anybody.
    pub coordinator_delay_ms: f64,
    /// The law of the traffic.
    pub law: Law,
    /// Milliseconds during which clients come.
    pub day_ms: f64,
    /// Tries of one client for one want.
    pub tries: u32,
    /// Milliseconds that a client waits for each try.
    pub wait_ms: f64,
    /// What goes wrong, and when.
    pub faults: Vec<Fault>,
    /// The rules are judged as well, from a record of all that was seen.
    pub judged: bool,
}

impl Default for Shape {
    fn default() -> Shape {
        let law = Law {
            rate: 150.0,
            objects: 3_000,
            power: 0.8,
            median_kb: 120.0,
            spread: 0.8,
            writes: 0.01,
        };
        Shape {
            zones: 2,
            forwarders: 2,
            planners: 0,
            caches: 4,
            parents: 3,
            places: [4.0, 8.0, 8.0],
            keeps_kb: [60_000.0, 300_000.0],
            place_pace: 11.0,
            link_pace: 60.0,
            near_ms: 0.5,
            far_ms: 6.0,
            origin_ms: 15.0,
            cold_from: 0.2,
            warm_within_ms: 12_000.0,
            window_ms: 2_000.0,
            factor: 2.0,
            coordinator_delay_ms: 300.0,
            law,
            day_ms: 30_000.0,
            tries: 3,
            wait_ms: 2_500.0,
            faults: Vec::new(),
            judged: false,
        }
    }
}
