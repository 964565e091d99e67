//! Cache hosts, parents and the origin: places, a waiting room, copies by rank and age, slow start, falling over.

use std::collections::{BTreeMap, HashMap, VecDeque};

/// How a host answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FailureMode {
    /// As it should.
    Serve,
    /// Not at all.
    Silent,
    /// That it failed.
    Fail,
    /// After so many times the usual time.
    Slow(f64),
}

/// Copies up to so many KB: the lowest rank goes first, within it the longest unused.
#[derive(Clone, Debug, Default)]
pub struct Copies {
    most_kb: f64,
    kb: f64,
    /// By object: rank, last use, when it was made, size.
    held: HashMap<u64, (u8, u64, f64, f64)>,
    order: BTreeMap<(u8, u64), u64>,
    uses: u64,
}

impl Copies {
    /// No copies yet, room for so many KB.
    pub fn new(most_kb: f64) -> Copies {
        Copies {
            most_kb,
            ..Copies::default()
        }
    }

    /// KB of all copies.
    pub fn kb(&self) -> f64 {
        self.kb
    }

    /// Drops all copies.
    pub fn clear(&mut self) {
        *self = Copies::new(self.most_kb);
    }

    /// When the copy was made, if there is one made at `oldest` or later; using it makes it young.
    pub fn look(&mut self, object: u64, oldest: f64) -> Option<f64> {
        let (rank, used, made, _) = self
            .held
            .get_mut(&object)
            .filter(|(.., made, _)| *made >= oldest)?;
        self.order.remove(&(*rank, *used));
        self.uses += 1;
        *used = self.uses;
        self.order.insert((*rank, *used), object);
        Some(*made)
    }

    /// Drops what was made before.
    pub fn purge(&mut self, before: f64) {
        let old = self.held.iter().filter(|(_, (.., made, _))| *made < before);
        for object in old.map(|(object, _)| *object).collect::<Vec<_>>() {
            let Some((rank, used, _, kb)) = self.held.remove(&object) else {
                continue;
            };
            self.order.remove(&(rank, used));
            self.kb -= kb;
        }
    }

    /// Keeps a copy in place of an earlier one; one of rank 0 or too large for all the room is not kept.
    pub fn keep(&mut self, object: u64, rank: u8, made: f64, kb: f64) {
        if let Some((rank, used, _, kb)) = self.held.remove(&object) {
            self.order.remove(&(rank, used));
            self.kb -= kb;
        }
        if kb > self.most_kb || rank == 0 {
            return;
        }
        while self.kb + kb > self.most_kb {
            let Some((_, gone)) = self.order.pop_first() else {
                break;
            };
            self.kb -= self.held.remove(&gone).map_or(0.0, |(.., kb)| kb);
        }
        self.uses += 1;
        self.held.insert(object, (rank, self.uses, made, kb));
        self.order.insert((rank, self.uses), object);
        self.kb += kb;
    }
}

/// What a host is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Of the first tier, near forwarders.
    Cache,
    /// Of the second tier, asked by caches.
    Parent,
    /// Where all objects come from.
    Origin,
}

/// What a host does for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Job {
    /// Answers an attempt.
    Answer(u64),
    /// Fills the cache that answers it.
    Fill(u64),
    /// Fills the parent that fills it.
    Behind(u64),
}

impl Job {
    /// The attempt that it is for.
    pub fn attempt(self) -> u64 {
        let (Job::Answer(attempt) | Job::Fill(attempt) | Job::Behind(attempt)) = self;
        attempt
    }
}

/// One host, in service or dead.
pub struct Host {
    /// Its name in the list.
    pub id: String,
    /// What it is.
    pub kind: Kind,
    /// The location of a cache.
    pub zone: usize,
    /// Jobs that it works on at once when it is warm.
    pub places: f64,
    /// Whether it lives.
    pub up: bool,
    /// Counts its deaths: what was planned before one no longer counts.
    pub run: u32,
    /// How it answers.
    pub failure_mode: FailureMode,
    /// When it started, in milliseconds; none for long past.
    pub started: Option<f64>,
    /// What it holds.
    pub copies: Copies,
    /// Places that are taken.
    pub busy: usize,
    /// Jobs that wait for a place.
    pub waiting: VecDeque<Job>,
    /// Jobs that have a place.
    pub served: Vec<Job>,
    /// Work of the last window, with when it was booked.
    spent: VecDeque<(f64, f64)>,
    /// The sum of that work.
    sum: f64,
    /// Requests in hand as last reported.
    pub told: f64,
}

impl Host {
    /// A warm host without copies.
    pub fn new(id: String, kind: Kind, zone: usize, places: f64, most_kb: f64) -> Host {
        Host {
            id,
            kind,
            zone,
            places,
            up: true,
            run: 0,
            failure_mode: FailureMode::Serve,
            started: None,
            copies: Copies::new(most_kb),
            busy: 0,
            waiting: VecDeque::new(),
            served: Vec::new(),
            spent: VecDeque::new(),
            sum: 0.0,
            told: 0.0,
        }
    }

    /// The part of its capacity that it has: it grows evenly during slow start.
    pub fn part(&self, now: f64, from: f64, within: f64) -> f64 {
        self.started.map_or(1.0, |started| {
            (from + (1.0 - from) * (now - started) / within.max(1.0)).clamp(0.0, 1.0)
        })
    }

    /// Books work; gives what was asked for within the window, that included.
    pub fn book(&mut self, now: f64, cost: f64, window: f64) -> f64 {
        self.spent.push_back((now, cost));
        self.sum += cost;
        while let Some((_, old)) = self
            .spent
            .front()
            .copied()
            .filter(|(at, _)| *at <= now - window)
        {
            self.sum -= old;
            self.spent.pop_front();
        }
        self.sum
    }

    /// Dies; gives what it had in hand.
    pub fn die(&mut self) -> Vec<Job> {
        (self.up, self.run, self.busy) = (false, self.run + 1, 0);
        (self.sum, self.told) = (0.0, 0.0);
        self.spent.clear();
        self.copies.clear();
        self.waiting
            .drain(..)
            .chain(self.served.drain(..))
            .collect()
    }
}
