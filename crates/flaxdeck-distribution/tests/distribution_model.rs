//! The distribution of events, model-checked: a coordinator that gives out events and loses its numbering, two planners
//! that hear it late or not at all and restart, one forwarder that restarts, and between them a network that loses,
//! delays, doubles and reorders whatever is sent. The state machines are the real ones.
//!
//! What is sent comes at once unless its way is held up; then it comes in any order, at any time, or never. All such
//! faults together are bounded in number, and every way to place them among the events and the steps of time is tried.
//!
//! Each event's hash is its place among all that were ever told, in whatever numbering. So "never out of order, and no
//! older list" means that the hash of the position never falls, and "nothing skipped without doubt" that each purge up
//! to it that has not settled was applied, or copies from before it are in doubt.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use flaxdeck::{Span, Time};
use flaxdeck_distribution::messages::{Delivery, Subscription, Update};
use flaxdeck_distribution::{
    Applied, Cadence, Content, Fingerprint, PlannerNumber, Publisher, Retention, Subscriber,
    SubscriberId,
};
use flaxdeck_recovery::EventPosition;
use serde::{Deserialize, Serialize};
use stateright::{Checker, Model, Property, UniformChooser};

/// Milliseconds of time a step.
const STEP: u64 = 1_000;
/// The time in which hosts drop by themselves what was purged.
const SETTLES: Span = Span::from_ms(2_000);
/// Messages held up between the forwarder and a planner, each way; older ones are lost.
const MAX_EACH_WAY: usize = 2;
/// Messages that answer each other within an instant; more would be a loop.
const MAX_INSTANT: usize = 24;
/// Steps of a schedule without faults in which the forwarder has to catch up from any state.
const CATCHES_UP_WITHIN: usize = 20;
/// That is tried from one state in so many.
const SAMPLED: u64 = 64;
const PLANNERS: usize = 2;

/// How the protocol is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    Nothing,
    /// The position moves before a batch is applied, and the application finds it known.
    MovesBeforeApplying,
    /// A batch that begins later than the position is applied all the same.
    GapIgnored,
    /// Positions are told apart by their numbers alone.
    HashNotCompared,
    /// A planner that has not heard the coordinator takes itself for current.
    SnapshotWhileNotCurrent,
    /// A snapshot is taken whenever it was written.
    OlderSnapshotTaken,
    /// A planner says that its purges reach back further than they do.
    ReachOverstated,
    /// A planner goes on with its log where the numbering is another.
    LogKeptOverRenumbering,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Event {
    mark: EventPosition,
    content: Content,
    made: Time,
}

/// A numbering: the event that told the whole list, and what followed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Numbering {
    base: EventPosition,
    events: Vec<Event>,
}

impl Numbering {
    fn last(&self) -> EventPosition {
        self.events.last().map_or(self.base, |event| event.mark)
    }

