//! Messages about events between a forwarder (subscriber) and a planner (publisher). They travel inside the sealed
//! conversation of the two, beside reports and guidance.

use flaxdeck_recovery::EventPosition;
use serde::{Deserialize, Serialize};

/// The most purges that one [`Batch`] or [`Snapshot`] may hold: over twelve seconds of 330 a second.
pub const MAX_PURGES: u32 = 4_096;
/// The most events that one [`Batch`] may hold in full.
pub const MAX_FULL_EVENTS: usize = 256;
/// The most bytes of events in full in one message: a whole list of some 10,000 hosts.
pub const MAX_FULL_BYTES: usize = 288 * 1024;

/// Purges of single objects as sorted fingerprints, coded by their differences. One-sided: an object that was purged
/// always matches; one that was not matches by chance only, which makes its copy be fetched anew.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PurgeDigest {
    /// Fingerprints in it, repeated ones counters each time.
    pub count: u32,
    /// Low bits of each difference that are written as they are (the Rice parameter), 0 to 32.
    pub low_bits: u8,
    pub bytes: Vec<u8>,
}

/// An event in full: the coordinator's own frame.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FullEvent {
    pub mark: EventPosition,
    pub frame: Vec<u8>,
}

/// All events after one position up to another. Purges of single objects come as a digest, all others in full.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Batch {
    pub after: EventPosition,
    /// The same as `after` in a heartbeat.
    pub upto: EventPosition,
    pub purges: PurgeDigest,
    /// In the order of their numbers, each after `after.number` and at most `upto.number`.
    pub events: Vec<FullEvent>,
}

/// The state at a position, for a forwarder whose own position the planner does not keep any more.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    pub upto: EventPosition,
    /// A frame of the coordinator's form that tells the whole list of hosts, under the number of `upto`.
    pub list: Vec<u8>,
    /// The single objects purged within `purges_reach_ms` before it.
    pub purges: PurgeDigest,
    /// Purges of groups within that time, in full.
    pub group_purges: Vec<FullEvent>,
    /// How far back the purges reach, in milliseconds. Copies are in doubt unless that covers the time in which hosts
    /// drop by themselves what was purged.
    pub purges_reach_ms: u32,
}

/// What a planner tells a subscribed forwarder about events.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Update {
    Batch(Batch),
    Snapshot(Box<Snapshot>),
    /// The planner does not know the subscriber's position yet; it goes on from there once it does.
    Behind {
        upto: EventPosition,
    },
}

/// An [`Update`] with how current its writer is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Delivery {
    pub update: Update,
    /// How long ago the planner heard the coordinator itself, in milliseconds; none while it can't tell that it knows
    /// all that the coordinator has.
    pub coordinator_ago_ms: Option<u32>,
}

/// A forwarder asks a planner for events, or to stop sending them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Subscription {
    /// All events after this position.
    After(EventPosition),
    /// The state as it is: the forwarder knows nothing that could be followed.
    FromSnapshot,
    /// None: another planner tells them.
    None,
}
