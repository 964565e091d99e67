//! Checks that every event reached every forwarder: compares the logs of all forwarders with the events that the
//! coordinator published, and yields delays and the numbers of events that were lost, doubled or out of order.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs;
use std::ops::Range;
use std::path::Path;

use hdrhistogram::Histogram;

use crate::error::RunError;
use crate::in_force_log::LogEntry;

/// The longest delay that the histogram distinguishes, in microseconds; longer ones are recorded as this one.
const MAX_DELAY_US: u64 = 600_000_000;
/// Significant digits of the delays in the histogram.
const DELAY_DIGITS: u8 = 3;

/// An event as the coordinator published it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublishedEvent {
    /// Its number in the numbering that was current when it was published.
    pub number: u64,
    /// The hash of its content.
    pub hash: u64,
    /// When it was published, in microseconds of the monotonic clock.
    pub at_us: u64,
}

/// Writes events as text, one per line.
///
/// # Errors
///
/// If the file can't be written.
pub fn write_events(path: &Path, events: &[PublishedEvent]) -> std::io::Result<()> {
    let line =
        |event: &PublishedEvent| format!("{} {:016x} {}\n", event.number, event.hash, event.at_us);
    fs::write(path, events.iter().map(line).collect::<String>())
}

/// Reads what [`write_events`] wrote.
///
/// # Errors
///
/// [`RunError::File`] if the file can't be read, [`RunError::EventList`] if a line can't be parsed.
pub fn read_events(path: &Path) -> Result<Vec<PublishedEvent>, RunError> {
    let text = fs::read_to_string(path).map_err(RunError::file(path))?;
    let events: Option<Vec<PublishedEvent>> = text.lines().map(parse_event).collect();
    events.ok_or_else(|| RunError::EventList {
        path: path.to_owned(),
    })
}

fn parse_event(line: &str) -> Option<PublishedEvent> {
    let mut words = line.split(' ');
    Some(PublishedEvent {
        number: words.next()?.parse().ok()?,
        hash: u64::from_str_radix(words.next()?, 16).ok()?,
        at_us: words.next()?.parse().ok()?,
    })
}

/// The delivery of the events of a window to all forwarders.
#[derive(Clone, Debug)]
pub struct DeliveryOutcome {
    /// Deliveries that were expected: the sum, over all forwarders, of the events that had to come into force.
    pub expected: u64,
    /// Events that never came into force at a forwarder.
    pub lost: u64,
    /// Events that came into force at a forwarder where they already were.
    pub doubled: u64,
    /// Events that came into force after a later one.
    pub out_of_order: u64,
    /// Events that a forwarder skipped because a full list that includes them replaced what it knew; not counted as
    /// lost. Cached copies from before are in doubt then, as purges may be among these events.
    pub replaced: u64,
    /// Log entries that match no published event, and events logged by a forwarder before its first full list.
    pub unknown: u64,
    /// Microseconds from publication to the event's coming into force.
    pub delays: Histogram<u64>,
}

/// One forwarder's position in the coordinator's events, as indices counted from 0 over all numberings.
struct Position {
    /// The time of its first full list, in microseconds of the monotonic clock.
    started_us: u64,
    /// The last event that came into force.
    last: usize,
    /// Earlier events that have not come into force.
    missing: BTreeSet<usize>,
    /// Whether a fault of the run killed it, so that no event after its last entry is expected.
    was_killed: bool,
}

/// Checks log entries, which have to be added in the order of time for each forwarder.
pub struct DeliveryChecker<'a> {
    events: &'a [PublishedEvent],
    /// The indices of the events of the window.
    window: Range<usize>,
    /// Event indices by number and the low half of the hash.
    indices: HashMap<(u32, u32), usize>,
    /// Event indices by number, one for each numbering that reached it, in ascending order.
    indices_by_number: HashMap<u32, Vec<usize>>,
    /// Positions by forwarder number.
    positions: BTreeMap<u32, Position>,
    outcome: DeliveryOutcome,
}

