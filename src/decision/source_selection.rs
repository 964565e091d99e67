//! Selects the source that fills a miss, by the adaptive neighbour set of the Tuxedo paper, section 3.2.
//!
//! Parents are the neighbours, the origin is the server. A parent stays in the set unless it is ejected, too slow, or
//! clearly beaten by the origin on the measure that applies to the object's size. The hash order decides within the
//! set.

use crate::{HostId, Role};

use super::DecisionEngine;
use super::constants::{FULL_LOAD, MAX_ADMITTED_LOAD};
use super::measurements::Measure;
use super::rendezvous::move_factor;
use super::state::{Host, RequestState, WarmupCost};

/// The criteria by which a parent is in the neighbour set of a request.
struct NeighbourSet<'a> {
    state: &'a RequestState,
    measure: Measure,
    /// The least slowdown of any usable parent.
    least_slowdown: f64,
}

impl NeighbourSet<'_> {
    fn contains(&self, engine: &DecisionEngine, parent: &Host) -> bool {
        parent.usable()
            && !parent.beaten_by_origin(self.measure)
            && self.is_fast_enough(engine, parent)
    }

    /// Whether a parent is not too slow for the object.
    ///
    /// Guards against parents that become slow: objects move off them one by one, as they move off a loaded cache.
    fn is_fast_enough(&self, engine: &DecisionEngine, parent: &Host) -> bool {
        let factor = move_factor(parent, &self.state.request);
        parent.current_slowdown(engine.now) <= self.least_slowdown * FULL_LOAD * factor
    }
}

impl DecisionEngine {
    /// Returns the origin, if it is in service.
    pub(super) fn origin(&self) -> Option<&Host> {
        self.hosts
            .values()
            .find(|host| host.is(Role::Origin) && host.in_service())
    }

    /// Selects the source that fills a miss, or the host for a request that goes past the caches.
    pub(super) fn select_source(&self, state: &RequestState) -> Option<HostId> {
        let mut parents = self.in_hash_order(Role::Parent, &state.request);
        self.note_unmet_demand(parents.first(), self.fill_cost(state));
        let neighbours = NeighbourSet {
            state,
            measure: Measure::for_request(self.class_of(&state.request), &state.request),
            least_slowdown: self.least_slowdown(&parents),
        };
        parents.retain(|parent| self.may_fill(parent, state));
        let chosen = if self.class_of(&state.request).terms.goes_through {
            let usable = parents.iter().find(|parent| parent.usable());
            self.origin().or(usable.copied())
        } else {
            self.select_fill_source(&parents, &neighbours)
        };
        chosen.map(|source| source.id().clone())
    }

    /// Whether a source has not been tried for a request, and the slow start of a cold one allows it.
    fn may_fill(&self, source: &Host, state: &RequestState) -> bool {
        !state.has_tried(source) && self.fits_slow_start(source, self.fill_cost(state))
    }

    fn fill_cost(&self, state: &RequestState) -> WarmupCost {
        self.class_of(&state.request)
            .warmup_cost(Role::Parent, state.transfer_ms)
    }

    /// Returns the least slowdown of the usable parents, [`MAX_ADMITTED_LOAD`] at most.
    fn least_slowdown(&self, parents: &[&Host]) -> f64 {
        parents
            .iter()
            .filter(|parent| parent.usable())
            .map(|parent| parent.current_slowdown(self.now))
            .fold(MAX_ADMITTED_LOAD, f64::min)
    }

    /// Selects the source that fills a miss: one that is due for a trial, else the first parent of the set in hash
    /// order, else the origin.
    ///
    /// Guards against fills that queue at a full parent while the origin has capacity, and against requests that have
    /// no source at all while all sources are ejected: the first parent, which may hold a copy, is used then.
    fn select_fill_source<'a>(
        &'a self,
        parents: &[&'a Host],
        neighbours: &NeighbourSet,
    ) -> Option<&'a Host> {
        let state = neighbours.state;
        let due = |host: &&Host| state.attempts == 0 && host.due_for_trial(self.now);
        let first = parents.first().copied();
        if let Some(outside) = first.filter(|parent| !neighbours.contains(self, parent))
            && due(&outside)
        {
            return Some(outside);
        }
        let origin = self.origin();
        if let Some(origin) = origin.filter(due) {
            return Some(origin);
        }
        let open_origin = origin.filter(|origin| {
            origin.usable() && origin.has_capacity() && self.may_fill(origin, state)
        });
        // Guards against overload where few parents are left for all fills: where one has rejected, the next would too.
        if open_origin.is_some() && self.parent_failed(state) {
            return open_origin;
        }
        let neighbour = parents
            .iter()
            .find(|parent| neighbours.contains(self, parent))
            .copied();
        neighbour
            .filter(|parent| parent.has_capacity())
            .or(open_origin)
            .or(neighbour)
            .or(first)
    }

    /// Whether a parent has failed to fill a request.
    fn parent_failed(&self, state: &RequestState) -> bool {
        state
            .tried
            .iter()
            .filter_map(|id| self.hosts.get(id))
            .any(|host| host.is(Role::Parent))
    }
}
