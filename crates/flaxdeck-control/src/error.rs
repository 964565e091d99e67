//! Why messages between forwarders and planners are rejected.

use flaxdeck::Time;

use crate::messages::Epoch;
use crate::quotas::InvalidGrant;

/// Why a message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum MessageError {
    /// A later run of the sender is already known.
    #[error("message is from run {epoch:?} of its sender, but a later run is known")]
    OldEpoch {
        /// The run that sent the message.
        epoch: Epoch,
    },
    /// Its number is not higher than that of the last accepted message.
    #[error("message number {number} does not follow {last}, the last number accepted")]
    OutOfOrder {
        /// The message's number.
        number: u64,
        /// The number of the last message accepted from that run.
        last: u64,
    },
    /// It is addressed to another run of the receiver, usually an earlier one.
    #[error("message is addressed to run {addressed:?}, but this is run {own:?}")]
    WrongRecipient {
        /// The run that the message is addressed to.
        addressed: Epoch,
        /// The run that received it.
        own: Epoch,
    },
    /// Its content is invalid.
    #[error("invalid message: {0}")]
    Invalid(#[from] InvalidMessage),
    /// Its sender is ignored for a while because it sent too many invalid messages.
    #[error("sender is ignored until {until:?} because of invalid messages")]
    SenderIgnored {
        /// When messages of the sender are accepted again.
        until: Time,
    },
}

/// Why the content of a message is invalid.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum InvalidMessage {
    /// The configuration has no planner of that index.
    #[error("the configuration has no planner with index {0}")]
    UnknownPlanner(u32),
    /// One of its lists is longer than allowed.
    #[error("a list has {length} entries, at most {most} are allowed")]
    TooManyEntries {
        /// The length of the first such list.
        length: usize,
        /// The maximum number of entries in it.
        most: usize,
    },
    /// It comes from a new forwarder, and the planner already tracks the maximum number of forwarders.
    #[error(
        "report of a new forwarder, but {0} forwarders are tracked already, the maximum number"
    )]
    TooManyForwarders(usize),
    /// It echoes a stamp that lies in the future.
    #[error("echoed stamp {echo:?} is later than the current time {now:?}")]
    StampFromTheFuture {
        /// The time of the stamp.
        echo: Time,
        /// When the message was received.
        now: Time,
    },
    /// The measurements or the window of a rating are out of range.
    #[error("the measurements or the window of a rating are out of range")]
    Rating,
    /// The utilization of a link is out of range.
    #[error("link utilization {0} is out of range")]
    Link(f32),
    /// A grant exceeds the bounds of the lease terms.
    #[error("invalid grant: {0}")]
    Grant(#[from] InvalidGrant),
}

impl InvalidMessage {
    /// Returns an error if a list in a message is longer than `most`.
    pub(crate) fn check_length(length: usize, most: usize) -> Result<(), InvalidMessage> {
        if length > most {
            return Err(InvalidMessage::TooManyEntries { length, most });
        }
        Ok(())
    }
}
