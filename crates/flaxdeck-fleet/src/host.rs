//! The state of a cache host, a parent or the origin: slots, job queue, slow start and recent load.

use std::collections::VecDeque;

use crate::cache::Cache;

/// How a host responds to requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FailureMode {
    /// It serves requests normally.
    Healthy,
    /// It accepts requests but never answers.
    Silent,
    /// It answers every request with an error.
    Failing,
    /// It takes longer than usual, by this factor.
    Slow(f64),
}

/// The tier that a host belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostKind {
    /// A cache host of the first tier, in the same zone as its forwarders.
    Cache,
    /// A host of the second tier, from which caches fill their misses.
    Parent,
    /// The origin, which has every object.
    Origin,
}

/// Work that a host does for an attempt, given by its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Job {
    /// Answer the attempt, at the host that it was sent to.
    Answer(u64),
    /// Send a fill to the cache that answers the attempt, at that cache's source.
    FillCache(u64),
    /// Send a fill from the origin to the parent that fills that cache or answers the attempt itself.
    FillParent(u64),
}

impl Job {
    /// Returns the id of the attempt that the job is for.
    pub fn attempt(self) -> u64 {
        match self {
            Job::Answer(attempt) | Job::FillCache(attempt) | Job::FillParent(attempt) => attempt,
        }
    }
}

/// Work requested from a host: its time of arrival and its cost in milliseconds of one slot.
struct WorkItem {
    at_ms: f64,
    cost_ms: f64,
}

/// The state of a host.
pub struct Host {
    /// The host's id in the endpoint list.
    pub id: String,
    /// The host's tier.
    pub kind: HostKind,
    /// The index of a cache's zone; has no meaning for parents and the origin, which serve all zones.
    pub zone: usize,
    /// The number of jobs that the host serves at the same time when it is warm.
    pub slots: f64,
    /// Whether the host is running.
    pub up: bool,
    /// The number of crashes so far; events scheduled under an earlier incarnation are ignored.
    pub incarnation: u32,
    /// How the host responds to requests.
    pub failure_mode: FailureMode,
    /// When the host last started, in milliseconds of the run; `None` if it has run since before the run and is warm.
    pub started_ms: Option<f64>,
    /// The host's cached copies.
    pub cache: Cache,
    /// The number of slots in use.
    pub busy: usize,
    /// Jobs waiting for a slot, in order of arrival.
    pub queue: VecDeque<Job>,
    /// Jobs that occupy a slot.
    pub running: Vec<Job>,
    /// Work requested within the last load window.
    recent_work: VecDeque<WorkItem>,
    /// The total cost of `recent_work`, in milliseconds of one slot.
    recent_work_ms: f64,
    /// The number of queued and running jobs as last sampled, with the sampling error.
    pub reported_load: f64,
}

impl Host {
    /// Creates a running, warm host with an empty cache.
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

    /// Returns the fraction of its full capacity that the host has. During slow start it grows linearly from `initial`
    /// to 1 over `slow_start_ms`.
    pub fn capacity_fraction(&self, now_ms: f64, initial: f64, slow_start_ms: f64) -> f64 {
        self.started_ms.map_or(1.0, |started_ms| {
            let age_ms = now_ms - started_ms;
            (initial + (1.0 - initial) * age_ms / slow_start_ms.max(1.0)).clamp(0.0, 1.0)
        })
    }

    /// Adds requested work of `cost_ms`, and returns the total cost of the work requested within the last `window_ms`,
    /// including this.
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

    /// Stops the host and clears its cache. Returns the jobs that were queued or running.
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
