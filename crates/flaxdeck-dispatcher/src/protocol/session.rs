//! One client's connection.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Buf;
use flaxdeck::Span;
use flaxdeck_terms::Names;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

use flaxdeck_net::budget::{Budget, MAX_SMALL_MESSAGE, Permit};
use flaxdeck_net::link::{self, Inbound, Outbound, Unread};
use flaxdeck_net::metrics::{Counter, count};
use flaxdeck_wire::rpc::{self, ClientMessage};
use flaxdeck_wire::{Answer, ClientRequest, InvalidRequest, Parsed};

/// How long a client may take nothing of what waits for it, which holds memory that others could use.
const STALLED: Duration = Duration::from_secs(3);
/// Answers queued for a client past which it is owed further ones by their numbers alone: twice what it may have open.
const MAX_UNREAD: usize = 64;

/// Answers owed to a client that takes none at which its connection is ended: far past what it may have open.
const MAX_OWED: usize = 1024;
/// How long a message may wait for memory before it is read past and refused. An end of the connection is noticed
/// meanwhile, and nothing else of its client is open that could be cancelled behind it.
const FOR_MEMORY: Duration = Duration::from_millis(100);
/// The same while other requests of its client are open: no attempt may begin for these 0.1 s after a cancellation, which
/// may lie behind the message; what is left of that is for the reading and for a busy machine.
const FOR_MEMORY_BESIDE_OPEN: Duration = Duration::from_millis(40);

/// How long a whole message may take from its first byte, and the first one from the connection's start. Refusals
/// are owed within 3 s of connecting, and a connection may have waited a while to be accepted.
const WHOLE: Duration = Duration::from_millis(2000);

/// What a client said.
pub enum Heard {
    Request {
        call: u32,
        asked: Box<ClientRequest>,
    },
    Cancel {
        call: u32,
    },
    /// A request that there was no memory for; it was read past.
    Unheld {
        call: u32,
    },
    /// Something that needs no further answer.
    Other,
    /// The connection is of no more use.
    Over,
}

pub struct Session {
    inbound: Inbound,
    outbound: Outbound,
    names: Rc<Names>,
    /// Budget for bytes, and what a message takes of it that is not whole yet.
    bytes: Rc<Budget>,
    held: Option<Permit>,
    /// Since when a message is awaited that has to come: one that has begun, or the first of all.
    begun: Option<Instant>,
    midway: Rc<Cell<bool>>,
    /// Since when messages have found no memory; until all that has come behind the first of them is heard.
    wants_memory: Option<Instant>,
    /// Cloned into each reply, so that its count tells whether requests are open.
    open: Rc<()>,
    /// The rest of a request that is read past, with its number.
    passing: Option<(u32, usize)>,
    /// What is owed to a client that takes no answers, beside what is queued for it.
    owed: VecDeque<(u32, ShortReply)>,
}

/// An answer that no host has a part in.
pub enum ShortReply {
    Alive,
    Refused(Option<Span>),
    Failed(&'static str),
    Invalid(InvalidRequest),
}

/// How a wait for a client ended.
enum Waited {
    Stirred,
    NoMemory,
    Over,
}

/// The one answer that a request gets; it can be given once only.
pub struct Reply {
    outbound: Outbound,
    call: u32,
    place: Option<Permit>,
    _open: Rc<()>,
}

impl Reply {
    /// Sends the answer, with the place that its bytes hold until it is written.
    pub fn send(self, answer: Answer, held: Option<Permit>) {
        self.outbound
            .send(rpc::encode_answer(self.call, answer), [self.place, held]);
    }
}

/// What the outside sees of a session, and ends it by.
pub struct Closer {
    outbound: Outbound,
    /// A message has come in part.
    midway: Rc<Cell<bool>>,
}

impl Closer {
    pub fn close(&self) {
        self.outbound.close();
    }

    /// The client is midway through a message.
    pub fn is_midway(&self) -> bool {
        self.midway.get()
    }

