//! Which way a request takes, and what is noted of an attempt that is sent.

use crate::{Attempt, AttemptIndex, HostId, RequestId, Role, Span};

use super::DecisionEngine;
use super::class_statistics::ClassStatistics;
use super::constants::{
    FULL_LOAD, INITIAL_BACKOFF, NEW_OBJECT_RANK, OVERDUE_ALLOWANCE, SEEN_OBJECT_RANK,
    TRIAL_INTERVAL,
};
use super::hedging::overdue_after;
use super::rendezvous::score;
use super::state::{AttemptState, Host, RequestState, Timer, WarmupCharge};

/// The way of an attempt.
struct Route {
    host: HostId,
    /// The host itself where only a hit will do.
    source: HostId,
    /// The source gives only what it holds.
    only_held: bool,
}

impl Route {
    fn is_hit_only(&self) -> bool {
        self.source == self.host
    }
}

/// What the sources of a request have to keep to.
struct SourceLimits<'a> {
    state: &'a RequestState,
    /// The class runs at the origin alone.
    goes_through: bool,
    /// Nothing may be fetched from the origin for this request.
    origin_closed: bool,
}

impl SourceLimits<'_> {
    /// Whether a source has capacity for the request, and can hold what it needs.
    fn admit(&self, source: &Host) -> bool {
        self.goes_through || (source.has_capacity() && !(self.origin_closed && self.state.missed))
    }
}

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
        let class = &self.classes[request.class.0];
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
        let at_cache = self
            .hosts
            .get(&attempt.host)
            .is_some_and(|host| host.is(Role::Cache));
        let host_cost = if at_cache {
            class.warmup_cost(state.transfer_ms)
        } else {
            state.transfer_ms
        };
        for participant in attempt.participants() {
            let Some(host) = self.hosts.get_mut(participant) else {
                continue;
            };
            let is_host = *participant == attempt.host;
            host.in_flight += 1.0;
            if !class.terms.goes_through {
                host.next_trial = self.now + TRIAL_INTERVAL;
            }
            host.warmup_charges.push(WarmupCharge {
                at: self.now,
                request: id,
                attempt: attempt.index,
                cost: if is_host {
                    host_cost
                } else {
                    state.transfer_ms
                },
            });
            host.warmup_charges
                .retain(|charge| self.now.since(charge.at) <= self.cache_slow_start.window);
        }
        self.timers.insert(Timer {
            at: attempt.overdue,
            request: id,
        });
        self.recent_objects.insert(state.request.object, self.now);
        state.attempts += 1;
        state.in_flight.push(attempt);
    }

    /// Decides which way a request takes, if any is open: to a cache with a source for its fill, to a cache for a hit
    /// alone, or past the caches.
    ///
    /// Guards against slow sources whose fills take up the caches: without an open source only a hit is asked for.
    fn select_route(&self, state: &RequestState) -> Option<Route> {
        let class = &self.classes[state.request.class.0];
        let goes_through = class.terms.goes_through;
        let link_open = goes_through || self.link_admits(state, class.mean_transfer_ms);
        let cache = if goes_through && self.terms.direct {
            None
        } else {
            self.select_cache(state, link_open)
        };
        let source = self.select_source(state);
        let limits = SourceLimits {
            state,
            goes_through,
            origin_closed: self.origin_closed(state),
        };
        let (host, source) = match (cache, source) {
            (Some(cache), Some(source)) if link_open && limits.admit(&self.hosts[&source]) => {
                (cache, source)
            }
            (Some(_), _) if state.missed => return None,
            (Some(cache), _) => (cache.clone(), cache),
            (None, Some(target)) if self.may_pass_caches(state, class, link_open) => {
                let host = &self.hosts[&target];
                let in_scope = goes_through || self.in_deduplication_scope(state, host);
                if !limits.admit(host) || !in_scope {
                    return None;
                }
                let source = self.usable_origin().cloned();
                (target.clone(), source.unwrap_or(target))
            }
            _ => return None,
        };
        let from_parent = self.hosts[&source].is(Role::Parent);
        Some(Route {
            host,
            source,
            only_held: limits.origin_closed && from_parent && !goes_through,
        })
    }

    /// Decides whether a request may go past the caches: a write, or one that no cache of the location could take, or a
    /// small one while the link is idle.
    fn may_pass_caches(
        &self,
        state: &RequestState,
        class: &ClassStatistics,
        link_open: bool,
    ) -> bool {
        if !self.terms.direct {
            return false;
        }
        let small = state.transfer_ms < class.mean_transfer_ms;
        class.terms.goes_through
            || (link_open && small && self.link_is_idle())
            || !self.has_usable_cache()
    }

    fn has_usable_cache(&self) -> bool {
        self.hosts
            .values()
            .any(|host| self.is_local_cache(host) && host.usable())
    }

    fn usable_origin(&self) -> Option<&HostId> {
        self.origin()
            .filter(|origin| origin.usable())
            .map(|origin| origin.id())
    }

    /// Decides whether a request's object may not be fetched from the origin now.
    ///
    /// Guards against an ejected origin being asked on by parents, or every parent in turn for what the first one
    /// lacks. Behind a slow origin parents fetch the objects that the hash picks, the same at every dispatcher, so that
    /// what is fetched serves all.
    fn origin_closed(&self, state: &RequestState) -> bool {
        self.origin().is_some_and(|origin| {
            let ejected = !origin.usable() && !origin.due_for_trial(self.now);
            ejected || score(origin, &state.request) > origin.origin_fill_fraction
        })
    }
}
