//! Outliers: reputation and ejection of hosts, trials of ejected hosts, and concurrency windows.

use std::collections::BTreeSet;

use rand::Rng;

use crate::{HostId, RequestId, Role, Time};

use super::DecisionEngine;
use super::constants::{
    FAILURE_PENALTY, INITIAL_WINDOW, JITTER, MIN_CACHES_TO_REFUND, MIN_REPUTATION, REPORT_LIFETIME,
    SLOW_FILL_FRACTION, SLOW_ORIGIN_FILL_FRACTION, SUCCESS_RECOVERY, TRIAL_INTERVAL,
    WINDOW_DECREASE,
};
use super::state::{AttemptState, Host};

impl Host {
    /// Whether the host may be used: in service, and not ejected.
    pub(super) fn usable(&self) -> bool {
        self.in_service() && self.reputation >= MIN_REPUTATION
    }

    /// Whether the host's concurrency window allows one more attempt.
    pub(super) fn has_capacity(&self) -> bool {
        self.in_flight < self.window
    }

    pub(super) fn due_for_trial(&self, now: Time) -> bool {
        self.next_trial <= now
    }

    fn record_success(&mut self, now: Time, attempt: &AttemptState) {
        self.last_response = now;
        self.silent_attempts = 0;
        self.last_success = Some(now);
        let slow_fraction = if self.is(Role::Origin) {
            SLOW_ORIGIN_FILL_FRACTION
        } else {
            SLOW_FILL_FRACTION
        };
        let prompt_until = attempt.sent + attempt.overdue.since(attempt.sent) * slow_fraction;
        self.adjust_window(now < prompt_until);
        // The epsilon makes sure that rounding does not leave the reputation below the minimum after a successful
        // trial.
        self.reputation += SUCCESS_RECOVERY * (1.0 - self.reputation) + f64::EPSILON;
    }

    /// Widens the concurrency window after a prompt success, and narrows it after anything else.
    ///
    /// Guards against overload of a source that all dispatchers turn to when others fail: it would slow down and then
    /// stop answering.
    pub(super) fn adjust_window(&mut self, prompt: bool) {
        self.window = if prompt {
            self.window + 1.0
        } else {
            (self.window * WINDOW_DECREASE).max(1.0)
        };
    }

    /// Adjusts the fraction of objects that parents may fetch from this origin, as a concurrency window is adjusted.
    ///
    /// Guards against overload of the origin by fills that parents forward: no dispatcher sees their total, but each
    /// sees how long its own ones wait.
    pub(super) fn adjust_origin_fill_fraction(&mut self, prompt: bool) {
        let step = 1.0 / INITIAL_WINDOW;
        self.origin_fill_fraction = if prompt {
            (self.origin_fill_fraction + step).min(1.0)
        } else {
            (self.origin_fill_fraction * WINDOW_DECREASE).max(step)
        };
    }

    /// Reduces the reputation by a fraction of it, narrows the window, and sets the time of the next trial.
    ///
    /// Guards against a host that stays ejected long after it has recovered: the reputation does not fall below the
    /// value that a single success raises back to [`MIN_REPUTATION`].
    fn penalize(&mut self, penalty: f64, next_trial: Time) {
        let lowest = (MIN_REPUTATION - SUCCESS_RECOVERY) / (1.0 - SUCCESS_RECOVERY);
        self.reputation = (self.reputation * (1.0 - penalty)).max(lowest);
        self.adjust_window(false);
        self.next_trial = next_trial;
    }

    /// Reverts the reputation penalty of one failure.
    fn refund_penalty(&mut self) {
        self.reputation = (self.reputation / (1.0 - FAILURE_PENALTY)).min(1.0);
    }
}

impl DecisionEngine {
    pub(super) fn record_success(&mut self, id: &HostId, attempt: &AttemptState) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.record_success(self.now, attempt);
        }
    }

    pub(super) fn record_failure(&mut self, id: &HostId, penalty: f64) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.last_failure = Some(self.now);
        }
        self.penalize(id, penalty);
    }

    /// Reduces a host's reputation by a fraction of it, 0 to 1. A penalty of 1 ejects the host at once.
    pub(super) fn penalize(&mut self, id: &HostId, penalty: f64) {
        let next_trial = self.now + TRIAL_INTERVAL * self.rng.random_range(JITTER);
        if let Some(host) = self.hosts.get_mut(id) {
            host.penalize(penalty, next_trial);
        }
    }

    /// Refunds caches the penalties for a request that is given up, if the request itself was the cause.
    ///
    /// Guards against faulty clients that get caches ejected: a request is the cause itself if all its attempts failed,
    /// at [`MIN_CACHES_TO_REFUND`] caches or more, each of which has answered other requests recently.
    pub(super) fn refund_penalties(&mut self, id: RequestId) {
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        if state.failed_by.len() != state.attempts as usize {
            return;
        }
        let recent_since = Some(self.now - REPORT_LIFETIME);
        let mut distinct = BTreeSet::new();
        for id in &state.failed_by {
            let Some(cache) = self.hosts.get(id).filter(|host| host.is(Role::Cache)) else {
                continue;
            };
            if cache.last_success <= recent_since {
                return;
            }
            distinct.insert(id);
        }
        if distinct.len() < MIN_CACHES_TO_REFUND {
            return;
        }
        for id in &state.failed_by {
            if let Some(cache) = self.hosts.get_mut(id).filter(|host| host.is(Role::Cache)) {
                cache.refund_penalty();
            }
        }
    }
}