    /// The client has said something that was not read yet.
    pub fn has_unread(&self) -> bool {
        self.outbound.has_unread()
    }

    /// Answers that the client has not taken yet.
    pub fn unread(&self) -> usize {
        self.outbound.pending_messages()
    }
}

impl Session {
    pub fn new(stream: TcpStream, names: Rc<Names>, bytes: Rc<Budget>) -> Session {
        let (inbound, outbound) = link::split(stream);
        let (held, begun, midway) = (None, Some(Instant::now()), Rc::default());
        let (wants_memory, open, passing, owed) = (None, Rc::new(()), None, VecDeque::new());
        Session {
            inbound,
            outbound,
            names,
            bytes,
            held,
            begun,
            midway,
            wants_memory,
            open,
            passing,
            owed,
        }
    }

    /// Answers what no host has to be asked for, or keeps it owed while the client takes nothing.
    // Guards against a flood whose answers lie unread: what a client says is read on all the same, for it may leave.
    pub fn tell(&mut self, call: u32, word: ShortReply) {
        self.owed.push_back((call, word));
        self.pay();
    }

    fn pay(&mut self) {
        while self.outbound.pending_messages() < MAX_UNREAD {
            let Some((call, word)) = self.owed.pop_front() else {
                return;
            };
            let bytes = match word {
                ShortReply::Alive => rpc::encode_alive(call),
                ShortReply::Refused(after) => rpc::encode_rejected(call, after),
                ShortReply::Invalid(reason) => rpc::encode_error(call, &reason.to_string(), None),
                ShortReply::Failed(why) => rpc::encode_error(call, why, None),
            };
            self.outbound.send([bytes], [None, None]);
        }
    }

    /// Ends the connection; see [`link::close_gracefully`].
    pub async fn end(mut self, within: Duration) {
        self.outbound.close();
        link::close_gracefully(&mut self.inbound, &self.outbound, within).await;
    }

    /// What answers the request of that number, with the place that it holds until the answer is written.
    pub fn reply(&self, call: u32, place: Option<Permit>) -> Reply {
        Reply {
            outbound: self.outbound.clone(),
            call,
            place,
            _open: self.open.clone(),
        }
    }

    pub fn closer(&self) -> Closer {
        Closer {
            outbound: self.outbound.clone(),
            midway: self.midway.clone(),
        }
    }

    /// Something has come that is not heard yet: bytes that are read, or the end of the connection; behind a message that
    /// waited for memory also bytes that are not. The end is looked for at the system, which need not have told of it
    /// yet where this process could not run for a while.
    pub fn has_more(&self) -> bool {
        self.has_unparsed()
            || match self.outbound.unread() {
                Unread::Nothing => false,
                Unread::Bytes => self.wants_memory.is_some(),
                Unread::End => true,
            }
    }

    fn has_unparsed(&self) -> bool {
        !self.inbound.bytes.is_empty()
    }

    /// The client has ended its connection, though not all that it said before may be heard.
    pub fn is_over(&self) -> bool {
        self.outbound.is_peer_closed()
    }

