//! One client's connection: reads messages, writes answers, and enforces the time limits on both.
//!
//! The task that calls [`ClientConnection::next_event`] owns the connection. Code that answers a request holds a
//! [`Responder`], and code that observes or closes the connection a [`ConnectionHandle`]; neither keeps it open. At the
//! end [`ClientConnection::close`] writes the queued answers before the connection is closed.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use flaxdeck_net::budget::{Budget, Permit};
use flaxdeck_net::link::{self, Inbound, Outbound, Unread};
use flaxdeck_net::metrics::{Counter, count, count_by};
use flaxdeck_terms::Names;
use flaxdeck_wire::rpc::{self, ClientMessage};
use flaxdeck_wire::{ClientRequest, Parsed};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::client_answers::DeferredAnswers;
pub(crate) use super::client_answers::{DirectAnswer, Responder};
use super::incoming_message::IncomingMessage;
use super::message_read::{MessageRead, WaitOutcome};
use super::open_requests::OpenRequests;
use super::time_limit::TimeLimit;

/// How long a client may read nothing while answers wait for it, as they hold memory that others could use. After that
/// the answers that have not begun are replaced by failures, and the connection ends once no answer is owed on it.
const MAX_STALL: Duration = Duration::from_secs(3);

/// An event on a client's connection.
pub(crate) enum ClientEvent {
    /// A request was received.
    Request {
        /// Its call number on this connection.
        call: u32,
        /// The request.
        request: Box<ClientRequest>,
    },
    /// The client has cancelled a request.
    Cancel {
        /// The call number of the request.
        call: u32,
    },
    /// A request was received for which there was no memory; its bytes were discarded.
    NoMemory {
        /// Its call number on this connection.
        call: u32,
    },
    /// A message was received that is answered already, or that needs no answer.
    Answered,
    /// The connection can't be used any more.
    Closed,
}

/// A client's connection, owned by the task that reads it.
pub(crate) struct ClientConnection {
    inbound: Inbound,
    outbound: Outbound,
    names: Rc<Names>,
    /// The memory budget of all clients' messages, in bytes.
    request_bytes: Rc<Budget>,
    message: IncomingMessage,
    /// Whether a message was received in part.
    has_partial: Rc<Cell<bool>>,
    open: Rc<OpenRequests>,
    /// The longest time that a client waits for an answer.
    longest_wait: Duration,
    deferred: DeferredAnswers,
}

/// Observes and closes a client's connection without owning it.
pub(crate) struct ConnectionHandle {
    outbound: Outbound,
    has_partial: Rc<Cell<bool>>,
}

impl ConnectionHandle {
    /// Has the owner close the connection when its task runs next; nothing more is queued for the client.
    pub(crate) fn close(&self) {
        self.outbound.close();
    }

    /// Whether a message of the client was received in part.
    pub(crate) fn has_partial_message(&self) -> bool {
        self.has_partial.get()
    }

    /// Whether bytes have been received that were not read yet. Costs a system call.
    pub(crate) fn has_unread(&self) -> bool {
        self.outbound.has_unread()
    }

    /// Returns the number of answers that are not fully written yet.
    pub(crate) fn pending_answers(&self) -> usize {
        self.outbound.pending_messages()
    }
}

impl ClientConnection {
    /// Takes over a connection that was just accepted. Messages hold permits of `request_bytes` while they are read.
    /// No client waits for an answer for more than `longest_wait`.
    pub(crate) fn new(
        stream: TcpStream,
        names: Rc<Names>,
        request_bytes: Rc<Budget>,
        longest_wait: Duration,
    ) -> ClientConnection {
        let (inbound, outbound) = link::split(stream);
        ClientConnection {
            inbound,
            outbound,
            names,
            request_bytes,
            message: IncomingMessage::first(),
            has_partial: Rc::default(),
            open: Rc::default(),
            longest_wait,
            deferred: DeferredAnswers::default(),
        }
    }

    /// Sends an answer that involves no host, or defers it while the client does not read what is queued for it.
    pub(crate) fn answer_directly(&mut self, call: u32, answer: DirectAnswer) {
        // A client that never reads must not extend the life of its connection by sending more.
        if !self.is_stalled() {
            self.open
                .note_waiting_until(Instant::now() + self.longest_wait);
        }
        self.deferred.push(call, answer);
        self.deferred.send(&self.outbound);
    }

    /// Returns the responder to the request with that call number, whose client waits for `timeout`. `slot` is the
    /// request's permit, held until the answer is written.
    pub(crate) fn responder(
        &self,
        call: u32,
        slot: Option<Permit>,
        timeout: Duration,
    ) -> Responder {
        let client_waits_until = Instant::now() + timeout.min(self.longest_wait);
        let open = self.open.add(client_waits_until);
        Responder::new(self.outbound.clone(), call, slot, open)
    }

    /// Whether the client has read nothing for longer than it may while answers wait for it.
    pub(crate) fn is_stalled(&self) -> bool {
        self.stalled_at().is_some_and(|at| at <= Instant::now())
    }

    /// Returns a handle that observes and closes this connection.
    pub(crate) fn handle(&self) -> ConnectionHandle {
        ConnectionHandle {
            outbound: self.outbound.clone(),
            has_partial: self.has_partial.clone(),
        }
    }

    /// Closes the connection gracefully; see [`link::close_gracefully`].
    pub(crate) async fn close(mut self, within: Duration) {
        self.outbound.close();
        link::close_gracefully(&mut self.inbound, &self.outbound, within).await;
    }

