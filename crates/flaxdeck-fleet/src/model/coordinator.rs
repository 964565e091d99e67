//! The coordinator, whose events reach everybody late, and what changes about hosts.

use flaxdeck::{
    AttemptOutcome, CellId, Endpoint, FillOutcome, GroupId, Health, HostId, ListKind, Role, Time,
    ZoneId,
};
use flaxdeck_invariants::RecordedEvent;
use rand::Rng;

use super::events::Event;
use super::{GROUPS, Model, time};
use crate::hosts::{FailureMode, Job, Kind};

/// Milliseconds by which an event reaches forwarders at different times.
const JITTER_MS: f64 = 20.0;
/// Milliseconds from a host's withdrawal to its restart.
const DRAIN_MS: f64 = 1_500.0;

/// An event of the coordinator; they are numbered from 1.
#[derive(Clone)]
pub(super) enum CoordinatorEvent {
    /// A host's endpoint has changed.
    Endpoint(Endpoint),
    /// All that was made before that time is purged.
    PurgeAll(f64),
}

impl Model<'_> {
    /// A host's endpoint.
    pub(super) fn endpoint(&self, at: usize) -> Endpoint {
        let host = &self.hosts[at];
        let role = match host.kind {
            Kind::Cache => Role::Cache,
            Kind::Parent => Role::Parent,
            Kind::Origin => Role::Origin,
        };
        Endpoint {
            host: HostId(host.id.as_str().into()),
            weight: host.places,
            zone: (host.kind == Kind::Cache).then_some(ZoneId(host.zone)),
            cell: CellId(0),
            role,
            health: if host.up {
                Health::InService
            } else {
                Health::Removed
            },
            started: host.started.map(|at| Time::at_ms(time(at).ms().floor())),
        }
    }

    /// The coordinator publishes an event, which reaches everybody after its delay.
    pub(super) fn publish(&mut self, event: CoordinatorEvent) {
        self.coordinator_events.push(event);
        let number = self.coordinator_events.len() as u64;
        let delay = self.conditions.coordinator_ms;
        for forwarder in 0..self.forwarders.len() {
            let jitter = self.chance.random_range(0.0..JITTER_MS);
            self.after(delay + jitter, Event::ForwarderHears { forwarder, number });
        }
        for planner in 0..self.planners.len() {
            self.after(delay, Event::PlannerHears { planner, number });
        }
    }

    /// A host is withdrawn, and starts again a while later.
    pub(super) fn drain(&mut self, at: usize) {
        let endpoint = Endpoint {
            health: Health::Draining,
            ..self.endpoint(at)
        };
        self.see(RecordedEvent::HostWithdrawn {
            host: self.hosts[at].id.clone(),
        });
        self.publish(CoordinatorEvent::Endpoint(endpoint));
        self.after(DRAIN_MS, Event::Restart { host: at });
    }

    /// A host dies with all that it has in hand.
    pub(super) fn kill(&mut self, at: usize) {
        for job in self.hosts[at].die() {
            match job {
                Job::Answer(id) => self.end(id, AttemptOutcome::Broken, FillOutcome::Nothing),
                Job::Fill(id) | Job::Behind(id) => {
                    self.fill_failed(id, FillOutcome::SourceUnreached)
                }
            }
        }
        let endpoint = Endpoint {
            health: Health::Removed,
            ..self.endpoint(at)
        };
        self.publish(CoordinatorEvent::Endpoint(endpoint));
    }

    /// A host starts, cold.
    pub(super) fn restart(&mut self, at: usize) {
        if self.hosts[at].up {
            self.kill(at);
        }
        let host = &mut self.hosts[at];
        (host.up, host.started, host.failure_mode) = (true, Some(self.now), FailureMode::Serve);
        let id = host.id.clone();
        self.see(RecordedEvent::HostStarted { host: id.clone() });
        self.see(RecordedEvent::HostAnnounced { host: id });
        let endpoint = self.endpoint(at);
        self.publish(CoordinatorEvent::Endpoint(endpoint));
    }

    /// The event of that number reaches a forwarder; if it is new, so are those before it that it lacks.
    pub(super) fn forwarder_hears(&mut self, n: usize, number: u64) {
        let last = self.forwarders[n].last_event;
        if number <= last {
            return;
        }
        for number in last + 1..=number {
            self.apply(n, number);
        }
        let now = time(self.now);
        self.forwarders[n]
            .guide
            .iter_mut()
            .for_each(|guide| guide.coordinator_heard(now));
    }

    /// A forwarder applies the event of that number.
    pub(super) fn apply(&mut self, n: usize, number: u64) {
        self.forwarders[n].last_event = number;
        match self.coordinator_events[number as usize - 1].clone() {
            CoordinatorEvent::Endpoint(endpoint) => {
                let now = time(self.now);
                let decisions =
                    self.forwarders[n]
                        .engine
                        .list(now, ListKind::Delta, vec![endpoint]);
                self.decide(n, decisions);
            }
            CoordinatorEvent::PurgeAll(made) => self.purge(n, time(made)),
        }
    }

    fn purge(&mut self, n: usize, made: Time) {
        for group in 0..GROUPS {
            let decisions =
                self.forwarders[n]
                    .engine
                    .purge(time(self.now), None, GroupId(group), made);
            self.decide(n, decisions);
        }
    }
}
