//! The run itself: the state of the whole fleet, and the loop that takes its events one by one.
//!
//! Each module below does one job on that state: `build` makes it, `events` says what can happen and who handles it,
//! `clients` and `attempts` follow a request, `service`, `fills` and `sites` are the hosts and links, `forwarders`,
//! `decisions`, `planners` and `coordinator` the control side, `faults` the faults and `record` what is kept.

use std::collections::HashMap;

use flaxdeck::Time;
use flaxdeck_control::planner::Planner;
use flaxdeck_invariants::RecordEntry;
use rand_pcg::Pcg64Mcg;

pub use crate::outcome::Outcome;
pub use crate::shape::Shape;

use crate::hosts::Host;
use crate::queue::Queue;
use crate::traffic::Traffic;
use attempts::OpenAttempt;
use clients::Want;
use coordinator::CoordinatorEvent;
use events::Event;
use fault_effects::Conditions;
use forwarders::Forwarder;
use sites::Site;

mod attempts;
mod build;
mod clients;
mod coordinator;
mod decisions;
mod events;
mod fault_effects;
mod fills;
mod forwarders;
mod planners;
mod record;
mod service;
mod sites;

/// The fleet's clock begins here, so that what is "long past" has room before it.
const EPOCH_MS: f64 = 1_000_000.0;
/// Groups that objects are purged by.
const GROUPS: u64 = 16;

/// The state of one run. Hosts, forwarders, planners and sites are named by their places in its lists, attempts and
/// wants by their numbers.
struct Model<'a> {
    shape: &'a Shape,
    /// Milliseconds since the beginning.
    now: f64,
    queue: Queue<Event>,
    chance: Pcg64Mcg,
    traffic: Traffic,
    hosts: Vec<Host>,
    /// Places of hosts by their names.
    names: HashMap<String, usize>,
    forwarders: Vec<Forwarder>,
    planners: Vec<Planner>,
    sites: Vec<Site>,
    wants: Vec<Want>,
    attempts: HashMap<u64, OpenAttempt>,
    /// The want of each request.
    requests: HashMap<u64, u64>,
    /// The next number of a request or an attempt.
    next: u64,
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

/// Plays a shape's day.
pub fn run(shape: &Shape, seed: u64) -> Outcome {
    let mut model = Model::new(shape, seed);
    model.play();
    model.finish()
}

impl Model<'_> {
    /// Takes events until none is left, or until long after the last client has given up.
    fn play(&mut self) {
        let shape = self.shape;
        let end = shape.day_ms + shape.wait_ms * f64::from(shape.tries) * 2.0;
        while let Some((at, event)) = self.queue.take() {
            self.now = at as f64 / 1000.0;
            if self.now > end {
                break;
            }
            self.outcome.events += 1;
            self.dispatch(event);
        }
    }

    /// Plans an event for so many milliseconds from now.
    fn after(&mut self, ms: f64, event: Event) {
        let at = (self.now + ms.max(0.0)) * 1000.0;
        self.queue.put(at.round() as u64, event);
    }

    /// The next number of a request or an attempt.
    fn number(&mut self) -> u64 {
        let number = self.next;
        self.next += 1;
        number
    }
}
