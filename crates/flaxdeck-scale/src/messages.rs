//! What the run orders its processes and what they reply: JSON, one message a line, over their standard input and
//! output; and the file of orders that each is started with.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::hosts::Host;

/// What a process of hollow forwarders is started with.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HollowOrders {
    /// The number of its first forwarder; numbers of one run are never used again.
    pub first: u32,
    /// So many forwarders.
    pub count: u32,
    /// The file with the platform's configuration.
    pub configuration: PathBuf,
    /// The file with the operator's plan.
    pub plan: PathBuf,
    /// Where counters are written.
    pub counters: PathBuf,
    /// Where it is logged what came into force when.
    pub in_force: PathBuf,
    /// What the forwarders' seeds are made from.
    pub seed: u64,
}

/// What a process of hollow forwarders replies. It ends when its standard input closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HollowReply {
    /// So many forwarders know a list and are connected to all planners.
    Current(u32),
}

/// What the stand-in coordinator is started with.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CoordinatorOrders {
    /// Its list at the start.
    pub hosts: Vec<Host>,
    /// So many of the first of them never change.
    pub unchanging: usize,
    /// Purges a second of its schedule.
    pub purges_per_s: f64,
    /// Hosts a second that begin to drain or are back in service.
    pub host_changes_per_s: f64,
    /// What its schedule is drawn from.
    pub seed: u64,
    /// The platform's settings, by whose names of zones and kinds its frames are read.
    pub settings: serde_json::Value,
    /// Where counters are written.
    pub counters: PathBuf,
    /// Where all events are written at the end.
    pub events: PathBuf,
}

/// What the stand-in coordinator is ordered while it runs. It writes its events and ends when its standard input closes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CoordinatorOrder {
    /// Events begin to happen by the schedule.
    Begin,
    /// No further events happen by the schedule.
    Stop,
    /// Purges happen so many times as often as the orders say.
    PurgeRateTimes(f64),
    /// It says nothing more, with its connections open, or speaks again.
    Silent(bool),
    /// It starts anew: its list is event 1 again, and its connections end.
    Forget,
    /// One purge at once, beside the schedule.
    Purge {
        /// The object's number.
        object: u64,
    },
    /// What a configuration written now would tell of events, into that file.
    WriteKnown(PathBuf),
}

/// What the stand-in coordinator replies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CoordinatorReply {
    /// It listens there.
    Listening(SocketAddr),
    /// The file of [`CoordinatorOrder::WriteKnown`] is written.
    Written,
    /// The schedule has stopped after that event.
    Stopped {
        /// The event's number.
        last: u64,
    },
}
