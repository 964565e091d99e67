//! What came of judging a record.

use std::fmt;

/// The five rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets exactly one final answer in time.
    OneAnswerInTime = 1,
    /// No effect happens twice.
    NoDoubleEffect = 2,
    /// Nothing new goes to a draining or removed host after the grace.
    NothingToWithdrawnHosts = 3,
    /// No host in slow start is asked for more than it bears.
    NoOverloadedSlowStart = 4,
    /// No copy older than a purge is handed out after the grace.
    NoCopyOlderThanPurge = 5,
}

impl Rule {
    /// The rule's number, from 1 to 5.
    pub fn number(self) -> u8 {
        self as u8
    }
}

impl fmt::Display for Rule {
    /// Writes the rule's number.
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.number().fmt(to)
    }
}

/// One breach of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule that was broken.
    pub rule: Rule,
    /// When, in milliseconds.
    pub at_ms: f64,
    /// What happened, with the ids and figures.
    pub description: String,
}

/// The judgement of a whole record.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// Every breach, in the order of the record, then the requests that were never answered.
    pub violations: Vec<Violation>,
    /// Requests that clients sent.
    pub requests: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests whose client left first.
    pub left: u64,
    /// Milliseconds from a withdrawal to the latest arrival at its host.
    pub latest_arrival: f64,
    /// The largest part of what a cold host bears that was asked of it within a window; over 1 it falls over.
    pub peak_cold_load: f64,
}

impl Verdict {
    /// Whether each request has exactly one end in the record.
    pub fn all_accounted_for(&self) -> bool {
        self.requests == self.served + self.rejected + self.failed + self.left
    }

    pub(crate) fn add_violation(&mut self, rule: Rule, at_ms: f64, description: String) {
        self.violations.push(Violation {
            rule,
            at_ms,
            description,
        });
    }
}
