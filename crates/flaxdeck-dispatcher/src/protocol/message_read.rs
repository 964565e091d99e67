//! The read of the rest of a client's message, within the memory that messages may hold.

use flaxdeck_net::budget::{Budget, Permit};
use flaxdeck_net::link::{Inbound, Outbound};
use tokio::time::{Instant, sleep_until};

/// How a wait for a client ended.
pub(super) enum WaitOutcome {
    /// Something was read or written, or is to be.
    Progress,
    /// The message found no memory in time.
    NoMemory,
    /// The connection is of no more use.
    Closed,
}

/// A read of the rest of a message, once there is memory for all of it.
pub(super) struct MessageRead<'a> {
    pub(super) inbound: &'a mut Inbound,
    pub(super) outbound: &'a Outbound,
    pub(super) request_bytes: &'a Budget,
    pub(super) permit: &'a mut Option<Permit>,
    /// Bytes of the message, as far as they are known to come.
    pub(super) message_bytes: usize,
    /// Bytes of it that have not come.
    pub(super) missing: usize,
    /// Until when the message may wait for memory; none if it has it.
    pub(super) memory_by: Option<Instant>,
}

impl MessageRead<'_> {
    /// Waits for memory and reads.
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
