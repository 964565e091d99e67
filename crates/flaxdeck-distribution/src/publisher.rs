//! The planner's side of event distribution: what each subscriber is sent, and when.
//!
//! Each subscriber's batches are sent at its own phase of the batch interval, so that a planner never serves all of
//! them at the same moment; subscribers with the same phase and position share one encoded batch. The caller polls
//! [`due`](Publisher::due) and calls [`update_for`](Publisher::update_for) only for subscribers whose connection can
//! accept a message. A position advances only then: a subscriber that reads slowly gets a larger batch later, and
//! nothing is queued for it.

mod cache;
mod schedule;
mod updates;

use std::collections::BTreeMap;

use flaxdeck::{CoordinatorKnowledge, Span, Time};
use flaxdeck_recovery::EventPosition;

use crate::cadence::Cadence;
use crate::event_log::{Content, EventLog, LogSize, PositionError, Retention};
use crate::messages::Subscription;
use cache::Cache;

/// The coordinator sends a message each second: a connection on which two of them are missing counts as lost.
const COORDINATOR_TIMEOUT: Span = Span::from_ms(2_200);
/// How long the log of the previous numbering is retained: within that time all its subscribers have been sent a
/// snapshot.
const ABANDONED_LOG_RETENTION: Span = Span::from_ms(60_000);

/// A connection with a forwarder, numbered by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubscriberId(pub u64);

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Batches sent that contain events.
    pub batches: u64,
    /// Batches that were encoded; all others were shared.
    pub encoded: u64,
    /// Batches sent that contain no events.
    pub heartbeats: u64,
    /// Snapshots sent.
    pub snapshots: u64,
    /// `Behind` updates sent, because the position is not known yet or no snapshot can be given.
    pub behind: u64,
    /// Times that a subscriber was reported as due again without having been served since the last time.
    pub passed_over: u64,
}

/// The current size of a publisher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PublisherSize {
    /// Number of subscribers.
    pub subscribers: usize,
    /// Size of the event log.
    pub log: LogSize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum NextUpdate {
    EventsAfter(EventPosition),
    Snapshot,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SubscriberState {
    next_update: NextUpdate,
    /// A request of the subscriber has not been answered yet.
    is_unanswered: bool,
    /// When it was last sent a message, or subscribed.
    last_sent: Time,
    /// When it was last reported as due, if it has not been served since.
    reported_due_at: Option<Time>,
    /// The last batch did not reach the end of the log.
    is_catching_up: bool,
}

/// The log of the numbering before the current one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct AbandonedLog {
    since: Time,
    log: EventLog,
}

/// The events that a planner has and the subscribers that follow them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Publisher {
    cadence: Cadence,
    log: EventLog,
    /// The log of the previous numbering. A subscriber whose position is in it needs a snapshot, even while its number
    /// is still ahead of the current numbering.
    abandoned: Option<AbandonedLog>,
    subscribers: BTreeMap<SubscriberId, SubscriberState>,
    /// When the coordinator was last heard.
    coordinator_last_heard: Option<Time>,
    /// What was known of its events then.
    coordinator_knowledge: CoordinatorKnowledge,
    /// No subscriber is due before this time.
    next_due: Time,
    cache: Cache,
    /// Counts since the start.
    pub counters: Counters,
}