    /// The place after a position.
    fn place_after(&self, position: EventPosition) -> Option<usize> {
        if position == self.base {
            return Some(0);
        }
        self.events
            .iter()
            .position(|event| event.mark == position)
            .map(|place| place + 1)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PlannerState {
    publisher: Publisher,
    /// The numbering that it follows and how many of its events it has; none before it has heard anything.
    follows: Option<(usize, usize)>,
    /// Conversations with the forwarder so far; what belongs to an earlier one does not come any more.
    conversation: u8,
    connected: bool,
    /// What the forwarder sent last before the planner wrote.
    echo: u64,
}

/// What the forwarder holds beside its subscriber.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Held {
    /// Purges heeded, by their hashes.
    purged: BTreeSet<u64>,
    /// Copies from before are in doubt.
    doubted: Option<Time>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Message {
    planner: usize,
    /// From the forwarder to the planner.
    asks: bool,
    conversation: u8,
    body: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
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

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    step: u64,
    numberings: Vec<Numbering>,
    planners: Vec<PlannerState>,
    subscriber: Subscriber,
    held: Held,
    /// What is on its way.
    network: Vec<Message>,
    /// Ways that are held up: from each planner to the forwarder, and back.
    held_up: [[bool; 2]; PLANNERS],
    /// Planners that do not hear the coordinator.
    deaf: [bool; PLANNERS],
    events: u8,
    faults: u8,
    renumberings: u8,
    wrong: Option<&'static str>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Action {
    Step,
    Event,
    /// The coordinator begins another numbering.
    Renumber,
    /// Nothing comes any more from a planner, or to it.
    HoldUp {
        planner: usize,
        asks: bool,
    },
    /// All that was held up comes, in order.
    Release {
        planner: usize,
        asks: bool,
    },
    /// All that was held up is lost.
    Lose {
        planner: usize,
        asks: bool,
    },
    /// One of the messages that are held up comes.
    Deliver(usize),
    /// It comes, and will come again.
    Double(usize),
    /// A planner does not hear the coordinator any more.
    Deafen(usize),
    /// It hears it again.
    Hears(usize),
    RestartPlanner(usize),
    RestartForwarder,
}

#[derive(Clone, Copy)]
struct Distribution {
    broken: Broken,
    steps: u64,
    events: u8,
    renumberings: u8,
    /// Ways held up, messages doubled, planners deafened, restarts of any.
    faults: u8,
    /// How long planners keep events.
    keep_for: Span,
    /// What has happened already.
    before: &'static [Action],
}

fn at(step: u64) -> Time {
    Time::at_ms((100_000 + step * STEP) as f64)
}

fn stamp(time: Time) -> u64 {
    time.ms() as u64
}

impl State {
    fn now(&self) -> Time {
        at(self.step)
    }

    fn coordinator(&self) -> &Numbering {
        self.numberings.last().expect("there is always one")
    }

    /// The place of the next event among all that were ever told.
    fn next_hash(&self) -> u64 {
        let told: usize = self
            .numberings
            .iter()
            .map(|numbering| 1 + numbering.events.len())
            .sum();
        told as u64 + 1
    }

    fn send(&mut self, planner: usize, body: &Body) {
        let conversation = self.planners[planner].conversation;
        let asks = matches!(body, Body::Asks { .. });
        let bytes = postcard::to_stdvec(body).expect("it can be written");
        let message = Message {
            planner,
            asks,
            conversation,
            body: bytes,
        };
        self.network.retain(|other| *other != message);
        self.network.push(message);
        self.network
            .sort_by_key(|message| (message.planner, message.asks));
        let of_this_way = |other: &&Message| (other.planner, other.asks) == (planner, asks);
        if self.network.iter().filter(of_this_way).count() > MAX_EACH_WAY {
            let first = self.network.iter().position(|other| of_this_way(&other));
            first.map(|first| self.network.remove(first));
        }
    }

    fn connect(&mut self, planner: usize) {
        let now = self.now();
        let known = &mut self.planners[planner];
        (known.conversation, known.connected, known.echo) = (known.conversation + 1, true, 0);
        known.publisher.unsubscribe(SubscriberId(0));
        self.subscriber
            .connected(now, PlannerNumber(planner as u32));
        self.network.retain(|message| message.planner != planner);
    }

    /// What the forwarder and the planners have to say now.
    fn speak(&mut self) {
        let now = self.now();
        for (to, subscription) in self.subscriber.actions(now) {
            self.send(
                to.0 as usize,
                &Body::Asks {
                    sent: stamp(now),
                    subscription,
                },
            );
        }
        for planner in 0..PLANNERS {
            let known = &mut self.planners[planner];
            for id in known.publisher.due(now) {
                let told = known
                    .publisher
                    .update_for(now, id, &mut |number| vec![number as u8]);
                let echo = known.echo;
                if let Some(delivery) = told {
                    self.send(planner, &Body::Tells { echo, delivery });
                    break;
                }
            }
        }
    }

    /// The next message whose way is not held up.
    fn next_delivered(&mut self) -> Option<Message> {
        let comes = |message: &Message| !self.held_up[message.planner][usize::from(message.asks)];
        let place = self.network.iter().position(comes)?;
        Some(self.network.remove(place))
    }

    fn fails(&mut self, what: &'static str) {
        self.wrong.get_or_insert(what);
    }
}

impl Distribution {
    fn publisher(&self, now: Time) -> Publisher {
        let retention = Retention {
            keep_for: self.keep_for,
            max_bytes: 1 << 20,
        };
        Publisher::start(now, Cadence::default(), retention, EventPosition::NONE)
    }

    fn subscriber(now: Time) -> Subscriber {
        Subscriber::start(now, PLANNERS as u32, 1, Cadence::default(), SETTLES)
    }

    /// A planner has heard all that the coordinator has to tell.
    fn planner_hears(&self, state: &mut State, planner: usize) {
        let now = state.now();
        let current = state.numberings.len() - 1;
        let coordinator = state.coordinator().clone();
        let known = &mut state.planners[planner];
        match known.follows {
            Some((numbering, place)) if numbering == current => {
                for event in &coordinator.events[place..] {
                    known
                        .publisher
                        .append_event(now, event.mark, event.content.clone());
                }
            }
            Some(_) if self.broken == Broken::LogKeptOverRenumbering => {
                for event in &coordinator.events {
                    known
                        .publisher
                        .append_event(now, event.mark, event.content.clone());
                }
            }
            _ => known.publisher.restart_numbering(now, coordinator.last()),
        }
        known.follows = Some((current, coordinator.events.len()));
        known.publisher.coordinator_heard(now, true);
    }

    fn asks(&self, state: &mut State, planner: usize, sent: u64, subscription: Subscription) {
        let now = state.now();
        let known = &mut state.planners[planner];
        if self.broken == Broken::SnapshotWhileNotCurrent {
            known.publisher.coordinator_heard(now, true);
        }
        let subscription = match subscription {
            Subscription::After(position) if self.broken == Broken::HashNotCompared => {
                let numbering = known
                    .follows
                    .map(|(numbering, _)| &state.numberings[numbering]);
                let same = numbering.and_then(|numbering| {
                    let events = numbering.events.iter().map(|event| event.mark);
                    events
                        .chain([numbering.base])
                        .find(|mark| mark.number == position.number)
                });
                Subscription::After(same.unwrap_or(position))
            }
            other => other,
        };
        known.echo = sent;
        known
            .publisher
            .subscribe(now, SubscriberId(0), subscription);
    }

    fn tells(&self, state: &mut State, planner: usize, echo: u64, mut delivery: Delivery) {
        let now = state.now();
        let before = state.subscriber.position();
        let number = PlannerNumber(planner as u32);
        match &mut delivery.update {
            Update::Batch(batch) => {
                let moves = match self.broken {
                    Broken::MovesBeforeApplying if batch.after == before => Some(batch.last),
                    Broken::GapIgnored if batch.after.number > before.number => Some(batch.after),
                    Broken::HashNotCompared if batch.after.number == before.number => {
                        Some(batch.after)
                    }
                    _ => None,
                };
                let moves = moves.filter(|position| *position != before);
                moves
                    .into_iter()
                    .for_each(|position| state.subscriber.set_position(now, position));
            }
            Update::Snapshot(snapshot) if self.broken == Broken::ReachOverstated => {
                snapshot.purges_reach_ms += 10_000;
            }
            _ => {}
        }
        let older = self.broken == Broken::OlderSnapshotTaken;
        if older {
            delivery.coordinator_ago_ms = delivery.coordinator_ago_ms.map(|_| 0);
        }
        state.subscriber.record_echo(
            number,
            if older {
                now + SETTLES
            } else {
                Time::at_ms(echo as f64)
            },
        );
        if let Ok(applied) = state.subscriber.receive(now, number, delivery) {
            self.applies(state, before, applied);
        }
        self.check(state, before);
    }

    fn applies(&self, state: &mut State, before: EventPosition, applied: Applied) {
        let now = state.now();
        match applied {
            Applied::Nothing => {}
            Applied::Events {
                purges,
                events,
                last: upto,
            } => {
                let told = purges.iter().map(|purge| u64::from(purge.0));
                let told: BTreeSet<u64> = told
                    .chain(events.iter().map(|event| event.position.hash))
                    .collect();
                if !follows_exactly(state, before, upto, &told) {
                    state.fails("a batch is not what follows the position");
                }
                state.held.purged.extend(told);
            }
            Applied::Snapshot {
                purges,
                group_purges,
                may_miss_purges: copies_in_doubt,
                ..
            } => {
                state
                    .held
                    .purged
                    .extend(purges.iter().map(|purge| u64::from(purge.0)));
                state
                    .held
                    .purged
                    .extend(group_purges.iter().map(|event| event.position.hash));
                if copies_in_doubt {
                    state.held.doubted = Some(now);
                }
            }
        }
    }

    fn check(&self, state: &mut State, before: EventPosition) {
        let position = state.subscriber.position();
        if position.hash < before.hash {
            state.fails("an older state in place of a later one");
        }
        if position != before && skipped(state) {
            state.fails("a purge was skipped without doubt");
        }
    }

    /// Forgets what can have no effect any more, so that states that differ by nothing else are one.
    fn forget(state: &mut State) {
        let now = state.now();
        let settled = |event: &Event| now.since(event.made) > SETTLES;
        let gone: Vec<u64> = state
            .numberings
            .iter()
            .flat_map(|numbering| &numbering.events)
            .filter(|event| settled(event))
            .map(|event| event.mark.hash)
            .collect();
        state.held.purged.retain(|hash| !gone.contains(hash));
        state.held.doubted = state
            .held
            .doubted
            .filter(|doubted| now.since(*doubted) <= SETTLES);
    }

    fn deliver(&self, state: &mut State, message: Message) {
        let Message { planner, body, .. } = message;
        match postcard::from_bytes(&body).expect("it was written here") {
            Body::Asks { sent, subscription } => self.asks(state, planner, sent, subscription),
            Body::Tells { echo, delivery } => self.tells(state, planner, echo, delivery),
        }
    }

    fn step(&self, state: &mut State) {
        state.step += 1;
        Distribution::forget(state);
        for planner in 0..PLANNERS {
            if !state.planners[planner].connected {
                state.connect(planner);
            }
        }
    }

    /// All that comes at once has come.
    fn settle(&self, state: &mut State) {
        for planner in (0..PLANNERS)
            .filter(|planner| !state.deaf[*planner])
            .collect::<Vec<_>>()
        {
            self.planner_hears(state, planner);
        }
        state.speak();
        for _ in 0..MAX_INSTANT {
            let Some(message) = state.next_delivered() else {
                return;
            };
            self.deliver(state, message);
            state.speak();
        }
        state.fails("messages answer each other without end");
    }

    /// From that state on nothing is lost or late, and nothing more happens: whether the forwarder catches up.
    fn catches_up(&self, state: &State) -> bool {
        let mut state = state.clone();
        (state.held_up, state.deaf) = ([[false; 2]; PLANNERS], [false; PLANNERS]);
        for _ in 0..CATCHES_UP_WITHIN {
            self.step(&mut state);
            self.settle(&mut state);
        }
        state.wrong.is_none()
            && state.subscriber.position() == state.coordinator().last()
            && !state.subscriber.needs_coordinator(state.now())
    }
}

/// Whether what was told is all that follows one position up to the other, and nothing else.
fn follows_exactly(
    state: &State,
    before: EventPosition,
    upto: EventPosition,
    told: &BTreeSet<u64>,
) -> bool {
    state.numberings.iter().any(|numbering| {
        let places = numbering
            .place_after(before)
            .zip(numbering.place_after(upto));
        places.is_some_and(|(from, to)| {
            let events = numbering.events.get(from..to).unwrap_or_default();
            events
                .iter()
                .map(|event| event.mark.hash)
                .collect::<BTreeSet<u64>>()
                == *told
        })
    })
}

/// A purge up to the position that has not settled, is not heeded, and is in no doubt.
fn skipped(state: &State) -> bool {
    let (now, position) = (state.now(), state.subscriber.position());
    let events = state
        .numberings
        .iter()
        .flat_map(|numbering| &numbering.events);
    let mut unsettled = events.filter(|event| now.since(event.made) <= SETTLES);
    unsettled.any(|event| {
        let passed = event.mark.hash <= position.hash;
        let doubted = state
            .held
            .doubted
            .is_some_and(|doubted| doubted >= event.made);
        passed && !doubted && !state.held.purged.contains(&event.mark.hash)
    })
}

impl Model for Distribution {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let now = at(0);
        let planner = |_| PlannerState {
            publisher: self.publisher(now),
            follows: None,
            conversation: 0,
            connected: false,
            echo: 0,
        };
        let mut state = State {
            step: 0,
            numberings: vec![Numbering {
                base: EventPosition { number: 1, hash: 1 },
                events: Vec::new(),
            }],
            planners: (0..PLANNERS).map(planner).collect(),
            subscriber: Distribution::subscriber(now),
            held: Held::default(),
            network: Vec::new(),
            events: 0,
            held_up: [[false; 2]; PLANNERS],
            deaf: [false; PLANNERS],
            faults: 0,
            renumberings: 0,
            wrong: None,
        };
        state
            .subscriber
            .set_position(now, state.coordinator().last());
        (0..PLANNERS).for_each(|planner| state.connect(planner));
        self.settle(&mut state);
        for action in self.before {
            state = self
                .next_state(&state, *action)
                .expect("it changes something");
        }
        state.faults = 0;
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.wrong.is_some() {
            return;
        }
        if state.step < self.steps {
            actions.push(Action::Step);
        }
        if state.events < self.events {
            actions.push(Action::Event);
        }
        if state.renumberings < self.renumberings {
            actions.push(Action::Renumber);
        }
        let ways = (0..PLANNERS).flat_map(|planner| [(planner, false), (planner, true)]);
        for (planner, asks) in ways.clone() {
            if state.held_up[planner][usize::from(asks)] {
                actions.push(Action::Release { planner, asks });
                actions.push(Action::Lose { planner, asks });
            }
        }
        actions.extend((0..state.network.len()).map(Action::Deliver));
        actions.extend(
            (0..PLANNERS)
                .filter(|planner| state.deaf[*planner])
                .map(Action::Hears),
        );
        if state.faults < self.faults {
            let free = ways.filter(|(planner, asks)| !state.held_up[*planner][usize::from(*asks)]);
            actions.extend(free.map(|(planner, asks)| Action::HoldUp { planner, asks }));
            actions.extend((0..state.network.len()).map(Action::Double));
            actions.extend(
                (0..PLANNERS)
                    .filter(|planner| !state.deaf[*planner])
                    .map(Action::Deafen),
            );
            actions.extend((0..PLANNERS).map(Action::RestartPlanner));
            actions.push(Action::RestartForwarder);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let now = state.now();
        match action {
            Action::Step => self.step(&mut state),
            Action::Event => {
                state.events += 1;
                let hash = state.next_hash();
                let mark = EventPosition {
                    number: state.coordinator().last().number + 1,
                    hash,
                };
                // Both kinds of purges, in turn.
                let single = hash.is_multiple_of(2);
                let object = Content::ObjectPurge(Fingerprint(hash as u32));
                let content = if single {
                    object
                } else {
                    Content::GroupPurge(vec![hash as u8])
                };
                let event = Event {
                    mark,
                    content,
                    made: now,
                };
                state.numberings.last_mut()?.events.push(event);
            }
            Action::Renumber => {
                state.renumberings += 1;
                let base = EventPosition {
                    number: 1,
                    hash: state.next_hash(),
                };
                state.numberings.push(Numbering {
                    base,
                    events: Vec::new(),
                });
            }
            Action::HoldUp { planner, asks } => {
                state.faults += 1;
                state.held_up[planner][usize::from(asks)] = true;
            }
            Action::Release { planner, asks } => state.held_up[planner][usize::from(asks)] = false,
            Action::Lose { planner, asks } => {
                state.held_up[planner][usize::from(asks)] = false;
                state
                    .network
                    .retain(|message| (message.planner, message.asks) != (planner, asks));
            }
            Action::Deliver(place) => {
                let message = state.network.remove(place);
                self.deliver(&mut state, message);
            }
            Action::Double(place) => {
                state.faults += 1;
                let message = state.network[place].clone();
                self.deliver(&mut state, message);
            }
            Action::Deafen(planner) => {
                state.faults += 1;
                state.deaf[planner] = true;
            }
            Action::Hears(planner) => state.deaf[planner] = false,
            Action::RestartPlanner(planner) => {
                state.faults += 1;
                let publisher = self.publisher(now);
                let known = &mut state.planners[planner];
                (known.publisher, known.follows, known.connected) = (publisher, None, false);
                state
                    .subscriber
                    .disconnected(now, PlannerNumber(planner as u32));
                state.network.retain(|message| message.planner != planner);
            }
            Action::RestartForwarder => {
                state.faults += 1;
                state.subscriber = Distribution::subscriber(now);
                state.held = Held::default();
                (0..PLANNERS).for_each(|planner| state.connect(planner));
            }
        }
        self.settle(&mut state);
        // Counts change nothing that is done.
        state.subscriber.counters = Default::default();
        state
            .planners
            .iter_mut()
            .for_each(|planner| planner.publisher.counters = Default::default());
        Some(state).filter(|state| state != last)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(SAFE, |_, state: &State| state.wrong.is_none()),
            Property::always(LIVE, |model: &Distribution, state: &State| {
                model.broken != Broken::Nothing || !sampled(state) || model.catches_up(state)
            }),
            Property::sometimes(
                "all purges are applied",
                |model: &Distribution, state: &State| {
                    state.held.purged.len() == usize::from(model.events)
                },
            ),
        ]
    }
}

const SAFE: &str = "nothing is skipped without doubt or out of order";
const LIVE: &str = "the forwarder catches up once nothing is lost any more";

fn sampled(state: &State) -> bool {
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish().is_multiple_of(SAMPLED)
}

fn distribution(broken: Broken) -> Distribution {
    Distribution {
        broken,
        steps: 3,
        events: 2,
        renumberings: 0,
        faults: 1,
        keep_for: Span::from_ms(30_000),
        before: &[],
    }
}

fn holds(model: Distribution) {
    let started = std::time::Instant::now();
    let checker = model.checker().threads(4).spawn_bfs().join();
    let (all, unique, depth) = (
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth(),
    );
    println!(
        "{all} states, {unique} unique, depth {depth}, {:.1} s",
        started.elapsed().as_secs_f64()
    );
    checker.assert_properties();
}

fn breaks(model: Distribution) {
    let broken = model.broken;
    let checker = model.checker().threads(4).spawn_bfs().join();
    let found = checker.discovery(SAFE);
    let found = found.unwrap_or_else(|| {
        panic!(
            "{broken:?} is not found in {} states",
            checker.state_count()
        )
    });
    let wrong = found.last_state().wrong.unwrap_or_default();
    println!("{broken:?} after {:?}: {wrong}", found.into_actions());
}

#[test]
fn nothing_is_skipped_or_out_of_order_with_one_fault_of_any_kind() {
    holds(Distribution {
        events: 2,
        faults: 1,
        ..distribution(Broken::Nothing)
    });
}

#[test]
fn nor_with_two_faults() {
    holds(Distribution {
        steps: 2,
        events: 2,
        faults: 2,
        ..distribution(Broken::Nothing)
    });
}

#[test]
fn nor_where_the_numbering_turns_out_another() {
    holds(Distribution {
        steps: 6,
        events: 1,
        faults: 1,
        renumberings: 1,
        ..distribution(Broken::Nothing)
    });
}

#[test]
fn nor_where_planners_keep_little() {
    let keep_for = Span::from_ms(900);
    holds(Distribution {
        steps: 5,
        events: 2,
        faults: 1,
        keep_for,
        ..distribution(Broken::Nothing)
    });
}

/// Schedules with more of everything, by chance, each to its end.
#[test]
fn nor_in_long_schedules_by_chance() {
    let model = Distribution {
        steps: 24,
        events: 8,
        faults: 8,
        renumberings: 2,
        ..distribution(Broken::Nothing)
    };
    let checker = model.checker().target_state_count(10_000);
    let checker = checker.spawn_simulation(7, UniformChooser).join();
    println!(
        "{} states, depth {}",
        checker.state_count(),
        checker.max_depth()
    );
    checker.assert_no_discovery(SAFE);
    checker.assert_no_discovery(LIVE);
}

#[test]
fn moving_the_position_before_applying_is_found() {
    breaks(distribution(Broken::MovesBeforeApplying));
}

#[test]
fn ignoring_a_gap_is_found() {
    breaks(distribution(Broken::GapIgnored));
}

#[test]
fn comparing_numbers_alone_is_found() {
    breaks(Distribution {
        steps: 6,
        renumberings: 1,
        ..distribution(Broken::HashNotCompared)
    });
}

#[test]
fn a_snapshot_of_a_planner_that_is_not_current_is_found() {
    let before = &[Action::Event, Action::Deafen(0), Action::Renumber];
    let broken = distribution(Broken::SnapshotWhileNotCurrent);
    breaks(Distribution {
        steps: 6,
        events: 1,
        renumberings: 1,
        before,
        ..broken
    });
}

#[test]
fn taking_an_older_snapshot_is_found() {
    let broken = distribution(Broken::OlderSnapshotTaken);
    breaks(Distribution {
        steps: 2,
        events: 0,
        renumberings: 1,
        faults: 2,
        ..broken
    });
}

#[test]
fn overstating_how_far_purges_reach_is_found() {
    breaks(Distribution {
        steps: 2,
        events: 1,
        faults: 2,
        ..distribution(Broken::ReachOverstated)
    });
}

#[test]
fn keeping_the_log_over_another_numbering_is_found() {
    breaks(Distribution {
        steps: 6,
        renumberings: 1,
        ..distribution(Broken::LogKeptOverRenumbering)
    });
}
