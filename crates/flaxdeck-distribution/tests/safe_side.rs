//! Safe side only: whatever a forwarder would hand out with the digests it would also have handed out with the events in
//! full. Random schedules of the real machines in virtual time: one forwarder, two planners and a coordinator that gives
//! out purges and changes of hosts, loses its numbering or is put back; messages lost, late, doubled and out of order,
//! conversations cut, planners deaf, behind and restarted, the forwarder restarted.
//!
//! The oracle has every event in full and applies it at the moment at which the forwarder's position passes it.

use std::collections::{BTreeMap, BTreeSet};

use flaxdeck::{ObjectId, Span, Time};
use flaxdeck_distribution::messages::{Delivery, FullEvent, Subscription};
use flaxdeck_distribution::{
    Applied, Cadence, Content, Fingerprint, PlannerNumber, Publisher, PurgeIndex, Retention,
    Subscriber, SubscriberId,
};
use flaxdeck_recovery::EventPosition;
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

const STEP: u64 = 10;
const LASTS: u64 = 30_000;
/// The oracle is asked whenever the position moves, and this often.
const CHECKED_EVERY: u64 = 50;
const SETTLES: Span = Span::from_ms(6_000);
const OBJECTS: u64 = 24;
const GROUPS: u64 = 4;
const HOSTS: usize = 3;
const PLANNERS: usize = 2;
/// By then a planner has heard what the coordinator told, if its link is whole.
const TRANSIT: u64 = 40;

/// Which hosts are in service.
type Hosts = [bool; HOSTS];

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum Told {
    Object(u64),
    Group { group: u64, made_ms: u64 },
    Hosts(Hosts),
}

#[derive(Clone, Debug)]
struct Event {
    mark: EventPosition,
    told: Told,
    made: u64,
    /// The list after it.
    hosts: Hosts,
}

/// The coordinator's events in one numbering; the first tells the whole list.
struct Coordinator {
    run: usize,
    events: Vec<Event>,
    hashes: u64,
    /// All events of all numberings but those that it lost when it was put back.
    known: BTreeMap<u64, Event>,
    /// The first event that has not settled yet.
    unsettled: u64,
    withdrawn_since: [Option<u64>; HOSTS],
}

