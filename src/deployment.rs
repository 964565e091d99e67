//! What a deployment settles before the first request.

use crate::{RequestClass, Span, ZoneId};

/// What an instance is handed at start.
#[derive(Clone, Debug)]
pub struct DeploymentTerms {
    pub classes: Vec<RequestClass>,
    pub zone: ZoneId,
    /// Dispatchers in each zone, and in all.
    pub zone_dispatchers: Vec<u32>,
    pub dispatchers: u32,
    pub tick: Span,
    pub may_cancel: bool,
    pub may_duplicate: bool,
    pub may_name_return: bool,
    pub longest_return: Span,
    pub most_attempts: u32,
    pub cold_from: f64,
    pub warm_within: Span,
    pub overload_factor: f64,
    pub fall_window: Span,
    pub parent_cold_from: f64,
    pub parent_warm_within: Span,
    pub parent_overload_factor: f64,
    pub direct: bool,
    pub joins: bool,
    pub client_kb_per_s: f64,
    pub purge_settles: Span,
    /// Reports tell how full the location's link is.
    pub tells_link: bool,
    /// Hosts may be looked at, and tell their load only then.
    pub may_look: bool,
}
