//! Overdue attempts: distinguishing silent hosts from slow ones, and sending hedged requests in parallel to silent
//! attempts.

use std::collections::BTreeMap;

use crate::{Cancel, HostId, RequestId, Span, Time};

use super::DecisionEngine;
use super::constants::{
    FAILURE_PENALTY, OVERDUE_ALLOWANCE, OVERDUE_FACTOR, SILENCE_FRACTION,
    SILENCE_PROOF_IF_CANCELLED, SILENCE_PROOF_IF_HEDGED,
};
use super::state::{AttemptState, Host, OverdueCause, Timer};

/// A silent participant of an overdue attempt. The greatest in the derived order is blamed.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct SilentHost {
    /// Attempts found overdue there since it last answered.
    attempts: u32,
    /// Whether it is the attempt's host; its source otherwise.
    is_host: bool,
    id: HostId,
}

/// Returns the time after which an attempt is overdue, from its expected time in ms.
pub(super) fn overdue_after(expected_ms: f64) -> Span {
    Span::of_ms(expected_ms) * OVERDUE_FACTOR + OVERDUE_ALLOWANCE
}

impl AttemptState {
    fn is_newly_overdue(&self, now: Time) -> bool {
        self.overdue_cause.is_none() && self.overdue <= now
    }
}

/// Returns the number of overdue attempts that show a host to be silent.
fn silence_proof(may_duplicate: bool) -> u32 {
    if may_duplicate {
        SILENCE_PROOF_IF_HEDGED
    } else {
        SILENCE_PROOF_IF_CANCELLED
    }
}

impl Host {
    /// Records that an attempt at this host has become overdue, whose answer was expected to take `expected_ms`.
    fn record_overdue(&mut self, attempt: &AttemptState, expected_ms: f64, now: Time) {
        self.adjust_window(false);
        if attempt.without_fill() {
            let elapsed_ms = now.since(attempt.sent).ms();
            self.record_slowdown(now, elapsed_ms / expected_ms.max(1.0));
        }
    }
}

impl DecisionEngine {
    /// Rule: handles an attempt that has become overdue, and penalizes a host that is silent.
    ///
    /// Guards against hosts that accept requests and never answer: a silent host has answered nothing since the attempt
    /// was sent, a slow one has answered others. A source is not blamed for a cache that was cut off in the middle of a
    /// fill.
    pub(super) fn note_overdue_attempt(&mut self, id: RequestId) -> bool {
        let now = self.now;
        let Some(state) = self.requests.get_mut(&id) else {
            return false;
        };
        let overdue = |attempt: &&mut AttemptState| attempt.is_newly_overdue(now);
        let Some(attempt) = state.in_flight.iter_mut().find(overdue) else {
            return false;
        };
        if let Some(host) = self.hosts.get_mut(&attempt.host) {
            let class = &self.classes[state.request.class.0];
            host.record_overdue(attempt, class.expected_ms(state.transfer_ms, now), now);
        }
        let proof = silence_proof(self.terms.may_duplicate);
        let silent = count_silence(&mut self.hosts, attempt, now, proof);
        // Guards against blaming a host for a single large request, or for requests that queue behind one.
        if !silent.is_empty() && silent.iter().all(|host| host.attempts < proof) {
            attempt.overdue = now + attempt.overdue.since(attempt.sent);
            self.timers.insert(Timer {
                at: attempt.overdue,
                request: id,
            });
            return true;
        }
        let Some(culprit) = silent.into_iter().max().map(|host| host.id) else {
            attempt.overdue_cause = Some(OverdueCause::Slow);
            return true;
        };
        attempt.overdue_cause = Some(OverdueCause::Silent);
        let index = attempt.index;
        state.tried.push(culprit.clone());
        self.cancel_silent_attempt(Cancel { request: id, index });
        self.record_failure(&culprit, FAILURE_PENALTY);
        true
    }

    /// Cancels a silent attempt if its request may run again but hedged requests are not allowed.
    fn cancel_silent_attempt(&mut self, cancel: Cancel) {
        let Some(state) = self.requests.get(&cancel.request) else {
            return;
        };
        if self.is_idempotent(state) && self.terms.may_cancel && !self.terms.may_duplicate {
            self.decisions.cancels.push(cancel);
        }
    }

    /// Rule: sends a hedged request if all attempts in flight are silent.
    ///
    /// Guards against requests lost to a host that never answers, without duplicating requests that are only slow.
    pub(super) fn start_hedged_attempt(&mut self, id: RequestId) -> bool {
        let Some(state) = self.requests.get(&id) else {
            return false;
        };
        let all_silent = !state.in_flight.is_empty()
            && state
                .in_flight
                .iter()
                .all(|attempt| attempt.overdue_cause == Some(OverdueCause::Silent));
        let allowed = all_silent
            && self.terms.may_duplicate
            && self.is_idempotent(state)
            && self.may_retry(state);
        let needed_ms = state.transfer_ms + OVERDUE_ALLOWANCE.ms();
        allowed && state.deadline_left(self.now).ms() > needed_ms && self.start_attempt(id)
    }
}

/// Counts an overdue attempt against its host and its source if they are silent, and returns these. The count stops at
/// `proof`, the number that proves a host silent.
///
/// A source is silent if it has answered nothing since the attempt was sent. The host is silent if it has answered
/// nothing in the latter part of that time.
fn count_silence(
    hosts: &mut BTreeMap<HostId, Host>,
    attempt: &AttemptState,
    now: Time,
    proof: u32,
) -> Vec<SilentHost> {
    let host_since = attempt.sent + now.since(attempt.sent) * SILENCE_FRACTION;
    let mut silent = Vec::new();
    for id in attempt.participants() {
        let is_host = *id == attempt.host;
        let since = if is_host { host_since } else { attempt.sent };
        let Some(host) = hosts.get_mut(id).filter(|host| host.last_response <= since) else {
            continue;
        };
        host.silent_attempts = (host.silent_attempts + 1).min(proof);
        silent.push(SilentHost {
            attempts: host.silent_attempts,
            is_host,
            id: id.clone(),
        });
    }
    silent
}
