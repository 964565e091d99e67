//! Positions in the coordinator's numbering, and what to do with an event.

use flaxdeck::Time;
use serde::{Deserialize, Serialize};

/// An event by its number and a hash of what it tells; both are zero before the first event.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct EventPosition {
    /// The event's number.
    pub number: u64,
    /// The hash of what it tells.
    pub hash: u64,
}

impl EventPosition {
    /// Before the first event.
    pub const NONE: EventPosition = EventPosition { number: 0, hash: 0 };
}

/// A time in which events may have been missed: from `since` until the list that replaces what was known is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MissedPeriod {
    /// When all events of the old numbering were last known; none if they never were.
    pub since: Option<Time>,
    /// The last connection was closed by the other side after all that it had to tell, so that nothing from before is
    /// missing.
    pub closed_cleanly: bool,
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventAction {
    /// It follows what is known.
    Apply,
    /// It is known already.
    Skip,
    /// It is a full list, in place of all that is known. Events may have been missed if more than a file was known.
    Replace(Option<MissedPeriod>),
    /// It can't follow: close the connection and ask again.
    Reconnect(ReconnectReason),
}

/// Why a connection is closed and events are asked for again. The names stand in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReconnectReason {
    /// Another event has the number of one that is known.
    OtherEvent,
    /// Something is missing in between.
    Gap,
    /// The coordinator has nothing where the last known event should be.
    Nothing,
    /// Changes came where the full list should be.
    NoList,
}
