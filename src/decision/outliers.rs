//! Outliers: reputation, ejection, trials of ejected hosts, and windows of attempts in flight.

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

    /// Whether the host's window has a place for one more attempt.
    pub(super) fn has_capacity(&self) -> bool {
        self.in_flight < self.window
    }

    pub(super) fn due_for_trial(&self, now: Time) -> bool {
        self.next_trial <= now
    }

    fn record_success(&mut self, now: Time, attempt: &AttemptState) {
        self.last_heard = now;
        self.silent_attempts = 0;
        self.last_success = Some(now);
        let slow_fraction = if self.is(Role::Origin) {
            SLOW_ORIGIN_FILL_FRACTION
        } else {
            SLOW_FILL_FRACTION
        };
        let prompt_until = attempt.sent + attempt.overdue.since(attempt.sent) * slow_fraction;
        self.adjust_window(now < prompt_until);
        // The epsilon keeps rounding from leaving a successful trial below the floor.
        self.reputation += SUCCESS_RECOVERY * (1.0 - self.reputation) + f64::EPSILON;
    }

    /// Widens the window of attempts in flight after a prompt success, narrows it after anything else.
    ///
    /// Guards against a source that all dispatchers turn to when others fail: it slows down, then stops.
    pub(super) fn adjust_window(&mut self, prompt: bool) {
        self.window = if prompt {
            self.window + 1.0
        } else {
            (self.window * WINDOW_DECREASE).max(1.0)
        };
    }

    /// Changes the fraction of objects that parents may fetch from this origin, in the steps of a window.
    ///
    /// Guards against overload of the origin by fills that parents pass on: no dispatcher sees their sum, but each
    /// sees how long they wait.
    pub(super) fn adjust_origin_fill_fraction(&mut self, prompt: bool) {
        let step = 1.0 / INITIAL_WINDOW;
        self.origin_fill_fraction = if prompt {
            (self.origin_fill_fraction + step).min(1.0)
        } else {
            (self.origin_fill_fraction * WINDOW_DECREASE).max(step)
        };
    }

    /// Takes a share of the reputation, narrows the window, and puts the next trial off.
    ///
    /// Guards against a host that stays ejected long after its fault: no reputation sinks below what one success
    /// lifts back to [`MIN_REPUTATION`].
    fn penalize(&mut self, penalty: f64, next_trial: Time) {
        let lowest = (MIN_REPUTATION - SUCCESS_RECOVERY) / (1.0 - SUCCESS_RECOVERY);
        self.reputation = (self.reputation * (1.0 - penalty)).max(lowest);
        self.adjust_window(false);
        self.next_trial = next_trial;
    }

    /// Gives back what one failure cost.
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

    /// Takes a share of a host's reputation, 0 to 1; the whole of it ejects the host at once.
    pub(super) fn penalize(&mut self, id: &HostId, penalty: f64) {
        let next_trial = self.now + TRIAL_INTERVAL * self.rng.random_range(JITTER);
        if let Some(host) = self.hosts.get_mut(id) {
            host.penalize(penalty, next_trial);
        }
    }

    /// Gives caches back what a request that is given up has cost them, if the request itself was at fault.
    ///
    /// Guards against bad clients that eject caches: a request that three or more caches have failed, each of which
    /// answered others lately, and that nobody answered, is the cause itself.
    pub(super) fn refund_penalties(&mut self, id: RequestId) {
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        if state.failed_by.len() != state.attempts as usize {
            return;
        }
        let lately = Some(self.now - REPORT_LIFETIME);
        let mut distinct = BTreeSet::new();
        for id in &state.failed_by {
            let Some(cache) = self.hosts.get(id).filter(|host| host.is(Role::Cache)) else {
                continue;
            };
            if cache.last_success <= lately {
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
