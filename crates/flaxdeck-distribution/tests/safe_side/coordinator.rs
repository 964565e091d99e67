//! A coordinator that emits purges and host changes, loses its numbering or is restored from a backup.

use std::collections::BTreeMap;

use flaxdeck::{ObjectId, Span, Time};
use flaxdeck_distribution::{Content, Fingerprint};
use flaxdeck_recovery::EventPosition;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use super::world::Schedule;

pub(crate) const STEP_MS: u64 = 10;

pub(crate) const DURATION_MS: u64 = 30_000;

/// The oracle is consulted whenever the position changes, and at this interval.
pub(crate) const CHECK_INTERVAL_MS: u64 = 50;

pub(crate) const SETTLE_TIME: Span = Span::from_ms(6_000);

pub(crate) const OBJECTS: u64 = 24;

pub(crate) const GROUPS: u64 = 4;

pub(crate) const HOSTS: usize = 3;

pub(crate) const PLANNERS: usize = 2;

/// The maximum time until a planner has received an event from the coordinator, unless it is partitioned.
pub(crate) const MAX_COORDINATOR_DELAY_MS: u64 = 40;

/// For each host, whether it is in service.
pub(crate) type Hosts = [bool; HOSTS];

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum Payload {
    Object(u64),
    Group { group: u64, made_ms: u64 },
    Hosts(Hosts),
}

#[derive(Clone, Debug)]
pub(crate) struct Event {
    pub(crate) position: EventPosition,
    pub(crate) payload: Payload,
    pub(crate) made_ms: u64,
    /// The list of hosts after the event.
    pub(crate) hosts: Hosts,
}

/// The coordinator with the events of its current numbering; the first event contains the full list of hosts.
pub(crate) struct Coordinator {
    pub(crate) numbering: usize,
    pub(crate) events: Vec<Event>,
    pub(crate) last_hash: u64,
    /// The events of all numberings by hash, except those lost when the coordinator was restored.
    pub(crate) events_by_hash: BTreeMap<u64, Event>,
    /// The hash of the first event that has not settled yet.
    pub(crate) first_unsettled_hash: u64,
    pub(crate) withdrawn_since: [Option<u64>; HOSTS],
}

impl Coordinator {
    pub(crate) fn start() -> Coordinator {
        let (numbering, events, last_hash, events_by_hash, first_unsettled_hash) =
            (0, Vec::new(), 0, BTreeMap::new(), 0);
        let withdrawn_since = [None; HOSTS];
        let mut coordinator = Coordinator {
            numbering,
            events,
            last_hash,
            events_by_hash,
            first_unsettled_hash,
            withdrawn_since,
        };
        coordinator.restart_numbering(0, [true; HOSTS]);
        coordinator
    }

    pub(crate) fn last(&self) -> &Event {
        self.events
            .last()
            .expect("every numbering has at least one event")
    }

    pub(crate) fn emit(&mut self, ms: u64, payload: Payload) {
        let hosts = match payload {
            Payload::Hosts(hosts) => hosts,
            _ => self.last().hosts,
        };
        self.last_hash += 1;
        let position = EventPosition {
            number: self
                .events
                .last()
                .map_or(1, |last| last.position.number + 1),
            hash: self.last_hash,
        };
        let event = Event {
            position,
            payload,
            made_ms: ms,
            hosts,
        };
        self.events_by_hash.insert(position.hash, event.clone());
        self.events.push(event);
        self.update_withdrawn(ms);
    }

    /// Starts a new numbering with the list of hosts as event 1.
    pub(crate) fn restart_numbering(&mut self, ms: u64, hosts: Hosts) {
        self.numbering += 1;
        self.events.clear();
        self.emit(ms, Payload::Hosts(hosts));
    }

    /// Restores the coordinator from a backup without the last `events` events; their numbers are used again.
    pub(crate) fn restore(&mut self, ms: u64, events: usize) {
        self.numbering += 1;
        let remaining = self.events.len().saturating_sub(events).max(1);
        for removed in self.events.split_off(remaining) {
            self.events_by_hash.remove(&removed.position.hash);
        }
        self.update_withdrawn(ms);
    }

    pub(crate) fn update_withdrawn(&mut self, ms: u64) {
        let hosts = self.last().hosts;
        for (since, in_service) in self.withdrawn_since.iter_mut().zip(hosts) {
            *since = if in_service { None } else { since.or(Some(ms)) };
        }
    }

    /// Returns the index of an event. Searches from the end, as recent events are looked up.
    pub(crate) fn index_of(&self, position: EventPosition) -> Option<usize> {
        self.events
            .iter()
            .rposition(|event| event.position == position)
    }

    pub(crate) fn skip_settled(&mut self, ms: u64) {
        let settled = |event: &Event| at(ms).since(at(event.made_ms)) > SETTLE_TIME;
        while self
            .events_by_hash
            .range(self.first_unsettled_hash..)
            .next()
            .is_some_and(|(_, event)| settled(event))
        {
            let first = self
                .events_by_hash
                .range(self.first_unsettled_hash..)
                .next()
                .map(|(hash, _)| *hash);
            self.first_unsettled_hash = first.unwrap_or(self.first_unsettled_hash) + 1;
        }
    }

    pub(crate) fn generate_events(&mut self, ms: u64, schedule: &Schedule, random: &mut Pcg64Mcg) {
        if random.random_bool(0.2) {
            self.emit(ms, Payload::Object(random.random_range(0..OBJECTS)));
        }
        if random.random_bool(0.01) {
            self.emit(
                ms,
                Payload::Group {
                    group: random.random_range(0..GROUPS),
                    made_ms: ms,
                },
            );
        }
        if random.random_bool(0.01) {
            let mut hosts = self.last().hosts;
            let host = random.random_range(0..HOSTS);
            hosts[host] = !hosts[host];
            self.emit(ms, Payload::Hosts(hosts));
        }
        if random.random_bool(schedule.renumberings) {
            if schedule.restores {
                self.restore(ms, random.random_range(1..40));
            } else {
                self.restart_numbering(ms, self.last().hosts);
            }
        }
    }
}

pub(crate) fn at(ms: u64) -> Time {
    Time::at_ms((1_000_000 + ms) as f64)
}

pub(crate) fn to_frame(payload: &Payload) -> Vec<u8> {
    postcard::to_stdvec(payload).expect("a payload can be encoded")
}

pub(crate) fn to_content(payload: &Payload) -> Content {
    match payload {
        Payload::Object(object) => Content::ObjectPurge(Fingerprint::of(ObjectId(*object))),
        Payload::Group { .. } => Content::GroupPurge(to_frame(payload)),
        Payload::Hosts(_) => Content::HostChange(to_frame(payload)),
    }
}