impl Coordinator {
    fn start() -> Coordinator {
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

    fn last(&self) -> &Event {
        self.events.last().expect("a list is always there")
    }

    fn tell(&mut self, ms: u64, told: Told) {
        let hosts = match told {
            Told::Hosts(hosts) => hosts,
            _ => self.last().hosts,
        };
        self.hashes += 1;
        let mark = EventPosition {
            number: self.events.last().map_or(1, |last| last.mark.number + 1),
            hash: self.hashes,
        };
        let event = Event {
            mark,
            told,
            made: ms,
            hosts,
        };
        self.known.insert(mark.hash, event.clone());
        self.events.push(event);
        self.stands(ms);
    }

    /// It begins anew with its list as event 1.
    fn list(&mut self, ms: u64, hosts: Hosts) {
        self.run += 1;
        self.events.clear();
        self.tell(ms, Told::Hosts(hosts));
    }

    /// It is put back from a backup, and gives the numbers out again.
    fn put_back(&mut self, ms: u64, events: usize) {
        self.run += 1;
        let left = self.events.len().saturating_sub(events).max(1);
        for lost in self.events.split_off(left) {
            self.known.remove(&lost.mark.hash);
        }
        self.stands(ms);
    }

    fn stands(&mut self, ms: u64) {
        let hosts = self.last().hosts;
        for (since, in_service) in self.withdrawn_since.iter_mut().zip(hosts) {
            *since = if in_service { None } else { since.or(Some(ms)) };
        }
    }

    /// The place of an event; the last ones are asked for.
    fn place_of(&self, mark: EventPosition) -> Option<usize> {
        self.events.iter().rposition(|event| event.mark == mark)
    }

    fn settle(&mut self, ms: u64) {
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

    fn acts(&mut self, ms: u64, play: &Play, chance: &mut Pcg64Mcg) {
        if chance.random_bool(0.2) {
            self.tell(ms, Told::Object(chance.random_range(0..OBJECTS)));
        }
        if chance.random_bool(0.01) {
            self.tell(
                ms,
                Told::Group {
                    group: chance.random_range(0..GROUPS),
                    made_ms: ms,
                },
            );
        }
        if chance.random_bool(0.01) {
            let mut hosts = self.last().hosts;
            let host = chance.random_range(0..HOSTS);
            hosts[host] = !hosts[host];
            self.tell(ms, Told::Hosts(hosts));
        }
        if chance.random_bool(play.renumberings) {
            if play.put_back {
                self.put_back(ms, chance.random_range(1..40));
            } else {
                self.list(ms, self.last().hosts);
            }
        }
    }
}

fn at(ms: u64) -> Time {
    Time::at_ms((1_000_000 + ms) as f64)
}

fn frame(told: &Told) -> Vec<u8> {
    postcard::to_stdvec(told).expect("it can be written")
}

fn content(told: &Told) -> Content {
    match told {
        Told::Object(object) => Content::ObjectPurge(Fingerprint::of(ObjectId(*object))),
        Told::Group { .. } => Content::GroupPurge(frame(told)),
        Told::Hosts(_) => Content::HostChange(frame(told)),
    }
}

struct Planner {
    publisher: Publisher,
    /// The coordinator's run that it follows, and how many of its events it has.
    follows: Option<(usize, usize)>,
    hosts: Hosts,
    deaf_until: u64,
    /// When the coordinator next has something for it, events or an empty frame.
    hears_at: u64,
    conversation: u64,
    connected: bool,
    /// When the forwarder sent what came last.
    echo: u64,
    restarts_at: u64,
}

impl Planner {
    fn start(ms: u64, play: &Play) -> Planner {
        let retention = Retention {
            keep_for: Span::from_ms(play.keep_for),
            max_bytes: play.bytes_most,
        };
        Planner {
            publisher: Publisher::start(at(ms), Cadence::default(), retention, EventPosition::NONE),
            follows: None,
            hosts: [false; HOSTS],
            deaf_until: 0,
            hears_at: ms,
            conversation: 0,
            connected: false,
            echo: 0,
            restarts_at: u64::MAX,
        }
    }

    fn hears(&mut self, ms: u64, coordinator: &Coordinator, chance: &mut Pcg64Mcg) {
        if ms < self.deaf_until || ms < self.hears_at {
            return;
        }
        self.hears_at = ms + chance.random_range(0..TRANSIT);
        let now = at(ms);
        match self.follows {
            Some((run, place)) if run == coordinator.run => {
                for event in &coordinator.events[place..] {
                    self.publisher
                        .append_event(now, event.mark, content(&event.told));
                }
            }
            // A planner finds out when it comes back to the coordinator.
            _ if self.follows.is_some() && chance.random_bool(0.95) => return,
            _ => self
                .publisher
                .restart_numbering(now, coordinator.last().mark),
        }
        (self.follows, self.hosts) = (
            Some((coordinator.run, coordinator.events.len())),
            coordinator.last().hosts,
        );
        self.publisher.coordinator_heard(now, true);
    }
}

/// How the forwarder is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Broken {
    Nothing,
    /// Doubts of snapshots are not heeded.
    DoubtIgnored,
    /// The first purge of each batch is forgotten.
    PurgeForgotten,
    /// A snapshot's list is not taken.
    ListIgnored,
    /// Purges are heeded for half the hosts' time.
    SettledTooSoon,
}

struct Forwarder {
    subscriber: Subscriber,
    index: PurgeIndex,
    /// Purges of groups in full.
    groups: Vec<(u64, u64)>,
    hosts: Hosts,
    doubted: Option<u64>,
    /// The coordinator's own conversation: when it next tells something, and its run.
    watch: Option<(u64, usize)>,
}

impl Forwarder {
    fn start(ms: u64, preference: u64, broken: Broken) -> Forwarder {
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
            doubted: None,
            watch: None,
        }
    }

