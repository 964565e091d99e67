//! The list of hosts, and what hosts report of their load.

use crate::{CellId, HostId, Time, ZoneId};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    #[default]
    Cache,
    Parent,
    Origin,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    InService,
    Draining,
    #[default]
    Removed,
}

/// One line of the list of hosts.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    pub host: HostId,
    pub weight: f64,
    pub zone: Option<ZoneId>,
    pub cell: CellId,
    pub role: Role,
    pub health: Health,
    /// Its latest start; none if that is long past.
    pub started: Option<Time>,
}

/// What a list event says about the hosts that it does not name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Delta,
    Full,
}

/// What a host reports of its load; none of what it does not tell.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Of a cache: transfers on its location's link over those that fit at full pace.
    pub link: Option<f64>,
    /// Requests that it holds.
    pub in_hand: Option<f64>,
    /// The share of its capacity that it uses.
    pub busy: Option<f64>,
}