    /// The client's next word; meanwhile answers are written.
    pub async fn next(&mut self) -> Heard {
        loop {
            self.pay();
            if self.outbound.is_closed() {
                return Heard::Over;
            }
            if self.owed.len() > MAX_OWED {
                count(Counter::clients_flooding);
                return Heard::Over;
            }
            let more = match self.passing {
                Some((call, 0)) => {
                    (self.passing, self.begun) = (None, None);
                    return Heard::Unheld { call };
                }
                Some((call, left)) => {
                    let here = left.min(self.inbound.bytes.len());
                    self.inbound.bytes.advance(here);
                    self.passing = Some((call, left - here));
                    if left == here {
                        continue;
                    }
                    MAX_SMALL_MESSAGE.min(left - here)
                }
                None => match rpc::parse(&mut self.inbound.bytes, &self.names) {
                    Ok(Parsed::Complete(said)) => {
                        (self.begun, self.held) = (None, None);
                        return self.heard(said);
                    }
                    Ok(Parsed::Incomplete(more)) => more,
                    Err(malformed) => {
                        count(Counter::clients_malformed);
                        log::debug!("a client's connection is closed: {}", malformed);
                        return Heard::Over;
                    }
                },
            };
            self.inbound.release_buffer();
            let midway = self.has_unparsed() || self.passing.is_some();
            self.midway.set(midway);
            if midway {
                self.begun.get_or_insert_with(Instant::now);
            } else if self.wants_memory.is_some() && !self.outbound.has_unread() {
                self.wants_memory = None;
            }
            match self.wait(more).await {
                Waited::Stirred => {}
                Waited::Over => return Heard::Over,
                Waited::NoMemory => {
                    self.passing = rpc::partial_request(&self.inbound.bytes)
                        .map(|request| (request.call, request.missing));
                    if self.passing.is_none() {
                        count(Counter::clients_malformed);
                        log::debug!(
                            "a client's connection is closed: no memory for what is no request"
                        );
                        return Heard::Over;
                    }
                    self.inbound.bytes.clear();
                }
            }
        }
    }

    fn heard(&mut self, said: ClientMessage) -> Heard {
        match said {
            ClientMessage::Request { call, request } => {
                return Heard::Request {
                    call,
                    asked: request,
                };
            }
            ClientMessage::Cancel { call } => return Heard::Cancel { call },
            ClientMessage::Alive { call } => self.tell(call, ShortReply::Alive),
            ClientMessage::Invalid { call, reason } => {
                count(Counter::requests_invalid);
                log::debug!("a client's request is invalid: {reason}");
                self.tell(call, ShortReply::Invalid(reason));
            }
            ClientMessage::Ignored => {}
        }
        Heard::Other
    }

    async fn wait(&mut self, more: usize) -> Waited {
        let pending = self.outbound.has_pending();
        let enough = if self.passing.is_some() {
            more
        } else {
            self.inbound.bytes.len() + more
        };
        if enough > MAX_SMALL_MESSAGE && self.held.is_none() {
            self.held = self.bytes.try_acquire_many(enough);
        }
        let waits = enough > MAX_SMALL_MESSAGE && self.held.is_none();
        let has_open = Rc::strong_count(&self.open) > 1;
        let patience = if has_open {
            FOR_MEMORY_BESIDE_OPEN
        } else {
            FOR_MEMORY
        };
        let memory_by =
            waits.then(|| *self.wants_memory.get_or_insert_with(Instant::now) + patience);
        let (inbound, held) = (&mut self.inbound, &mut self.held);
        let read = async {
            if let Some(by) = memory_by {
                tokio::select! {
                    biased;
                    () = self.bytes.reserve_for_message(enough, held) => {}
                    () = self.outbound.peer_closed() => return Waited::Over,
                    () = sleep_until(by) => return Waited::NoMemory,
                }
            }
            match inbound.read_more(more).await {
                Ok(true) => Waited::Stirred,
                _ => Waited::Over,
            }
        };
        let whole_by = self.begun.map(|begun| begun + WHOLE);
        // Counters from when something began to wait: a connection may have been up for long by then.
        let stalled = self.outbound.stalled_since().map(|since| since + STALLED);
        let now = Instant::now;
        tokio::select! {
            read = read => read,
            () = sleep_until(whole_by.unwrap_or_else(now)), if whole_by.is_some() => {
                count(Counter::clients_not_whole);
                Waited::Over
            }
            written = self.outbound.write_some(), if pending => {
                if written.is_ok() { Waited::Stirred } else { Waited::Over }
            }
            () = sleep_until(stalled.unwrap_or_else(now)), if stalled.is_some() => {
                count(Counter::clients_stalled);
                Waited::Over
            }
            () = self.outbound.notified() => Waited::Stirred,
        }
    }
}
