//! Selects the cache of the location that gets a request.

use crate::{HostId, Role};

use super::DecisionEngine;
use super::constants::{
    MAX_ADMITTED_LOAD, MAX_IMBALANCE, MAX_LARGE_ADMISSION_FACTOR, MIN_REPUTATION,
};
use super::state::{Host, RequestState};

impl DecisionEngine {
    /// Selects the cache for a request: the first in hash order that is usable and admits it, if there is one.
    ///
    /// `link_open` tells whether the location's link has capacity for a fill.
    pub(super) fn select_cache(&self, state: &RequestState, link_open: bool) -> Option<HostId> {
        let class = self.class_of(&state.request);
        let cost = class.warmup_cost(Role::Cache, state.transfer_ms);
        let may_try = self.is_idempotent(state) && state.attempts == 0;
        let mut caches = self.in_hash_order(Role::Cache, &state.request);
        self.note_unmet_demand(caches.first(), cost);
        caches.retain(|cache| {
            self.accepts_or_tries(cache, may_try)
                && !state.has_tried(cache)
                && self.in_deduplication_scope(state, cache)
                && self.fits_slow_start(cache, cost)
        });
        let least = caches
            .iter()
            .map(|cache| self.load(cache))
            .min_by(f64::total_cmp)?;
        let relative_size = state.transfer_ms / class.mean_transfer_ms().max(1.0);
        let max_load = max_admitted_load(relative_size, least, link_open);
        caches
            .iter()
            .find(|cache| self.admits(cache, state, max_load))
            .map(|cache| cache.id().clone())
    }

    /// Whether a cache is not ejected, or is due for a trial for which this request may be used.
    fn accepts_or_tries(&self, cache: &Host, may_try: bool) -> bool {
        cache.reputation >= MIN_REPUTATION || (may_try && cache.due_for_trial(self.now))
    }
}

/// Returns the highest load at which a request is admitted that can still meet its objective. `least` is the load of
/// the least loaded cache.
///
/// Guards against small requests taking every slot that becomes free before a large one gets its next try: the larger a
/// request is within its class, the higher the load at which it is admitted. Also guards against objects moving off
/// their caches where all caches are evenly loaded: none moves then. On a full link only a cache that may already hold
/// the object is of use, so the limit relative to the least loaded cache does not apply.
fn max_admitted_load(relative_size: f64, least: f64, link_open: bool) -> f64 {
    let most = MAX_ADMITTED_LOAD * relative_size.clamp(1.0, MAX_LARGE_ADMISSION_FACTOR);
    if link_open {
        (least * MAX_IMBALANCE).min(most)
    } else {
        most
    }
}
