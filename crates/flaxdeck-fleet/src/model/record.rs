//! What is kept of a run: the record that the rules are judged from, the digest, and the shares by size.

use std::collections::BTreeMap;

use flaxdeck_invariants::{
    InvariantTerms, RecordEntry, RecordedEvent, SlowStartTerms, Verdict, check,
};

use super::clients::Want;
use super::{Model, Outcome};
use crate::hosts::{Host, Kind};

/// Milliseconds of grace that the rules allow, past the coordinator's own lateness.
const GRACE_MS: f64 = 1_000.0;
const PURGE_GRACE_MS: f64 = 500.0;
const SLACK_MS: f64 = 5.0;
/// The prime of the digest's products.
const DIGEST_PRIME: u64 = 0x100000001b3;

impl Model<'_> {
    /// Puts what was seen into the record, if the run is judged.
    pub(super) fn see(&mut self, seen: RecordedEvent) {
        if self.shape.judged {
            let at_ms = self.now;
            self.record.push(RecordEntry { at_ms, event: seen });
        }
    }

    /// Mixes words into the digest.
    pub(super) fn note(&mut self, words: [u64; 3]) {
        for word in words {
            let mixed = (self.outcome.digest ^ word).wrapping_mul(DIGEST_PRIME);
            self.outcome.digest = mixed.rotate_left(17);
        }
    }

    /// What came of the run.
    pub(super) fn finish(mut self) -> Outcome {
        self.outcome.served_by_size = self.served_by_size();
        self.outcome.verdict = self.shape.judged.then(|| self.verdict());
        self.outcome
    }

    fn verdict(&self) -> Verdict {
        // The coordinator's own lateness is no dispatcher's fault.
        let terms = InvariantTerms {
            withdrawal_grace_ms: GRACE_MS + self.shape.coordinator_delay_ms,
            purge_grace_ms: PURGE_GRACE_MS + self.shape.coordinator_delay_ms,
            deadline_slack_ms: SLACK_MS,
            load_window_ms: self.shape.window_ms,
            slow_starts: self.slow_starts(),
        };
        check(&terms, &self.record)
    }

    fn slow_starts(&self) -> BTreeMap<String, SlowStartTerms> {
        let slow_start = |host: &Host| SlowStartTerms {
            slots: host.places,
            initial_fraction: self.shape.cold_from,
            duration_ms: self.shape.warm_within_ms,
            overload_factor: self.shape.factor,
        };
        let cold = self.hosts.iter().filter(|host| host.kind != Kind::Origin);
        cold.map(|host| (host.id.clone(), slow_start(host)))
            .collect()
    }

    /// The part served of all reads, of the tenth with the largest objects, and of the fifth below that.
    fn served_by_size(&self) -> [f64; 3] {
        let mut reads: Vec<&Want> = self.wants.iter().filter(|want| !want.write).collect();
        reads.sort_by(|one, other| other.kb.total_cmp(&one.kb));
        let (tenth, next) = (reads.len() / 10, reads.len() * 3 / 10);
        [
            served_part(&reads),
            served_part(&reads[..tenth]),
            served_part(&reads[tenth..next]),
        ]
    }
}

fn served_part(wants: &[&Want]) -> f64 {
    let served = wants.iter().filter(|want| want.served).count();
    served as f64 / wants.len().max(1) as f64
}
