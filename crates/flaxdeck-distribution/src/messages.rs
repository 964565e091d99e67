//! Messages about events between a forwarder (subscriber) and a planner (publisher). They are sent over the
//! authenticated connection between the two, which also carries reports and guidance.
//!
//! They are encoded with `postcard`, by position: fields, variants and their order are part of the protocol.

use flaxdeck_recovery::EventPosition;
use serde::{Deserialize, Serialize};

/// The maximum number of purges of single objects in one [`Batch`] or [`Snapshot`]: over twelve seconds at 330 purges a
/// second.
pub const MAX_PURGES: u32 = 4_096;
/// The maximum number of full events in one [`Batch`].
pub const MAX_FULL_EVENTS: usize = 256;
/// The maximum number of bytes of full events and of the list of hosts in one message: enough for a full list of some
/// 10,000 hosts.
pub const MAX_FULL_BYTES: usize = 288 * 1024;

/// Purges of single objects: sorted fingerprints, encoded as the differences between neighbours.
///
/// Errors are one-sided: an object that was purged always matches. An object that was not purged matches only by a hash
/// collision, and then its copy is fetched again without need.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PurgeDigest {
    /// Number of fingerprints, duplicates included.
    pub count: u32,
    /// Number of low bits of each difference that are written unencoded (the Rice parameter), 0 to 32.
    pub low_bits: u8,
    /// The Rice-coded differences.
    pub bytes: Vec<u8>,
}

/// An event with the coordinator's complete frame.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FullEvent {
    /// The event's position in the coordinator's numbering.
    pub position: EventPosition,
    /// The frame as the coordinator sent it.
    pub frame: Vec<u8>,
}

/// All events after one position up to another. Purges of single objects are sent as a digest, all other events in
/// full.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Batch {
    /// The position that the first event follows.
    pub after: EventPosition,
    /// The position of the last event; equal to `after` in a heartbeat.
    pub last: EventPosition,
    /// The purges of single objects.
    pub purges: PurgeDigest,
    /// The other events in the order of their numbers, each above `after.number` and at most `last.number`.
    pub events: Vec<FullEvent>,
}

/// The state at a position, for a forwarder whose own position the planner no longer retains.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// The position of the last event that the snapshot includes.
    pub position: EventPosition,
    /// The full list of hosts as a frame in the coordinator's format, numbered like `position`.
    pub list: Vec<u8>,
    /// Purges of single objects within the `purges_reach_ms` before the snapshot.
    pub purges: PurgeDigest,
    /// Purges of groups within the same period, in full.
    pub group_purges: Vec<FullEvent>,
    /// How far back the purges are complete, in milliseconds. If this is shorter than the time within which hosts drop
    /// purged copies themselves, purges that still matter may be missing.
    pub purges_reach_ms: u32,
}

/// What a planner sends to a subscribed forwarder about events.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Update {
    /// Events that follow the subscriber's position.
    Batch(Batch),
    /// The complete state, which replaces all that the subscriber has.
    Snapshot(Box<Snapshot>),
    /// The planner cannot serve the subscriber's position yet: the position is ahead of its own last event, or a
    /// snapshot is needed and the planner does not know that it has all events. It continues once it can.
    Behind {
        /// The position of the planner's own last event.
        last: EventPosition,
    },
}

/// An [`Update`] with the age of the planner's knowledge.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Delivery {
    /// The update itself.
    pub update: Update,
    /// With a batch: how long ago the planner certainly had all of the coordinator's events, by a heartbeat of the
    /// coordinator, in milliseconds; [`u32::MAX`] if that is not known of any time. With a snapshot: how long ago the
    /// planner last heard the coordinator, as the list in it replaces an older one, but does not show that no event is
    /// missing. Absent if the planner does not seem to have all of the coordinator's events, or if the subscriber does
    /// not have all of the planner's after this update.
    pub coordinator_ago_ms: Option<u32>,
}

/// A forwarder's request to a planner to send events, or to stop sending them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Subscription {
    /// Send all events after this position.
    After(EventPosition),
    /// Send a snapshot first: the forwarder has no position from which a planner could continue.
    FromSnapshot,
    /// Send nothing: another planner delivers the events.
    None,
}
