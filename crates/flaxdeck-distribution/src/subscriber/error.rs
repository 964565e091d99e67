//! Why a delivery was not applied.

use flaxdeck_recovery::EventPosition;

use crate::digest::InvalidDigest;
use crate::messages::{MAX_FULL_BYTES, MAX_FULL_EVENTS};

use super::PlannerNumber;

/// Why nothing of a delivery was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum DeliveryError {
    /// Its planner is not connected.
    #[error("planner {} is not connected", .0.0)]
    NotConnected(PlannerNumber),
    /// It says what can't be.
    #[error("the delivery is invalid")]
    Invalid(#[from] InvalidDelivery),
    /// It follows a later position than the one here.
    #[error("it follows event {}, and {} is known", .after.number, .position.number)]
    Gap {
        /// The position that it follows.
        after: EventPosition,
        /// The position here.
        position: EventPosition,
    },
    /// Another event has the number of the one here.
    #[error("another event has number {}", .0.number)]
    OtherNumbering(EventPosition),
    /// A snapshot that nobody wants, or that may be older than what is known.
    #[error("the snapshot at event {} may be older than what is known", .0.number)]
    StaleSnapshot(EventPosition),
}

/// What is wrong with a delivery that says what can't be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum InvalidDelivery {
    /// Its digest can't be decoded.
    #[error("its purge digest can't be decoded")]
    Digest(#[from] InvalidDigest),
    /// It holds more events in full than a message may.
    #[error("{0} events in full, where {MAX_FULL_EVENTS} are allowed")]
    TooManyEvents(usize),
    /// It holds more bytes of events in full than a message may.
    #[error("{0} bytes in full, where {MAX_FULL_BYTES} are allowed")]
    TooLong(usize),
    /// Its end is before its beginning, or another event with the same number.
    #[error("it ends at event {last}, and begins after {after}")]
    Range {
        /// The number that it begins after.
        after: u64,
        /// The number that it ends at.
        last: u64,
    },
    /// It does not hold as many events as it has numbers.
    #[error("it covers {numbers} numbers with {events} events")]
    Count {
        /// The numbers that it covers.
        numbers: u64,
        /// The events that it holds.
        events: u64,
    },
    /// Its events are out of order, out of its range, or do not end with its end.
    #[error("the positions of its events are out of order or out of its range")]
    Positions,
    /// A snapshot of a planner that does not claim to know all.
    #[error("a snapshot of a planner that does not know all")]
    NotCurrent,
}