    fn applies_in_full(&mut self, ms: u64, told: &Told) {
        match told {
            Told::Object(object) => self
                .index
                .record(at(ms), &[Fingerprint::of(ObjectId(*object))]),
            Told::Group { group, made_ms } => self.groups.push((*group, *made_ms)),
            Told::Hosts(hosts) => self.hosts = *hosts,
        }
    }

    fn applies(&mut self, ms: u64, applied: Applied, broken: Broken) {
        let full = |events: Vec<FullEvent>| -> Vec<Told> {
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
                full(events)
                    .iter()
                    .for_each(|told| self.applies_in_full(ms, told));
            }
            Applied::Snapshot {
                list,
                purges,
                group_purges,
                may_miss_purges: copies_in_doubt,
                ..
            } => {
                self.index.record(at(ms), &purges);
                full(group_purges)
                    .iter()
                    .for_each(|told| self.applies_in_full(ms, told));
                let list: Hosts = postcard::from_bytes(&list).expect("written here");
                if broken != Broken::ListIgnored {
                    self.hosts = list;
                }
                if copies_in_doubt && broken != Broken::DoubtIgnored {
                    self.doubted = Some(ms);
                }
            }
        }
    }

    /// From when on a copy of that object has to be to be handed out; 0 if any will do.
    fn copies_from(&mut self, ms: u64, object: u64) -> u64 {
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
            .max(self.doubted.filter(unsettled).unwrap_or(0))
    }

    /// The coordinator's own watch, while no planner delivers.
    fn follows_coordinator(&mut self, ms: u64, coordinator: &Coordinator, chance: &mut Pcg64Mcg) {
        if !self.subscriber.needs_coordinator(at(ms)) {
            self.watch = None;
            return;
        }
        let (from, run) = *self
            .watch
            .get_or_insert((ms + chance.random_range(50..500), coordinator.run));
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
            None => (self.hosts, self.doubted) = (coordinator.last().hosts, Some(ms)),
            Some(place) => {
                let events = &coordinator.events[place + 1..];
                events
                    .iter()
                    .for_each(|event| self.applies_in_full(ms, &event.told));
            }
        }
        self.watch = Some((ms + chance.random_range(0..TRANSIT), run));
        if coordinator.last().mark != position {
            self.subscriber
                .set_position(at(ms), coordinator.last().mark);
        }
    }
}

struct Message {
    planner: usize,
    conversation: u64,
    comes: u64,
    body: Body,
}

#[derive(Clone)]
enum Body {
    Asks {
        sent: u64,
        subscription: Subscription,
    },
    Tells {
        echo: u64,
        delivery: Delivery,
    },
}

/// How often what goes wrong, as chances a message or a step.
#[derive(Clone, Debug)]
struct Play {
    seed: u64,
    lost: f64,
    late: f64,
    doubled: f64,
    cuts: f64,
    restarts: f64,
    deaf: f64,
    renumberings: f64,
    put_back: bool,
    keep_for: u64,
    bytes_most: usize,
}

fn plays() -> impl Strategy<Value = Play> {
    let network = (0.0..0.3, 0.0..0.2, 0.0..0.2, 0.0..0.002);
    let sides = (0.0..0.001, 0.0..0.002, 0.0..0.001, any::<bool>());
    let kept = (
        1_000..30_000_u64,
        prop_oneof![Just(1 << 24), 4_000..40_000_usize],
    );
    (any::<u64>(), network, sides, kept).prop_map(|(seed, network, sides, kept)| {
        let (lost, late, doubled, cuts) = network;
        let (restarts, deaf, renumberings, put_back) = sides;
        let (keep_for, bytes_most) = kept;
        Play {
            seed,
            lost,
            late,
            doubled,
            cuts,
            restarts,
            deaf,
            renumberings,
            put_back,
            keep_for,
            bytes_most,
        }
    })
}

