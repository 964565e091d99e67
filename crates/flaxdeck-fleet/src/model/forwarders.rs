//! Forwarders: the real decision engine with the real control session, and their start.

use std::collections::BTreeMap;

use flaxdeck::decision::DecisionEngine;
use flaxdeck::{ListKind, RequestId};
use flaxdeck_control::forwarder::{ForwarderOptions, ForwarderSession};
use flaxdeck_control::messages::{Epoch, SlotId};
use flaxdeck_invariants::RecordedEvent;
use rand::Rng;

use super::deployment::deployment_terms;
use super::events::Event;
use super::planners::{REPORT_INTERVAL_MS, lease_terms};
use super::{Model, time};

/// The number of low bits of a forwarder's epoch that hold its index; the bits above hold the count of its starts.
const EPOCH_INDEX_BITS: u32 = 20;

/// A request that its forwarder has not answered yet.
pub(super) struct OpenRequest {
    /// The operation that the request is for.
    pub(super) operation: u64,
    /// The number of attempts so far.
    pub(super) attempts: u32,
}

/// The state of a forwarder.
pub(super) struct Forwarder {
    pub(super) engine: DecisionEngine,
    /// The session with the planners; `None` in a fleet without planners.
    pub(super) session: Option<ForwarderSession>,
    /// The number of restarts so far.
    pub(super) incarnation: u32,
    /// The number of the last coordinator event that the forwarder has applied.
    pub(super) last_event: u64,
    pub(super) open: BTreeMap<RequestId, OpenRequest>,
}

impl Model<'_> {
    /// Creates a forwarder that has just started.
    pub(super) fn new_forwarder(&mut self, index: usize, incarnation: u32) -> Forwarder {
        let zone = index / self.scenario.forwarders_per_zone;
        let seed = self.rng.random();
        let terms = deployment_terms(self.scenario, zone);
        let (engine, _) = DecisionEngine::start(time(self.now), seed, terms);
        let session = (self.scenario.planners > 0).then(|| self.new_session(index, incarnation));
        Forwarder {
            engine,
            session,
            incarnation,
            last_event: self.coordinator_events.len() as u64,
            open: BTreeMap::new(),
        }
    }

    fn new_session(&self, index: usize, incarnation: u32) -> ForwarderSession {
        let epoch = Epoch((u64::from(incarnation) + 1) << EPOCH_INDEX_BITS | index as u64);
        let options = ForwarderOptions {
            lease_terms: lease_terms(self.scenario.load_window_ms),
            reserve: 0.0,
            has_slot: true,
            slot: SlotId(index as u64 + 1),
            unconfirmed_limit: None,
        };
        let planners = self.scenario.planners as u32;
        ForwarderSession::start(time(self.now), epoch, options, planners)
    }

    /// Sends the full endpoint list to a forwarder that has just started. If the fleet has planners, also schedules the
    /// forwarder's first reports, at a random time within the report interval.
    pub(super) fn receive_full_list(&mut self, forwarder: usize) {
        let endpoints = (0..self.hosts.len())
            .map(|host| self.endpoint(host))
            .collect();
        if self.forwarders[forwarder].session.is_some() {
            self.apply_guidance(forwarder);
            let first_report_ms = REPORT_INTERVAL_MS * self.rng.random::<f64>();
            let report = Event::Report {
                forwarder,
                incarnation: self.forwarders[forwarder].incarnation,
            };
            self.schedule(first_report_ms, report);
        }
        let engine = &mut self.forwarders[forwarder].engine;
        let decisions = engine.list(time(self.now), ListKind::Full, endpoints);
        self.apply_decisions(forwarder, decisions);
    }

    /// Passes the current guidance of a forwarder's session to its decision engine.
    pub(super) fn apply_guidance(&mut self, forwarder: usize) {
        let now = time(self.now);
        let Forwarder {
            engine,
            session: Some(session),
            ..
        } = &mut self.forwarders[forwarder]
        else {
            return;
        };
        let decisions = engine.apply_peer_hints(now, session.hints(now));
        self.apply_decisions(forwarder, decisions);
    }

    /// Crashes a fraction of the forwarders, which restart immediately; their clients retry.
    pub(super) fn crash_forwarders(&mut self, fraction: f64) {
        let count = (self.forwarders.len() as f64 * fraction).floor() as usize;
        for index in 0..count {
            let open = std::mem::take(&mut self.forwarders[index].open);
            for (request, OpenRequest { operation, .. }) in open {
                self.record_event(RecordedEvent::ClientLeft {
                    request: request.0.to_string(),
                });
                self.retry_after_lost_forwarder(operation);
            }
            let incarnation = self.forwarders[index].incarnation + 1;
            self.forwarders[index] = self.new_forwarder(index, incarnation);
            self.receive_full_list(index);
        }
    }
}
