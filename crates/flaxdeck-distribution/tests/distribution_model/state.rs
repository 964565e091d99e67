//! The state of the model: a coordinator, two planners, one forwarder, and the network between them.

use std::collections::BTreeSet;
use std::hash::Hash;

use flaxdeck::{Span, Time};
use flaxdeck_distribution::messages::{Delivery, Subscription};
use flaxdeck_distribution::{
    Content, Fingerprint, PlannerNumber, Publisher, Subscriber, SubscriberId,
};
use flaxdeck_recovery::EventPosition;
use serde::{Deserialize, Serialize};

/// Milliseconds of time a step.
pub(crate) const STEP: u64 = 1_000;

/// The time in which hosts drop by themselves what was purged.
pub(crate) const SETTLES: Span = Span::from_ms(2_000);

/// Messages held up between the forwarder and a planner, each way; older ones are lost.
pub(crate) const MAX_EACH_WAY: usize = 2;

/// Messages that answer each other within an instant; more would be a loop.
pub(crate) const MAX_INSTANT: usize = 24;

/// Steps of a schedule without faults in which the forwarder has to catch up from any state.
pub(crate) const CATCHES_UP_WITHIN: usize = 20;

/// That is tried from one state in so many.
pub(crate) const SAMPLED: u64 = 64;

pub(crate) const PLANNERS: usize = 2;

/// How the protocol is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Broken {
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
pub(crate) struct Event {
    pub(crate) position: EventPosition,
    pub(crate) content: Content,
    pub(crate) made: Time,
}

/// A numbering: the event that told the whole list, and what followed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Numbering {
    pub(crate) base: EventPosition,
    pub(crate) events: Vec<Event>,
}

impl Numbering {
    pub(crate) fn last(&self) -> EventPosition {
        self.events.last().map_or(self.base, |event| event.position)
    }

    /// The place after a position.
    pub(crate) fn place_after(&self, position: EventPosition) -> Option<usize> {
        if position == self.base {
            return Some(0);
        }
        self.events
            .iter()
            .position(|event| event.position == position)
            .map(|place| place + 1)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PlannerState {
    pub(crate) publisher: Publisher,
    /// The numbering that it follows and how many of its events it has; none before it has heard anything.
    pub(crate) follows: Option<(usize, usize)>,
    /// Conversations with the forwarder so far; what belongs to an earlier one does not come any more.
    pub(crate) connection: u8,
    pub(crate) connected: bool,
    /// What the forwarder sent last before the planner wrote.
    pub(crate) echo: u64,
}

/// What the forwarder holds beside its subscriber.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Held {
    /// Purges applied, by their hashes.
    pub(crate) purged: BTreeSet<u64>,
    /// No copy from before is served, as purges may be missing.
    pub(crate) incomplete_before: Option<Time>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Message {
    pub(crate) planner: usize,
    /// From the forwarder to the planner.
    pub(crate) asks: bool,
    pub(crate) connection: u8,
    pub(crate) body: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
pub(crate) enum Body {
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
pub(crate) struct State {
    pub(crate) step: u64,
    pub(crate) numberings: Vec<Numbering>,
    pub(crate) planners: Vec<PlannerState>,
    pub(crate) subscriber: Subscriber,
    pub(crate) held: Held,
    /// What is on its way.
    pub(crate) network: Vec<Message>,
    /// Ways that are held up: from each planner to the forwarder, and back.
    pub(crate) held_up: [[bool; 2]; PLANNERS],
    /// Planners that do not hear the coordinator.
    pub(crate) deaf: [bool; PLANNERS],
    pub(crate) events: u8,
    pub(crate) faults: u8,
    pub(crate) renumberings: u8,
    pub(crate) wrong: Option<&'static str>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Action {
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
pub(crate) struct Distribution {
    pub(crate) broken: Broken,
    pub(crate) steps: u64,
    pub(crate) events: u8,
    pub(crate) renumberings: u8,
    /// Ways held up, messages doubled, planners deafened, restarts of any.
    pub(crate) faults: u8,
    /// How long planners keep events.
    pub(crate) keep_for: Span,
    /// What has happened already.
    pub(crate) before: &'static [Action],
}

pub(crate) fn at(step: u64) -> Time {
    Time::at_ms((100_000 + step * STEP) as f64)
}

pub(crate) fn stamp(time: Time) -> u64 {
    time.ms() as u64
}

impl State {
    pub(crate) fn now(&self) -> Time {
        at(self.step)
    }

    pub(crate) fn coordinator(&self) -> &Numbering {
        self.numberings.last().expect("there is always one")
    }

    /// The place of the next event among all that were ever told.
    pub(crate) fn next_hash(&self) -> u64 {
        let told: usize = self
            .numberings
            .iter()
            .map(|numbering| 1 + numbering.events.len())
            .sum();
        told as u64 + 1
    }

    pub(crate) fn send(&mut self, planner: usize, body: &Body) {
        let connection = self.planners[planner].connection;
        let asks = matches!(body, Body::Asks { .. });
        let bytes = postcard::to_stdvec(body).expect("it can be written");
        let message = Message {
            planner,
            asks,
            connection,
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

    pub(crate) fn connect(&mut self, planner: usize) {
        let now = self.now();
        let known = &mut self.planners[planner];
        (known.connection, known.connected, known.echo) = (known.connection + 1, true, 0);
        known.publisher.unsubscribe(SubscriberId(0));
        self.subscriber
            .connected(now, PlannerNumber(planner as u32));
        self.network.retain(|message| message.planner != planner);
    }

    /// What the forwarder and the planners have to say now.
    pub(crate) fn speak(&mut self) {
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
    pub(crate) fn next_delivered(&mut self) -> Option<Message> {
        let comes = |message: &Message| !self.held_up[message.planner][usize::from(message.asks)];
        let place = self.network.iter().position(comes)?;
        Some(self.network.remove(place))
    }

    pub(crate) fn fails(&mut self, what: &'static str) {
        self.wrong.get_or_insert(what);
    }

    /// The coordinator tells an event: both kinds of purges, in turn.
    pub(crate) fn tell_event(&mut self) {
        self.events += 1;
        let hash = self.next_hash();
        let position = EventPosition {
            number: self.coordinator().last().number + 1,
            hash,
        };
        let content = if hash.is_multiple_of(2) {
            Content::ObjectPurge(Fingerprint(hash as u32))
        } else {
            Content::GroupPurge(vec![hash as u8])
        };
        let event = Event {
            position,
            content,
            made: self.now(),
        };
        if let Some(numbering) = self.numberings.last_mut() {
            numbering.events.push(event);
        }
    }

    /// The coordinator begins another numbering.
    pub(crate) fn renumber(&mut self) {
        self.renumberings += 1;
        let base = EventPosition {
            number: 1,
            hash: self.next_hash(),
        };
        self.numberings.push(Numbering {
            base,
            events: Vec::new(),
        });
    }
}
