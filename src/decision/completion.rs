//! What the end of an attempt changes: its request, and what is known of its host and its source.

use crate::{AttemptEnded, AttemptOutcome, Decisions, FillOutcome, HostId, RequestId, Role, Time};

use super::DecisionEngine;
use super::completed_attempt::CompletedAttempt;
use super::constants::{
    FAILURE_PENALTY, INITIAL_BACKOFF, INITIAL_WINDOW, MAX_BACKOFF_DOUBLINGS, UNREACHABLE_PENALTY,
};
use super::state::{AttemptState, PossibleRun, RequestState, Timer};

impl RequestState {
    fn take_attempt(&mut self, ended: &AttemptEnded) -> Option<AttemptState> {
        let position = self
            .in_flight
            .iter()
            .position(|attempt| attempt.index == ended.index)?;
        Some(self.in_flight.remove(position))
    }

    /// Takes in what an attempt's end says of the request, and which hosts are not to be asked again.
    ///
    /// Guards against full parents scattering their objects: a parent that refuses has not failed. Its request goes on
    /// to the origin only while that is healthy; another parent would fetch the object there anew. Guards also against a
    /// full link being filled again elsewhere: what failed is passed by, nothing else.
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

    /// Doubles the backoff, and starts it.
    fn back_off(&mut self, now: Time) {
        self.backoffs += 1;
        let doublings = self.backoffs.min(MAX_BACKOFF_DOUBLINGS);
        self.not_before = now + INITIAL_BACKOFF * f64::from(1 << doublings);
    }
}

impl DecisionEngine {
    /// An attempt has ended.
    pub fn attempt_ended(&mut self, now: Time, ended: AttemptEnded) -> Decisions {
        self.now = now;
        if let Some(completed) = self.complete_attempt(ended) {
            self.ready.insert(completed.ended.request);
            self.record_slowdowns(&completed);
            self.release_attempt(&completed);
            self.adjust_limits(&completed);
            if !completed.parent_is_full() {
                self.rate_hosts(&completed);
            }
        }
        self.wake(now)
    }

    /// Takes an ended attempt from its request; none if the request or the attempt is no longer known.
    fn complete_attempt(&mut self, ended: AttemptEnded) -> Option<CompletedAttempt> {
        let origin_healthy = ended.fill == FillOutcome::SourceRefused && self.origin_is_healthy();
        let id: RequestId = ended.request;
        let state = self.requests.get_mut(&id)?;
        let attempt = state.take_attempt(&ended)?;
        let class = &self.classes[state.request.class.0];
        let is_large = class.is_large(&state.request);
        let role_of = |id: &HostId| self.hosts.get(id).map(|host| host.endpoint.role);
        let completed = CompletedAttempt {
            class: state.request.class,
            transfer_ms: state.transfer_ms,
            size_known: state.request.size_kb.is_some(),
            large_kb: state.request.size_kb.filter(|_| is_large),
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

    /// Whether the origin is in use, and its window stands where it began or wider.
    fn origin_is_healthy(&self) -> bool {
        self.origin()
            .is_some_and(|origin| origin.usable() && origin.window >= INITIAL_WINDOW)
    }

    /// Takes in what an ended attempt gives back: its places, what its host reports, and the quota of a cold source that
    /// a hit did not use.
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
            // Any answer, a failed fill too, shows that a host is not silent.
            if is_host && completed.host_responded() {
                host.last_heard = self.now;
                host.silent_attempts = 0;
            }
            if !is_host && completed.spared_source() {
                host.warmup_charges
                    .retain(|charge| !charge.is_of(ended.request, ended.index));
                if attempt.trial {
                    host.next_trial = self.now;
                }
            }
        }
    }

    /// Narrows the window of a parent that refuses, and adjusts what parents may fetch from the origin by how long a
    /// fill of it waited.
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

    /// Takes an attempt's end into the reputation of its host and its source, and into the source's measurements.
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
        // Guards against all dispatchers losing requests to each dead host: one that is not reached is ejected at once.
        let penalty = if completed.is_unreachable() {
            UNREACHABLE_PENALTY
        } else {
            FAILURE_PENALTY
        };
        self.record_failure(&culprit, penalty);
    }

    /// Decides which host a failed attempt counts against, if any.
    ///
    /// Guards against a parent paying for the origin's failure, and against writes that clients have spoilt ejecting the
    /// origin.
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
