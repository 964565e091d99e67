//! The endpoint list, and the load reports of hosts.

use crate::{CellId, HostId, Time, ZoneId};

/// The role of a host in the two-tier cache.
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

/// Whether a host may be used, by the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// It may be used.
    InService,
    /// It finishes its requests, and gets no new ones.
    Draining,
    /// It is no longer listed.
    #[default]
    Removed,
}

/// One line of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// The host.
    pub host: HostId,
    /// Its capacity: the number of concurrent requests that it serves at full speed.
    pub weight: f64,
    /// Its location, if it belongs to one.
    pub zone: Option<ZoneId>,
    /// Its cell within the location.
    pub cell: CellId,
    /// Its role in the cache.
    pub role: Role,
    /// Whether it may be used.
    pub health: Health,
    /// Its latest start; `None` if that is long past.
    pub started: Option<Time>,
}

/// Whether an endpoint list is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Hosts that it does not name stay as they are.
    Delta,
    /// Hosts that it does not name are removed.
    Full,
}

/// The load that a host reports; values that it does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Of a cache: the number of transfers on its location's link over those that the link carries at full speed.
    pub link: Option<f64>,
    /// Requests in flight at the host, of all dispatchers.
    pub in_flight: Option<f64>,
    /// The fraction of its capacity in use, 0 to 1.
    pub utilization: Option<f64>,
}
