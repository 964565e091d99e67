//! The state of a run, and the loop that processes its events.
//!
//! The submodules operate on that state: `build` creates it, `events` defines the events and dispatches them, `clients`
//! and `attempts` follow a request, `service`, `fills` and `links` model hosts and links, `deployment`, `forwarders`,
//! `decisions`, `planners` and `coordinator` model the control plane, `fault_effects` applies faults, and `record`
//! collects the results.

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

/// The start of the run on the clock of the decision engines. It is large so that times before the run are positive.
const CLOCK_START_MS: f64 = 1_000_000.0;
/// The number of purge groups; an object belongs to the group of its number modulo this.
const GROUPS: u64 = 16;

/// The state of a run. Hosts, forwarders, planners, zones and operations are identified by their index, attempts and
/// requests by an id from `next_id`.
struct Model<'a> {
    scenario: &'a Scenario,
    /// The current virtual time, in milliseconds from the start of the run.
    now: f64,
    queue: EventQueue<Event>,
    rng: Pcg64Mcg,
    traffic: Traffic,
    hosts: Vec<Host>,
    /// The index of each host, by its id in the endpoint list.
    host_indices: HashMap<String, usize>,
    forwarders: Vec<Forwarder>,
    planners: Vec<Planner>,
    zone_links: Vec<ZoneLink>,
    operations: Vec<Operation>,
    attempts: HashMap<u64, OpenAttempt>,
    /// The operation of each request, by the request's id.
    requests: HashMap<u64, u64>,
    /// The id of the next request or attempt.
    next_id: u64,
    /// The events that the coordinator has published; event number n is at index n - 1.
    coordinator_events: Vec<CoordinatorEvent>,
    conditions: Conditions,
    outcome: Outcome,
    /// The events by which the rules are checked; empty unless `Scenario::check_invariants` is set.
    record: Vec<RecordEntry>,
}

/// Converts a time of the run, in milliseconds, to the clock of the decision engines.
fn time(ms: f64) -> Time {
    Time::at_ms(CLOCK_START_MS + ms)
}

/// Converts a time on the clock of the decision engines to milliseconds from the start of the run.
fn run_ms(time: Time) -> f64 {
    time.ms() - CLOCK_START_MS
}

/// Plays a scenario and returns its outcome. The same scenario and seed give the same outcome.
pub fn run(scenario: &Scenario, seed: u64) -> Outcome {
    let mut model = Model::new(scenario, seed);
    model.play();
    model.finish()
}

impl Model<'_> {
    /// Processes events until none is left, or until twice the time in which a client may try has passed after the last
    /// arrival.
    fn play(&mut self) {
        let scenario = self.scenario;
        let all_tries_ms = scenario.client_timeout_ms * f64::from(scenario.max_tries);
        let end = scenario.duration_ms + all_tries_ms * 2.0;
        while let Some((at_us, event)) = self.queue.pop() {
            self.now = at_us as f64 / 1000.0;
            if self.now > end {
                break;
            }
            self.outcome.events += 1;
            self.dispatch(event);
        }
    }

    /// Schedules an event `after_ms` from now, or now if that is negative.
    fn schedule(&mut self, after_ms: f64, event: Event) {
        let at_us = (self.now + after_ms.max(0.0)) * 1000.0;
        self.queue.push(at_us.round() as u64, event);
    }

    /// Allocates the id of a request or an attempt.
    fn next_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }
}
