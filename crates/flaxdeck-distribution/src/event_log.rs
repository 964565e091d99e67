//! The coordinator's recent events, as a planner retains them to pass them on in order to subscribers at different
//! positions.
//!
//! Events are retained for a fixed time. The limit in bytes is a last resort: an event that it drops early is counted,
//! and shortens the period for which the log reports its purges as complete, so that subscribers learn that purges may
//! be missing.

mod excerpts;

use std::collections::VecDeque;

use flaxdeck::{Span, Time};
use flaxdeck_recovery::EventPosition;

use crate::fingerprint::Fingerprint;
use crate::messages::{FullEvent, MAX_FULL_BYTES};

/// How long events are retained, and how many bytes of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Retention {
    /// How long an event is retained; longer than cache hosts take to drop purged copies themselves.
    pub keep_for: Span,
    /// The maximum number of bytes, including the fixed size of each entry.
    pub max_bytes: usize,
}

impl Default for Retention {
    fn default() -> Retention {
        Retention {
            keep_for: Span::from_ms(30_000),
            max_bytes: 16 * 1024 * 1024,
        }
    }
}

/// The content of an event.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Content {
    /// A single object was purged.
    ObjectPurge(Fingerprint),
    /// A group of objects was purged; holds the coordinator's frame.
    GroupPurge(Vec<u8>),
    /// Hosts have changed; holds the coordinator's frame.
    HostChange(Vec<u8>),
}

impl Content {
    /// Returns the length of the frame that is passed on in full, in bytes.
    fn frame_len(&self) -> usize {
        match self {
            Content::ObjectPurge(_) => 0,
            Content::GroupPurge(frame) | Content::HostChange(frame) => frame.len(),
        }
    }

    /// Returns whether the event is passed on without waiting for the next batch.
    pub fn is_urgent(&self) -> bool {
        !matches!(self, Content::ObjectPurge(_))
    }
}

/// The reason why the log has no events to follow a position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum PositionError {
    /// The number is above that of the last event received: the event may still arrive.
    #[error("the position is ahead of the last event received")]
    Ahead,
    /// The position is older than the retained events, or the event with this number has another hash.
    #[error("the position is older than the retained events, or its event has another hash")]
    Unknown,
}

/// The recent purges of a log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RecentPurges {
    /// Purges of single objects.
    pub objects: Vec<Fingerprint>,
    /// Purges of groups, in the order of their numbers.
    pub groups: Vec<FullEvent>,
    /// The period up to now for which the purges are complete.
    pub reach: Span,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Events accepted.
    pub events: u64,
    /// Events ignored because their number was not above the last one.
    pub out_of_order: u64,
    /// Times that the log was restarted because numbers were missing before an event.
    pub gaps: u64,
    /// Events too long to be passed on; the log restarts after each.
    pub oversized: u64,
    /// Events dropped early because of the limit in bytes.
    pub shortened: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    position: EventPosition,
    received_at: Time,
    content: Content,
}

/// An event that is passed on without waiting for the next batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct UrgentEvent {
    number: u64,
    received_at: Time,
}

/// The current size of a log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogSize {
    /// Number of events.
    pub events: usize,
    /// Bytes, including the fixed size of each entry.
    pub bytes: usize,
}

impl Entry {
    fn bytes(&self) -> usize {
        size_of::<Entry>() + self.content.frame_len()
    }
}

/// The retained events without gaps: each number is one above the previous one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EventLog {
    retention: Retention,
    /// The position that the first entry follows.
    base: EventPosition,
    entries: VecDeque<Entry>,
    /// The urgent events among the entries.
    urgent: VecDeque<UrgentEvent>,
    bytes: usize,
    /// All events received after this time are retained.
    complete_after: Time,
    /// Counts since the start.
    pub counters: Counters,
}

impl EventLog {
    /// Creates an empty log whose next event follows `base`.
    pub fn start(now: Time, retention: Retention, base: EventPosition) -> EventLog {
        EventLog {
            retention,
            base,
            entries: VecDeque::new(),
            urgent: VecDeque::new(),
            bytes: 0,
            complete_after: now,
            counters: Counters::default(),
        }
    }

