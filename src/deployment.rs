//! What a deployment settles before the first request.

use crate::{RequestClass, Span, ZoneId};

/// What an instance is handed at start.
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
    /// The longest time between a wake that was asked for and the call.
    pub tick: Span,
    /// Attempts in flight may be cancelled.
    pub may_cancel: bool,
    /// A request may have several attempts in flight.
    pub may_duplicate: bool,
    /// A rejection may name a time after which to retry.
    pub may_name_return: bool,
    /// The longest such time.
    pub longest_return: Span,
    /// Attempts that a request may have.
    pub most_attempts: u32,
    /// The fraction of its capacity that a cache has at its start, 0 to 1.
    pub cold_from: f64,
    /// Time from its start after which a cache has all its capacity.
    pub warm_within: Span,
    /// Times its present capacity that a warming cache can be asked for over a window before it falls over.
    pub overload_factor: f64,
    /// The length of that window, for caches and parents.
    pub fall_window: Span,
    /// As `cold_from`, of parents.
    pub parent_cold_from: f64,
    /// As `warm_within`, of parents.
    pub parent_warm_within: Span,
    /// As `overload_factor`, of parents.
    pub parent_overload_factor: f64,
    /// Requests may be sent past the caches.
    pub direct: bool,
    /// Caches may let a miss wait for a fill of the same object that is under way.
    pub joins: bool,
    /// The pace of an answer to a client, in KB a second; 0 if sizes say nothing of times.
    pub client_kb_per_s: f64,
    /// Time after which a purge has reached all copies.
    pub purge_settles: Span,
    /// Reports tell how full the location's link is.
    pub tells_link: bool,
    /// Hosts may be polled, and tell their load only then.
    pub may_look: bool,
}
