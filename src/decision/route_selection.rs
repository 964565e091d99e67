//! Selects the route of a request: to a cache with a source for its fill, to a cache for a hit only, past the caches,
//! or none for now.

use crate::{HostId, Role};

use super::DecisionEngine;
use super::class_statistics::ClassStatistics;
use super::rendezvous::score;
use super::state::{Host, RequestState};

/// The host and the source of an attempt.
pub(super) struct Route {
    pub(super) host: HostId,
    /// Equal to `host` if no miss is filled: only a hit is requested, or the request goes to its source directly.
    pub(super) source: HostId,
    /// Whether the source may answer only from its cache.
    pub(super) only_held: bool,
}

impl Route {
    pub(super) fn without_fill(&self) -> bool {
        self.source == self.host
    }
}

/// The limits on the source of a request.
struct SourceLimits<'a> {
    state: &'a RequestState,
    /// Whether the requests of the class run at the origin only.
    goes_through: bool,
    /// Whether the request's object may not be fetched from the origin now.
    origin_closed: bool,
}

impl SourceLimits<'_> {
    /// Whether a source has capacity for the request. A known miss is not admitted while the origin is closed to it.
    fn admit(&self, source: &Host) -> bool {
        self.goes_through || (source.has_capacity() && !(self.origin_closed && self.state.missed))
    }
}

impl DecisionEngine {
    /// Selects the route of a request, if there is one: to a cache with a source for its fill, to a cache for a hit
    /// only, or past the caches.
    ///
    /// Guards against slow sources whose fills take up the caches: if no source admits the request, only a hit is
    /// requested.
    pub(super) fn select_route(&self, state: &RequestState) -> Option<Route> {
        let class = self.class_of(&state.request);
        let goes_through = class.terms.goes_through;
        let link_open = goes_through || self.link_admits(state, class.mean_transfer_ms());
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

    /// Decides whether a request may go past the caches: if its class is never cached, if the location has no usable
    /// cache, or if it is small and the link is idle.
    fn may_pass_caches(
        &self,
        state: &RequestState,
        class: &ClassStatistics,
        link_open: bool,
    ) -> bool {
        if !self.terms.direct {
            return false;
        }
        let small = state.transfer_ms < class.mean_transfer_ms();
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

    /// Whether a request's object may not be fetched from the origin now.
    ///
    /// Guards against parents forwarding fills to an ejected origin, and against trying every parent in turn for an
    /// object that the first one lacks. From a slow origin, parents fetch only a fraction of the objects; the hash
    /// selects the same ones at every dispatcher, so that a fetched copy serves all of them.
    fn origin_closed(&self, state: &RequestState) -> bool {
        self.origin().is_some_and(|origin| {
            let ejected = !origin.usable() && !origin.due_for_trial(self.now);
            ejected || score(origin, &state.request) > origin.origin_fill_fraction
        })
    }
}
