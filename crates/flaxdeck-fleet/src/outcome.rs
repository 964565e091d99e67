//! The results of a run.

use flaxdeck_invariants::Verdict;

/// The fractions of read operations that were served, by the size of their objects.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServedBySize {
    /// The served fraction of all reads.
    pub all: f64,
    /// The served fraction of the tenth of reads with the largest objects.
    pub largest_tenth: f64,
    /// The served fraction of the fifth of reads with the next largest objects.
    pub next_fifth: f64,
}

/// The results of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Operations of clients; a client sends one or more requests for each, until one is served.
    pub operations: u64,
    /// Operations served within the latency objective of the first request.
    pub in_time: u64,
    /// Operations served after that objective.
    pub late: u64,
    /// Operations that clients gave up: after the last try, or because a write may have run already.
    pub lost: u64,
    /// Requests sent by clients for all operations.
    pub requests: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Attempts that forwarders sent to hosts.
    pub attempts: u64,
    /// Attempts answered from the cache of the host that they were sent to.
    pub hits: u64,
    /// Fills that caches requested from parents.
    pub parent_fills: u64,
    /// Fills that were requested from the origin.
    pub origin_fills: u64,
    /// Crashes of hosts that were overloaded during slow start.
    pub overloaded_hosts: u64,
    /// Events that the run processed.
    pub events: u64,
    /// The fractions of reads that were served, by the size of their objects.
    pub served_by_size: ServedBySize,
    /// The verdict on the fleet's rules; `None` unless `Scenario::check_invariants` is set.
    pub verdict: Option<Verdict>,
    /// A hash of all answers to clients with their times, in order; the same for the same scenario and seed.
    pub digest: u64,
}

impl Outcome {
    /// Returns the mean value of an operation: 1 if it was served in time, 0.5 if it was served late, 0 if it was lost.
    pub fn gain(&self) -> f64 {
        (self.in_time as f64 + 0.5 * self.late as f64) / self.operations.max(1) as f64
    }
}
