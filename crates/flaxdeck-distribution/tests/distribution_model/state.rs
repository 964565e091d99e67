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

/// Duration of one step in milliseconds.
pub(crate) const STEP_MS: u64 = 1_000;

/// The time within which hosts drop purged copies themselves.
pub(crate) const SETTLE_TIME: Span = Span::from_ms(2_000);

/// The maximum number of messages in transit between the forwarder and a planner per direction; the oldest are dropped
/// beyond it.
pub(crate) const MAX_PER_DIRECTION: usize = 2;

/// The maximum number of messages exchanged within one instant; more indicate an endless loop.
pub(crate) const MAX_MESSAGES_PER_INSTANT: usize = 24;

/// The number of steps without faults within which the forwarder has to catch up from any state.
pub(crate) const CATCH_UP_STEPS: usize = 20;

/// Catching up is checked for one state in this many.
pub(crate) const LIVENESS_SAMPLING: u64 = 64;

pub(crate) const PLANNERS: usize = 2;

/// A deliberate fault of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mutation {
    None,
    /// The position is moved before a batch is applied, so the batch is skipped as a duplicate.
    MovesBeforeApplying,
    /// A batch that begins after the position is applied in spite of the gap.
    GapIgnored,
    /// Positions are compared by their numbers alone.
    HashNotCompared,
    /// A planner that has received nothing from the coordinator counts itself as current.
    SnapshotWhileNotCurrent,
    /// A snapshot is accepted whatever its age.
    OlderSnapshotTaken,
    /// A planner overstates how far back its purges reach.
    ReachOverstated,
    /// A planner continues its log when the numbering changes.
    LogKeptOverRenumbering,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Event {
    pub(crate) position: EventPosition,
    pub(crate) content: Content,
    pub(crate) made_at: Time,
}

/// A numbering: the position of the event with the full list of hosts, and the events after it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Numbering {
    pub(crate) base: EventPosition,
    pub(crate) events: Vec<Event>,
}

impl Numbering {
    pub(crate) fn last(&self) -> EventPosition {
        self.events.last().map_or(self.base, |event| event.position)
    }

