//! Rule 5: no copy older than a purge is served to a request sent after the grace.

use std::collections::BTreeMap;

use crate::{Rule, Verdict};

/// Tracks the purges of each object.
pub(crate) struct PurgeChecker<'a> {
    grace_ms: f64,
    purges_ms: BTreeMap<&'a str, Vec<f64>>,
}

impl<'a> PurgeChecker<'a> {
    pub(crate) fn new(grace_ms: f64) -> PurgeChecker<'a> {
        PurgeChecker {
            grace_ms,
            purges_ms: BTreeMap::new(),
        }
    }

    pub(crate) fn purged(&mut self, at_ms: f64, object: &'a str) {
        self.purges_ms.entry(object).or_default().push(at_ms);
    }

    /// Checks a served copy. A request that was sent within the grace may still get an older copy.
    pub(crate) fn copy_served(
        &self,
        at_ms: f64,
        object: &str,
        sent_ms: f64,
        made_ms: f64,
        verdict: &mut Verdict,
    ) {
        let purges = self.purges_ms.get(object).into_iter().flatten().copied();
        let violated = purges.filter(|purge| made_ms < *purge && sent_ms >= purge + self.grace_ms);
        if let Some(purge) = violated.max_by(f64::total_cmp) {
            let late_ms = sent_ms - purge;
            let older_ms = purge - made_ms;
            let description = format!(
                "a copy of object {object} made {older_ms:.0} ms before its purge was served to a \
                request sent {late_ms:.0} ms after the purge"
            );
            verdict.add_violation(Rule::NoCopyOlderThanPurge, at_ms, description);
        }
    }
}
