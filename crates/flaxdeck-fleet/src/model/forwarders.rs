//! Forwarders: the real decision engine, the real guidance, and what a forwarder starts with.

use std::collections::BTreeMap;

use flaxdeck::decision::DecisionEngine;
use flaxdeck::{DeploymentTerms, ListKind, Repeats, RequestClass, RequestId, Span, ZoneId};
use flaxdeck_control::forwarder::{ForwarderOptions, ForwarderSession};
use flaxdeck_control::messages::{Epoch, SlotId};
use flaxdeck_invariants::RecordedEvent;
use rand::Rng;

use super::clients::{OBJECTIVE_MS, RETRY_AFTER_LOST_FORWARDER_MS, STRETCH};
use super::events::Event;
use super::planners::{REPORT_MS, lease_terms};
use super::{Model, Shape, time};

/// A request that a forwarder has not answered yet.
pub(super) struct OpenRequest {
    pub(super) want: u64,
    /// Its attempts so far.
    pub(super) attempts: u32,
}

/// One forwarder.
pub(super) struct Forwarder {
    pub(super) engine: DecisionEngine,
    /// None without planners.
    pub(super) guide: Option<ForwarderSession>,
    /// Counts its starts.
    pub(super) run: u32,
    /// The number of the coordinator's last event that it knows.
    pub(super) last_event: u64,
    pub(super) open: BTreeMap<RequestId, OpenRequest>,
}

/// The terms of a location's forwarders: reads are the first class, writes the second.
fn terms(shape: &Shape, zone: usize) -> DeploymentTerms {
    let class = |repeats, goes_through| RequestClass {
        objective: Span::from_ms(OBJECTIVE_MS),
        stretch: STRETCH,
        repeats,
        goes_through,
        parted: false,
        fresh: None,
        older: Span::ZERO,
    };
    DeploymentTerms {
        classes: vec![
            class(Repeats::Idempotent, false),
            class(Repeats::AtMostOnce, true),
        ],
        zone: ZoneId(zone),
        zone_dispatchers: vec![shape.forwarders as u32; shape.zones],
        dispatchers: (shape.forwarders * shape.zones) as u32,
        tick: Span::from_ms(2),
        may_cancel: true,
        may_duplicate: true,
        may_name_return: true,
        longest_return: Span::from_ms(2_000),
        most_attempts: 6,
        cold_from: shape.cold_from,
        warm_within: Span::of_ms(shape.warm_within_ms),
        overload_factor: shape.factor,
        fall_window: Span::of_ms(shape.window_ms),
        parent_cold_from: shape.cold_from,
        parent_warm_within: Span::of_ms(shape.warm_within_ms),
        parent_overload_factor: shape.factor,
        direct: true,
        joins: false,
        client_kb_per_s: shape.place_pace * 1000.0,
        purge_settles: Span::from_ms(6_000),
        tells_link: true,
        may_look: false,
    }
}

impl Model<'_> {
    /// A forwarder as it starts, for the run of that count.
    pub(super) fn forwarder(&mut self, n: usize, run: u32) -> Forwarder {
        let (zone, now) = (n / self.shape.forwarders, time(self.now));
        let seed = self.chance.random();
        let (engine, _) = DecisionEngine::start(now, seed, terms(self.shape, zone));
        let guide = (self.shape.planners > 0).then(|| self.guide(n, run));
        let last_event = self.coordinator_events.len() as u64;
        Forwarder {
            engine,
            guide,
            run,
            last_event,
            open: BTreeMap::new(),
        }
    }

    fn guide(&self, n: usize, run: u32) -> ForwarderSession {
        let epoch = Epoch((u64::from(run) + 1) << 20 | n as u64);
        let stance = ForwarderOptions {
            lease_terms: lease_terms(self.shape.window_ms),
            reserve: 0.0,
            seated: true,
            seat: SlotId(n as u64 + 1),
            blind_after: None,
        };
        ForwarderSession::start(time(self.now), epoch, stance, self.shape.planners as u32)
    }

    /// A forwarder that has just started is told all that is known.
    pub(super) fn listen(&mut self, n: usize) {
        let endpoints = (0..self.hosts.len()).map(|at| self.endpoint(at)).collect();
        if self.forwarders[n].guide.is_some() {
            self.take_hints(n);
            let spread = REPORT_MS * self.chance.random::<f64>();
            let run = self.forwarders[n].run;
            self.after(spread, Event::Report { forwarder: n, run });
        }
        let decisions = self.forwarders[n]
            .engine
            .list(time(self.now), ListKind::Full, endpoints);
        self.decide(n, decisions);
    }

    /// A forwarder's decision engine learns what its guide knows by now.
    pub(super) fn take_hints(&mut self, n: usize) {
        let now = time(self.now);
        let Forwarder {
            engine,
            guide: Some(guide),
            ..
        } = &mut self.forwarders[n]
        else {
            return;
        };
        let decisions = engine.guided(now, guide.hints(now));
        self.decide(n, decisions);
    }

    /// So large a part of the forwarders dies and starts again at once; its clients retry.
    pub(super) fn kill_forwarders(&mut self, part: f64) {
        let count = (self.forwarders.len() as f64 * part).floor() as usize;
        for n in 0..count {
            let open = std::mem::take(&mut self.forwarders[n].open);
            for (request, OpenRequest { want, .. }) in open {
                self.see(RecordedEvent::ClientLeft {
                    request: request.0.to_string(),
                });
                self.retry_unless_write(want, RETRY_AFTER_LOST_FORWARDER_MS);
            }
            let run = self.forwarders[n].run + 1;
            self.forwarders[n] = self.forwarder(n, run);
            self.listen(n);
        }
    }
}
