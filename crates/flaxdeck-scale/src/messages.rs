//! What the run tells its processes and hears from them: JSON, one message a line, over their standard input and
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
    pub count: u32,
    /// The platform's configuration and the operator's plan, as files.
    pub configuration: PathBuf,
    pub plan: PathBuf,
    /// Where counters are written, and what came into force when.
    pub counters: PathBuf,
    pub in_force: PathBuf,
    pub seed: u64,
}

/// What a process of hollow forwarders tells. It ends when its standard input closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HollowReply {
    /// So many forwarders know a list and converse with all planners.
    Current(u32),
}

/// What the stand-in coordinator is started with.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CoordinatorOrders {
    pub hosts: Vec<Host>,
    /// So many of the first of them never change.
    pub unchanging: usize,
    pub purges_per_s: f64,
    pub host_changes_per_s: f64,
    pub seed: u64,
    /// The platform's settings, by whose names of zones and kinds its frames are read.
    pub settings: serde_json::Value,
    pub counters: PathBuf,
    /// Where all events are written at the end.
    pub events: PathBuf,
}

/// What the stand-in coordinator is told while it runs. It writes its events and ends when its standard input closes.
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
    Purge { object: u64 },
    /// What a configuration written now would tell of events, into that file.
    WriteKnown(PathBuf),
}

/// What the stand-in coordinator tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CoordinatorReply {
    Listening(SocketAddr),
    /// The file of [`CoordinatorOrder::WriteKnown`] is written.
    Written,
    /// The schedule has stopped after that event.
    Stopped {
        last: u64,
    },
}
