//! One client's connection: messages in, answers out, and the times within which both have to go on.
//!
//! The task that calls [`ClientConnection::next_event`] owns the connection. Whoever has to answer a request holds a
//! [`Responder`], whoever may end the connection or asks about it a [`ConnectionHandle`]; neither keeps it open. At its
//! end [`ClientConnection::close`] writes what is queued before the connection closes.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Buf;
use flaxdeck_net::budget::{Budget, MAX_SMALL_MESSAGE, Permit};
use flaxdeck_net::link::{self, Inbound, Outbound, Unread};
use flaxdeck_net::metrics::{Counter, count};
use flaxdeck_terms::Names;
use flaxdeck_wire::rpc::{self, ClientMessage, PartialRequest};
use flaxdeck_wire::{ClientRequest, Parsed};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

use super::client_answers::DeferredAnswers;
pub(crate) use super::client_answers::{DirectAnswer, Responder};
use super::message_read::{MessageRead, WaitOutcome};

/// How long a client may take nothing of what waits for it, which holds memory that others could use.
const MAX_STALL: Duration = Duration::from_secs(3);
/// How long a message may wait for memory before it is read past and rejected. An end of the connection is noticed
/// meanwhile, and nothing else of its client is open that could be cancelled behind it.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(100);
/// The same while other requests of its client are open: no attempt may begin for these 0.1 s after a cancellation,
/// which may lie behind the message; what is left of that is for the reading and for a busy machine.
const MAX_MEMORY_WAIT_BESIDE_OPEN: Duration = Duration::from_millis(40);
/// How long a complete message may take from its first byte, and the first one from the connection's start. Rejections
/// are owed within 3 s of connecting, and a connection may have waited a while to be accepted.
const MAX_MESSAGE_TIME: Duration = Duration::from_millis(2000);

/// What has happened on a client's connection.
pub(crate) enum ClientEvent {
    /// A request has come.
    Request {
        /// Its number on this connection.
        call: u32,
        /// What is requested.
        request: Box<ClientRequest>,
    },
    /// No answer is awaited any more.
    Cancel {
        /// The number of the request.
        call: u32,
    },
    /// A request has come for which there was no memory; it was read past.
    NoMemory {
        /// Its number on this connection.
        call: u32,
    },
    /// A message has come that needs no further answer.
    Answered,
    /// The connection is of no more use.
    Closed,
}

/// A client's connection, owned by the task that reads it.
pub(crate) struct ClientConnection {
    inbound: Inbound,
    outbound: Outbound,
    names: Rc<Names>,
    /// Bytes that clients' messages may hold together.
    request_bytes: Rc<Budget>,
    /// What a message holds of it that is not complete yet.
    permit: Option<Permit>,
    /// Since when a message is awaited that has to come: one that has started, or the first of all.
    awaited_since: Option<Instant>,
    has_partial: Rc<Cell<bool>>,
    /// Since when messages have found no memory; until all that has come behind the first of them is processed.
    memory_wait_since: Option<Instant>,
    /// Cloned into each responder, so that its count tells whether requests are open.
    open: Rc<()>,
    /// A request that is read past, with what is still to come of it.
    discarded: Option<PartialRequest>,
    deferred: DeferredAnswers,
}

/// What others than its owner see of a client's connection, and end it by.
pub(crate) struct ConnectionHandle {
    outbound: Outbound,
    has_partial: Rc<Cell<bool>>,
}

impl ConnectionHandle {
    /// Has the owner end the connection at its next turn; nothing more is queued for the client.
    pub(crate) fn close(&self) {
        self.outbound.close();
    }

    /// A message of the client has come in part.
    pub(crate) fn has_partial_message(&self) -> bool {
        self.has_partial.get()
    }

    /// The client has sent something that was not read yet. Costs a system call.
    pub(crate) fn has_unread(&self) -> bool {
        self.outbound.has_unread()
    }

    /// Answers that the client has not taken yet.
    pub(crate) fn pending_answers(&self) -> usize {
        self.outbound.pending_messages()
    }
}

