//! A forwarder, and the ways in which it is broken on purpose.

use flaxdeck::ObjectId;
use flaxdeck_distribution::messages::FullEvent;
use flaxdeck_distribution::{Applied, Cadence, Fingerprint, PurgeIndex, Subscriber};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::coordinator::{Coordinator, Fact, GROUPS, HOSTS, Hosts, PLANNERS, SETTLES, TRANSIT, at};

/// How the forwarder is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Broken {
    Nothing,
    /// That a snapshot may miss purges is ignored.
    MissedPurgesIgnored,
    /// The first purge of each batch is forgotten.
    PurgeForgotten,
    /// A snapshot's list is not taken.
    ListIgnored,
    /// Purges are applied for half the hosts' time.
    SettledTooSoon,
}

pub(crate) struct Forwarder {
    pub(crate) subscriber: Subscriber,
    pub(crate) index: PurgeIndex,
    /// Purges of groups in full.
    pub(crate) groups: Vec<(u64, u64)>,
    pub(crate) hosts: Hosts,
    pub(crate) incomplete_before: Option<u64>,
    /// The coordinator's own connection: when it next tells something, and its run.
    pub(crate) watch: Option<(u64, usize)>,
}

impl Forwarder {
    pub(crate) fn start(ms: u64, preference: u64, broken: Broken) -> Forwarder {
        let settles = if broken == Broken::SettledTooSoon {
            SETTLES * 0.5
        } else {
            SETTLES
        };
        Forwarder {
            subscriber: Subscriber::start(
                at(ms),
                PLANNERS as u32,
                preference,
                Cadence::default(),
                SETTLES,
            ),
            index: PurgeIndex::new(settles),
            groups: Vec::new(),
            hosts: [false; HOSTS],
            incomplete_before: None,
            watch: None,
        }
    }

    pub(crate) fn applies_in_full(&mut self, ms: u64, told: &Fact) {
        match told {
            Fact::Object(object) => self
                .index
                .record(at(ms), &[Fingerprint::of(ObjectId(*object))]),
            Fact::Group { group, made_ms } => self.groups.push((*group, *made_ms)),
            Fact::Hosts(hosts) => self.hosts = *hosts,
        }
    }

    pub(crate) fn applies(&mut self, ms: u64, applied: Applied, broken: Broken) {
        let full = |events: Vec<FullEvent>| -> Vec<Fact> {
            events
                .iter()
                .map(|event| postcard::from_bytes(&event.frame).expect("written here"))
                .collect()
        };
        match applied {
            Applied::Nothing => {}
            Applied::Events { purges, events, .. } => {
                let skip = usize::from(broken == Broken::PurgeForgotten).min(purges.len());
                self.index.record(at(ms), &purges[skip..]);
                for told in full(events) {
                    self.applies_in_full(ms, &told);
                }
            }
            Applied::Snapshot {
                list,
                purges,
                group_purges,
                may_miss_purges: copies_in_doubt,
                ..
            } => {
                self.index.record(at(ms), &purges);
                for told in full(group_purges) {
                    self.applies_in_full(ms, &told);
                }
                let list: Hosts = postcard::from_bytes(&list).expect("written here");
                if broken != Broken::ListIgnored {
                    self.hosts = list;
                }
                if copies_in_doubt && broken != Broken::MissedPurgesIgnored {
                    self.incomplete_before = Some(ms);
                }
            }
        }
    }

    /// From when on a copy of that object has to be to be handed out; 0 if any will do.
    pub(crate) fn copies_from(&mut self, ms: u64, object: u64) -> u64 {
        let now = at(ms);
        let unsettled = |made: &u64| now.since(at(*made)) <= SETTLES;
        let told = self
            .index
            .purged_at(now, ObjectId(object))
            .max(self.index.incomplete_before(now));
        let told = told.map_or(0, |told| told.since(at(0)).ms() as u64);
        let groups = self
            .groups
            .iter()
            .filter(|(group, _)| *group == object % GROUPS);
        let group = groups.map(|(_, made)| *made).max().unwrap_or(0);
        told.max(group)
            .max(self.incomplete_before.filter(unsettled).unwrap_or(0))
    }

    /// The coordinator's own watch, while no planner delivers.
    pub(crate) fn follows_coordinator(
        &mut self,
        ms: u64,
        coordinator: &Coordinator,
        random: &mut Pcg64Mcg,
    ) {
        if !self.subscriber.needs_coordinator(at(ms)) {
            self.watch = None;
            return;
        }
        let (from, run) = *self
            .watch
            .get_or_insert((ms + random.random_range(50..500), coordinator.run));
        if ms < from {
            return;
        }
        if run != coordinator.run {
            self.watch = None;
            return;
        }
        // What planners told meanwhile counts as well, unless it was of another numbering.
        let position = self.subscriber.position();
        match coordinator.place_of(position) {
            None => (self.hosts, self.incomplete_before) = (coordinator.last().hosts, Some(ms)),
            Some(place) => {
                for event in &coordinator.events[place + 1..] {
                    self.applies_in_full(ms, &event.told);
                }
            }
        }
        self.watch = Some((ms + random.random_range(0..TRANSIT), run));
        if coordinator.last().position != position {
            self.subscriber
                .set_position(at(ms), coordinator.last().position);
        }
    }
}
