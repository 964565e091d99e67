//! What came of a run.

use flaxdeck_invariants::Verdict;

/// The fractions of all reads that were served.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServedBySize {
    /// Of all reads.
    pub all: f64,
    /// Of the tenth with the largest objects.
    pub largest_tenth: f64,
    /// Of the fifth below that.
    pub next_fifth: f64,
}

/// What came of a run, as counts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// What clients wanted: operations, each with one or more requests.
    pub operations: u64,
    /// Operations served within the latency objective of the first request.
    pub in_time: u64,
    /// Operations served later.
    pub late: u64,
    /// Operations given up after all tries.
    pub lost: u64,
    /// Requests of all operations.
    pub requests: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Attempts at hosts.
    pub attempts: u64,
    /// Attempts answered from a host's own cache.
    pub hits: u64,
    /// Fills that caches asked parents for.
    pub parent_fills: u64,
    /// Fills that the origin was asked for.
    pub origin_fills: u64,
    /// Hosts that were asked for too much during slow start and crashed.
    pub overloaded_hosts: u64,
    /// Events of the run.
    pub events: u64,
    /// The fractions of reads served, by the size of their objects.
    pub served_by_size: ServedBySize,
    /// The rules' verdict, if it was asked for.
    pub verdict: Option<Verdict>,
    /// A hash of all that happened, in order: the same for the same scenario and seed.
    pub digest: u64,
}

impl Outcome {
    /// One for an operation in time, a half for a late one, over all operations.
    pub fn gain(&self) -> f64 {
        (self.in_time as f64 + 0.5 * self.late as f64) / self.operations.max(1) as f64
    }
}
