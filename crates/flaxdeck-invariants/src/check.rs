//! Passes each entry of a record to the checker of the rule that it concerns.

use crate::rules::{
    AnswerChecker, EffectChecker, PurgeChecker, SlowStartChecker, WithdrawalChecker,
};
use crate::{InvariantTerms, RecordEntry, RecordedEvent, Verdict};

/// Checks a record against the rules. Entries are sorted by time first, so their order doesn't matter.
pub fn check(terms: &InvariantTerms, record: &[RecordEntry]) -> Verdict {
    let mut in_order: Vec<&RecordEntry> = record.iter().collect();
    in_order.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    let mut checkers = Checkers::new(terms);
    let mut verdict = Verdict::default();
    for entry in in_order {
        checkers.observe(entry, &mut verdict);
    }
    checkers.answers.finish(&mut verdict);
    verdict
}

/// The checkers of the five rules.
struct Checkers<'a> {
    answers: AnswerChecker<'a>,
    effects: EffectChecker<'a>,
    withdrawals: WithdrawalChecker<'a>,
    slow_starts: SlowStartChecker<'a>,
    purges: PurgeChecker<'a>,
}

impl<'a> Checkers<'a> {
    fn new(terms: &'a InvariantTerms) -> Checkers<'a> {
        Checkers {
            answers: AnswerChecker::new(terms.deadline_slack_ms),
            effects: EffectChecker::default(),
            withdrawals: WithdrawalChecker::new(terms.withdrawal_grace_ms),
            slow_starts: SlowStartChecker::new(terms),
            purges: PurgeChecker::new(terms.purge_grace_ms),
        }
    }

    fn observe(&mut self, entry: &'a RecordEntry, verdict: &mut Verdict) {
        let at_ms = entry.at_ms;
        match &entry.event {
            RecordedEvent::RequestSent {
                request,
                deadline_ms,
            } => self.answers.sent(at_ms, request, *deadline_ms, verdict),
            RecordedEvent::Answered { request, answer } => {
                self.answers.answered(at_ms, request, *answer, verdict);
            }
            RecordedEvent::ClientLeft { request } => self.answers.client_left(request, verdict),
            RecordedEvent::EffectApplied { effect } => {
                self.effects.applied(at_ms, effect, verdict);
            }
            RecordedEvent::HostWithdrawn { host } => self.withdrawals.withdrawn(at_ms, host),
            RecordedEvent::HostAnnounced { host } => self.withdrawals.announced(host),
            RecordedEvent::WorkArrived { host } => self.withdrawals.arrived(at_ms, host, verdict),
            RecordedEvent::HostStarted { host } => self.slow_starts.started(at_ms, host),
            RecordedEvent::WorkRequested { host, cost_ms } => {
                self.slow_starts
                    .work_requested(at_ms, host, *cost_ms, verdict);
            }
            RecordedEvent::ObjectPurged { object } => self.purges.purged(at_ms, object),
            RecordedEvent::CopyServed {
                object,
                sent_ms,
                made_ms,
            } => self
                .purges
                .copy_served(at_ms, object, *sent_ms, *made_ms, verdict),
        }
    }
}
