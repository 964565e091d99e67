//! A forwarder, and mutations that the oracle has to detect.

use flaxdeck::ObjectId;
use flaxdeck_distribution::messages::FullEvent;
use flaxdeck_distribution::{Applied, Cadence, Fingerprint, PurgeIndex, Subscriber};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::coordinator::{
    Coordinator, GROUPS, HOSTS, Hosts, MAX_COORDINATOR_DELAY_MS, PLANNERS, Payload, SETTLE_TIME, at,
};

/// A deliberate fault of the forwarder.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Mutation {
    None,
    /// Ignores that a snapshot may miss purges.
    MissedPurgesIgnored,
    /// Drops the first purge of each batch.
    PurgeForgotten,
    /// Does not apply the list of hosts of a snapshot.
    ListIgnored,
    /// Applies purges for half of the hosts' settle time only.
    SettledTooSoon,
}

pub(crate) struct Forwarder {
    pub(crate) subscriber: Subscriber,
    pub(crate) index: PurgeIndex,
    /// Purges of groups, each with the time at which it was made.
    pub(crate) groups: Vec<(u64, u64)>,
    pub(crate) hosts: Hosts,
    pub(crate) incomplete_before: Option<u64>,
    /// The connection to the coordinator: when it next receives events, and the numbering that it is in.
    pub(crate) watch: Option<(u64, usize)>,
}

impl Forwarder {
    pub(crate) fn start(ms: u64, preference: u64, mutation: Mutation) -> Forwarder {
        let settle_time = if mutation == Mutation::SettledTooSoon {
            SETTLE_TIME * 0.5
        } else {
            SETTLE_TIME
        };
        Forwarder {
            subscriber: Subscriber::start(
                at(ms),
                PLANNERS as u32,
                preference,
                Cadence::default(),
                SETTLE_TIME,
            ),
            index: PurgeIndex::new(settle_time),
            groups: Vec::new(),
            hosts: [false; HOSTS],
            incomplete_before: None,
            watch: None,
        }
    }

    pub(crate) fn apply_payload(&mut self, ms: u64, payload: &Payload) {
        match payload {
            Payload::Object(object) => self
                .index
                .record(at(ms), &[Fingerprint::of(ObjectId(*object))]),
            Payload::Group { group, made_ms } => self.groups.push((*group, *made_ms)),
            Payload::Hosts(hosts) => self.hosts = *hosts,
        }
    }

    pub(crate) fn apply(&mut self, ms: u64, applied: Applied, mutation: Mutation) {
        let decode = |events: Vec<FullEvent>| -> Vec<Payload> {
            events
                .iter()
                .map(|event| {
                    postcard::from_bytes(&event.frame).expect("the frame was encoded by this test")
                })
                .collect()
        };
        match applied {
            Applied::Nothing => {}
            Applied::Events { purges, events, .. } => {
                let skip = usize::from(mutation == Mutation::PurgeForgotten).min(purges.len());
                self.index.record(at(ms), &purges[skip..]);
                for payload in decode(events) {
                    self.apply_payload(ms, &payload);
                }
            }
            Applied::Snapshot {
                list,
                purges,
                group_purges,
                may_miss_purges,
                ..
            } => {
                self.index.record(at(ms), &purges);
                for payload in decode(group_purges) {
                    self.apply_payload(ms, &payload);
                }
                let list: Hosts =
                    postcard::from_bytes(&list).expect("the frame was encoded by this test");
                if mutation != Mutation::ListIgnored {
                    self.hosts = list;
                }
                if may_miss_purges && mutation != Mutation::MissedPurgesIgnored {
                    self.incomplete_before = Some(ms);
                }
            }
        }
    }

    /// Returns the earliest creation time of a copy of the object that may be served; 0 if any copy may be.
    pub(crate) fn oldest_servable_copy(&mut self, ms: u64, object: u64) -> u64 {
        let now = at(ms);
        let is_unsettled = |made_ms: &u64| now.since(at(*made_ms)) <= SETTLE_TIME;
        let object_cutoff = self
            .index
            .purged_at(now, ObjectId(object))
            .max(self.index.incomplete_before(now));
        let object_cutoff = object_cutoff.map_or(0, |cutoff| cutoff.since(at(0)).ms() as u64);
        let groups = self
            .groups
            .iter()
            .filter(|(group, _)| *group == object % GROUPS);
        let group_cutoff = groups.map(|(_, made_ms)| *made_ms).max().unwrap_or(0);
        object_cutoff
            .max(group_cutoff)
            .max(self.incomplete_before.filter(is_unsettled).unwrap_or(0))
    }

    /// Applies events from the coordinator itself while no planner delivers.
    pub(crate) fn follow_coordinator(
        &mut self,
        ms: u64,
        coordinator: &Coordinator,
        random: &mut Pcg64Mcg,
    ) {
        if !self.subscriber.needs_coordinator(at(ms)) {
            self.watch = None;
            return;
        }
        let (next_at, numbering) = *self
            .watch
            .get_or_insert((ms + random.random_range(50..500), coordinator.numbering));
        if ms < next_at {
            return;
        }
        if numbering != coordinator.numbering {
            self.watch = None;
            return;
        }
        // Events delivered by planners in the meantime count as well, unless they are of another numbering.
        let position = self.subscriber.position();
        match coordinator.index_of(position) {
            None => (self.hosts, self.incomplete_before) = (coordinator.last().hosts, Some(ms)),
            Some(index) => {
                for event in &coordinator.events[index + 1..] {
                    self.apply_payload(ms, &event.payload);
                }
            }
        }
        self.watch = Some((
            ms + random.random_range(0..MAX_COORDINATOR_DELAY_MS),
            numbering,
        ));
        if coordinator.last().position != position {
            self.subscriber
                .set_position(at(ms), coordinator.last().position);
        }
    }
}
