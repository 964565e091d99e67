//! Applies the decisions of a forwarder's decision engine.

use flaxdeck::{Attempt, AttemptOutcome, Cancel, Decisions, FillOutcome, Final};
use flaxdeck_invariants::FinalAnswer;

use super::attempts::OpenAttempt;
use super::events::Event;
use super::{Model, run_ms};

/// The minimum time until a wake-up: the resolution of the event queue.
const MIN_WAKE_MS: f64 = 0.001;

impl Model<'_> {
    /// Applies decisions: first cancellations, then attempts, final answers, and the next wake-up.
    pub(super) fn apply_decisions(&mut self, forwarder: usize, decisions: Decisions) {
        for cancel in decisions.cancels {
            self.cancel(&cancel);
        }
        for attempt in decisions.attempts {
            self.start_attempt(forwarder, &attempt);
        }
        for answer in decisions.finals {
            match answer {
                Final::Rejected {
                    request,
                    retry_after,
                } => self.send_final_answer(forwarder, request, FinalAnswer::Rejected, retry_after),
                Final::Failed { request } => {
                    self.send_final_answer(forwarder, request, FinalAnswer::Failed, None);
                }
            }
        }
        // Wake-ups that were scheduled earlier stay scheduled.
        if let Some(wake) = decisions.wake {
            let wake_up = Event::Wake {
                forwarder,
                incarnation: self.forwarders[forwarder].incarnation,
            };
            self.schedule((run_ms(wake) - self.now).max(MIN_WAKE_MS), wake_up);
        }
    }

    fn cancel(&mut self, cancel: &Cancel) {
        let Some(operation) = self.requests.get(&cancel.request.0) else {
            return;
        };
        for id in &self.operations[*operation as usize].attempts {
            let Some(attempt) = self.attempts.get_mut(id) else {
                continue;
            };
            if attempt.request == cancel.request && attempt.index == cancel.index.0 {
                attempt.outcome = Some(AttemptOutcome::Cancelled);
            }
        }
    }

    /// Sends an attempt from a forwarder to a host.
    fn start_attempt(&mut self, forwarder: usize, decided: &Attempt) {
        let incarnation = self.forwarders[forwarder].incarnation;
        let Some(open) = self.forwarders[forwarder].open.get_mut(&decided.request) else {
            return;
        };
        let (operation, index) = (open.operation, open.attempts);
        open.attempts += 1;
        let host = self.host_indices[&*decided.host.0];
        let oldest_ms = match decided.oldest {
            Some(age) => self.now - age.ms(),
            None => f64::NEG_INFINITY,
        };
        let id = self.next_id();
        let attempt = OpenAttempt {
            forwarder,
            incarnation,
            request: decided.request,
            index,
            operation,
            host,
            source: self.host_indices[&*decided.source.0],
            oldest_ms,
            cache_rank: decided.keep,
            only_cached: decided.only_held,
            sent_ms: self.now,
            fill_started_ms: self.now,
            fill_took_ms: None,
            fill: FillOutcome::Nothing,
            outcome: None,
            made_ms: self.now,
            filling_parent: None,
        };
        self.outcome.attempts += 1;
        self.attempts.insert(id, attempt);
        self.operations[operation as usize].attempts.push(id);
        let latency_ms = self.latency_ms(host);
        self.schedule(latency_ms, Event::AttemptReachesHost { attempt: id });
        self.schedule(decided.allow.ms(), Event::AttemptTimeout { attempt: id });
    }
}