    /// Drops all entries and continues from `base`, because the coordinator's numbering has changed or events are
    /// missing.
    pub fn restart(&mut self, now: Time, base: EventPosition) {
        let counters = self.counters;
        *self = EventLog {
            counters,
            ..EventLog::start(now, self.retention, base)
        };
    }

    /// Appends an event. If numbers are missing before it, the log restarts right before the event, so that no
    /// subscriber skips the missing events.
    pub fn append(&mut self, now: Time, position: EventPosition, content: Content) {
        let last = self.last();
        if position.number <= last.number {
            self.counters.out_of_order += 1;
            return;
        }
        self.counters.events += 1;
        if position.number > last.number + 1 {
            self.counters.gaps += 1;
            // No event has hash 0, so no subscriber is at this position: it only marks where the event follows.
            self.restart(
                now,
                EventPosition {
                    number: position.number - 1,
                    hash: 0,
                },
            );
        }
        if content.frame_len() > MAX_FULL_BYTES {
            self.counters.oversized += 1;
            self.restart(now, position);
            return;
        }
        if content.is_urgent() {
            self.urgent.push_back(UrgentEvent {
                number: position.number,
                received_at: now,
            });
        }
        let entry = Entry {
            position,
            received_at: now,
            content,
        };
        self.bytes += entry.bytes();
        self.entries.push_back(entry);
        self.prune(now);
    }

    /// Drops the events past their retention time, and the oldest ones above the limit in bytes.
    pub fn prune(&mut self, now: Time) {
        while let Some(first) = self.entries.front() {
            let expired = now.since(first.received_at) > self.retention.keep_for;
            if !expired && self.bytes <= self.retention.max_bytes {
                break;
            }
            self.counters.shortened += u64::from(!expired);
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(first) = self.entries.pop_front() {
            self.bytes -= first.bytes();
            self.base = first.position;
            self.urgent
                .pop_front_if(|urgent| urgent.number <= first.position.number);
            self.complete_after = self.complete_after.max(first.received_at);
        }
    }

    /// Returns the position of the last event received.
    pub fn last(&self) -> EventPosition {
        self.entries
            .back()
            .map_or(self.base, |entry| entry.position)
    }

    /// Checks that the log holds all events after the position; there may be none yet.
    ///
    /// # Errors
    ///
    /// [`PositionError`] if the position is not in the log.
    pub fn check_position(&self, position: EventPosition) -> Result<(), PositionError> {
        self.index_after(position).map(|_| ())
    }

    /// Returns the current size.
    pub fn size(&self) -> LogSize {
        LogSize {
            events: self.entries.len(),
            bytes: self.bytes,
        }
    }

    /// Returns when the first event after the position was received; `None` if there is none or the position is not in
    /// the log.
    pub fn next_event_received_at(&self, position: EventPosition) -> Option<Time> {
        let index = self.index_after(position).ok()?;
        self.entries.get(index).map(|entry| entry.received_at)
    }

    /// Returns when the first urgent event after the position was received; `None` if there is none or the position is
    /// not in the log.
    pub fn next_urgent_event_received_at(&self, position: EventPosition) -> Option<Time> {
        self.index_after(position).ok()?;
        let index = self
            .urgent
            .partition_point(|urgent| urgent.number <= position.number);
        self.urgent.get(index).map(|urgent| urgent.received_at)
    }

    fn index_after(&self, position: EventPosition) -> Result<usize, PositionError> {
        if position == self.base {
            return Ok(0);
        }
        if position.number > self.last().number {
            return Err(PositionError::Ahead);
        }
        let index = position
            .number
            .checked_sub(self.base.number + 1)
            .ok_or(PositionError::Unknown)? as usize;
        match self.entries.get(index) {
            Some(entry) if entry.position == position => Ok(index + 1),
            _ => Err(PositionError::Unknown),
        }
    }
}
