//! What the decision engine keeps of hosts, requests and their attempts. Fields only: the decisions are in the modules beside this one.

use std::cell::Cell;

use crate::{AttemptIndex, Endpoint, HostId, Request, RequestId, Sampled, Time};

/// A host with its ratings and what this dispatcher has at it.
#[derive(Default)]
pub(crate) struct Host {
    pub(crate) line: Endpoint,
    pub(crate) hash: u64,
    pub(crate) reputation: f64,
    pub(crate) next_trial: Time,
    pub(crate) heard: Time,
    pub(crate) mute: u32,                  // attempts found overdue since then
    pub(crate) measures: [Option<f64>; 2], // latency in ms, bandwidth in KB a ms
    pub(crate) beaten: [u32; 2],           // fills in a row in which the origin beat it by each
    pub(crate) in_hand: f64,
    pub(crate) busy: Option<(f64, Time)>, // the share of its capacity in use by its last report
    pub(crate) others: Option<(f64, Time)>, // the other dispatchers' requests there by its last report
    pub(crate) window: f64, // how many attempts may be out at it at once, as a source or past the caches
    pub(crate) reach: f64,  // of the origin: the share of objects that parents may fetch there
    pub(crate) spent: Vec<(Time, RequestId, AttemptIndex, f64)>,
    pub(crate) others_in_flight: Option<Sampled<f64>>, // what others have out there, by their own word
    pub(crate) share: Option<f64>, // of a cold host's whole, by what others left to this dispatcher
    pub(crate) wished: Cell<f64>,  // what it turned away for want of that since the last look
    pub(crate) sampled: [Option<f64>; 2], // the last own samples, and when they and the last of others were taken
    pub(crate) measured: [Option<Time>; 2],
    pub(crate) looked: Option<Time>, // when it was last asked for its load
    pub(crate) slow: (f64, Time), // times the sending time that its hits take, and when one last did
    pub(crate) good: Option<Time>, // the last own success and failure
    pub(crate) bad: Option<Time>,
}

/// An attempt that is out.
pub(crate) struct Out {
    pub(crate) index: AttemptIndex,
    pub(crate) host: HostId,
    pub(crate) source: HostId,
    pub(crate) sent: Time,
    pub(crate) overdue: Time,
    pub(crate) silent: Option<bool>, // once it is overdue: whether its host or source has answered nothing since
    pub(crate) trial: bool,
}

/// A request that has no final answer yet.
pub(crate) struct Held {
    pub(crate) request: Request,
    pub(crate) work: f64,
    pub(crate) objective: Time,
    pub(crate) out: Vec<Out>,
    pub(crate) attempts: u32,
    pub(crate) ran: Option<(Time, HostId)>, // the first attempt that may have run, with its host
    pub(crate) not_before: Time,
    pub(crate) pauses: u32,
    pub(crate) missed: bool, // the cache that it belongs to lacks it
    pub(crate) tried: Vec<HostId>,
    pub(crate) failed_by: Vec<HostId>, // who answered it as failed, and named nobody else
    pub(crate) done: bool,
}
