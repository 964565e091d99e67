//! What the notes of all forwarders come to beside the coordinator's own events: delays, and events that were lost,
//! doubled or out of order.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs;
use std::path::Path;

use hdrhistogram::Histogram;

use crate::in_force::Note;

/// The longest delay that is told apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// An event as the coordinator held it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    pub number: u64,
    pub hash: u64,
    pub at_us: u64,
}

/// Writes events as text, one a line.
pub fn write_events(path: &Path, events: &[Held]) -> std::io::Result<()> {
    let line = |held: &Held| format!("{} {:016x} {}\n", held.number, held.hash, held.at_us);
    fs::write(path, events.iter().map(line).collect::<String>())
}

/// Reads what [`write_events`] wrote.
pub fn read_events(path: &Path) -> Result<Vec<Held>, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let held = |line: &str| {
        let mut words = line.split(' ');
        let number = words.next()?.parse().ok()?;
        let hash = u64::from_str_radix(words.next()?, 16).ok()?;
        Some(Held {
            number,
            hash,
            at_us: words.next()?.parse().ok()?,
        })
    };
    let read: Option<Vec<Held>> = text.lines().map(held).collect();
    read.ok_or_else(|| format!("{}: not a list of events", path.display()))
}

/// What became of the events of a window at all forwarders.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Events times forwarders that were to have them in force.
    pub expected: u64,
    pub lost: u64,
    pub doubled: u64,
    pub out_of_order: u64,
    /// Of those lost: covered by a whole list in whose place copies are doubted, or known at a restart.
    pub replaced: u64,
    /// Notes of events that the coordinator never held.
    pub unknown: u64,
    /// Microseconds from the coordinator to in force.
    pub delays: Histogram<u64>,
}

/// One forwarder's position in the coordinator's events, counted from 0 over all its numberings.
struct Position {
    began_us: u64,
    last: usize,
    missing: BTreeSet<usize>,
    /// It was killed on purpose, so that nothing after its last note is owed.
    ended: bool,
}

/// Takes notes in, forwarder by forwarder in the order of time.
pub struct Judge<'a> {
    events: &'a [Held],
    /// Of the window: from the first to before the last.
    window: std::ops::Range<usize>,
    places: HashMap<(u32, u32), usize>,
    by_number: HashMap<u32, Vec<usize>>,
    positions: BTreeMap<u32, Position>,
    outcome: Outcome,
}

impl<'a> Judge<'a> {
    /// Over all events that the coordinator held, judging those held within the window of time.
    pub fn new(events: &'a [Held], from_us: u64, until_us: u64) -> Judge<'a> {
        let from = events.partition_point(|held| held.at_us < from_us);
        let until = events.partition_point(|held| held.at_us < until_us);
        let mut by_number: HashMap<u32, Vec<usize>> = HashMap::new();
        for (at, held) in events.iter().enumerate() {
            by_number.entry(held.number as u32).or_default().push(at);
        }
        let places = events
            .iter()
            .enumerate()
            .map(|(at, held)| ((held.number as u32, held.hash as u32), at));
        let delays = Histogram::new_with_bounds(1, LONGEST_US, 3).expect("bounds that are right");
        let outcome = Outcome {
            expected: 0,
            lost: 0,
            doubled: 0,
            out_of_order: 0,
            replaced: 0,
            unknown: 0,
            delays,
        };
        let places = places.collect();
        Judge {
            events,
            window: from..until.max(from),
            places,
            by_number,
            positions: BTreeMap::new(),
            outcome,
        }
    }

    /// The place of an event; of a whole list that was given out under a number, the last event that had it by then.
    fn place(&self, note: &Note) -> Option<usize> {
        let exact = self.places.get(&(note.upto, note.hash)).copied();
        exact.or_else(|| {
            let all = self
                .by_number
                .get(&note.upto)
                .filter(|_| note.after.is_none())?;
            all.iter()
                .rev()
                .find(|at| self.events[**at].at_us <= note.at_us)
                .copied()
        })
    }

    /// Takes in one note.
    pub fn take(&mut self, note: &Note) {
        let Some(upto) = self.place(note) else {
            self.outcome.unknown += 1;
            return;
        };
        let Some(after) = note.after else {
            return self.anew(note, upto);
        };
        let count = (note.upto.saturating_sub(after)) as usize;
        let first = (upto + 1).saturating_sub(count);
        for at in first..=upto {
            self.in_force(note, at);
        }
    }

    fn anew(&mut self, note: &Note, upto: usize) {
        let (forwarder, at_us) = (note.forwarder, note.at_us);
        let position = self.positions.entry(forwarder);
        let known = position.or_insert_with(|| Position {
            began_us: at_us,
            last: upto,
            missing: BTreeSet::new(),
            ended: false,
        });
        let jumped = known.last + 1..(upto + 1).max(known.last + 1);
        self.outcome.replaced += jumped.filter(|at| self.window.contains(at)).count() as u64;
        known.last = known.last.max(upto);
    }

    fn in_force(&mut self, note: &Note, at: usize) {
        let Some(position) = self.positions.get_mut(&note.forwarder) else {
            self.outcome.unknown += 1;
            return;
        };
        if at > position.last {
            position.missing.extend(position.last + 1..at);
            position.last = at;
        } else if position.missing.remove(&at) {
            self.outcome.out_of_order += 1;
        } else {
            self.outcome.doubled += 1;
            return;
        }
        let held = &self.events[at];
        if self.window.contains(&at) && held.at_us >= position.began_us {
            self.outcome
                .delays
                .saturating_record(note.at_us.saturating_sub(held.at_us).max(1));
        }
    }

    /// These forwarders were killed on purpose: what followed their last notes is not lost by anybody.
    pub fn killed(&mut self, forwarders: std::ops::Range<u32>) {
        self.positions
            .range_mut(forwarders)
            .for_each(|(_, position)| position.ended = true);
    }

    /// All notes are in.
    pub fn outcome(mut self) -> Outcome {
        let window = self.window.clone();
        for position in self.positions.values() {
            let begun = self
                .events
                .partition_point(|held| held.at_us < position.began_us)
                .max(window.start);
            let until = if position.ended {
                window.end.min(position.last + 1)
            } else {
                window.end
            };
            let owed = begun..until.max(begun);
            let tail = owed.clone().filter(|at| *at > position.last).count();
            let gaps = position
                .missing
                .iter()
                .filter(|at| owed.contains(at))
                .count();
            self.outcome.expected += owed.len() as u64;
            self.outcome.lost += (tail + gaps) as u64;
        }
        self.outcome
    }
}
