//! Processing the end of an attempt: updates its request, its host and its source.

use crate::{
    AttemptEnded, AttemptOutcome, Decisions, FillOutcome, HostId, PossibleRun, RequestId, Role,
    Time,
};

use super::DecisionEngine;
use super::completed_attempt::{AnswerSize, CompletedAttempt};
use super::constants::{
    FAILURE_PENALTY, INITIAL_BACKOFF, INITIAL_WINDOW, MAX_BACKOFF_DOUBLINGS, UNREACHABLE_PENALTY,
};
use super::state::{AttemptState, RequestState, Timer};

impl RequestState {
    fn remove_attempt(&mut self, ended: &AttemptEnded) -> Option<AttemptState> {
        let position = self
            .in_flight
            .iter()
            .position(|attempt| attempt.index == ended.index)?;
        Some(self.in_flight.remove(position))
    }

    /// Updates the request after an attempt has ended, and excludes the host or source that failed from its next
    /// attempts.
    ///
    /// Guards against full parents scattering their objects: a parent that rejects a fill has not failed. It is
    /// excluded, so that the request goes to the origin, only while the origin is healthy; otherwise the request waits
    /// for the same parent, as another one would fetch the object from the origin again. Also guards against a second
    /// fill over a full link: only the participant that failed is excluded, so the request stays with a cache whose
    /// source failed.
    fn record_completion(&mut self, completed: &CompletedAttempt, origin_healthy: bool) {
        let (attempt, ended) = (&completed.attempt, &completed.ended);
        self.done |= completed.is_answered() || ended.closed;
        self.missed |= completed.copy_is_missing();
        if self.may_have_run.is_none() && !ended.outcome.never_ran() {
            self.may_have_run = Some(PossibleRun {
                sent: attempt.sent,
                host: attempt.host.clone(),
            });
        }
        let parent_is_full = completed.parent_is_full();
        if completed.source_failed() && (!parent_is_full || origin_healthy) {
            self.tried.push(attempt.source.clone());
        } else if !completed.copy_is_missing() && !parent_is_full && !completed.host_is_unaffected()
        {
            self.tried.push(attempt.host.clone());
        }
        let failed_by_host = ended.outcome == AttemptOutcome::Errored;
        if failed_by_host && ended.fill == FillOutcome::Nothing {
            self.failed_by.push(attempt.host.clone());
        }
    }

    /// Doubles the backoff and starts it.
    fn back_off(&mut self, now: Time) {
        self.backoffs += 1;
        let doublings = self.backoffs.min(MAX_BACKOFF_DOUBLINGS);
        self.not_before = now + INITIAL_BACKOFF * f64::from(1 << doublings);
    }
}

impl DecisionEngine {
    /// Processes the end of an attempt.
    pub fn attempt_ended(&mut self, now: Time, ended: AttemptEnded) -> Decisions {
        self.now = now;
        if let Some(completed) = self.complete_attempt(ended) {
            self.ready.insert(completed.ended.request);
            self.record_size(&completed);
            self.record_slowdowns(&completed);
            self.release_attempt(&completed);
            self.adjust_limits(&completed);
            if !completed.parent_is_full() {
                self.rate_hosts(&completed);
            }
        }
        self.wake(now)
    }

    /// Removes an ended attempt from its request; returns `None` if the request or the attempt is no longer known.
    fn complete_attempt(&mut self, ended: AttemptEnded) -> Option<CompletedAttempt> {
        let origin_healthy = ended.fill == FillOutcome::SourceRefused && self.origin_is_healthy();
        let actual_ms = self.transfer_ms_of(ended.actual_kb);
        let id: RequestId = ended.request;
        let state = self.requests.get_mut(&id)?;
        let attempt = state.remove_attempt(&ended)?;
        let class = &mut self.classes[state.request.class.0];
        let is_large = class.is_large(&state.request);
        let size = AnswerSize::of(&ended, state.request.size_kb);
        let (size_kb, transfer_ms) = match size {
            AnswerSize::Larger => {
                class.doubt_sizes(self.now);
                (ended.actual_kb, actual_ms.unwrap_or(state.transfer_ms))
            }
            AnswerSize::AsStated | AnswerSize::Smaller => {
                (state.request.size_kb, state.transfer_ms)
            }
        };
        let role_of = |id: &HostId| self.hosts.get(id).map(|host| host.endpoint.role);
        let completed = CompletedAttempt {
            class: state.request.class,
            transfer_ms,
            size,
            size_known: size_kb.is_some(),
            large_kb: size_kb.filter(|_| is_large && size.is_verified()),
            through_cache: role_of(&attempt.host).is_none_or(|role| role == Role::Cache),
            from_parent: role_of(&attempt.source) == Some(Role::Parent),
            attempt,
            ended,
        };
        state.record_completion(&completed, origin_healthy);
        if completed.calls_for_backoff() {
            state.back_off(self.now);
            self.timers.insert(Timer {
                at: state.not_before,
                request: id,
            });
        }
        Some(completed)
    }

