//! A coordinator that tells purges and changes of hosts, loses its numbering or is restored from a backup.

use std::collections::BTreeMap;

use flaxdeck::{ObjectId, Span, Time};
use flaxdeck_distribution::{Content, Fingerprint};
use flaxdeck_recovery::EventPosition;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use super::world::Schedule;

pub(crate) const STEP: u64 = 10;

pub(crate) const LASTS: u64 = 30_000;

/// The oracle is asked whenever the position moves, and this often.
pub(crate) const CHECKED_EVERY: u64 = 50;

pub(crate) const SETTLES: Span = Span::from_ms(6_000);

pub(crate) const OBJECTS: u64 = 24;

pub(crate) const GROUPS: u64 = 4;

pub(crate) const HOSTS: usize = 3;

pub(crate) const PLANNERS: usize = 2;

/// By then a planner has heard what the coordinator told, if its link is whole.
pub(crate) const TRANSIT: u64 = 40;

/// Which hosts are in service.
pub(crate) type Hosts = [bool; HOSTS];

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum Fact {
    Object(u64),
    Group { group: u64, made_ms: u64 },
    Hosts(Hosts),
}

#[derive(Clone, Debug)]
pub(crate) struct Event {
    pub(crate) position: EventPosition,
    pub(crate) told: Fact,
    pub(crate) made: u64,
    /// The list after it.
    pub(crate) hosts: Hosts,
}

/// The coordinator's events in one numbering; the first tells the whole list.
pub(crate) struct Coordinator {
    pub(crate) run: usize,
    pub(crate) events: Vec<Event>,
    pub(crate) hashes: u64,
    /// All events of all numberings but those that it lost when it was put back.
    pub(crate) known: BTreeMap<u64, Event>,
    /// The first event that has not settled yet.
    pub(crate) unsettled: u64,
    pub(crate) withdrawn_since: [Option<u64>; HOSTS],
}

impl Coordinator {
    pub(crate) fn start() -> Coordinator {
        let (run, events, hashes, known, unsettled) = (0, Vec::new(), 0, BTreeMap::new(), 0);
        let withdrawn_since = [None; HOSTS];
        let mut coordinator = Coordinator {
            run,
            events,
            hashes,
            known,
            unsettled,
            withdrawn_since,
        };
        coordinator.list(0, [true; HOSTS]);
        coordinator
    }

    pub(crate) fn last(&self) -> &Event {
        self.events.last().expect("a list is always there")
    }

    pub(crate) fn tell(&mut self, ms: u64, told: Fact) {
        let hosts = match told {
            Fact::Hosts(hosts) => hosts,
            _ => self.last().hosts,
        };
        self.hashes += 1;
        let position = EventPosition {
            number: self
                .events
                .last()
                .map_or(1, |last| last.position.number + 1),
            hash: self.hashes,
        };
        let event = Event {
            position,
            told,
            made: ms,
            hosts,
        };
        self.known.insert(position.hash, event.clone());
        self.events.push(event);
        self.stands(ms);
    }

    /// It begins anew with its list as event 1.
    pub(crate) fn list(&mut self, ms: u64, hosts: Hosts) {
        self.run += 1;
        self.events.clear();
        self.tell(ms, Fact::Hosts(hosts));
    }

    /// It is put back from a backup, and gives the numbers out again.
    pub(crate) fn restore(&mut self, ms: u64, events: usize) {
        self.run += 1;
        let left = self.events.len().saturating_sub(events).max(1);
        for lost in self.events.split_off(left) {
            self.known.remove(&lost.position.hash);
        }
        self.stands(ms);
    }

    pub(crate) fn stands(&mut self, ms: u64) {
        let hosts = self.last().hosts;
        for (since, in_service) in self.withdrawn_since.iter_mut().zip(hosts) {
            *since = if in_service { None } else { since.or(Some(ms)) };
        }
    }

    /// The place of an event; the last ones are asked for.
    pub(crate) fn place_of(&self, position: EventPosition) -> Option<usize> {
        self.events
            .iter()
            .rposition(|event| event.position == position)
    }

    pub(crate) fn settle(&mut self, ms: u64) {
        let settled = |event: &Event| at(ms).since(at(event.made)) > SETTLES;
        while self
            .known
            .range(self.unsettled..)
            .next()
            .is_some_and(|(_, event)| settled(event))
        {
            let first = self
                .known
                .range(self.unsettled..)
                .next()
                .map(|(hash, _)| *hash);
            self.unsettled = first.unwrap_or(self.unsettled) + 1;
        }
    }

    pub(crate) fn acts(&mut self, ms: u64, schedule: &Schedule, random: &mut Pcg64Mcg) {
        if random.random_bool(0.2) {
            self.tell(ms, Fact::Object(random.random_range(0..OBJECTS)));
        }
        if random.random_bool(0.01) {
            self.tell(
                ms,
                Fact::Group {
                    group: random.random_range(0..GROUPS),
                    made_ms: ms,
                },
            );
        }
        if random.random_bool(0.01) {
            let mut hosts = self.last().hosts;
            let host = random.random_range(0..HOSTS);
            hosts[host] = !hosts[host];
            self.tell(ms, Fact::Hosts(hosts));
        }
        if random.random_bool(schedule.renumberings) {
            if schedule.restores {
                self.restore(ms, random.random_range(1..40));
            } else {
                self.list(ms, self.last().hosts);
            }
        }
    }
}

pub(crate) fn at(ms: u64) -> Time {
    Time::at_ms((1_000_000 + ms) as f64)
}

pub(crate) fn frame(told: &Fact) -> Vec<u8> {
    postcard::to_stdvec(told).expect("it can be written")
}

pub(crate) fn content(told: &Fact) -> Content {
    match told {
        Fact::Object(object) => Content::ObjectPurge(Fingerprint::of(ObjectId(*object))),
        Fact::Group { .. } => Content::GroupPurge(frame(told)),
        Fact::Hosts(_) => Content::HostChange(frame(told)),
    }
}
