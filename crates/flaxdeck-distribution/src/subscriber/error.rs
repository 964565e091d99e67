//! The reasons why a delivery is not applied.

use flaxdeck_recovery::EventPosition;

use crate::digest::InvalidDigest;
use crate::messages::{MAX_FULL_BYTES, MAX_FULL_EVENTS};

use super::PlannerNumber;

/// The reason why nothing of a delivery was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum DeliveryError {
    /// The planner that sent it is not connected.
    #[error("planner {} is not connected", .0.0)]
    NotConnected(PlannerNumber),
    /// The delivery is malformed or contradicts itself.
    #[error("invalid delivery: {0}")]
    Invalid(#[from] InvalidDelivery),
    /// The batch follows a later position than the one here, so events between the two are missing.
    #[error("the batch follows event {}, but event {} is the last one that is known", .after.number, .position.number)]
    Gap {
        /// The position that the batch follows.
        after: EventPosition,
        /// The position of the last event applied here.
        position: EventPosition,
    },
    /// The batch begins or ends at the number of the position here, with another hash.
    #[error("event {} has hash {:x} in the delivery and another one here: the numbering differs", .0.number, .0.hash)]
    OtherNumbering(EventPosition),
    /// The snapshot's planner was not asked for events, or the snapshot may be older than the state here.
    #[error("the snapshot at event {} was not requested or may be older than the state here", .0.number)]
    StaleSnapshot(EventPosition),
}

/// The reason why a delivery is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum InvalidDelivery {
    /// The purge digest cannot be decoded.
    #[error("the purges cannot be decoded: {0}")]
    Digest(#[from] InvalidDigest),
    /// It contains more full events than allowed.
    #[error("the delivery contains {0} full events, at most {MAX_FULL_EVENTS} are allowed")]
    TooManyEvents(usize),
    /// The full events and the list of hosts contain more bytes than allowed.
    #[error(
        "the delivery contains {0} bytes of full events and list, at most {MAX_FULL_BYTES} are allowed"
    )]
    TooLong(usize),
    /// A batch ends before it begins, or it begins and ends at the same number with different hashes.
    #[error("the batch has an invalid range: it follows event {after} and ends at event {last}")]
    Range {
        /// The number of the position that the batch follows.
        after: u64,
        /// The number of the position at which the batch ends.
        last: u64,
    },
    /// A batch does not contain as many events as its range has numbers.
    #[error("the batch covers {numbers} event numbers but contains {events} events")]
    Count {
        /// How many numbers the range covers.
        numbers: u64,
        /// How many events the batch contains, purges of single objects included.
        events: u64,
    },
    /// The full events are out of order or out of range, or one has the last number of a batch with another hash.
    #[error("the positions of the full events are out of order or out of range")]
    Positions,
    /// A snapshot from a planner that does not claim to have all of the coordinator's events.
    #[error("the snapshot comes from a planner that does not claim to have all events")]
    NotCurrent,
}