impl Publisher {
    /// Creates the publisher of a planner that has just started and knows that the coordinator's last event is `base`
    /// or a later one.
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
            subscribers: BTreeMap::new(),
            coordinator_last_heard: None,
            coordinator_knowledge: CoordinatorKnowledge::default(),
            next_due: now,
            cache: Cache::default(),
            counters: Counters::default(),
        }
    }

    /// Applies a forwarder's request to send events or to stop sending them. It is answered without delay.
    pub fn subscribe(&mut self, now: Time, id: SubscriberId, subscription: Subscription) {
        let next_update = match subscription {
            Subscription::None => return self.unsubscribe(id),
            Subscription::After(position) => NextUpdate::EventsAfter(position),
            Subscription::FromSnapshot => NextUpdate::Snapshot,
        };
        let subscriber = SubscriberState {
            next_update,
            is_unanswered: true,
            last_sent: now,
            reported_due_at: None,
            is_catching_up: false,
        };
        self.subscribers.insert(id, subscriber);
        self.next_due = now;
    }

    /// Removes a subscriber, for example when its connection has ended.
    pub fn unsubscribe(&mut self, id: SubscriberId) {
        self.subscribers.remove(&id);
    }

    /// Appends an event received from the coordinator.
    pub fn append_event(&mut self, now: Time, position: EventPosition, content: Content) {
        let is_urgent = content.is_urgent();
        self.log.append(now, position, content);
        self.cache = Cache::default();
        self.advance_next_due(now, is_urgent);
    }

    /// Continues from `base`, because the coordinator's numbering has changed or a full list was received instead of
    /// the next events. No earlier position leads to `base`.
    pub fn restart_numbering(&mut self, now: Time, base: EventPosition) {
        self.abandoned = Some(AbandonedLog {
            since: now,
            log: self.log.clone(),
        });
        self.log.restart(now, base);
        self.cache = Cache::default();
        self.next_due = now;
    }

    /// Records what is known of the coordinator's events after a message from it.
    pub fn coordinator_heard(&mut self, now: Time, knowledge: CoordinatorKnowledge) {
        let was_current = self.is_current(now);
        self.coordinator_last_heard = Some(now);
        self.coordinator_knowledge = knowledge;
        if self.is_current(now) && !was_current {
            self.next_due = now; // subscribers may be waiting for a snapshot
        }
    }

    /// Returns whether the planner seems to have all of the coordinator's events: no further one seems to be on its way,
    /// and the coordinator was heard less than the timeout ago.
    pub fn is_current(&self, now: Time) -> bool {
        self.heard_ago_ms(now).is_some()
    }

    /// How long ago the coordinator was heard, if the planner seems to have all of its events.
    fn heard_ago_ms(&self, now: Time) -> Option<u32> {
        let heard = self
            .coordinator_last_heard
            .filter(|_| self.coordinator_knowledge.is_caught_up)?;
        let ago = now.since(heard);
        (ago < COORDINATOR_TIMEOUT).then_some(whole_ms(ago))
    }

    /// How long ago the planner certainly had all of the coordinator's events, if it seems to have them now;
    /// [`u32::MAX`] if that is not known of any time.
    fn complete_ago_ms(&self, now: Time) -> Option<u32> {
        let complete_as_of = self.coordinator_knowledge.complete_as_of;
        let ago_ms = complete_as_of.map_or(u32::MAX, |as_of| whole_ms(now.since(as_of.time())));
        self.is_current(now).then_some(ago_ms)
    }

    /// Checks that the position can be continued from. A position of the previous numbering is reported as unknown, so
    /// that its subscriber gets a snapshot instead of waiting for that number.
    fn check_position(&self, position: EventPosition) -> Result<(), PositionError> {
        let result = self.log.check_position(position);
        if result == Err(PositionError::Ahead)
            && let Some(abandoned) = &self.abandoned
            && abandoned.log.check_position(position).is_ok()
        {
            return Err(PositionError::Unknown);
        }
        result
    }

    /// Returns the current size.
    pub fn size(&self) -> PublisherSize {
        PublisherSize {
            subscribers: self.subscribers.len(),
            log: self.log.size(),
        }
    }

    /// Returns the event log.
    pub fn log(&self) -> &EventLog {
        &self.log
    }
}

/// Converts a span to whole milliseconds as used in messages, rounded up and at most [`u32::MAX`].
fn whole_ms(span: Span) -> u32 {
    span.ms().ceil().min(f64::from(u32::MAX)) as u32
}
