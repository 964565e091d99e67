//! Messages about events between a forwarder (subscriber) and a planner (publisher). They travel on the authenticated
//! connection of the two, beside reports and guidance.
//!
//! They are encoded as `postcard`, by position: fields and variants and their order are part of the protocol.

use flaxdeck_recovery::EventPosition;
use serde::{Deserialize, Serialize};

/// The most purges that one [`Batch`] or [`Snapshot`] may hold: over twelve seconds of 330 a second.
pub const MAX_PURGES: u32 = 4_096;
/// The most events that one [`Batch`] may hold in full.
pub const MAX_FULL_EVENTS: usize = 256;
/// The most bytes of events in full in one message: a full list of some 10,000 hosts.
pub const MAX_FULL_BYTES: usize = 288 * 1024;

/// Purges of single objects as sorted fingerprints, coded by their differences.
///
/// One-sided: an object that was purged always matches; one that was not matches by chance only, which makes its copy be
/// fetched anew.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PurgeDigest {
    /// Fingerprints in it, repeated ones counted each time.
    pub count: u32,
    /// Low bits of each difference that are written as they are (the Rice parameter), 0 to 32.
    pub low_bits: u8,
    /// The coded differences.
    pub bytes: Vec<u8>,
}

/// An event in full.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FullEvent {
    /// The event's place in the coordinator's numbering.
    pub position: EventPosition,
    /// The coordinator's own frame.
    pub frame: Vec<u8>,
}

/// All events after one position up to another. Purges of single objects come as a digest, all others in full.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Batch {
    /// The position that the first of the events follows.
    pub after: EventPosition,
    /// The last of the events; the same as `after` in a heartbeat.
    pub last: EventPosition,
    /// The single objects that were purged.
    pub purges: PurgeDigest,
    /// The other events in the order of their numbers, each above `after.number` and at most `last.number`.
    pub events: Vec<FullEvent>,
}

/// The state at a position, for a forwarder whose own position the planner does not keep any more.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last event that it covers.
    pub position: EventPosition,
    /// A frame of the coordinator's form that tells the full list of hosts, under the number of `position`.
    pub list: Vec<u8>,
    /// The single objects purged within `purges_reach_ms` before it.
    pub purges: PurgeDigest,
    /// Purges of groups within that time, in full.
    pub group_purges: Vec<FullEvent>,
    /// How far back the purges reach, in milliseconds. Purges may be missing unless that covers the time in which hosts
    /// drop by themselves what was purged.
    pub purges_reach_ms: u32,
}

/// What a planner tells a subscribed forwarder about events.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Update {
    /// Events that follow the subscriber's position.
    Batch(Batch),
    /// The state in place of all that the subscriber knows.
    Snapshot(Box<Snapshot>),
    /// The planner does not know the subscriber's position yet; it goes on from there once it does.
    Behind {
        /// The planner's own last event.
        last: EventPosition,
    },
}

/// An [`Update`] with how current its writer is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Delivery {
    /// What is delivered.
    pub update: Update,
    /// How long ago the planner heard the coordinator itself, in milliseconds; absent while it can't tell that it knows
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
    /// None: another planner sends them.
    None,
}
