//! What a planner keeps of the coordinator's events, to pass them on in order to subscribers that are at different
//! positions.
//!
//! Events are kept by time. A bound in bytes is the last resort: what it drops is counted and shortens how far back the
//! log says that it reaches, so that whoever needs it is told that it is not there.

mod excerpts;

use std::collections::VecDeque;

use flaxdeck::{Span, Time};
use flaxdeck_recovery::EventPosition;

use crate::fingerprint::Fingerprint;
use crate::messages::{FullEvent, MAX_FULL_BYTES};

/// How long events are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Retention {
    /// Longer than hosts take to drop by themselves what was purged.
    pub keep_for: Span,
    /// The most bytes of events, with what is kept beside each.
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

/// What an event tells.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Content {
    /// A single object was purged.
    ObjectPurge(Fingerprint),
    /// A group of objects was purged: the coordinator's own frame.
    GroupPurge(Vec<u8>),
    /// Hosts have changed: the coordinator's own frame.
    HostChange(Vec<u8>),
}

impl Content {
    /// Bytes of what is passed on in full.
    fn frame_len(&self) -> usize {
        match self {
            Content::ObjectPurge(_) => 0,
            Content::GroupPurge(frame) | Content::HostChange(frame) => frame.len(),
        }
    }

    /// Whether it is passed on at once, not with the next batch.
    pub fn is_urgent(&self) -> bool {
        !matches!(self, Content::ObjectPurge(_))
    }
}

/// Why nothing can follow a position here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum NotKept {
    /// Its number is above the last one known: it may become known.
    #[error("the position is ahead of the last event known")]
    Ahead,
    /// It is before what is kept, or another event has its number.
    #[error("the position is before what is kept, or another event has its number")]
    Unknown,
}

/// The purges that are kept.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct KeptPurges {
    /// Single objects.
    pub objects: Vec<Fingerprint>,
    /// Groups, in the order of their numbers.
    pub groups: Vec<FullEvent>,
    /// How far back they are complete.
    pub reach: Span,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Events taken.
    pub events: u64,
    /// Events whose number was not above the last one; they were not taken.
    pub out_of_order: u64,
    /// Events after which the log began anew, as some before them were missing.
    pub gaps: u64,
    /// Events too long to be passed on; the log began anew after them.
    pub oversized: u64,
    /// Events dropped by the bound in bytes before their time.
    pub shortened: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    position: EventPosition,
    at: Time,
    content: Content,
}

/// An event that is passed on at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct UrgentEvent {
    number: u64,
    at: Time,
}

/// How much a log keeps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogSize {
    /// Events.
    pub events: usize,
    /// Bytes of events, with what is kept beside each.
    pub bytes: usize,
}

impl Entry {
    fn bytes(&self) -> usize {
        size_of::<Entry>() + self.content.frame_len()
    }
}

/// The events kept, without gaps: each number is one above the one before.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EventLog {
    retention: Retention,
    /// The position that the first entry follows.
    base: EventPosition,
    entries: VecDeque<Entry>,
    /// Those among them that are passed on at once.
    urgent: VecDeque<UrgentEvent>,
    bytes: usize,
    /// All events that came after this moment are kept.
    complete_after: Time,
    /// Counts since the start.
    pub counters: Counters,
}

impl EventLog {
    /// A log in which nothing follows `base` yet.
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

    /// The numbering is another, or some events are missing: nothing that was kept leads to `base`.
    pub fn restart(&mut self, now: Time, base: EventPosition) {
        let counters = self.counters;
        *self = EventLog {
            counters,
            ..EventLog::start(now, self.retention, base)
        };
    }

    /// Keeps an event. One that does not follow the last has the log begin anew right before it, so that nobody is led
    /// over the gap.
    pub fn append(&mut self, now: Time, position: EventPosition, content: Content) {
        let last = self.last();
        if position.number <= last.number {
            self.counters.out_of_order += 1;
            return;
        }
        self.counters.events += 1;
        if position.number > last.number + 1 {
            self.counters.gaps += 1;
            // Nobody has that position, as no event has that hash: it is where the event follows from, no more.
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
                at: now,
            });
        }
        let entry = Entry {
            position,
            at: now,
            content,
        };
        self.bytes += entry.bytes();
        self.entries.push_back(entry);
        self.prune(now);
    }

    /// Drops what was kept for long enough, and what is over the bound in bytes.
    pub fn prune(&mut self, now: Time) {
        while let Some(first) = self.entries.front() {
            let expired = now.since(first.at) > self.retention.keep_for;
            if !expired && self.bytes <= self.retention.max_bytes {
                break;
            }
            self.counters.shortened += u64::from(!expired);
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some(first) = self.entries.pop_front() {
            self.bytes -= first.bytes();
            self.base = first.position;
            self.urgent
                .pop_front_if(|urgent| urgent.number <= first.position.number);
            self.complete_after = self.complete_after.max(first.at);
        }
    }

    /// The last event known.
    pub fn last(&self) -> EventPosition {
        self.entries
            .back()
            .map_or(self.base, |entry| entry.position)
    }

    /// Whether events after that position are kept, none of which may have come yet.
    ///
    /// # Errors
    ///
    /// [`NotKept`] if the position is not known here.
    pub fn follows(&self, position: EventPosition) -> Result<(), NotKept> {
        self.index_after(position).map(|_| ())
    }

    /// How much is kept.
    pub fn size(&self) -> LogSize {
        LogSize {
            events: self.entries.len(),
            bytes: self.bytes,
        }
    }

    /// When the first event after a position came; none if none has, or the position is not known.
    pub fn next_after(&self, position: EventPosition) -> Option<Time> {
        let index = self.index_after(position).ok()?;
        self.entries.get(index).map(|entry| entry.at)
    }

    /// When the first event after a position came that is to be passed on at once.
    pub fn next_urgent_after(&self, position: EventPosition) -> Option<Time> {
        self.index_after(position).ok()?;
        let index = self
            .urgent
            .partition_point(|urgent| urgent.number <= position.number);
        self.urgent.get(index).map(|urgent| urgent.at)
    }

    fn index_after(&self, position: EventPosition) -> Result<usize, NotKept> {
        if position == self.base {
            return Ok(0);
        }
        if position.number > self.last().number {
            return Err(NotKept::Ahead);
        }
        let index = position
            .number
            .checked_sub(self.base.number + 1)
            .ok_or(NotKept::Unknown)? as usize;
        match self.entries.get(index) {
            Some(entry) if entry.position == position => Ok(index + 1),
            _ => Err(NotKept::Unknown),
        }
    }
}