/// What has happened, to show that schedules are not empty.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    batches: u64,
    snapshots: u64,
    doubts: u64,
    refused: u64,
    duplicates: u64,
    /// Moves by the coordinator's own watch.
    fed: u64,
    /// Copies that the forwarder refused and that the oracle would have handed out, of all looked at.
    refused_more: u64,
    looked_at: u64,
}

struct World<'a> {
    play: &'a Play,
    broken: Broken,
    chance: Pcg64Mcg,
    coordinator: Coordinator,
    planners: Vec<Planner>,
    forwarder: Forwarder,
    network: Vec<Message>,
    /// Purges that the position has passed.
    passed: BTreeSet<u64>,
    seen: Seen,
}

impl World<'_> {
    fn send(&mut self, ms: u64, planner: usize, body: Body) {
        let copies = if self.chance.random_bool(self.play.lost) {
            0
        } else {
            1 + usize::from(self.chance.random_bool(self.play.doubled))
        };
        for _ in 0..copies {
            let late = if self.chance.random_bool(self.play.late) {
                2_000
            } else {
                50
            };
            let comes = ms + self.chance.random_range(0..late);
            let conversation = self.planners[planner].conversation;
            self.network.push(Message {
                planner,
                conversation,
                comes,
                body: body.clone(),
            });
        }
    }

    fn disconnect(&mut self, ms: u64, planner: usize) {
        let known = &mut self.planners[planner];
        (known.connected, known.restarts_at) = (false, ms + self.chance.random_range(50..1_500));
        known.publisher.unsubscribe(SubscriberId(0));
        self.forwarder
            .subscriber
            .disconnected(at(ms), PlannerNumber(planner as u32));
    }

    fn connect(&mut self, ms: u64, planner: usize) {
        let known = &mut self.planners[planner];
        (known.connected, known.echo, known.restarts_at) = (true, 0, u64::MAX);
        known.conversation += 1;
        self.forwarder
            .subscriber
            .connected(at(ms), PlannerNumber(planner as u32));
    }

    fn faults(&mut self, ms: u64) {
        for planner in 0..PLANNERS {
            if self.chance.random_bool(self.play.deaf) {
                self.planners[planner].deaf_until = ms + self.chance.random_range(100..6_000);
            }
            if self.chance.random_bool(self.play.cuts) && self.planners[planner].connected {
                self.disconnect(ms, planner);
            }
            if self.chance.random_bool(self.play.restarts) {
                self.disconnect(ms, planner);
                let conversation = self.planners[planner].conversation;
                let restarts_at = ms + 200;
                self.planners[planner] = Planner {
                    conversation,
                    restarts_at,
                    ..Planner::start(ms, self.play)
                };
            }
            if ms >= self.planners[planner].restarts_at {
                self.connect(ms, planner);
            }
        }
        if self.chance.random_bool(self.play.restarts * 0.5) {
            self.count();
            let preference = self.chance.random();
            self.forwarder = Forwarder::start(ms, preference, self.broken);
            self.passed.clear();
            (0..PLANNERS).for_each(|planner| self.connect(ms, planner));
        }
    }

    fn speak(&mut self, ms: u64) {
        for (to, subscription) in self.forwarder.subscriber.actions(at(ms)) {
            self.send(
                ms,
                to.0 as usize,
                Body::Asks {
                    sent: ms,
                    subscription,
                },
            );
        }
        for planner in 0..PLANNERS {
            let known = &mut self.planners[planner];
            let hosts = known.hosts;
            for id in known.publisher.due(at(ms)) {
                let mut list = |_| postcard::to_stdvec(&hosts).expect("it can be written");
                let told = self.planners[planner]
                    .publisher
                    .update_for(at(ms), id, &mut list);
                let echo = self.planners[planner].echo;
                if let Some(delivery) = told {
                    self.send(ms, planner, Body::Tells { echo, delivery });
                }
            }
        }
    }

    fn deliver(&mut self, ms: u64) {
        while let Some(place) = self.network.iter().position(|message| message.comes <= ms) {
            let Message {
                planner,
                conversation,
                body,
                ..
            } = self.network.remove(place);
            let known = &mut self.planners[planner];
            if !known.connected || known.conversation != conversation {
                continue;
            }
            match body {
                Body::Asks { sent, subscription } => {
                    known.echo = sent;
                    known
                        .publisher
                        .subscribe(at(ms), SubscriberId(0), subscription);
                }
                Body::Tells { echo, delivery } => {
                    let number = PlannerNumber(planner as u32);
                    self.forwarder.subscriber.record_echo(number, at(echo));
                    match self.forwarder.subscriber.receive(at(ms), number, delivery) {
                        Ok(applied) => self.forwarder.applies(ms, applied, self.broken),
                        Err(_) => self.seen.refused += 1,
                    }
                }
            }
        }
    }

    /// Beside the oracle.
    fn check(&mut self, ms: u64) -> Result<(), String> {
        let position = self.forwarder.subscriber.position();
        self.coordinator.settle(ms);
        let (unsettled, known) = (self.coordinator.unsettled, &self.coordinator.known);
        if position.hash >= unsettled {
            self.passed.extend(
                known
                    .range(unsettled..=position.hash)
                    .map(|(hash, _)| *hash),
            );
        }
        self.passed
            .retain(|hash| *hash >= unsettled && known.contains_key(hash));
        // Where it claims to have had all that the coordinator had, it has all that was told by then.
        let vouched = self
            .forwarder
            .subscriber
            .confirmed_at()
            .filter(|_| !self.play.put_back);
        let claimed =
            |event: &Event| vouched.is_some_and(|vouched| at(event.made + TRANSIT) < vouched);
        let due = known
            .range(unsettled..)
            .filter(|(hash, event)| self.passed.contains(hash) || claimed(event));
        let due: Vec<&Event> = due.map(|(_, event)| event).collect();
        self.forwarder
            .groups
            .retain(|(_, made)| at(ms).since(at(*made)) <= SETTLES);
        let mut from = [0; OBJECTS as usize];
        for event in due {
            let hit = |object: u64| match event.told {
                Told::Object(purged) => purged == object,
                Told::Group { group, .. } => group == object % GROUPS,
                Told::Hosts(_) => false,
            };
            (0..OBJECTS)
                .filter(|object| hit(*object))
                .for_each(|object| {
                    from[object as usize] = from[object as usize].max(event.made);
                });
        }
        for (object, oracle) in from.into_iter().enumerate() {
            let digest = self.forwarder.copies_from(ms, object as u64);
            if digest < oracle {
                return Err(format!(
                    "at {ms} object {object} from {digest}, by the events from {oracle}"
                ));
            }
            self.seen.looked_at += 1;
            self.seen.refused_more += u64::from(digest > 0 && oracle == 0);
        }
        self.check_hosts(ms, position)
    }

    fn check_hosts(&self, ms: u64, position: EventPosition) -> Result<(), String> {
        let Some(event) = self.coordinator.known.get(&position.hash) else {
            return Ok(());
        };
        if self.forwarder.hosts != event.hosts {
            return Err(format!(
                "at {ms} hosts {:?}, by the events {:?}",
                self.forwarder.hosts, event.hosts
            ));
        }
        // Where it claims to have had all that the coordinator had, it uses no host withdrawn by then. A coordinator
        // that is put back may be contradicted for a while by a planner that has not noticed.
        let Some(vouched) = self
            .forwarder
            .subscriber
            .confirmed_at()
            .filter(|_| !self.play.put_back)
        else {
            return Ok(());
        };
        for (host, since) in self.coordinator.withdrawn_since.iter().enumerate() {
            let known = since.is_some_and(|since| at(since + TRANSIT) < vouched);
            if known && self.forwarder.hosts[host] {
                return Err(format!(
                    "at {ms} host {host} used, withdrawn since {since:?}"
                ));
            }
        }
        Ok(())
    }

    fn count(&mut self) {
        let counters = self.forwarder.subscriber.counters;
        self.seen.batches += counters.batches;
        self.seen.snapshots += counters.snapshots;
        self.seen.doubts += counters.incomplete_snapshots;
        self.seen.duplicates += counters.duplicates;
    }
}

