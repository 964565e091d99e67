//! The list of hosts, and what hosts report of their load.

use crate::{CellId, HostId, Time, ZoneId};

/// What a host is in the two-tier cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// A cache of a location, which answers clients' requests.
    #[default]
    Cache,
    /// A parent, which fills the misses of caches.
    Parent,
    /// The origin, which has every object and runs writes.
    Origin,
}

/// Whether a host may be used, by the list of hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// It may be used.
    InService,
    /// It finishes what it has, and gets nothing new.
    Draining,
    /// It is no longer listed.
    #[default]
    Removed,
}

/// One line of the list of hosts.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// The host.
    pub host: HostId,
    /// Requests that it answers at full pace at a time.
    pub weight: f64,
    /// Its location, if it belongs to one.
    pub zone: Option<ZoneId>,
    /// Its cell within the location.
    pub cell: CellId,
    /// What it is in the cache.
    pub role: Role,
    /// Whether it may be used.
    pub health: Health,
    /// Its latest start; none if that is long past.
    pub started: Option<Time>,
}

/// What a list event says about the hosts that it does not name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// They stay as they are.
    Delta,
    /// They are removed.
    Full,
}

/// What a host reports of its load; what it does not tell is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Of a cache: transfers on its location's link over those that fit at full pace.
    pub link: Option<f64>,
    /// Requests in flight at the host, of all dispatchers.
    pub in_hand: Option<f64>,
    /// The share of its capacity in use, 0 to 1.
    pub busy: Option<f64>,
}
