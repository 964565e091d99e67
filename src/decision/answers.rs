//! The end of a request: when it is given up, which answer it gets, and what is released then.

use crate::{Cancel, Final, RequestId};

use super::DecisionEngine;
use super::state::ObjectPart;

impl DecisionEngine {
    /// Rule: removes a request that is done, and cancels its attempts in flight.
    pub(super) fn remove_finished(&mut self, id: RequestId) -> bool {
        if !self.requests.get(&id).is_some_and(|state| state.done) {
            return false;
        }
        let Some(state) = self.requests.remove(&id) else {
            return false;
        };
        self.timers.remove(&state.answer_timer(self.answer_margin));
        for attempt in &state.in_flight {
            if self.terms.may_cancel {
                self.decisions.cancels.push(Cancel {
                    request: id,
                    index: attempt.index,
                });
            }
            for participant in attempt.participants() {
                if let Some(host) = self.hosts.get_mut(participant) {
                    host.release();
                }
            }
        }
        true
    }

    /// Rule: gives a request up shortly before its deadline.
    ///
    /// Guards against lost requests: whatever else happens, the client gets an answer while it still waits.
    pub(super) fn answer_before_deadline(&mut self, id: RequestId) -> bool {
        let Some(state) = self.requests.get(&id) else {
            return false;
        };
        if self.now + self.answer_margin < state.request.deadline {
            return false;
        }
        self.give_up(id);
        true
    }

    /// Rule: gives up a request that has no attempt in flight, if it may not be retried or has no time left for a
    /// retry.
    pub(super) fn give_up_without_retries(&mut self, id: RequestId) -> bool {
        let Some(state) = self.requests.get(&id) else {
            return false;
        };
        if !state.in_flight.is_empty() {
            return false;
        }
        let in_time = state.transfer_ms < state.deadline_left(self.now).ms();
        if in_time && self.may_retry(state) {
            return false;
        }
        self.give_up(id);
        true
    }

    /// Gives a request its final answer: rejected, or failed if a retry by the client might take effect twice.
    pub(super) fn give_up(&mut self, id: RequestId) {
        self.refund_penalties(id);
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        let answer = if self.rejection_is_harmless(state) {
            Final::Rejected {
                request: id,
                retry_after: self.retry_after,
            }
        } else {
            Final::Failed { request: id }
        };
        self.decisions.finals.push(answer);
        let (part, objective) = (ObjectPart::of(&state.request), state.objective);
        self.promised_objectives.insert(part, objective);
        if let Some(state) = self.requests.get_mut(&id) {
            state.done = true;
        }
        self.ready.insert(id);
    }
}
