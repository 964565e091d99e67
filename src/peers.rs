//! What dispatchers exchange about hosts: a dispatcher reports observations and receives hints.

use crate::{HostId, Sampled, Time};

/// Measurements of a host as a source of fills; `None` without a sample.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SourceMeasurements {
    /// Time to a fill's first byte, in ms.
    pub latency: Option<f64>,
    /// Transfer rate of a fill, in KB per ms.
    pub bandwidth: Option<f64>,
}

/// What one dispatcher has observed of a host itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The host.
    pub host: HostId,
    /// Its latest start; `None` if that is long past.
    pub started: Option<Time>,
    /// This dispatcher's own latest samples.
    pub measurements: SourceMeasurements,
    /// When the samples were taken.
    pub measured_at: Option<Time>,
    /// This dispatcher's last success at the host.
    pub last_success: Option<Time>,
    /// This dispatcher's last failure at the host.
    pub last_failure: Option<Time>,
    /// This dispatcher's attempts in flight there.
    pub in_flight: f64,
    /// This dispatcher's use of the host while it warms up; `None` for a warm host.
    pub warmup: Option<WarmupUsage>,
}

/// A dispatcher's use of a warming host, as fractions of the work that the host can take within a slow start window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupUsage {
    /// The fraction that each dispatcher gets if all get the same.
    pub equal_share: f64,
    /// The work that this dispatcher has sent within the window.
    pub used: f64,
    /// The work that it could not send for lack of quota since the last observation.
    pub unmet: f64,
}

/// A dispatcher's quota of a warming host, granted for one start of the host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupQuota {
    /// The start of the host that the quota applies to; it is void after a later one.
    pub started: Option<Time>,
    /// The fraction of the work that the host can take within a slow start window, 0 to 1.
    pub fraction: f64,
}

/// What other dispatchers know about a host.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerHint {
    /// The host.
    pub host: HostId,
    /// The quota while it warms up; `None` for a part of the equal share, see [`PeerHints::unhinted_share`].
    pub quota: Option<WarmupQuota>,
    /// Measurements combined over several dispatchers.
    pub measurements: SourceMeasurements,
    /// When the latest sample among the measurements was taken.
    pub measured_at: Option<Time>,
    /// The time of the latest failure there, if several dispatchers have failed there since any last succeeded.
    pub down_at: Option<Time>,
    /// When any dispatcher last succeeded there.
    pub last_success: Option<Time>,
    /// The most attempts that one dispatcher should have in flight there.
    pub window: Option<f64>,
    /// Attempts that other dispatchers have in flight there.
    pub others_in_flight: Option<Sampled<f64>>,
}

/// The hints of other dispatchers that are valid at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerHints {
    /// Hints by host. For a host without one, a dispatcher relies on its own observations.
    pub hints: Vec<PeerHint>,
    /// The fraction of its equal share that a dispatcher may use of a warming host without a quota, 0 to 1.
    pub unhinted_share: f64,
    /// Load of the location's link, as in [`LoadReport::link`](crate::LoadReport::link).
    pub link: Option<Sampled<f64>>,
    /// Whether the endpoint list can be trusted; if not, no new attempt is made.
    pub list_trusted: bool,
}
