//! The results of a run: the record by which the rules are checked, the digest, and the fractions served by size.

use std::collections::BTreeMap;

use flaxdeck_invariants::{
    InvariantTerms, RecordEntry, RecordedEvent, SlowStartTerms, Verdict, check,
};

use super::Model;
use super::clients::Operation;
use crate::host::{Host, HostKind};
use crate::outcome::{Outcome, ServedBySize};

/// The time after a withdrawal within which the rules still allow work at the host, in addition to the coordinator's
/// delay.
const WITHDRAWAL_GRACE_MS: f64 = 1_000.0;
/// The time after a purge within which the rules still allow older copies, in addition to the coordinator's delay.
const PURGE_GRACE_MS: f64 = 500.0;
/// The time after a client's deadline within which the rules still allow an answer.
const DEADLINE_SLACK_MS: f64 = 5.0;
/// The prime that the digest is multiplied by (the 64-bit FNV prime).
const DIGEST_PRIME: u64 = 0x100_0000_01b3;
/// The number of bits by which the digest is rotated after each word.
const DIGEST_ROTATION: u32 = 17;

impl Model<'_> {
    /// Adds an event to the record, if the rules are to be checked.
    pub(super) fn record_event(&mut self, event: RecordedEvent) {
        if self.scenario.check_invariants {
            let at_ms = self.now;
            self.record.push(RecordEntry { at_ms, event });
        }
    }

    /// Mixes words into the digest.
    pub(super) fn mix_into_digest(&mut self, words: [u64; 3]) {
        for word in words {
            let mixed = (self.outcome.digest ^ word).wrapping_mul(DIGEST_PRIME);
            self.outcome.digest = mixed.rotate_left(DIGEST_ROTATION);
        }
    }

    /// Ends the run and returns its outcome.
    pub(super) fn finish(mut self) -> Outcome {
        self.outcome.served_by_size = self.served_by_size();
        self.outcome.verdict = self.scenario.check_invariants.then(|| self.verdict());
        self.outcome
    }

    fn verdict(&self) -> Verdict {
        let coordinator_delay_ms = self.scenario.coordinator_delay_ms;
        let terms = InvariantTerms {
            withdrawal_grace_ms: WITHDRAWAL_GRACE_MS + coordinator_delay_ms,
            purge_grace_ms: PURGE_GRACE_MS + coordinator_delay_ms,
            deadline_slack_ms: DEADLINE_SLACK_MS,
            load_window_ms: self.scenario.load_window_ms,
            slow_starts: self.slow_starts(),
        };
        check(&terms, &self.record)
    }

    fn slow_starts(&self) -> BTreeMap<String, SlowStartTerms> {
        let slow_start = |host: &Host| SlowStartTerms {
            slots: host.slots,
            initial_fraction: self.scenario.slow_start_initial,
            duration_ms: self.scenario.slow_start_ms,
            overload_factor: self.scenario.overload_factor,
        };
        let hosts = self.hosts.iter();
        let with_slow_start = hosts.filter(|host| host.kind != HostKind::Origin);
        with_slow_start
            .map(|host| (host.id.clone(), slow_start(host)))
            .collect()
    }

    fn served_by_size(&self) -> ServedBySize {
        let operations = self.operations.iter();
        let mut reads: Vec<&Operation> = operations.filter(|operation| !operation.write).collect();
        reads.sort_by(|one, other| other.kb.total_cmp(&one.kb));
        let tenth = reads.len() / 10;
        let three_tenths = reads.len() * 3 / 10;
        ServedBySize {
            all: served_fraction(&reads),
            largest_tenth: served_fraction(&reads[..tenth]),
            next_fifth: served_fraction(&reads[tenth..three_tenths]),
        }
    }
}

fn served_fraction(operations: &[&Operation]) -> f64 {
    let served = operations.iter().filter(|operation| operation.served);
    served.count() as f64 / operations.len().max(1) as f64
}
