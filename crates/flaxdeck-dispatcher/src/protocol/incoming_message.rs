//! The message that a client is sending: since when it is due, which memory it holds, and whether its bytes are
//! discarded as there is no memory for it.

use std::time::Duration;

use bytes::{Buf, BytesMut};
use flaxdeck_net::budget::{Budget, MAX_SMALL_MESSAGE, Permit};
use flaxdeck_wire::Parsed;
use flaxdeck_wire::rpc::{self, PartialRequest};
use tokio::time::Instant;

use super::time_limit::TimeLimit;

/// How long a message may wait for memory before it is discarded and rejected. That delays no
/// cancellation: the end of the connection is noticed meanwhile, and the client has no other request open that a later
/// message could cancel.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(100);
/// The same while other requests of the client are open. The message may be followed by a cancellation of one of
/// them, 0.1 s after which no attempt may start any more. The rest of the 0.1 s is for reading and for a busy machine.
const MAX_MEMORY_WAIT_WITH_OPEN_REQUESTS: Duration = Duration::from_millis(40);
/// How long a message may take from its first byte to its last, and the first message from the start of the connection.
/// Rejections are due within 3 s of connecting, and a connection may have waited a while to be accepted. While an answer
/// is owed on the connection the message may take longer, but it gives up its memory if others need it.
const MAX_MESSAGE_TIME: Duration = Duration::from_millis(2000);

/// The state of the message that is received next.
pub(super) struct IncomingMessage {
    /// Since when it is due: an incomplete one since its first byte, the first one since the connection started.
    due_since: Option<Instant>,
    /// The memory that it holds while it is incomplete.
    permit: Option<Permit>,
    /// When a message first found no memory; cleared once everything received behind that message is processed.
    memory_wait_since: Option<Instant>,
    /// The request that is being discarded, with the number of bytes that are still to be received.
    discarded: Option<PartialRequest>,
}

impl IncomingMessage {
    /// Awaits the first message of a connection that starts now.
    pub(super) fn first() -> IncomingMessage {
        IncomingMessage {
            due_since: Some(Instant::now()),
            permit: None,
            memory_wait_since: None,
            discarded: None,
        }
    }

    /// Notes that it was received completely; the next one is due from its first byte on.
    pub(super) fn complete(&mut self) {
        self.due_since = None;
        self.permit = None;
    }

    /// Notes that a part of it was received.
    pub(super) fn begin(&mut self) {
        self.due_since.get_or_insert_with(Instant::now);
    }

    /// Returns the limit on its time, on a connection that owes an answer until `owed_until`; none if it is not due.
    pub(super) fn time_limit(&self, owed_until: Option<Instant>) -> Option<TimeLimit> {
        self.due_since
            .map(|since| TimeLimit::new(since + MAX_MESSAGE_TIME, owed_until))
    }

    /// Whether its bytes are being discarded.
    pub(super) fn is_discarded(&self) -> bool {
        self.discarded.is_some()
    }

    /// Starts to discard it. Returns false if it is not a request of which only a part of the body is missing.
    pub(super) fn begin_discarding(&mut self, received: &mut BytesMut) -> bool {
        self.discarded = rpc::partial_request(received);
        if self.discarded.is_none() {
            return false;
        }
        received.clear();
        self.permit = None;
        true
    }

    /// Drops the received bytes of a request that is being discarded. Returns its call number once it is complete, or
    /// how many bytes to read next; `None` if no request is being discarded.
    pub(super) fn discard(&mut self, received: &mut BytesMut) -> Option<Parsed<u32>> {
        let PartialRequest { call, missing } = self.discarded?;
        let dropped = missing.min(received.len());
        received.advance(dropped);
        let missing = missing - dropped;
        if missing == 0 {
            self.discarded = None;
            self.due_since = None;
            return Some(Parsed::Complete(call));
        }
        self.discarded = Some(PartialRequest { call, missing });
        Some(Parsed::Incomplete(missing.min(MAX_SMALL_MESSAGE)))
    }

    /// Whether it holds memory that others may need.
    pub(super) fn holds_memory(&self) -> bool {
        self.permit.is_some()
    }

    /// Returns where its permit is put once there is memory for it.
    pub(super) fn permit(&mut self) -> &mut Option<Permit> {
        &mut self.permit
    }

    /// Acquires its memory if that is free now; otherwise returns until when it may wait for it.
    pub(super) fn memory_deadline(
        &mut self,
        message_bytes: usize,
        budget: &Budget,
        has_open_requests: bool,
    ) -> Option<Instant> {
        if message_bytes <= MAX_SMALL_MESSAGE || self.permit.is_some() {
            return None;
        }
        self.permit = budget.try_acquire_many(message_bytes);
        if self.permit.is_some() {
            return None;
        }
        let max_wait = if has_open_requests {
            MAX_MEMORY_WAIT_WITH_OPEN_REQUESTS
        } else {
            MAX_MEMORY_WAIT
        };
        let wait_since = *self.memory_wait_since.get_or_insert_with(Instant::now);
        Some(wait_since + max_wait)
    }

    /// Whether a message found no memory, and what was received behind it may not be processed yet.
    pub(super) fn has_waited_for_memory(&self) -> bool {
        self.memory_wait_since.is_some()
    }

    /// Notes that everything received is processed.
    pub(super) fn clear_memory_wait(&mut self) {
        self.memory_wait_since = None;
    }
}