    /// Whether something was received that is not processed yet: bytes that were read, or the end of the connection,
    /// or, behind a message that waited for memory, bytes that were not read. This asks the system, as the runtime may
    /// not have reported the end yet where this process could not run for a while.
    pub(crate) fn has_unprocessed(&self) -> bool {
        self.has_unparsed()
            || match self.outbound.unread() {
                Unread::Nothing => false,
                Unread::Bytes => self.message.has_waited_for_memory(),
                Unread::End => true,
            }
    }

    fn has_unparsed(&self) -> bool {
        !self.inbound.bytes.is_empty()
    }

    /// Whether the client has closed its side of the connection; what it sent before may not be processed yet.
    pub(crate) fn is_peer_closed(&self) -> bool {
        self.outbound.is_peer_closed()
    }

    /// Waits for the client's next message, and writes answers meanwhile.
    pub(crate) async fn next_event(&mut self) -> ClientEvent {
        loop {
            self.deferred.send(&self.outbound);
            if self.outbound.is_closed() {
                return ClientEvent::Closed;
            }
            if self.is_stalled() {
                let withdrawn = self.outbound.withdraw_unstarted();
                count_by(Counter::answers_withdrawn, withdrawn as u64);
            }
            if self.deferred.is_flood() {
                count(Counter::clients_flooding);
                return ClientEvent::Closed;
            }
            let missing = match self.process_buffer() {
                Parsed::Complete(event) => {
                    self.has_partial.set(self.has_unparsed());
                    return event;
                }
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

    /// Processes the next message in the buffer, or returns how many bytes it lacks.
    fn process_buffer(&mut self) -> Parsed<ClientEvent> {
        match self.message.discard(&mut self.inbound.bytes) {
            Some(Parsed::Complete(call)) => {
                return Parsed::Complete(ClientEvent::NoMemory { call });
            }
            Some(Parsed::Incomplete(missing)) => return Parsed::Incomplete(missing),
            None => {}
        }
        match rpc::parse(&mut self.inbound.bytes, &self.names) {
            Ok(Parsed::Complete(message)) => {
                self.message.complete();
                Parsed::Complete(self.process_message(message))
            }
            Ok(Parsed::Incomplete(missing)) => Parsed::Incomplete(missing),
            Err(malformed) => {
                count(Counter::clients_malformed);
                log::debug!("closing a client connection: {malformed}");
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
                log::debug!("client request with call number {call} is invalid: {reason}");
                self.answer_directly(call, DirectAnswer::Invalid(reason));
            }
            ClientMessage::Ignored => {}
        }
        ClientEvent::Answered
    }

    /// Starts to discard the message for which there is no memory. Returns false if it is not a request of which only
    /// a part of the body is missing.
    fn begin_discarding(&mut self) -> bool {
        let is_request = self.message.begin_discarding(&mut self.inbound.bytes);
        if !is_request {
            count(Counter::clients_malformed);
            log::debug!(
                "closing a client connection: no memory for a message that is not a request"
            );
        }
        is_request
    }

    /// Notes whether a message was received in part; from then on the time for the rest of it runs.
    fn note_partial(&mut self) {
        let has_partial = self.has_unparsed() || self.message.is_discarded();
        self.has_partial.set(has_partial);
        if has_partial {
            self.message.begin();
        } else if self.message.has_waited_for_memory() && !self.outbound.has_unread() {
            self.message.clear_memory_wait();
        }
    }

    /// Waits until something is read or written, or until the client exceeds one of its time limits.
    async fn wait(&mut self, missing: usize) -> WaitOutcome {
        let has_pending = self.outbound.has_pending();
        let message_bytes = self.message_bytes(missing);
        let has_open_requests = self.open.any();
        let memory_by =
            self.message
                .memory_deadline(message_bytes, &self.request_bytes, has_open_requests);
        let owed_until = self.owed_until();
        let message = self.message.time_limit(owed_until);
        let stall = self.stalled_at().map(|at| TimeLimit::new(at, owed_until));
        let holds_memory = self.message.holds_memory();
        let read = MessageRead {
            inbound: &mut self.inbound,
            outbound: &self.outbound,
            request_bytes: &self.request_bytes,
            permit: self.message.permit(),
            message_bytes,
            missing,
            memory_by,
        };
        tokio::select! {
            outcome = read.run() => outcome,
            () = TimeLimit::ends(message) => {
                count(Counter::clients_not_whole);
                WaitOutcome::Closed
            }
            () = TimeLimit::exceeded_and_wanted(message, &self.request_bytes), if holds_memory => {
                count(Counter::messages_displaced);
                WaitOutcome::NoMemory
            }
            written = self.outbound.write_some(), if has_pending => {
                if written.is_ok() { WaitOutcome::Progress } else { WaitOutcome::Closed }
            }
            () = TimeLimit::ends(stall) => {
                count(Counter::clients_stalled);
                WaitOutcome::Closed
            }
            () = TimeLimit::exceeded(stall) => WaitOutcome::Progress,
            () = self.open.ended() => WaitOutcome::Progress,
            () = self.outbound.notified() => WaitOutcome::Progress,
        }
    }

    /// Returns the size of the message in bytes, as far as it is known; that of the part to be read next if its bytes are
    /// discarded.
    fn message_bytes(&self, missing: usize) -> usize {
        if self.message.is_discarded() {
            missing
        } else {
            self.inbound.bytes.len() + missing
        }
    }

    /// Returns until when an answer is owed on this connection; none if every request is answered and each answer is
    /// written.
    fn owed_until(&self) -> Option<Instant> {
        let owes_answer = self.open.any() || self.outbound.has_pending();
        self.open.answers_due().filter(|_| owes_answer)
    }

    /// Returns when the client will have read nothing for too long. The time counts from when bytes began to wait to be
    /// written, not from the start of the connection.
    fn stalled_at(&self) -> Option<Instant> {
        self.outbound.stalled_since().map(|since| since + MAX_STALL)
    }
}
