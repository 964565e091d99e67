//! What dispatchers tell each other of hosts: observations go out, hints come in.

use crate::{HostId, Sampled, Time};

/// Mean measurements of a host as a source of fills; a measurement without a sample is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SourceMeasurements {
    /// Milliseconds to a fill's first byte.
    pub latency: Option<f64>,
    /// Kilobytes per millisecond.
    pub bandwidth: Option<f64>,
}

/// What one dispatcher has seen of a host itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The host.
    pub host: HostId,
    /// Its latest start; absent if that is long past.
    pub started: Option<Time>,
    /// This dispatcher's own latest samples.
    pub measurements: SourceMeasurements,
    /// When those were taken.
    pub measured_at: Option<Time>,
    /// This dispatcher's last success at the host.
    pub last_success: Option<Time>,
    /// This dispatcher's last failure at the host.
    pub last_failure: Option<Time>,
    /// This dispatcher's attempts in flight there.
    pub in_flight: f64,
    /// Present while the host warms up.
    pub warmup: Option<WarmupUsage>,
}

/// A dispatcher's use of a host that warms up, as fractions of all that the host can take within a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupUsage {
    /// The fraction that each dispatcher gets if all get the same.
    pub equal_share: f64,
    /// What this dispatcher has used within the window.
    pub used: f64,
    /// What it could not send to the host for want of quota since the last observation.
    pub unmet: f64,
}

/// A dispatcher's quota of a host that warms up, granted for one start of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupQuota {
    /// The start that the quota belongs to; it is void after another.
    pub started: Option<Time>,
    /// A fraction of all that the host can take within a window, 0 to 1.
    pub fraction: f64,
}

/// What others know of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerHint {
    /// The host.
    pub host: HostId,
    /// The quota while it warms up; the equal share if absent.
    pub quota: Option<WarmupQuota>,
    /// Measurements weighed over several dispatchers.
    pub measurements: SourceMeasurements,
    /// When the youngest sample in them was taken.
    pub measured_at: Option<Time>,
    /// When the last of several dispatchers failed there, with no success of any since.
    pub down_at: Option<Time>,
    /// When any dispatcher last succeeded there.
    pub last_success: Option<Time>,
    /// The most attempts that one dispatcher should have in flight there.
    pub window: Option<f64>,
    /// Attempts that other dispatchers have in flight there.
    pub others_in_flight: Option<Sampled<f64>>,
}

/// All that holds of what others told at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerHints {
    /// Hints by host; a host without one is decided by own knowledge.
    pub hints: Vec<PeerHint>,
    /// The part of its equal share that a dispatcher may use of a host whose quota no hint names, 0 to 1.
    pub unhinted_share: f64,
    /// Load of the location's link, as [`LoadReport::link`](crate::LoadReport::link) tells it.
    pub link: Option<Sampled<f64>>,
    /// Whether the endpoint list can be trusted; if not, no new attempt is made.
    pub list_trusted: bool,
}