    /// Returns the index of the event after a position.
    pub(crate) fn index_after(&self, position: EventPosition) -> Option<usize> {
        if position == self.base {
            return Some(0);
        }
        self.events
            .iter()
            .position(|event| event.position == position)
            .map(|index| index + 1)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PlannerState {
    pub(crate) publisher: Publisher,
    /// The numbering that it follows and how many of its events it has received; `None` before it has received
    /// anything.
    pub(crate) followed: Option<(usize, usize)>,
    /// Number of connections with the forwarder so far; messages of earlier connections are not delivered.
    pub(crate) connection: u8,
    pub(crate) connected: bool,
    /// When the forwarder sent the last message that the planner has received.
    pub(crate) echo: u64,
}

/// The forwarder's state apart from its subscriber.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct ForwarderState {
    /// Hashes of the purges applied.
    pub(crate) purged: BTreeSet<u64>,
    /// No copy older than this is served, as purges may be missing.
    pub(crate) incomplete_before: Option<Time>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Message {
    pub(crate) planner: usize,
    /// Whether it is sent from the forwarder to the planner.
    pub(crate) upstream: bool,
    pub(crate) connection: u8,
    pub(crate) body: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
pub(crate) enum Body {
    Request {
        sent: u64,
        subscription: Subscription,
    },
    Delivery {
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
    pub(crate) forwarder: ForwarderState,
    /// The messages in transit.
    pub(crate) network: Vec<Message>,
    /// Directions in which messages are held: from each planner to the forwarder, and back.
    pub(crate) is_held: [[bool; 2]; PLANNERS],
    /// Planners that receive nothing from the coordinator.
    pub(crate) partitioned: [bool; PLANNERS],
    pub(crate) events: u8,
    pub(crate) faults: u8,
    pub(crate) renumberings: u8,
    pub(crate) violation: Option<&'static str>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Action {
    Step,
    Event,
    /// The coordinator starts another numbering.
    Renumber,
    /// Messages from a planner, or to it, are held from now on.
    Hold {
        planner: usize,
        upstream: bool,
    },
    /// The held messages are delivered in order.
    Release {
        planner: usize,
        upstream: bool,
    },
    /// The held messages are lost.
    Lose {
        planner: usize,
        upstream: bool,
    },
    /// One of the held messages is delivered.
    Deliver(usize),
    /// It is delivered, and will be delivered again.
    Duplicate(usize),
    /// A planner receives nothing more from the coordinator.
    Partition(usize),
    /// It receives the coordinator's events again.
    Reconnect(usize),
    RestartPlanner(usize),
    RestartForwarder,
}

#[derive(Clone, Copy)]
pub(crate) struct Distribution {
    pub(crate) mutation: Mutation,
    pub(crate) steps: u64,
    pub(crate) events: u8,
    pub(crate) renumberings: u8,
    /// The maximum number of faults: directions held, messages duplicated, planners partitioned, and restarts.
    pub(crate) faults: u8,
    /// How long planners retain events.
    pub(crate) keep_for: Span,
    /// Actions applied to the initial state.
    pub(crate) initial_actions: &'static [Action],
}

pub(crate) fn at(step: u64) -> Time {
    Time::at_ms((100_000 + step * STEP_MS) as f64)
}

pub(crate) fn to_ms(time: Time) -> u64 {
    time.ms() as u64
}

impl State {
    pub(crate) fn now(&self) -> Time {
        at(self.step)
    }

    pub(crate) fn coordinator(&self) -> &Numbering {
        self.numberings.last().expect("there is always a numbering")
    }

    /// Returns the hash of the next event: its index among all events ever emitted.
    pub(crate) fn next_hash(&self) -> u64 {
        let emitted: usize = self
            .numberings
            .iter()
            .map(|numbering| 1 + numbering.events.len())
            .sum();
        emitted as u64 + 1
    }

    pub(crate) fn send(&mut self, planner: usize, body: &Body) {
        let connection = self.planners[planner].connection;
        let upstream = matches!(body, Body::Request { .. });
        let bytes = postcard::to_stdvec(body).expect("a message can be encoded");
        let message = Message {
            planner,
            upstream,
            connection,
            body: bytes,
        };
        self.network.retain(|other| *other != message);
        self.network.push(message);
        self.network
            .sort_by_key(|message| (message.planner, message.upstream));
        let same_direction =
            |other: &&Message| (other.planner, other.upstream) == (planner, upstream);
        if self.network.iter().filter(same_direction).count() > MAX_PER_DIRECTION {
            let first = self.network.iter().position(|other| same_direction(&other));
            first.map(|first| self.network.remove(first));
        }
    }

    pub(crate) fn connect(&mut self, planner: usize) {
        let now = self.now();
        let entry = &mut self.planners[planner];
        (entry.connection, entry.connected, entry.echo) = (entry.connection + 1, true, 0);
        entry.publisher.unsubscribe(SubscriberId(0));
        self.subscriber
            .connected(now, PlannerNumber(planner as u32));
        self.network.retain(|message| message.planner != planner);
    }

    /// Sends the messages of the forwarder and the planners that are due now.
    pub(crate) fn send_due(&mut self) {
        let now = self.now();
        for (to, subscription) in self.subscriber.actions(now) {
            self.send(
                to.0 as usize,
                &Body::Request {
                    sent: to_ms(now),
                    subscription,
                },
            );
        }
        for planner in 0..PLANNERS {
            let entry = &mut self.planners[planner];
            for id in entry.publisher.due(now) {
                let update = entry
                    .publisher
                    .update_for(now, id, &mut |number| vec![number as u8]);
                let echo = entry.echo;
                if let Some(delivery) = update {
                    self.send(planner, &Body::Delivery { echo, delivery });
                    break;
                }
            }
        }
    }

    /// Removes and returns the next message whose direction is not held.
    pub(crate) fn next_deliverable(&mut self) -> Option<Message> {
        let is_deliverable =
            |message: &Message| !self.is_held[message.planner][usize::from(message.upstream)];
        let index = self.network.iter().position(is_deliverable)?;
        Some(self.network.remove(index))
    }

    pub(crate) fn fail(&mut self, violation: &'static str) {
        self.violation.get_or_insert(violation);
    }

    /// The coordinator emits an event: purges of objects and of groups in turn.
    pub(crate) fn emit_event(&mut self) {
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
            made_at: self.now(),
        };
        if let Some(numbering) = self.numberings.last_mut() {
            numbering.events.push(event);
        }
    }

    /// The coordinator starts another numbering.
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
