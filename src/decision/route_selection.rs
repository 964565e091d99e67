//! Which way a request takes: to a cache with a source for its fill, to a cache for a hit alone, past the caches, or
//! none now.

use crate::{HostId, Role};

use super::DecisionEngine;
use super::class_statistics::ClassStatistics;
use super::rendezvous::score;
use super::state::{Host, RequestState};

/// The way of an attempt.
pub(super) struct Route {
    pub(super) host: HostId,
    /// The host itself where only a hit will do.
    pub(super) source: HostId,
    /// The source gives only what it holds.
    pub(super) only_held: bool,
}

impl Route {
    pub(super) fn is_hit_only(&self) -> bool {
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
    /// Decides which way a request takes, if any is open: to a cache with a source for its fill, to a cache for a hit
    /// alone, or past the caches.
    ///
    /// Guards against slow sources whose fills take up the caches: without an open source only a hit is asked for.
    pub(super) fn select_route(&self, state: &RequestState) -> Option<Route> {
        let class = self.class_of(&state.request);
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
