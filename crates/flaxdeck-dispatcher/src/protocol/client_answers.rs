//! Answers to a client: one for each request, and those that no host has a part in.

use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;
use flaxdeck::Span;
use flaxdeck_net::budget::Permit;
use flaxdeck_net::link::Outbound;
use flaxdeck_wire::{Answer, InvalidRequest, rpc};

/// Answers queued for a client past which it is owed further ones by their numbers alone: twice what it may have open.
const MAX_QUEUED: usize = 64;
/// Answers owed to a client that takes none at which its connection is ended: far past what it may have open.
const MAX_DEFERRED: usize = 1024;

/// The one answer that a request gets; it can be sent once only. Dropped, it sends none.
pub(crate) struct Responder {
    outbound: Outbound,
    call: u32,
    slot: Option<Permit>,
    /// Counts with the connection's open requests.
    _open: Rc<()>,
}

impl Responder {
    /// What answers the request of that number, with the permit that it holds until the answer is written.
    pub(super) fn new(
        outbound: Outbound,
        call: u32,
        slot: Option<Permit>,
        open: Rc<()>,
    ) -> Responder {
        Responder {
            outbound,
            call,
            slot,
            _open: open,
        }
    }

    /// Sends the answer, with the permit for its bytes, held until it is written.
    pub(crate) fn send(self, answer: Answer, permit: Option<Permit>) {
        let pieces = rpc::encode_answer(self.call, answer);
        self.outbound.send(pieces, [self.slot, permit]);
    }
}

/// An answer that no host has a part in.
pub(crate) enum DirectAnswer {
    /// This dispatcher is up.
    Alive,
    /// Rejected, with the time after which to try again.
    Rejected(Option<Span>),
    /// Failed: the request can't be told from another.
    Failed,
    /// The request can't be acted upon.
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

/// Direct answers owed to a client that takes none, beside what is queued for it.
// Guards against a flood whose answers lie unread: what a client sends is read on all the same, for it may leave.
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

    /// Queues what the client's connection may hold.
    pub(super) fn send(&mut self, outbound: &Outbound) {
        while outbound.pending_messages() < MAX_QUEUED {
            let Some(DeferredAnswer { call, answer }) = self.0.pop_front() else {
                return;
            };
            outbound.send([answer.encode(call)], [None, None]);
        }
    }

    /// Whether more is owed than a client could ever await.
    pub(super) fn is_flood(&self) -> bool {
        self.0.len() > MAX_DEFERRED
    }
}
