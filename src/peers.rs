//! What dispatchers tell each other of hosts.

use crate::{HostId, Time};

/// What one dispatcher has seen of a host itself, for others to hear.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    pub host: HostId,
    pub started: Option<Time>,
    /// Latency in ms, bandwidth in KB a ms.
    pub measures: [Option<f64>; 2],
    /// When it was last measured, succeeded and failed here.
    pub measured: Option<Time>,
    pub good: Option<Time>,
    pub bad: Option<Time>,
    pub in_hand: f64,
    /// While it is cold.
    pub cold: Option<Used>,
}

/// A dispatcher's use of a cold host, as shares of all that such a host can be asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Used {
    /// This dispatcher's equal share.
    pub right: f64,
    /// What it has spent within the window.
    pub spent: f64,
    /// What it turned away for want of a share since the last look.
    pub wished: f64,
}

/// What others tell of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Hint {
    pub host: HostId,
    /// The share of all that the host can be asked for while cold after that start; none for the equal one.
    pub share: Option<(Option<Time>, f64)>,
    /// Latency in ms, bandwidth in KB a ms, and when the youngest sample in them was taken.
    pub measures: [Option<f64>; 2],
    pub measured: Option<Time>,
    /// When the last of several dispatchers failed there, with no success of any since.
    pub down: Option<Time>,
    /// When any dispatcher last succeeded there.
    pub good: Option<Time>,
    /// Attempts that one dispatcher should have out there at most.
    pub window: Option<f64>,
    /// Attempts that other dispatchers have out there, and when that was true.
    pub others: Option<(f64, Time)>,
}

/// All that is heard from others at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct Guided {
    pub hints: Vec<Hint>,
    /// The part of its equal share that holds for a host whose share no hint tells.
    pub by_right: f64,
    /// How full the location's link is, as [`LoadReport::link`] tells it, and when that was true.
    pub link: Option<(f64, Time)>,
    /// Whether the list of hosts can be trusted; if not, nothing is handed off.
    pub vouched: bool,
}