impl<'a> DeliveryChecker<'a> {
    /// Creates a checker that knows all events that the coordinator published, and judges the delivery of those
    /// published from `from_us` up to `until_us`.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are constants that fit.
    pub fn new(events: &'a [PublishedEvent], from_us: u64, until_us: u64) -> DeliveryChecker<'a> {
        let from = events.partition_point(|event| event.at_us < from_us);
        let until = events.partition_point(|event| event.at_us < until_us);
        let mut indices_by_number: HashMap<u32, Vec<usize>> = HashMap::new();
        let mut indices = HashMap::new();
        for (index, event) in events.iter().enumerate() {
            let number = event.number as u32;
            indices_by_number.entry(number).or_default().push(index);
            indices.insert((number, event.hash as u32), index);
        }
        #[allow(clippy::expect_used, reason = "the bounds are constants that fit")]
        let delays = Histogram::new_with_bounds(1, MAX_DELAY_US, DELAY_DIGITS)
            .expect("the bounds of the histogram fit");
        let outcome = DeliveryOutcome {
            expected: 0,
            lost: 0,
            doubled: 0,
            out_of_order: 0,
            replaced: 0,
            unknown: 0,
            delays,
        };
        DeliveryChecker {
            events,
            window: from..until.max(from),
            indices,
            indices_by_number,
            positions: BTreeMap::new(),
            outcome,
        }
    }

    /// Returns the index of an entry's last event. A full list that a client gets in place of missing events has a hash
    /// of its own; it is matched to the latest event published before the entry with the same number.
    fn index_of(&self, entry: &LogEntry) -> Option<usize> {
        if let Some(index) = self.indices.get(&(entry.upto, entry.hash)) {
            return Some(*index);
        }
        if entry.after.is_some() {
            return None;
        }
        let numbered = self.indices_by_number.get(&entry.upto)?.iter().rev();
        let mut by_then = numbered.filter(|index| self.events[**index].at_us <= entry.at_us);
        by_then.next().copied()
    }

    /// Adds one log entry.
    pub fn add(&mut self, entry: &LogEntry) {
        let Some(upto) = self.index_of(entry) else {
            self.outcome.unknown += 1;
            return;
        };
        let Some(after) = entry.after else {
            return self.apply_full_list(entry, upto);
        };
        let count = entry.upto.saturating_sub(after) as usize;
        let first = (upto + 1).saturating_sub(count);
        for index in first..=upto {
            self.apply_event(entry, index);
        }
    }

    /// Moves the forwarder's position to the last event of a full list, and counts the events skipped.
    fn apply_full_list(&mut self, entry: &LogEntry, upto: usize) {
        let position = self.positions.entry(entry.forwarder);
        let position = position.or_insert_with(|| Position {
            started_us: entry.at_us,
            last: upto,
            missing: BTreeSet::new(),
            was_killed: false,
        });
        let next = position.last + 1;
        let skipped = next..(upto + 1).max(next);
        let in_window = skipped.filter(|index| self.window.contains(index));
        self.outcome.replaced += in_window.count() as u64;
        position.last = position.last.max(upto);
    }

    /// Moves the forwarder's position to an event that came into force, and records its delay.
    fn apply_event(&mut self, entry: &LogEntry, index: usize) {
        let Some(position) = self.positions.get_mut(&entry.forwarder) else {
            self.outcome.unknown += 1;
            return;
        };
        if index > position.last {
            position.missing.extend(position.last + 1..index);
            position.last = index;
        } else if position.missing.remove(&index) {
            self.outcome.out_of_order += 1;
        } else {
            self.outcome.doubled += 1;
            return;
        }
        let event = &self.events[index];
        if self.window.contains(&index) && event.at_us >= position.started_us {
            let delay_us = entry.at_us.saturating_sub(event.at_us).max(1);
            self.outcome.delays.saturating_record(delay_us);
        }
    }

    /// Marks forwarders as killed by a fault of the run: events after their last entries do not count as lost.
    pub fn mark_killed(&mut self, forwarders: Range<u32>) {
        for (_, position) in self.positions.range_mut(forwarders) {
            position.was_killed = true;
        }
    }

    /// Returns the outcome, once all entries have been added.
    pub fn outcome(mut self) -> DeliveryOutcome {
        for position in self.positions.values() {
            let expected = self.expected_events(position);
            let tail = expected.clone().filter(|index| *index > position.last);
            let gaps = position.missing.iter();
            let gaps = gaps.filter(|index| expected.contains(index));
            self.outcome.expected += expected.len() as u64;
            self.outcome.lost += (tail.count() + gaps.count()) as u64;
        }
        self.outcome
    }

    /// Returns the events of the window that had to come into force at a forwarder.
    fn expected_events(&self, position: &Position) -> Range<usize> {
        let started_us = position.started_us;
        let first = self
            .events
            .partition_point(|event| event.at_us < started_us);
        let from = first.max(self.window.start);
        let until = if position.was_killed {
            self.window.end.min(position.last + 1)
        } else {
            self.window.end
        };
        from..until.max(from)
    }
}