impl ClientConnection {
    /// A connection that was accepted just now; messages hold their bytes of that budget while they are read.
    pub(crate) fn new(
        stream: TcpStream,
        names: Rc<Names>,
        request_bytes: Rc<Budget>,
    ) -> ClientConnection {
        let (inbound, outbound) = link::split(stream);
        ClientConnection {
            inbound,
            outbound,
            names,
            request_bytes,
            permit: None,
            awaited_since: Some(Instant::now()),
            has_partial: Rc::default(),
            memory_wait_since: None,
            open: Rc::new(()),
            discarded: None,
            deferred: DeferredAnswers::default(),
        }
    }

    /// Answers what no host has to be asked for, or keeps it owed while the client takes nothing.
    pub(crate) fn answer_directly(&mut self, call: u32, answer: DirectAnswer) {
        self.deferred.push(call, answer);
        self.deferred.send(&self.outbound);
    }

    /// What answers the request of that number, with the permit that it holds until the answer is written.
    pub(crate) fn responder(&self, call: u32, slot: Option<Permit>) -> Responder {
        Responder::new(self.outbound.clone(), call, slot, self.open.clone())
    }

    /// What others see of this connection, and end it by.
    pub(crate) fn handle(&self) -> ConnectionHandle {
        ConnectionHandle {
            outbound: self.outbound.clone(),
            has_partial: self.has_partial.clone(),
        }
    }

    /// Ends the connection; see [`link::close_gracefully`].
    pub(crate) async fn close(mut self, within: Duration) {
        self.outbound.close();
        link::close_gracefully(&mut self.inbound, &self.outbound, within).await;
    }

    /// Something has come that is not processed yet: bytes that are read, or the end of the connection; behind a message
    /// that waited for memory also bytes that are not. The end is looked for at the system, which need not have told of
    /// it yet where this process could not run for a while.
    pub(crate) fn has_unprocessed(&self) -> bool {
        self.has_unparsed()
            || match self.outbound.unread() {
                Unread::Nothing => false,
                Unread::Bytes => self.memory_wait_since.is_some(),
                Unread::End => true,
            }
    }

    fn has_unparsed(&self) -> bool {
        !self.inbound.bytes.is_empty()
    }

    /// The client has ended its connection, though not all that it sent before may be processed.
    pub(crate) fn is_peer_closed(&self) -> bool {
        self.outbound.is_peer_closed()
    }

    /// Waits for what the client sends next; meanwhile answers are written.
    pub(crate) async fn next_event(&mut self) -> ClientEvent {
        loop {
            self.deferred.send(&self.outbound);
            if self.outbound.is_closed() {
                return ClientEvent::Closed;
            }
            if self.deferred.is_flood() {
                count(Counter::clients_flooding);
                return ClientEvent::Closed;
            }
            let missing = match self.process_buffer() {
                Parsed::Complete(event) => return event,
                Parsed::Incomplete(missing) => missing,
            };
            self.inbound.release_buffer();
            self.note_partial();
            match self.wait(missing).await {
                WaitOutcome::Progress => {}
                WaitOutcome::Closed => return ClientEvent::Closed,
                WaitOutcome::NoMemory if self.begin_discarding() => {}
                WaitOutcome::NoMemory => return ClientEvent::Closed,
            }
        }
    }

    /// What the bytes that were read amount to.
    fn process_buffer(&mut self) -> Parsed<ClientEvent> {
        if let Some(request) = self.discarded {
            return self.discard(request);
        }
        match rpc::parse(&mut self.inbound.bytes, &self.names) {
            Ok(Parsed::Complete(message)) => {
                self.awaited_since = None;
                self.permit = None;
                Parsed::Complete(self.process_message(message))
            }
            Ok(Parsed::Incomplete(missing)) => Parsed::Incomplete(missing),
            Err(malformed) => {
                count(Counter::clients_malformed);
                log::debug!("a client's connection is closed: {malformed}");
                Parsed::Complete(ClientEvent::Closed)
            }
        }
    }