fn run(play: &Play, broken: Broken) -> Result<Seen, String> {
    let mut chance = Pcg64Mcg::seed_from_u64(play.seed);
    let forwarder = Forwarder::start(0, chance.random(), broken);
    let mut world = World {
        play,
        broken,
        chance,
        coordinator: Coordinator::start(),
        planners: (0..PLANNERS).map(|_| Planner::start(0, play)).collect(),
        forwarder,
        network: Vec::new(),
        passed: BTreeSet::new(),
        seen: Seen::default(),
    };
    (0..PLANNERS).for_each(|planner| world.connect(0, planner));
    let mut checked = EventPosition::NONE;
    for ms in (0..LASTS).step_by(STEP as usize) {
        world.coordinator.acts(ms, play, &mut world.chance);
        world.faults(ms);
        for planner in &mut world.planners {
            planner.hears(ms, &world.coordinator, &mut world.chance);
        }
        world.speak(ms);
        world.deliver(ms);
        let before = world.forwarder.subscriber.position();
        world
            .forwarder
            .follows_coordinator(ms, &world.coordinator, &mut world.chance);
        world.seen.fed += u64::from(world.forwarder.subscriber.position() != before);
        if world.forwarder.subscriber.position() != checked || ms.is_multiple_of(CHECKED_EVERY) {
            checked = world.forwarder.subscriber.position();
            world.check(ms)?;
        }
    }
    world.count();
    Ok(world.seen)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_the_digests_hand_out_the_events_in_full_would_have(play in plays()) {
        let seen = run(&play, Broken::Nothing);
        prop_assert!(seen.is_ok(), "{}", seen.unwrap_err());
    }
}

