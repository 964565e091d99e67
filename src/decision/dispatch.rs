//! Attempts that are sent: when, what they ask for, and what is noted of them.

use crate::{Attempt, AttemptIndex, RequestId, Role, Span};

use super::DecisionEngine;
use super::constants::{
    FULL_LOAD, INITIAL_BACKOFF, NEW_OBJECT_RANK, OVERDUE_ALLOWANCE, SEEN_OBJECT_RANK,
    TRIAL_INTERVAL,
};
use super::hedging::overdue_after;
use super::route_selection::Route;
use super::state::{AttemptState, RequestState, Timer, WarmupCharge};

impl DecisionEngine {
    /// Rule: sends a request that has nothing in flight and is not backing off.
    ///
    /// Guards against overload in which all answers come late: what can't come in time is given up at once. So is a
    /// known miss that may not be filled, as those held back would go on together when a link clears.
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

    /// Sends a request to a cache, or past the caches; tells whether any way was open.
    pub(super) fn start_attempt(&mut self, id: RequestId) -> bool {
        let Some(state) = self.requests.get(&id) else {
            return false;
        };
        let Some(route) = self.select_route(state) else {
            return false;
        };
        let patience = self.patience(state, &route);
        let attempt = self.attempt_on(&route, state, patience);
        let attempt_state = AttemptState {
            index: AttemptIndex(state.attempts),
            sent: self.now,
            overdue: self.now + patience,
            overdue_cause: None,
            trial: self.hosts[&route.source].due_for_trial(self.now),
            host: route.host,
            source: route.source,
        };
        self.decisions.attempts.push(attempt);
        self.record_attempt(id, attempt_state);
        true
    }

    /// The time after which an attempt is overdue, by the load of its host and the latency of its source.
    fn patience(&self, state: &RequestState, route: &Route) -> Span {
        let slowdown = self.load(&self.hosts[&route.host]).max(1.0);
        let latency_ms = self.hosts[&route.source].measurements.latency;
        let latency_ms = latency_ms.unwrap_or(OVERDUE_ALLOWANCE.ms());
        overdue_after(state.transfer_ms * slowdown + latency_ms)
    }

    /// What the caller is asked to send.
    fn attempt_on(&self, route: &Route, state: &RequestState, patience: Span) -> Attempt {
        let request = &state.request;
        let class = self.class_of(request);
        let idempotent = self.is_idempotent(state);
        // Where an overdue attempt can be neither cancelled nor hedged, it has to end by itself.
        let ends_itself = idempotent && !self.terms.may_duplicate && !self.terms.may_cancel;
        let left = state.deadline_left(self.now);
        let oldest = self.max_copy_age(request, class, route.is_hit_only());
        Attempt {
            request: request.id,
            host: route.host.clone(),
            source: route.source.clone(),
            allow: if ends_itself {
                patience.min(left)
            } else {
                left
            },
            join: self.terms.joins,
            renew: class.terms.fresh.is_some() && oldest.is_none(),
            only_held: route.only_held,
            oldest,
            fresh: !idempotent, // a reset there could not be made good
            keep: if self.recent_objects.contains_key(&request.object) {
                SEEN_OBJECT_RANK
            } else {
                NEW_OBJECT_RANK
            },
        }
    }

    /// Notes an attempt at its request, its host and its source.
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
                cost: if host.is(Role::Cache) {
                    class.warmup_cost(state.transfer_ms)
                } else {
                    state.transfer_ms
                },
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