    fn process_message(&mut self, message: ClientMessage) -> ClientEvent {
        match message {
            ClientMessage::Request { call, request } => {
                return ClientEvent::Request { call, request };
            }
            ClientMessage::Cancel { call } => return ClientEvent::Cancel { call },
            ClientMessage::Alive { call } => self.answer_directly(call, DirectAnswer::Alive),
            ClientMessage::Invalid { call, reason } => {
                count(Counter::requests_invalid);
                log::debug!("a client's request is invalid: {reason}");
                self.answer_directly(call, DirectAnswer::Invalid(reason));
            }
            ClientMessage::Ignored => {}
        }
        ClientEvent::Answered
    }

    /// Drops what has come of a request that found no memory.
    fn discard(&mut self, request: PartialRequest) -> Parsed<ClientEvent> {
        let PartialRequest { call, missing } = request;
        let here = missing.min(self.inbound.bytes.len());
        self.inbound.bytes.advance(here);
        let missing = missing - here;
        if missing == 0 {
            self.discarded = None;
            self.awaited_since = None;
            return Parsed::Complete(ClientEvent::NoMemory { call });
        }
        self.discarded = Some(PartialRequest { call, missing });
        Parsed::Incomplete(missing.min(MAX_SMALL_MESSAGE))
    }

    /// Has the request that found no memory read past; false if what found none is no request.
    fn begin_discarding(&mut self) -> bool {
        self.discarded = rpc::partial_request(&self.inbound.bytes);
        if self.discarded.is_none() {
            count(Counter::clients_malformed);
            log::debug!("a client's connection is closed: no memory for what is no request");
            return false;
        }
        self.inbound.bytes.clear();
        true
    }

    /// Notes whether a message has come in part, from which on the rest of it has to come in time.
    fn note_partial(&mut self) {
        let has_partial = self.has_unparsed() || self.discarded.is_some();
        self.has_partial.set(has_partial);
        if has_partial {
            self.awaited_since.get_or_insert_with(Instant::now);
        } else if self.memory_wait_since.is_some() && !self.outbound.has_unread() {
            self.memory_wait_since = None;
        }
    }

    /// Waits until something is read or written, at most as long as the client may take.
    async fn wait(&mut self, missing: usize) -> WaitOutcome {
        let has_pending = self.outbound.has_pending();
        let message_bytes = if self.discarded.is_some() {
            missing
        } else {
            self.inbound.bytes.len() + missing
        };
        let memory_by = self.memory_deadline(message_bytes);
        let message_by = self.awaited_since.map(|since| since + MAX_MESSAGE_TIME);
        // Counts from when something began to wait: a connection may have been up for long by then.
        let stalled_at = self.outbound.stalled_since().map(|since| since + MAX_STALL);
        let read = MessageRead {
            inbound: &mut self.inbound,
            outbound: &self.outbound,
            request_bytes: &self.request_bytes,
            permit: &mut self.permit,
            message_bytes,
            missing,
            memory_by,
        };
        tokio::select! {
            outcome = read.run() => outcome,
            () = sleep_until_some(message_by), if message_by.is_some() => {
                count(Counter::clients_not_whole);
                WaitOutcome::Closed
            }
            written = self.outbound.write_some(), if has_pending => {
                if written.is_ok() { WaitOutcome::Progress } else { WaitOutcome::Closed }
            }
            () = sleep_until_some(stalled_at), if stalled_at.is_some() => {
                count(Counter::clients_stalled);
                WaitOutcome::Closed
            }
            () = self.outbound.notified() => WaitOutcome::Progress,
        }
    }

    /// Acquires the memory of a message if it is free at once; else by when it has to be.
    fn memory_deadline(&mut self, message_bytes: usize) -> Option<Instant> {
        if message_bytes <= MAX_SMALL_MESSAGE || self.permit.is_some() {
            return None;
        }
        self.permit = self.request_bytes.try_acquire_many(message_bytes);
        if self.permit.is_some() {
            return None;
        }
        let has_open = Rc::strong_count(&self.open) > 1;
        let patience = if has_open {
            MAX_MEMORY_WAIT_BESIDE_OPEN
        } else {
            MAX_MEMORY_WAIT
        };
        let wait_since = *self.memory_wait_since.get_or_insert_with(Instant::now);
        Some(wait_since + patience)
    }
}

/// Waits until that time; for a branch that is off without one.
async fn sleep_until_some(time: Option<Instant>) {
    sleep_until(time.unwrap_or_else(Instant::now)).await;
}
