//! Answers to a client: the single answer to each request, and direct answers that involve no host.

use std::collections::VecDeque;

use bytes::Bytes;
use flaxdeck::Span;
use flaxdeck_net::budget::Permit;
use flaxdeck_net::link::Outbound;
use flaxdeck_wire::{Answer, InvalidRequest, rpc};

use super::open_requests::OpenRequest;

/// While this many answers are queued for a client, further direct answers are deferred and not encoded yet. Twice the
/// number of requests that a client may have open.
const MAX_QUEUED: usize = 64;
/// The most direct answers that are deferred before the client's connection is closed. Far more than the number of
/// requests that a client may have open.
const MAX_DEFERRED: usize = 1024;

/// Sends the answer to one request. Sending consumes it, so that a request is answered at most once; dropping it sends
/// nothing.
pub(crate) struct Responder {
    outbound: Outbound,
    call: u32,
    slot: Option<Permit>,
    _open: OpenRequest,
}

impl Responder {
    /// Creates the responder to the request with that call number. `slot` is the request's permit, held until the
    /// answer is written.
    pub(super) fn new(
        outbound: Outbound,
        call: u32,
        slot: Option<Permit>,
        open: OpenRequest,
    ) -> Responder {
        Responder {
            outbound,
            call,
            slot,
            _open: open,
        }
    }

    /// Sends the answer. `permit` is the permit for its bytes, held until they are written or the answer is replaced by
    /// a failure as the client does not read.
    pub(crate) fn send(self, answer: Answer, permit: Option<Permit>) {
        let pieces = rpc::encode_answer(self.call, answer);
        let substitute = rpc::encode_failed(self.call);
        self.outbound
            .send_replaceable(pieces, [self.slot, permit], substitute);
    }
}

/// An answer that involves no host.
pub(crate) enum DirectAnswer {
    /// This dispatcher is alive.
    Alive,
    /// The request is rejected, with the time after which the client may retry, if one is named.
    Rejected(Option<Span>),
    /// The request has failed, because its id is that of another open request.
    Failed,
    /// The request is invalid.
    Invalid(InvalidRequest),
}

impl DirectAnswer {
    fn encode(self, call: u32) -> Bytes {
        match self {
            DirectAnswer::Alive => rpc::encode_alive(call),
            DirectAnswer::Rejected(retry_after) => rpc::encode_rejected(call, retry_after),
            DirectAnswer::Failed => rpc::encode_failed(call),
            DirectAnswer::Invalid(reason) => rpc::encode_error(call, &reason.to_string(), None),
        }
    }
}

/// Direct answers that wait until the client has read some of what is queued for it.
// Bounds the memory for a client that floods the connection and reads no answers. Its input is read all the same, as it
// may contain a cancellation or the end of the connection.
#[derive(Default)]
pub(super) struct DeferredAnswers(VecDeque<DeferredAnswer>);

struct DeferredAnswer {
    call: u32,
    answer: DirectAnswer,
}

impl DeferredAnswers {
    pub(super) fn push(&mut self, call: u32, answer: DirectAnswer) {
        self.0.push_back(DeferredAnswer { call, answer });
    }

    /// Queues deferred answers while fewer than [`MAX_QUEUED`] messages are queued.
    pub(super) fn send(&mut self, outbound: &Outbound) {
        while outbound.pending_messages() < MAX_QUEUED {
            let Some(DeferredAnswer { call, answer }) = self.0.pop_front() else {
                return;
            };
            outbound.send([answer.encode(call)], [None, None]);
        }
    }

    /// Whether more answers are deferred than any client within the protocol's limits can wait for.
    pub(super) fn is_flood(&self) -> bool {
        self.0.len() > MAX_DEFERRED
    }
}
