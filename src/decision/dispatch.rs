//! Sending attempts: when a request gets one, with which options, and how it is recorded.

use crate::{Attempt, AttemptIndex, RequestId, Span};

use super::DecisionEngine;
use super::constants::{
    FULL_LOAD, INITIAL_BACKOFF, NEW_OBJECT_RANK, OVERDUE_ALLOWANCE, SEEN_OBJECT_RANK,
    TRIAL_INTERVAL,
};
use super::hedging::overdue_after;
use super::route_selection::Route;
use super::state::{AttemptState, RequestState, Timer, WarmupCharge};

impl DecisionEngine {
    /// Rule: starts an attempt for a request that has none in flight and is not backing off.
    ///
    /// Guards against overload in which all answers come late: a request without a route is given up if even a fully
    /// loaded cache could no longer answer it in time. So is a known miss that may not be filled now: if such requests
    /// were held back, they would all be sent together once the link has capacity again.
    pub(super) fn start_waiting_attempt(&mut self, id: RequestId) -> bool {
        let now = self.now;
        let waits = |state: &RequestState| state.in_flight.is_empty() && now >= state.not_before;
        if !self.requests.get(&id).is_some_and(waits) {
            return false;
        }
        if self.start_attempt(id) {
            return true;
        }
        let Some(state) = self.requests.get_mut(&id) else {
            return false;
        };
        state.not_before = now + INITIAL_BACKOFF;
        state.tried.clear();
        if state.missed || state.objective_left_ms(now) < state.transfer_ms * FULL_LOAD {
            self.give_up(id);
        } else {
            self.timers.insert(Timer {
                at: state.not_before,
                request: id,
            });
        }
        true
    }

    /// Sends a request to a cache, or past the caches; returns whether there was a route for it.
    pub(super) fn start_attempt(&mut self, id: RequestId) -> bool {
        let Some(state) = self.requests.get(&id) else {
            return false;
        };
        let Some(route) = self.select_route(state) else {
            return false;
        };
        let time_to_overdue = self.time_to_overdue(state, &route);
        let attempt = self.build_attempt(&route, state, time_to_overdue);
        let attempt_state = AttemptState {
            index: AttemptIndex(state.attempts),
            sent: self.now,
            overdue: self.now + time_to_overdue,
            overdue_cause: None,
            trial: self.hosts[&route.source].due_for_trial(self.now),
            host: route.host,
            source: route.source,
        };
        self.decisions.attempts.push(attempt);
        self.record_attempt(id, attempt_state);
        true
    }

    /// Returns the time after which an attempt is overdue, from the load of its host and the latency of its source.
    fn time_to_overdue(&self, state: &RequestState, route: &Route) -> Span {
        let slowdown = self.load(&self.hosts[&route.host]).max(1.0);
        let latency_ms = self.hosts[&route.source].measurements.latency;
        let latency_ms = latency_ms.unwrap_or(OVERDUE_ALLOWANCE.ms());
        let expected_ms = self
            .class_of(&state.request)
            .expected_ms(state.transfer_ms, self.now);
        overdue_after(expected_ms * slowdown + latency_ms)
    }

    /// Builds the attempt that the caller is to send.
    fn build_attempt(&self, route: &Route, state: &RequestState, time_to_overdue: Span) -> Attempt {
        let request = &state.request;
        let class = self.class_of(request);
        let idempotent = self.is_idempotent(state);
        // An attempt that can be neither cancelled nor hedged when overdue has to end by its own time-out.
        let ends_itself = idempotent && !self.terms.may_duplicate && !self.terms.may_cancel;
        let left = state.deadline_left(self.now);
        let oldest = self.max_copy_age(request, class, route.without_fill());
        Attempt {
            request: request.id,
            host: route.host.clone(),
            source: route.source.clone(),
            allow: if ends_itself {
                time_to_overdue.min(left)
            } else {
                left
            },
            join: self.terms.joins,
            renew: class.terms.fresh.is_some() && oldest.is_none(),
            only_held: route.only_held,
            oldest,
            fresh: !idempotent, // such a request could not be sent again after a reset of an idle connection
            keep: if self.recent_objects.contains_key(&request.object) {
                SEEN_OBJECT_RANK
            } else {
                NEW_OBJECT_RANK
            },
        }
    }

    /// Records an attempt with its request, its host and its source.
    fn record_attempt(&mut self, id: RequestId, attempt: AttemptState) {
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        let class = &self.classes[state.request.class.0];
        for participant in attempt.participants() {
            let Some(host) = self.hosts.get_mut(participant) else {
                continue;
            };
            if !class.terms.goes_through {
                host.next_trial = self.now + TRIAL_INTERVAL;
            }
            let charge = WarmupCharge {
                at: self.now,
                request: id,
                attempt: attempt.index,
                cost: class.warmup_cost(host.endpoint.role, state.transfer_ms),
            };
            host.add_attempt(charge, self.cache_slow_start.window);
        }
        self.timers.insert(Timer {
            at: attempt.overdue,
            request: id,
        });
        self.recent_objects.insert(state.request.object, self.now);
        state.attempts += 1;
        state.in_flight.push(attempt);
    }
}
