//! The parameters of a deployment, which are fixed before the first request.

use crate::{RequestClass, Span, ZoneId};

/// The parameters of a deployment that a decision engine is started with.
#[derive(Clone, Debug)]
pub struct DeploymentTerms {
    /// The classes of requests, by [`ClassId`](crate::ClassId).
    pub classes: Vec<RequestClass>,
    /// The location of this dispatcher.
    pub zone: ZoneId,
    /// Dispatchers in each zone, by [`ZoneId`].
    pub zone_dispatchers: Vec<u32>,
    /// Dispatchers in all zones.
    pub dispatchers: u32,
    /// The longest delay of a `wake` call after the time that was requested for it.
    pub tick: Span,
    /// Whether attempts in flight may be cancelled.
    pub may_cancel: bool,
    /// Whether a request may have several attempts in flight, that is, whether it may be hedged.
    pub may_duplicate: bool,
    /// Whether a rejection may carry a retry-after.
    pub may_set_retry_after: bool,
    /// The longest retry-after.
    pub max_retry_after: Span,
    /// The number of attempts that a request may have.
    pub most_attempts: u32,
    /// The fraction of its capacity that a cache has at its start, 0 to 1.
    pub cold_from: f64,
    /// Time from its start after which a cache has all its capacity.
    pub warm_within: Span,
    /// The multiple of its present capacity that a warming cache can be sent over an overload window without failing.
    pub overload_factor: f64,
    /// The length of the overload window of caches and parents.
    pub overload_window: Span,
    /// As `cold_from`, of parents.
    pub parent_cold_from: f64,
    /// As `warm_within`, of parents.
    pub parent_warm_within: Span,
    /// As `overload_factor`, of parents.
    pub parent_overload_factor: f64,
    /// Whether requests may be sent past the caches.
    pub direct: bool,
    /// Whether a cache may let a miss wait for a fill of the same object that is in progress.
    pub joins: bool,
    /// The speed of an answer to a client, in KB per second; 0 if transfer times can't be derived from sizes.
    pub client_kb_per_s: f64,
    /// Whether sizes are what clients state, which may be wrong; otherwise the platform vouches for them.
    pub sizes_are_claims: bool,
    /// How long after a host began to drain, or was removed, new requests may be sent to it.
    pub drain_grace: Span,
    /// How long after a purge older copies may be used.
    pub purge_grace: Span,
    /// Time after which a purge has reached all copies.
    pub purge_settles: Span,
    /// Whether load reports contain the load of the location's link.
    pub reports_link_load: bool,
    /// Whether hosts may be polled for their load, which they report only then.
    pub may_poll_load: bool,
}
