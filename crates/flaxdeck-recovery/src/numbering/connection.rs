//! What is known of the connection to the coordinator.

use flaxdeck::Time;

use super::EventPosition;

/// The connection to the coordinator.
pub(super) struct Connection {
    /// The number that events were asked after.
    pub(super) asked: u64,
    pub(super) is_proven: bool,
    /// When something last came on it.
    pub(super) last_heard: Time,
    /// Nothing that follows has come on it yet.
    pub(super) is_new: bool,
}

/// Events of peers that the coordinator's connection has not brought yet.
#[derive(Clone, Copy)]
pub(super) struct AwaitedEvents {
    pub(super) first: u64,
    pub(super) since: Time,
}

impl AwaitedEvents {
    pub(super) fn after(position: EventPosition, now: Time) -> AwaitedEvents {
        AwaitedEvents {
            first: position.number + 1,
            since: now,
        }
    }
}
