//! What a planner keeps of the coordinator's events, to pass them on in order to subscribers that are at different
//! positions.
//!
//! Events are kept by time. A bound in bytes is the last resort: what it drops is counters and shortens how far back the
//! log says that it reaches, so that whoever needs it is told that it is not there.

use std::collections::VecDeque;

use flaxdeck::{Span, Time};
use flaxdeck_recovery::EventPosition;

use crate::fingerprint::Fingerprint;
use crate::messages::*;

/// How long events are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Retention {
    /// Longer than hosts take to drop by themselves what was purged.
    pub keep_for: Span,
    /// The most bytes of events, with what is kept beside each.
    pub bytes_most: usize,
}

impl Default for Retention {
    fn default() -> Retention {
        Retention {
            keep_for: Span::from_ms(30_000),
            bytes_most: 16 * 1024 * 1024,
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
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotKept {
    /// Its number is above the last one known: it may become known.
    Ahead,
    /// It is before what is kept, or another event bears its number.
    Unknown,
}

/// The purges that are kept.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct KeptPurges {
    pub objects: Vec<Fingerprint>,
    pub groups: Vec<FullEvent>,
    /// How far back they are complete.
    pub reach: Span,
}

/// What was counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
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
    mark: EventPosition,
    at: Time,
    content: Content,
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
    /// Numbers of those among them that are passed on at once, with when they came.
    urgent: VecDeque<(u64, Time)>,
    bytes: usize,
    /// All events that came after this moment are kept.
    complete_after: Time,
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
    pub fn append(&mut self, now: Time, mark: EventPosition, content: Content) {
        let last = self.last();
        if mark.number <= last.number {
            self.counters.out_of_order += 1;
            return;
        }
        self.counters.events += 1;
        if mark.number > last.number + 1 {
            self.counters.gaps += 1;
            // Nobody has that position, as no event has that hash: it is where the event follows from, no more.
            self.restart(
                now,
                EventPosition {
                    number: mark.number - 1,
                    hash: 0,
                },
            );
        }
        if content.frame_len() > MAX_FULL_BYTES {
            self.counters.oversized += 1;
            self.restart(now, mark);
            return;
        }
        if content.is_urgent() {
            self.urgent.push_back((mark.number, now));
        }
        let entry = Entry {
            mark,
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
            if !expired && self.bytes <= self.retention.bytes_most {
                break;
            }
            self.counters.shortened += u64::from(!expired);
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some(first) = self.entries.pop_front() {
            self.bytes -= first.bytes();
            self.base = first.mark;
            self.urgent
                .pop_front_if(|(number, _)| *number <= first.mark.number);
            self.complete_after = self.complete_after.max(first.at);
        }
    }

    /// The last event known.
    pub fn last(&self) -> EventPosition {
        self.entries.back().map_or(self.base, |entry| entry.mark)
    }

    /// Whether events after that position are kept, none of which may have come yet.
    pub fn follows(&self, position: EventPosition) -> Result<(), NotKept> {
        self.index_after(position).map(|_| ())
    }

    /// Entries and bytes kept.
    pub fn size(&self) -> (usize, usize) {
        (self.entries.len(), self.bytes)
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
            .partition_point(|(number, _)| *number <= position.number);
        self.urgent.get(index).map(|(_, at)| *at)
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
            Some(entry) if entry.mark == position => Ok(index + 1),
            _ => Err(NotKept::Unknown),
        }
    }

    /// The events after a position, as many as one batch may hold.
    pub fn batch_after(&self, position: EventPosition) -> Result<Batch, NotKept> {
        let index = self.index_after(position)?;
        let (mut upto, mut frame_bytes) = (position, 0);
        let (mut objects, mut events) = (Vec::new(), Vec::new());
        for entry in self.entries.iter().skip(index) {
            match &entry.content {
                Content::ObjectPurge(_) if objects.len() == MAX_PURGES as usize => break,
                Content::ObjectPurge(fingerprint) => objects.push(*fingerprint),
                Content::GroupPurge(frame) | Content::HostChange(frame) => {
                    frame_bytes += frame.len();
                    if events.len() == MAX_FULL_EVENTS || frame_bytes > MAX_FULL_BYTES {
                        break;
                    }
                    events.push(FullEvent {
                        mark: entry.mark,
                        frame: frame.clone(),
                    });
                }
            }
            upto = entry.mark;
        }
        Ok(Batch {
            after: position,
            upto,
            purges: PurgeDigest::encode(objects),
            events,
        })
    }

    /// The latest purges, as many as one snapshot may hold with so many bytes of purges of groups, and how far back they
    /// are complete.
    ///
    /// Each purge counts from when it came here, which is not before it was made: whoever has all that came within a
    /// time has all that was made within it.
    pub fn purges_since(&self, now: Time, group_bytes_most: usize) -> KeptPurges {
        let mut kept = KeptPurges::default();
        let (mut complete_after, mut frame_bytes) = (self.complete_after, 0);
        for entry in self.entries.iter().rev() {
            let fits = match &entry.content {
                Content::ObjectPurge(_) => kept.objects.len() < MAX_PURGES as usize,
                Content::GroupPurge(frame) => {
                    frame_bytes += frame.len();
                    kept.groups.len() < MAX_FULL_EVENTS && frame_bytes <= group_bytes_most
                }
                Content::HostChange(_) => true,
            };
            if !fits {
                complete_after = complete_after.max(entry.at);
                break;
            }
            match &entry.content {
                Content::ObjectPurge(fingerprint) => kept.objects.push(*fingerprint),
                Content::GroupPurge(frame) => {
                    kept.groups.push(FullEvent {
                        mark: entry.mark,
                        frame: frame.clone(),
                    });
                }
                Content::HostChange(_) => {}
            }
        }
        kept.groups.reverse();
        kept.reach = now.since(complete_after);
        kept
    }
}
