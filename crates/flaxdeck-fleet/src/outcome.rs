//! What came of a run.

use flaxdeck_invariants::Verdict;

/// What came of a run, as counts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Wants of clients, each tried some times.
    pub wants: u64,
    /// Wants served within the latency objective of the first try.
    pub in_time: u64,
    /// Wants served later.
    pub late: u64,
    /// Wants given up after all tries.
    pub lost: u64,
    /// Requests: tries of all wants.
    pub requests: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Attempts at hosts.
    pub attempts: u64,
    /// Attempts answered from a host's own copy.
    pub hits: u64,
    /// Fills that caches asked parents for.
    pub parent_fills: u64,
    /// Fills that the origin was asked for.
    pub origin_fills: u64,
    /// Hosts that were asked for too much during slow start and fell over.
    pub fell_over: u64,
    /// Events of the run.
    pub events: u64,
    /// The part of all reads that was served, of the tenth with the largest objects, and of the fifth below that.
    pub served_by_size: [f64; 3],
    /// The rules' verdict, if it was judged.
    pub verdict: Option<Verdict>,
    /// Of all that happened, in order: the same for the same shape and seed.
    pub digest: u64,
}

impl Outcome {
    /// One for a want in time, a half for a late one, of all wants.
    pub fn gain(&self) -> f64 {
        (self.in_time as f64 + 0.5 * self.late as f64) / self.wants.max(1) as f64
    }
}