fn ordinary(seed: u64) -> Play {
    Play {
        seed,
        lost: 0.1,
        late: 0.05,
        doubled: 0.05,
        cuts: 0.0005,
        restarts: 0.0005,
        deaf: 0.0005,
        renumberings: 0.0005,
        put_back: false,
        keep_for: 15_000,
        bytes_most: 1 << 24,
    }
}

#[test]
fn schedules_are_not_empty() {
    let mut all = Seen::default();
    for seed in 0..20 {
        let seen = run(&ordinary(seed), Broken::Nothing).unwrap();
        all.batches += seen.batches;
        all.snapshots += seen.snapshots;
        all.doubts += seen.doubts;
        all.refused += seen.refused;
        all.duplicates += seen.duplicates;
        all.fed += seen.fed;
        all.refused_more += seen.refused_more;
        all.looked_at += seen.looked_at;
    }
    println!("in 20 schedules of 30 s: {all:?}");
    assert!(
        all.batches > 500
            && all.snapshots > 20
            && all.doubts > 10
            && all.refused > 20
            && all.fed > 50
    );
}

#[test]
fn without_faults_the_digests_refuse_little_more() {
    let quiet = Play {
        lost: 0.0,
        late: 0.0,
        doubled: 0.0,
        cuts: 0.0,
        restarts: 0.0,
        ..ordinary(1)
    };
    let quiet = Play {
        deaf: 0.0,
        renumberings: 0.0,
        ..quiet
    };
    let seen = run(&quiet, Broken::Nothing).unwrap();
    println!("without faults: {seen:?}");
    assert!(seen.batches > 50 && seen.fed == 0);
}

#[test]
fn each_way_to_break_the_forwarder_is_found() {
    let ways = [
        Broken::DoubtIgnored,
        Broken::PurgeForgotten,
        Broken::ListIgnored,
        Broken::SettledTooSoon,
    ];
    for broken in ways {
        let found =
            (0..40).find_map(|seed| run(&ordinary(seed), broken).err().map(|what| (seed, what)));
        println!("{broken:?}: {found:?}");
        assert!(found.is_some(), "{broken:?}");
    }
}
