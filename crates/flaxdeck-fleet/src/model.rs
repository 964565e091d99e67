//! The run itself: the state of the whole fleet, and the loop that takes its events one by one.
//!
//! Each module below does one job on that state: `build` makes it, `events` says what can happen and who handles it,
//! `clients` and `attempts` follow a request, `service`, `fills` and `links` are the hosts and links, `deployment`,
//! `forwarders`, `decisions`, `planners` and `coordinator` the control side, `fault_effects` the faults and `record`
//! the results.

use std::collections::HashMap;

use flaxdeck::Time;
use flaxdeck_control::planner::Planner;
use flaxdeck_invariants::RecordEntry;
use rand_pcg::Pcg64Mcg;

use crate::host::Host;
use crate::outcome::Outcome;
use crate::queue::EventQueue;
use crate::scenario::Scenario;
use crate::traffic::Traffic;
use attempts::OpenAttempt;
use clients::Operation;
use coordinator::CoordinatorEvent;
use events::Event;
use fault_effects::Conditions;
use forwarders::Forwarder;
use links::ZoneLink;

mod attempts;
mod build;
mod clients;
mod coordinator;
mod decisions;
mod deployment;
mod events;
mod fault_effects;
mod fills;
mod forwarders;
mod links;
mod planners;
mod record;
mod service;

/// The fleet's clock begins here, so that what is "long past" has room before it.
const EPOCH_MS: f64 = 1_000_000.0;
/// Groups that objects are purged by.
const GROUPS: u64 = 16;

/// The state of one run. Hosts, forwarders, planners and zones are named by their indices in its lists, operations by
/// the order in which they began, attempts and requests by their ids.
struct Model<'a> {
    scenario: &'a Scenario,
    /// Milliseconds since the beginning.
    now: f64,
    queue: EventQueue<Event>,
    rng: Pcg64Mcg,
    traffic: Traffic,
    hosts: Vec<Host>,
    /// The index of each host by its id.
    host_indices: HashMap<String, usize>,
    forwarders: Vec<Forwarder>,
    planners: Vec<Planner>,
    zone_links: Vec<ZoneLink>,
    operations: Vec<Operation>,
    attempts: HashMap<u64, OpenAttempt>,
    /// The operation of each request, by the request's id.
    requests: HashMap<u64, u64>,
    /// The next id of a request or an attempt.
    next_id: u64,
    /// What the coordinator has published, in order.
    coordinator_events: Vec<CoordinatorEvent>,
    conditions: Conditions,
    outcome: Outcome,
    /// What was seen, if the run is judged.
    record: Vec<RecordEntry>,
}

/// A time of the run as the decisions know it.
fn time(ms: f64) -> Time {
    Time::at_ms(EPOCH_MS + ms)
}

/// A time of the decisions as the run knows it.
fn ms(time: Time) -> f64 {
    time.ms() - EPOCH_MS
}

/// Plays a scenario; the same seed gives the same outcome.
pub fn run(scenario: &Scenario, seed: u64) -> Outcome {
    let mut model = Model::new(scenario, seed);
    model.play();
    model.finish()
}

impl Model<'_> {
    /// Takes events until none is left, or until long after the last client has given up.
    fn play(&mut self) {
        let scenario = self.scenario;
        let patience_ms = scenario.client_timeout_ms * f64::from(scenario.max_tries);
        let end = scenario.duration_ms + patience_ms * 2.0;
        while let Some((at_us, event)) = self.queue.pop() {
            self.now = at_us as f64 / 1000.0;
            if self.now > end {
                break;
            }
            self.outcome.events += 1;
            self.dispatch(event);
        }
    }

    /// Schedules an event for so many milliseconds from now.
    fn schedule(&mut self, after_ms: f64, event: Event) {
        let at_us = (self.now + after_ms.max(0.0)) * 1000.0;
        self.queue.push(at_us.round() as u64, event);
    }

    /// The next id of a request or an attempt.
    fn next_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }
}
