//! State of the connection to the coordinator.

use flaxdeck::Time;

use super::EventPosition;

/// The connection to the coordinator.
pub(super) struct Connection {
    /// Number after which events were requested; zero if all were requested.
    pub(super) requested_after: u64,
    pub(super) is_proven: bool,
    /// When a frame was last received, or the connection was opened.
    pub(super) last_received: Time,
    /// No event that follows the last known one has been received yet.
    pub(super) is_new: bool,
    /// A heartbeat has shown that all events were known.
    pub(super) is_live: bool,
}

/// Events relayed by peers that the coordinator still has to send on its connection.
#[derive(Clone, Copy)]
pub(super) struct AwaitedEvents {
    /// Number of the first such event.
    pub(super) first: u64,
    /// When the wait for it began.
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
