//! The result of checking a record.

use std::fmt;

/// The five rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets exactly one final answer, in time.
    OneAnswerInTime = 1,
    /// No effect happens twice.
    NoDoubleEffect = 2,
    /// No new work arrives at a draining or removed host after the grace.
    NothingToWithdrawnHosts = 3,
    /// No host in slow start is overloaded.
    NoOverloadedSlowStart = 4,
    /// No copy older than a purge is served to a request sent after the grace.
    NoCopyOlderThanPurge = 5,
}

impl Rule {
    /// Returns the rule's number, from 1 to 5.
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

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// The time of the violation, in milliseconds.
    pub at_ms: f64,
    /// A description with the ids and figures concerned.
    pub description: String,
}

/// The result of checking a whole record.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// All violations in order of time, followed by the requests that were never answered.
    pub violations: Vec<Violation>,
    /// Requests that clients sent.
    pub requests: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests whose client left before an answer.
    pub left: u64,
    /// The longest time from a host's withdrawal to an arrival of new work there, in milliseconds.
    pub latest_arrival: f64,
    /// The highest ratio of the work requested from a cold host within a window to its overload limit; above 1 it
    /// crashes.
    pub peak_cold_load: f64,
}

impl Verdict {
    /// Returns whether the number of ended requests is the number of requests that were sent.
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
