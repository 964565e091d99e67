//! Rule 3: no new work arrives at a draining or removed host after the grace.

use std::collections::BTreeMap;

use crate::{Rule, Verdict};

/// Tracks which hosts are withdrawn, and since when.
pub(crate) struct WithdrawalChecker<'a> {
    grace_ms: f64,
    withdrawn_since: BTreeMap<&'a str, f64>,
}

impl<'a> WithdrawalChecker<'a> {
    pub(crate) fn new(grace_ms: f64) -> WithdrawalChecker<'a> {
        WithdrawalChecker {
            grace_ms,
            withdrawn_since: BTreeMap::new(),
        }
    }

    /// Marks a host as withdrawn. The grace counts from the first withdrawal until the host is announced again.
    pub(crate) fn withdrawn(&mut self, at_ms: f64, host: &'a str) {
        self.withdrawn_since.entry(host).or_insert(at_ms);
    }

    pub(crate) fn announced(&mut self, host: &str) {
        self.withdrawn_since.remove(host);
    }

    pub(crate) fn arrived(&self, at_ms: f64, host: &str, verdict: &mut Verdict) {
        let Some(since_ms) = self.withdrawn_since.get(host) else {
            return;
        };
        let late_ms = at_ms - since_ms;
        verdict.latest_arrival = verdict.latest_arrival.max(late_ms);
        if at_ms > since_ms + self.grace_ms {
            let description =
                format!("host {host} got new work {late_ms:.0} ms after its withdrawal");
            verdict.add_violation(Rule::NothingToWithdrawnHosts, at_ms, description);
        }
    }
}
