//! What a forwarder's decisions ask for is carried out.

use flaxdeck::{Attempt, AttemptOutcome, Cancel, Decisions, FillOutcome, Final};
use flaxdeck_invariants::FinalAnswer;

use super::attempts::OpenAttempt;
use super::events::Event;
use super::{Model, ms};

impl Model<'_> {
    /// Carries out decisions: cancellations first, then attempts, answers, and the next waking.
    pub(super) fn decide(&mut self, n: usize, decisions: Decisions) {
        decisions
            .cancels
            .into_iter()
            .for_each(|cancel| self.cancel(&cancel));
        decisions
            .attempts
            .into_iter()
            .for_each(|attempt| self.begin_attempt(n, &attempt));
        for last in decisions.finals {
            match last {
                Final::Rejected {
                    request,
                    retry_after,
                } => {
                    self.answered(n, request, FinalAnswer::Rejected, retry_after);
                }
                Final::Failed { request } => self.answered(n, request, FinalAnswer::Failed, None),
            }
        }
        // Every wish stands beside the earlier ones.
        if let Some(wake) = decisions.wake {
            let run = self.forwarders[n].run;
            self.after(
                (ms(wake) - self.now).max(0.001),
                Event::Wake { forwarder: n, run },
            );
        }
    }

    fn cancel(&mut self, cancel: &Cancel) {
        let Some(want) = self.requests.get(&cancel.request.0) else {
            return;
        };
        for id in &self.wants[*want as usize].attempts {
            let Some(attempt) = self.attempts.get_mut(id) else {
                continue;
            };
            if (attempt.request, attempt.index) == (cancel.request, cancel.index.0) {
                attempt.outcome = Some(AttemptOutcome::Cancelled);
            }
        }
    }

    /// A forwarder sends a request to a host.
    fn begin_attempt(&mut self, n: usize, decided: &Attempt) {
        let run = self.forwarders[n].run;
        let Some(open) = self.forwarders[n].open.get_mut(&decided.request) else {
            return;
        };
        let (want, index) = (open.want, open.attempts);
        open.attempts += 1;
        let host = self.names[&*decided.host.0];
        let source = self.names[&*decided.source.0];
        let id = self.number();
        let attempt = OpenAttempt {
            forwarder: n,
            run,
            request: decided.request,
            index,
            want,
            host,
            source,
            oldest: decided
                .oldest
                .map_or(f64::NEG_INFINITY, |age| self.now - age.ms()),
            keep: decided.keep,
            only_held: decided.only_held,
            sent: self.now,
            fill_begun: self.now,
            waited: None,
            fill: FillOutcome::Nothing,
            outcome: None,
            made: self.now,
            through: None,
        };
        self.outcome.attempts += 1;
        self.attempts.insert(id, attempt);
        self.wants[want as usize].attempts.push(id);
        self.after(self.distance(host), Event::AtHost { attempt: id });
        self.after(decided.allow.ms(), Event::TimeUp { attempt: id });
    }
}