    /// Adds the size of an answer to the mean of its class, and charges it to a cold host and a cold source.
    ///
    /// Guards against means and charges that rest on the word of clients: a size counts once it was delivered.
    fn record_size(&mut self, completed: &CompletedAttempt) {
        let (attempt, ended) = (&completed.attempt, &completed.ended);
        if !completed.shows_transfer() {
            return;
        }
        if completed.size_known {
            self.classes[completed.class.0].record_delivered(completed.transfer_ms);
        }
        if !self.terms.sizes_are_claims {
            return;
        }
        for id in attempt.participants() {
            if let Some(host) = self.hosts.get_mut(id) {
                host.settle_charge(ended.request, ended.index, completed.transfer_ms);
            }
        }
    }

    /// Whether the origin is usable, and its concurrency window is at least as wide as at the start.
    fn origin_is_healthy(&self) -> bool {
        self.origin()
            .is_some_and(|origin| origin.usable() && origin.window >= INITIAL_WINDOW)
    }

    /// Applies the host's load report, and releases the attempt at its host and its source, along with the quota of a
    /// cold source if the cache did not need it.
    fn release_attempt(&mut self, completed: &CompletedAttempt) {
        let (attempt, ended) = (&completed.attempt, &completed.ended);
        if completed.through_cache {
            self.record_link_report(ended.report.link);
        }
        for id in attempt.participants() {
            let Some(host) = self.hosts.get_mut(id) else {
                continue;
            };
            let is_host = *id == attempt.host;
            if is_host {
                host.record_report(self.now, ended.report);
            }
            host.release();
            // Any response shows that a host is not silent, even if it reports a failed fill.
            if is_host && completed.host_responded() {
                host.last_response = self.now;
                host.silent_attempts = 0;
            }
            if !is_host && completed.source_was_unused() {
                host.warmup_charges
                    .retain(|charge| !charge.is_of(ended.request, ended.index));
                if attempt.trial {
                    host.next_trial = self.now;
                }
            }
        }
    }

    /// Narrows the window of a parent that rejected a fill, and adjusts the fraction of objects that parents may fetch
    /// from the origin by how long a fill through the origin waited.
    fn adjust_limits(&mut self, completed: &CompletedAttempt) {
        let (attempt, ended) = (&completed.attempt, &completed.ended);
        if completed.parent_is_full()
            && let Some(parent) = self.hosts.get_mut(&attempt.source)
        {
            parent.adjust_window(false);
        }
        if !completed.from_parent || ended.fill != FillOutcome::FilledThroughOrigin {
            return;
        }
        let objective = self.classes[completed.class.0].terms.objective;
        let prompt = ended.waited.is_none_or(|waited| waited <= objective);
        let origin = self.hosts.values_mut().find(|host| host.is(Role::Origin));
        if let Some(origin) = origin {
            origin.adjust_origin_fill_fraction(prompt);
        }
    }

    /// Updates the reputation of the host and the source of an attempt by its outcome, and the source's measurements.
    fn rate_hosts(&mut self, completed: &CompletedAttempt) {
        let attempt = &completed.attempt;
        if completed.is_answered() {
            self.record_success(&attempt.host, attempt);
            if completed.was_filled() && completed.has_source_behind_cache() {
                self.record_success(&attempt.source, attempt);
                self.measure_fill(completed);
            }
            return;
        }
        let Some(culprit) = self.culprit(completed) else {
            return;
        };
        // Guards against all dispatchers losing requests to a dead host: an unreachable one is ejected at once.
        let penalty = if completed.is_unreachable() {
            UNREACHABLE_PENALTY
        } else {
            FAILURE_PENALTY
        };
        self.record_failure(&culprit, penalty);
    }

    /// Decides which host a failed attempt counts against, if any.
    ///
    /// Guards against blaming a parent for the origin's failure, and against ejecting the origin because of clients'
    /// faulty writes.
    fn culprit(&self, completed: &CompletedAttempt) -> Option<HostId> {
        let (attempt, ended) = (&completed.attempt, &completed.ended);
        match ended.fill {
            FillOutcome::OriginFailed => {
                return self.origin().map(|origin| origin.id().clone());
            }
            FillOutcome::SourceRefused | FillOutcome::SourceUnreached
                if completed.has_source_behind_cache() =>
            {
                return Some(attempt.source.clone());
            }
            _ => {}
        }
        let past_caches = !completed.through_cache && attempt.without_fill();
        let host_failed = match ended.outcome {
            AttemptOutcome::Errored => !past_caches,
            AttemptOutcome::NotConnected | AttemptOutcome::Broken => true,
            _ => false,
        };
        host_failed.then(|| attempt.host.clone())
    }
}
