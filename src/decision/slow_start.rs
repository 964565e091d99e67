//! Slow start: a cold host gets no more than its rising capacity bears, over all dispatchers together.
//!
//! Each dispatcher keeps to its part of what the host bears by its least possible rise, within any window.

use crate::{AttemptIndex, DeploymentTerms, RequestId, Role, Span, Time};

use super::DecisionEngine;
use super::constants::{MAX_WARMUP_OVERLOAD, USABLE_OVERLOAD};
use super::state::{Host, WarmupCharge};

/// The least rise of a cold host, what it can be asked for, and this dispatcher's equal part of that.
pub(super) struct SlowStart {
    /// The fraction of its capacity that a host has at its start, 0 to 1.
    initial_fraction: f64,
    /// Time after which a host has all its capacity.
    warm_within: Span,
    /// The time over which requests are counted.
    pub(super) window: Span,
    /// Times its present capacity that all dispatchers together may ask for.
    pub(super) total: f64,
    /// This dispatcher's equal part of the total.
    pub(super) equal_share: f64,
}

impl SlowStart {
    /// The terms for caches, which the dispatchers of one location share.
    pub(super) fn of_caches(terms: &DeploymentTerms, zone_dispatchers: f64) -> SlowStart {
        let total = (terms.overload_factor * USABLE_OVERLOAD).min(MAX_WARMUP_OVERLOAD);
        SlowStart {
            initial_fraction: terms.cold_from,
            warm_within: terms.warm_within,
            window: terms.fall_window,
            total,
            equal_share: total / zone_dispatchers.max(1.0),
        }
    }

    /// The terms for parents, which all dispatchers share.
    pub(super) fn of_parents(terms: &DeploymentTerms) -> SlowStart {
        let total = (terms.parent_overload_factor * USABLE_OVERLOAD).min(MAX_WARMUP_OVERLOAD);
        SlowStart {
            initial_fraction: terms.parent_cold_from,
            warm_within: terms.parent_warm_within,
            window: terms.fall_window,
            total,
            equal_share: total / f64::from(terms.dispatchers).max(1.0),
        }
    }

    /// The least fraction of its capacity that a host started then has at a time, 0 to 1.
    pub(super) fn capacity_fraction(&self, started: Option<Time>, at: Time) -> f64 {
        let Some(started) = started else { return 1.0 };
        let risen = at.since(started).ms() / self.warm_within.ms().max(1.0);
        (self.initial_fraction + (1.0 - self.initial_fraction) * risen).min(1.0)
    }
}

impl Host {
    /// Adds an attempt in flight, and forgets charges from before a window.
    pub(super) fn add_attempt(&mut self, charge: WarmupCharge, window: Span) {
        let now = charge.at;
        self.in_flight += 1.0;
        self.warmup_charges.push(charge);
        self.warmup_charges
            .retain(|charge| now.since(charge.at) <= window);
    }

    /// Counts an attempt from now on instead of from when it was decided; tells whether it counts here at all.
    pub(super) fn renew_charge(
        &mut self,
        now: Time,
        request: RequestId,
        attempt: AttemptIndex,
    ) -> bool {
        let mut charges = self.warmup_charges.iter_mut();
        let Some(charge) = charges.find(|charge| charge.is_of(request, attempt)) else {
            return false;
        };
        charge.at = now;
        true
    }
}

impl DecisionEngine {
    pub(super) fn slow_start(&self, host: &Host) -> &SlowStart {
        if host.is(Role::Cache) {
            &self.cache_slow_start
        } else {
            &self.parent_slow_start
        }
    }

    /// The least fraction of its capacity that a host has had for a whole window.
    pub(super) fn capacity_over_window(&self, host: &Host, now: Time) -> f64 {
        let slow_start = self.slow_start(host);
        slow_start.capacity_fraction(host.endpoint.started, now - slow_start.window)
    }

    /// Milliseconds of work that this dispatcher has sent to a host within a window.
    pub(super) fn charged_over_window(&self, host: &Host, now: Time) -> f64 {
        let since = now - self.slow_start(host).window;
        host.warmup_charges
            .iter()
            .filter(|charge| charge.at > since)
            .map(|charge| charge.cost)
            .sum::<f64>()
    }

    /// Decides whether a host may be sent work of a cost in milliseconds; a warm host always may.
    ///
    /// Guards against a cold host being overloaded by all dispatchers together: each keeps to its quota of what the
    /// slowest rise bears within any window. An attempt without a fill counts for the mean as well.
    pub(super) fn fits_slow_start(&self, host: &Host, cost: f64) -> bool {
        let fraction = self.capacity_over_window(host, self.now);
        if fraction >= 1.0 || host.is(Role::Origin) {
            return true;
        }
        let slow_start = self.slow_start(host);
        let quota = match host.warmup_quota {
            Some(quota) => quota * slow_start.total,
            None => slow_start.equal_share * self.unhinted_fraction,
        };
        let budget = quota * fraction * host.endpoint.weight * slow_start.window.ms();
        self.charged_over_window(host, self.now) + cost <= budget
    }

    /// Notes work that belongs at a cold host whose quota is used up, for peers to hear.
    pub(super) fn note_unmet_demand(&self, preferred: Option<&&Host>, cost: f64) {
        if let Some(host) = preferred
            && !self.fits_slow_start(host, cost)
        {
            host.unmet_demand.set(host.unmet_demand.get() + cost);
        }
    }
}
