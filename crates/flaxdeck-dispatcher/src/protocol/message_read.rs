//! Reads the rest of a client's message, within the memory budget for messages.

use flaxdeck_net::budget::{Budget, Permit};
use flaxdeck_net::link::{Inbound, Outbound};
use tokio::time::{Instant, sleep_until};

/// How a wait for a client ended.
pub(super) enum WaitOutcome {
    /// Something was read or written, or there is something new to write.
    Progress,
    /// No memory became free for the message in time.
    NoMemory,
    /// The connection can't be used any more.
    Closed,
}

/// A read of the rest of a message, which starts once there is memory for the whole message.
pub(super) struct MessageRead<'a> {
    pub(super) inbound: &'a mut Inbound,
    pub(super) outbound: &'a Outbound,
    pub(super) request_bytes: &'a Budget,
    pub(super) permit: &'a mut Option<Permit>,
    /// The size of the message in bytes, as far as it is known.
    pub(super) message_bytes: usize,
    /// The number of its bytes that are still to be received.
    pub(super) missing: usize,
    /// Until when the message may wait for memory; none if it has its memory or needs none.
    pub(super) memory_by: Option<Instant>,
}

impl MessageRead<'_> {
    /// Waits for memory, unless the message needs none, and reads once.
    pub(super) async fn run(self) -> WaitOutcome {
        if let Some(by) = self.memory_by {
            tokio::select! {
                biased;
                () = self.request_bytes.reserve_for_message(self.message_bytes, self.permit) => {}
                () = self.outbound.peer_closed() => return WaitOutcome::Closed,
                () = sleep_until(by) => return WaitOutcome::NoMemory,
            }
        }
        match self.inbound.read_more(self.missing).await {
            Ok(true) => WaitOutcome::Progress,
            _ => WaitOutcome::Closed,
        }
    }
}
