//! The messages between the run and its processes: orders over a process's standard input and replies over its standard
//! output, as JSON, one per line; and the JSON file of orders that each process is started with.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::hosts::Host;

/// The file of orders that a process of hollow forwarders is started with.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HollowOrders {
    /// The number of its first forwarder; numbers are never reused within a run.
    pub first: u32,
    /// The number of forwarders.
    pub count: u32,
    /// The file that holds the platform's configuration.
    pub configuration: PathBuf,
    /// The file that holds the operator's plan.
    pub plan: PathBuf,
    /// The file to which counters are written.
    pub counters: PathBuf,
    /// The file in which it is logged when events came into force.
    pub in_force: PathBuf,
    /// The seed from which the forwarders' seeds are derived.
    pub seed: u64,
}

/// A reply of a process of hollow forwarders. The process ends when its standard input closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HollowReply {
    /// The number of forwarders that have an endpoint list and are connected to all planners.
    Current(u32),
}

/// The file of orders that the stand-in coordinator is started with.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CoordinatorOrders {
    /// Its endpoint list at the start.
    pub hosts: Vec<Host>,
    /// The number of hosts, at the beginning of `hosts`, that never change.
    pub unchanging: usize,
    /// The rate of scheduled purges, per second.
    pub purges_per_s: f64,
    /// The rate of scheduled host changes, per second: a host begins to drain or is back in service.
    pub host_changes_per_s: f64,
    /// The seed of its schedule.
    pub seed: u64,
    /// The platform's settings, which name the zones and kinds that its frames refer to.
    pub settings: serde_json::Value,
    /// The file to which counters are written.
    pub counters: PathBuf,
    /// The file to which all events are written at the end.
    pub events: PathBuf,
}

/// An order to the running stand-in coordinator. When its standard input closes, it writes its events and ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CoordinatorOrder {
    /// Starts the schedule of events.
    Begin,
    /// Stops the schedule of events.
    Stop,
    /// Sets the rate of scheduled purges to that of the file of orders times a factor.
    PurgeRateTimes(f64),
    /// `true` makes it send nothing, with its connections open; `false` makes it send again.
    Silent(bool),
    /// Starts a new numbering with the current list as event 1, and closes all connections.
    Forget,
    /// Publishes one purge at once, in addition to the schedule.
    Purge {
        /// The object's number.
        object: u64,
    },
    /// Writes the known events of a configuration made now to a file.
    WriteKnown(PathBuf),
}

/// A reply of the stand-in coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CoordinatorReply {
    /// It listens at this address.
    Listening(SocketAddr),
    /// The file of [`CoordinatorOrder::WriteKnown`] has been written.
    Written,
    /// The schedule has stopped.
    Stopped {
        /// The number of the last event.
        last: u64,
    },
}
