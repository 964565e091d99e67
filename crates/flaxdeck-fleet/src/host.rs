//! Cache hosts, parents and the origin: slots, a queue, slow start, overload.

use std::collections::VecDeque;

use crate::cache::Cache;

/// How a host answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FailureMode {
    /// As it should.
    Healthy,
    /// Not at all.
    Silent,
    /// That it failed.
    Failing,
    /// After so many times the usual time.
    Slow(f64),
}

/// The tier that a host belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostKind {
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
    /// Answers the attempt.
    Answer(u64),
    /// Fills the cache that answers it.
    FillCache(u64),
    /// Fills the parent that fills that cache, or that answers.
    FillParent(u64),
}

impl Job {
    /// The attempt that it is for.
    pub fn attempt(self) -> u64 {
        match self {
            Job::Answer(attempt) | Job::FillCache(attempt) | Job::FillParent(attempt) => attempt,
        }
    }
}

/// Work that a host was asked for at one moment.
struct WorkItem {
    at_ms: f64,
    cost_ms: f64,
}

/// One host, up or down.
pub struct Host {
    /// Its id in the endpoint list.
    pub id: String,
    /// Its tier.
    pub kind: HostKind,
    /// The zone of a cache.
    pub zone: usize,
    /// Jobs that it works on at once when it is warm.
    pub slots: f64,
    /// Whether it is up.
    pub up: bool,
    /// Counts its crashes: what was planned before one no longer counts.
    pub incarnation: u32,
    /// How it answers.
    pub failure_mode: FailureMode,
    /// When it started, in milliseconds; none for long past.
    pub started_ms: Option<f64>,
    /// What it has cached.
    pub cache: Cache,
    /// Slots that are taken.
    pub busy: usize,
    /// Jobs that wait for a slot.
    pub queue: VecDeque<Job>,
    /// Jobs that have a slot.
    pub running: Vec<Job>,
    /// Work that was asked for within the last window.
    recent_work: VecDeque<WorkItem>,
    /// The sum of that work, in milliseconds of a slot.
    recent_work_ms: f64,
    /// Jobs in hand as last reported.
    pub reported_load: f64,
}

impl Host {
    /// A warm host with an empty cache.
    pub fn new(id: String, kind: HostKind, zone: usize, slots: f64, cache_kb: f64) -> Host {
        Host {
            id,
            kind,
            zone,
            slots,
            up: true,
            incarnation: 0,
            failure_mode: FailureMode::Healthy,
            started_ms: None,
            cache: Cache::new(cache_kb),
            busy: 0,
            queue: VecDeque::new(),
            running: Vec::new(),
            recent_work: VecDeque::new(),
            recent_work_ms: 0.0,
            reported_load: 0.0,
        }
    }

    /// The fraction of its capacity that it has: it grows evenly from `initial` during a slow start of so long.
    pub fn capacity_fraction(&self, now_ms: f64, initial: f64, slow_start_ms: f64) -> f64 {
        self.started_ms.map_or(1.0, |started_ms| {
            let age_ms = now_ms - started_ms;
            (initial + (1.0 - initial) * age_ms / slow_start_ms.max(1.0)).clamp(0.0, 1.0)
        })
    }

    /// Adds work that it is asked for; gives the sum within the window, that included.
    pub fn add_work(&mut self, now_ms: f64, cost_ms: f64, window_ms: f64) -> f64 {
        self.recent_work.push_back(WorkItem {
            at_ms: now_ms,
            cost_ms,
        });
        self.recent_work_ms += cost_ms;
        while let Some(oldest) = self.recent_work.front() {
            if oldest.at_ms > now_ms - window_ms {
                break;
            }
            self.recent_work_ms -= oldest.cost_ms;
            self.recent_work.pop_front();
        }
        self.recent_work_ms
    }

    /// Goes down and loses its cache; gives the jobs that it had in hand.
    pub fn crash(&mut self) -> Vec<Job> {
        self.up = false;
        self.incarnation += 1;
        self.busy = 0;
        self.recent_work_ms = 0.0;
        self.reported_load = 0.0;
        self.recent_work.clear();
        self.cache.clear();
        let queued = self.queue.drain(..);
        queued.chain(self.running.drain(..)).collect()
    }
}
