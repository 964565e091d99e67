//! Positions in the coordinator's numbering, and the actions that a received event can require.

use flaxdeck::Time;
use serde::{Deserialize, Serialize};

/// Identifies an event by its number and a hash of its content; both are zero before the first event.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct EventPosition {
    /// Number of the event.
    pub number: u64,
    /// Hash of the event's content.
    pub hash: u64,
}

impl EventPosition {
    /// The position before the first event.
    pub const NONE: EventPosition = EventPosition { number: 0, hash: 0 };
}

/// An empty frame of the coordinator, which says that it has nothing new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The number in the frame, that of an event.
    pub number: u64,
    /// When the frame was sent at the earliest, which may be long before it was read.
    pub sent: Time,
}

/// A period in which events may have been missed: from `since` until the full list that replaces the known state is
/// applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MissedPeriod {
    /// When the instance last received an event or a heartbeat of the previous numbering; none if it never did.
    pub since: Option<Time>,
    /// A heartbeat on the last proven connection showed that all events were known, and the connection neither timed
    /// out nor was paused on this side, so it delivered all events until it closed.
    pub closed_cleanly: bool,
}

/// What the caller has to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventAction {
    /// Apply the event: it follows the last known one.
    Apply,
    /// Ignore the event: it is already known.
    Skip,
    /// Replace the known state by the event's full list. Holds the period in which events may have been missed; none if
    /// only the configuration was known.
    Replace(Option<MissedPeriod>),
    /// Close the connection and request events again, as the event can't follow the known ones.
    Reconnect(ReconnectReason),
}

/// Why a connection is closed and events are requested again. The names of the variants appear in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReconnectReason {
    /// The coordinator sent an event that differs from the known one of the same number.
    OtherEvent,
    /// Events are missing between the last known event and the received one.
    Gap,
    /// The coordinator sent nothing where a known event was expected.
    Nothing,
    /// The coordinator sent changes where the full list was expected.
    NoList,
}
