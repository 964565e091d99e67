//! Slow start: the dispatchers together send a cold host no more work than its rising capacity allows.
//!
//! Each dispatcher keeps to its quota of the work that the host can take within any window, calculated from the slowest
//! possible rise of its capacity.

use crate::{AttemptIndex, DeploymentTerms, RequestId, Role, Span, Time};

use super::DecisionEngine;
use super::constants::{MAX_WARMUP_OVERLOAD, USABLE_OVERLOAD};
use super::state::{Host, WarmupCharge, WarmupCost};

/// The slowest rise of a cold host's capacity, how far it may be overloaded, and this dispatcher's equal share.
pub(super) struct SlowStart {
    /// The fraction of its capacity that a host has at its start, 0 to 1.
    initial_fraction: f64,
    /// Time from its start after which a host has all its capacity.
    warm_within: Span,
    /// The time over which the work sent to a host is summed.
    pub(super) window: Span,
    /// The multiple of its present capacity that all dispatchers together may send to a host.
    pub(super) total: f64,
    /// This dispatcher's share of the total if all dispatchers get the same.
    pub(super) equal_share: f64,
}

impl SlowStart {
    /// Returns the limits of caches, which are shared by the dispatchers of one location.
    pub(super) fn of_caches(terms: &DeploymentTerms, zone_dispatchers: f64) -> SlowStart {
        let total = (terms.overload_factor * USABLE_OVERLOAD).min(MAX_WARMUP_OVERLOAD);
        SlowStart {
            initial_fraction: terms.cold_from,
            warm_within: terms.warm_within,
            window: terms.overload_window,
            total,
            equal_share: total / zone_dispatchers.max(1.0),
        }
    }

    /// Returns the limits of parents, which are shared by all dispatchers.
    pub(super) fn of_parents(terms: &DeploymentTerms) -> SlowStart {
        let total = (terms.parent_overload_factor * USABLE_OVERLOAD).min(MAX_WARMUP_OVERLOAD);
        SlowStart {
            initial_fraction: terms.parent_cold_from,
            warm_within: terms.parent_warm_within,
            window: terms.overload_window,
            total,
            equal_share: total / f64::from(terms.dispatchers).max(1.0),
        }
    }

    /// Returns the least fraction of its capacity, 0 to 1, that a host has at a time if it was started at `started`.
    pub(super) fn capacity_fraction(&self, started: Option<Time>, at: Time) -> f64 {
        let Some(started) = started else { return 1.0 };
        let risen = at.since(started).ms() / self.warm_within.ms().max(1.0);
        (self.initial_fraction + (1.0 - self.initial_fraction) * risen).min(1.0)
    }
}

impl Host {
    /// Adds an attempt in flight with its charge, and drops the charges that are older than a window.
    pub(super) fn add_attempt(&mut self, charge: WarmupCharge, window: Span) {
        let now = charge.at;
        self.in_flight += 1.0;
        self.warmup_charges.push(charge);
        self.warmup_charges
            .retain(|charge| now.since(charge.at) <= window);
    }

    /// Moves the charge of an attempt from the time of its decision to now; returns whether there is one.
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

    /// Charges an attempt for the size that its answer has shown; at a cache for no less than was charged, which may be
    /// the mean.
    pub(super) fn settle_charge(&mut self, request: RequestId, attempt: AttemptIndex, ms: f64) {
        let is_cache = self.is(Role::Cache);
        let mut charges = self.warmup_charges.iter_mut();
        let Some(charge) = charges.find(|charge| charge.is_of(request, attempt)) else {
            return;
        };
        charge.cost = match charge.cost {
            cost if is_cache && cost.is_verified() => cost,
            cost if is_cache => WarmupCost::verified(cost.stated.max(ms)),
            _ => WarmupCost::verified(ms),
        };
    }

    /// Returns the charges of a window.
    fn charges_since(&self, since: Time) -> impl Iterator<Item = WarmupCost> {
        let charges = self.warmup_charges.iter();
        charges
            .filter(move |charge| charge.at > since)
            .map(|charge| charge.cost)
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

    /// Returns the least fraction of its capacity that a host has had throughout the last window.
    pub(super) fn capacity_over_window(&self, host: &Host, now: Time) -> f64 {
        let slow_start = self.slow_start(host);
        slow_start.capacity_fraction(host.endpoint.started, now - slow_start.window)
    }

    /// Returns the work in ms that this dispatcher has sent to a host within the last window.
    pub(super) fn charged_over_window(&self, host: &Host, now: Time) -> f64 {
        host.charges_since(now - self.slow_start(host).window)
            .map(|cost| cost.stated)
            .sum()
    }

    /// Decides whether a host may be sent work of a cost; a warm host always may.
    ///
    /// Guards against a cold host being overloaded by all dispatchers together: each keeps to its quota of the work
    /// that the slowest rise allows within any window. A cache is charged the class's mean for an attempt without a
    /// fill, too.
    pub(super) fn fits_slow_start(&self, host: &Host, cost: WarmupCost) -> bool {
        let fraction = self.capacity_over_window(host, self.now);
        if fraction >= 1.0 || host.is(Role::Origin) {
            return true;
        }
        let slow_start = self.slow_start(host);
        let quota = match host.warmup_quota {
            Some(quota) => quota,
            None => slow_start.equal_share / slow_start.total * self.unhinted_fraction,
        };
        let capacity_ms = fraction * host.endpoint.weight * slow_start.window.ms();
        let costs = host.charges_since(self.now - slow_start.window);
        let work = expected_work(costs.chain([cost]), quota);
        work <= quota * slow_start.total * capacity_ms
    }

    /// Records work that belongs at a cold host but does not fit its quota, to be reported to peers.
    pub(super) fn note_unmet_demand(&self, preferred: Option<&&Host>, cost: WarmupCost) {
        if let Some(host) = preferred
            && !self.fits_slow_start(host, cost)
        {
            host.unmet_demand.set(host.unmet_demand.get() + cost.stated);
        }
    }
}

/// Returns the work in ms that costs come to at a host. Those that are not verified together count for what they would
/// be at the mean, less what chance explains: twice the root of the number that all dispatchers send, of which this one
/// may use its quota.
///
/// Guards against a cold host that gets many large requests at once because clients state sizes that are too small.
fn expected_work(costs: impl Iterator<Item = WarmupCost>, quota: f64) -> f64 {
    let (mut stated, mut verified, mut unverified, mut count) = (0.0, 0.0, 0.0, 0.0);
    for cost in costs {
        stated += cost.stated;
        if cost.is_verified() {
            verified += cost.stated;
        } else {
            unverified += cost.unverified;
            count += 1.0;
        }
    }
    if count == 0.0 {
        return stated;
    }
    let chance = 2.0 * f64::sqrt(count * quota);
    stated.max(verified + unverified * (1.0 - chance / count))
}
