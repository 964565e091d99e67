//! The planner's side of the distribution of events: what each subscriber is sent, and when.
//!
//! A subscriber's batches come at its own place in the interval, so that a planner never serves all at one instant;
//! subscribers that share a place and a position share one encoded batch. The caller asks who is
//! [`due`](Publisher::due) and takes an [`update_for`](Publisher::update_for) only for those whose connection can take
//! it. A position moves only then: who reads slowly gets a larger batch later, and nothing is queued for it.

mod cache;
mod schedule;
mod updates;

use std::collections::BTreeMap;

use flaxdeck::{Span, Time};
use flaxdeck_recovery::EventPosition;

use crate::cadence::Cadence;
use crate::event_log::{Content, EventLog, LogSize, NotKept, Retention};
use crate::messages::Subscription;
use cache::Cache;

/// The coordinator speaks each second: a connection on which two of its messages are missing counts as lost.
const COORDINATOR_TIMEOUT: Span = Span::from_ms(2_200);
/// How long a numbering that is no more is remembered: by then its subscribers have been given the state.
const ABANDONED_KEPT_FOR: Span = Span::from_ms(60_000);

/// A connection with a forwarder, by the caller's own count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubscriberId(pub u64);

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Batches sent that hold events.
    pub batches: u64,
    /// Batches that were encoded; the others were shared.
    pub encoded: u64,
    /// Batches sent that hold none.
    pub heartbeats: u64,
    /// Snapshots sent.
    pub snapshots: u64,
    /// Answers that a position is not known here yet, or that no snapshot can be given.
    pub behind: u64,
    /// Times that a subscriber was due and was not served.
    pub passed_over: u64,
}

/// How much a publisher holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PublisherSize {
    /// Subscribers.
    pub subscribers: usize,
    /// Events kept.
    pub log: LogSize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Wanted {
    EventsAfter(EventPosition),
    Snapshot,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    wanted: Wanted,
    /// It has asked and was not answered yet.
    is_unanswered: bool,
    /// When it was last sent anything.
    last_sent: Time,
    /// When it was last named as due without being served since.
    offered: Option<Time>,
    /// The last batch could not hold all.
    is_catching_up: bool,
}

/// What was kept of a numbering that is no more.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct AbandonedLog {
    since: Time,
    log: EventLog,
}

/// The events that a planner knows and the subscribers that follow them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Publisher {
    cadence: Cadence,
    log: EventLog,
    /// The numbering before this one: a subscriber that stands in it has to be given the state as it is, also where its
    /// number has not been reached again.
    abandoned: Option<AbandonedLog>,
    members: BTreeMap<SubscriberId, Member>,
    /// When the coordinator was last heard, and whether all is known here that it had to tell.
    coordinator: Option<Time>,
    has_all_events: bool,
    /// Nobody is due before.
    next_due: Time,
    cache: Cache,
    /// Counts since the start.
    pub counters: Counters,
}

impl Publisher {
    /// A planner that has just started, and knows that the coordinator's last event was `base` or something later.
    pub fn start(
        now: Time,
        cadence: Cadence,
        retention: Retention,
        base: EventPosition,
    ) -> Publisher {
        Publisher {
            cadence,
            log: EventLog::start(now, retention, base),
            abandoned: None,
            members: BTreeMap::new(),
            coordinator: None,
            has_all_events: false,
            next_due: now,
            cache: Cache::default(),
            counters: Counters::default(),
        }
    }

    /// A forwarder asks for events, or for no more of them; it is answered at once.
    pub fn subscribe(&mut self, now: Time, id: SubscriberId, subscription: Subscription) {
        let wanted = match subscription {
            Subscription::None => return self.unsubscribe(id),
            Subscription::After(position) => Wanted::EventsAfter(position),
            Subscription::FromSnapshot => Wanted::Snapshot,
        };
        let member = Member {
            wanted,
            is_unanswered: true,
            last_sent: now,
            offered: None,
            is_catching_up: false,
        };
        self.members.insert(id, member);
        self.next_due = now;
    }

    /// The connection has ended.
    pub fn unsubscribe(&mut self, id: SubscriberId) {
        self.members.remove(&id);
    }

    /// The coordinator has told an event.
    pub fn append_event(&mut self, now: Time, position: EventPosition, content: Content) {
        let is_urgent = content.is_urgent();
        self.log.append(now, position, content);
        self.cache = Cache::default();
        self.hasten(now, is_urgent);
    }

    /// The coordinator's numbering turned out to be another, or a full list came in place of what should have followed:
    /// nothing that was told before leads to `base`.
    pub fn restart_numbering(&mut self, now: Time, base: EventPosition) {
        self.abandoned = Some(AbandonedLog {
            since: now,
            log: self.log.clone(),
        });
        self.log.restart(now, base);
        self.cache = Cache::default();
        self.next_due = now;
    }

    /// The coordinator was heard; `has_all_events` if all is known here that it had to tell.
    pub fn coordinator_heard(&mut self, now: Time, has_all_events: bool) {
        let was_current = self.is_current(now);
        self.coordinator = Some(now);
        self.has_all_events = has_all_events;
        if has_all_events && !was_current {
            self.next_due = now; // somebody may wait for a snapshot
        }
    }

    /// Whether all is known here that the coordinator has, as far as can be seen.
    pub fn is_current(&self, now: Time) -> bool {
        self.coordinator_ago_ms(now).is_some()
    }

    fn coordinator_ago_ms(&self, now: Time) -> Option<u32> {
        let heard = self.coordinator.filter(|_| self.has_all_events)?;
        let ago = now.since(heard);
        (ago < COORDINATOR_TIMEOUT).then_some(ago.ms().ceil() as u32)
    }

    /// Whether a position is known here, and of which numbering.
    fn follows(&self, position: EventPosition) -> Result<(), NotKept> {
        let follows = self.log.follows(position);
        if follows == Err(NotKept::Ahead)
            && let Some(abandoned) = &self.abandoned
            && abandoned.log.follows(position).is_ok()
        {
            return Err(NotKept::Unknown);
        }
        follows
    }

    /// How much is held.
    pub fn size(&self) -> PublisherSize {
        PublisherSize {
            subscribers: self.members.len(),
            log: self.log.size(),
        }
    }

    /// The events kept.
    pub fn log(&self) -> &EventLog {
        &self.log
    }
}
