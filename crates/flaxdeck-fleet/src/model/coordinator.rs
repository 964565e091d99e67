//! The coordinator, whose events arrive with a delay, and the host changes that it publishes.

use flaxdeck::{
    AttemptOutcome, CaughtUpAt, CellId, Endpoint, FillOutcome, GroupId, Health, HostId, ListKind,
    Role, Time, ZoneId,
};
use flaxdeck_invariants::RecordedEvent;
use rand::Rng;

use super::events::Event;
use super::{GROUPS, Model, time};
use crate::host::{FailureMode, HostKind, Job};

/// The maximum additional delay of an event on its way to a forwarder, drawn for each forwarder.
const MAX_JITTER_MS: f64 = 20.0;
/// The time from a host's withdrawal to its restart.
const DRAIN_MS: f64 = 1_500.0;

/// An event of the coordinator. Events are numbered from 1.
#[derive(Clone)]
pub(super) enum CoordinatorEvent {
    /// The endpoint of a host has changed.
    Endpoint(Endpoint),
    /// All copies made before this time, in milliseconds of the run, are purged.
    PurgeAll { made_before_ms: f64 },
}

impl Model<'_> {
    /// Returns the endpoint of a host as the coordinator lists it.
    pub(super) fn endpoint(&self, host: usize) -> Endpoint {
        let host = &self.hosts[host];
        let role = match host.kind {
            HostKind::Cache => Role::Cache,
            HostKind::Parent => Role::Parent,
            HostKind::Origin => Role::Origin,
        };
        let health = if host.up {
            Health::InService
        } else {
            Health::Removed
        };
        Endpoint {
            host: HostId(host.id.as_str().into()),
            weight: host.slots,
            zone: (host.kind == HostKind::Cache).then_some(ZoneId(host.zone)),
            cell: CellId(0),
            role,
            health,
            // Endpoint lists carry start times in whole milliseconds.
            started: host
                .started_ms
                .map(|at_ms| Time::at_ms(time(at_ms).ms().floor())),
        }
    }

    /// Publishes an event, which reaches forwarders and planners after the coordinator's delay.
    pub(super) fn publish(&mut self, event: CoordinatorEvent) {
        self.coordinator_events.push(event);
        let number = self.coordinator_events.len() as u64;
        let delay_ms = self.conditions.coordinator_delay_ms;
        for forwarder in 0..self.forwarders.len() {
            let jitter_ms = self.rng.random_range(0.0..MAX_JITTER_MS);
            let arrival = Event::CoordinatorToForwarder { forwarder, number };
            self.schedule(delay_ms + jitter_ms, arrival);
        }
        for planner in 0..self.planners.len() {
            self.schedule(delay_ms, Event::CoordinatorToPlanner { planner, number });
        }
    }

    /// Publishes the endpoint of a host with the given health.
    fn publish_health(&mut self, host: usize, health: Health) {
        let endpoint = Endpoint {
            health,
            ..self.endpoint(host)
        };
        self.publish(CoordinatorEvent::Endpoint(endpoint));
    }

    /// Withdraws a host, and schedules its restart.
    pub(super) fn drain_host(&mut self, host: usize) {
        self.record_event(RecordedEvent::HostWithdrawn {
            host: self.hosts[host].id.clone(),
        });
        self.publish_health(host, Health::Draining);
        self.schedule(DRAIN_MS, Event::Restart { host });
    }

    /// Crashes a host, which breaks the attempts and fills that it was working on.
    pub(super) fn crash_host(&mut self, host: usize) {
        for job in self.hosts[host].crash() {
            match job {
                Job::Answer(id) => {
                    self.end_attempt(id, AttemptOutcome::Broken, FillOutcome::Nothing);
                }
                Job::FillCache(id) | Job::FillParent(id) => {
                    self.fill_failed(id, FillOutcome::SourceUnreached);
                }
            }
        }
        self.publish_health(host, Health::Removed);
    }

    /// Restarts a host with an empty cache, crashing it first if it is running.
    pub(super) fn restart_host(&mut self, host: usize) {
        if self.hosts[host].up {
            self.crash_host(host);
        }
        let state = &mut self.hosts[host];
        state.up = true;
        state.started_ms = Some(self.now);
        state.failure_mode = FailureMode::Healthy;
        let id = state.id.clone();
        self.record_event(RecordedEvent::HostStarted { host: id.clone() });
        self.record_event(RecordedEvent::HostAnnounced { host: id });
        self.publish_health(host, Health::InService);
    }

    /// Handles the arrival of a coordinator event at a forwarder. Events may overtake each other: a forwarder that
    /// receives a newer event applies those that it lacks before it as well, and ignores older ones.
    pub(super) fn forwarder_receives_event(&mut self, forwarder: usize, number: u64) {
        let last = self.forwarders[forwarder].last_event;
        if number <= last {
            return;
        }
        for number in last + 1..=number {
            self.apply_event(forwarder, number);
        }
        let now = time(self.now);
        if let Some(session) = &mut self.forwarders[forwarder].session {
            session.note_caught_up(CaughtUpAt::new(now));
        }
    }

    /// Applies a coordinator event at a forwarder.
    pub(super) fn apply_event(&mut self, forwarder: usize, number: u64) {
        let now = time(self.now);
        self.forwarders[forwarder].last_event = number;
        match self.coordinator_events[number as usize - 1].clone() {
            CoordinatorEvent::Endpoint(endpoint) => {
                let engine = &mut self.forwarders[forwarder].engine;
                let decisions = engine.list(now, ListKind::Delta, vec![endpoint]);
                self.apply_decisions(forwarder, decisions);
            }
            CoordinatorEvent::PurgeAll { made_before_ms } => {
                self.purge_groups(forwarder, time(made_before_ms));
            }
        }
    }

    fn purge_groups(&mut self, forwarder: usize, made_before: Time) {
        let now = time(self.now);
        for group in 0..GROUPS {
            let engine = &mut self.forwarders[forwarder].engine;
            let decisions = engine.purge(now, None, GroupId(group), made_before);
            self.apply_decisions(forwarder, decisions);
        }
    }
}
