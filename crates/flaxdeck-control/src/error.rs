//! Why a message between a forwarder and a planner was not taken.

use flaxdeck::Time;

use crate::messages::Epoch;
use crate::quotas::InvalidGrant;

/// Why a message was not taken.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum MessageError {
    /// It is of a run of its writer that a later one has followed.
    #[error("it is of run {epoch:?}, which a later run has followed")]
    OldEpoch {
        /// The writer's run.
        epoch: Epoch,
    },
    /// It does not come after the last one taken.
    #[error("its number {number} does not follow {last}, the last one taken")]
    OutOfOrder {
        /// The message's number.
        number: u64,
        /// The number of the last message taken from that run.
        last: u64,
    },
    /// It is meant for an earlier run of this side.
    #[error("it is meant for run {addressed:?}, and this is run {own:?}")]
    WrongRecipient {
        /// The run that it is meant for.
        addressed: Epoch,
        /// The run that received it.
        own: Epoch,
    },
    /// It says what can't be.
    #[error("it is invalid: {0}")]
    Invalid(#[from] InvalidMessage),
    /// Its writer has sent too many invalid messages lately.
    #[error("its writer is ignored until {until:?} after invalid messages")]
    SenderIgnored {
        /// When messages are taken again.
        until: Time,
    },
}

/// What is wrong with a message that says what can't be.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum InvalidMessage {
    /// No planner has that number.
    #[error("there is no planner {0}")]
    UnknownPlanner(u32),
    /// One of its lists is longer than a message may hold.
    #[error("a list of {length} entries, where {most} are allowed")]
    TooManyEntries {
        /// The length of the first such list.
        length: usize,
        /// The most that it may hold.
        most: usize,
    },
    /// It comes from one forwarder more than are kept.
    #[error("{0} forwarders are known, which is the limit")]
    TooManyForwarders(usize),
    /// It echoes a stamp from the time to come.
    #[error("it echoes {echo:?}, and it is {now:?}")]
    StampFromTheFuture {
        /// The time of the stamp.
        echo: Time,
        /// When the message came.
        now: Time,
    },
    /// The measurements or the window of a rating are out of range.
    #[error("a rating is out of range")]
    Rating,
    /// The utilization of a link is out of range.
    #[error("a link's utilization is {0}")]
    Link(f32),
    /// A grant is not one that can have been agreed on.
    #[error("a grant can't be: {0}")]
    Grant(#[from] InvalidGrant),
}

impl InvalidMessage {
    /// Checks the length of a list in a message.
    pub(crate) fn check_length(length: usize, most: usize) -> Result<(), InvalidMessage> {
        if length > most {
            return Err(InvalidMessage::TooManyEntries { length, most });
        }
        Ok(())
    }
}
