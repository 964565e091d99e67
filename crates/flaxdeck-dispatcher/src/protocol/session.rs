//! One client's connection.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use flaxdeck_terms::Names;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

use flaxdeck_net::link::{self, Inbound, Outbound};
use flaxdeck_net::room::{Place, Room};
use flaxdeck_net::tally::{Count, count};
use flaxdeck_wire::rpc::{self, Said};
use flaxdeck_wire::{Answer, Asked, Parsed};

/// How long a client may take nothing of what waits for it, which holds memory that others could use.
const STALLED: Duration = Duration::from_secs(3);
/// Answers left unread at which nothing more is read from a client: twice what it may have open.
const UNREAD_MOST: usize = 64;

/// How long a whole message may take from its first byte, and the first one from the connection's start. Refusals
/// are owed within 3 s of connecting, and a connection may have waited a while to be accepted.
const WHOLE: Duration = Duration::from_millis(2000);

/// What a client said.
pub enum Heard {
    Pull {
        call: u32,
        asked: Box<Asked>,
    },
    Cancel {
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
    /// Room for bytes, and what a message takes of it that is not whole yet.
    bytes: Rc<Room>,
    held: Option<Place>,
    /// Since when a message is awaited that has to come: one that has begun, or the first of all.
    begun: Option<Instant>,
    midway: Rc<Cell<bool>>,
}

/// The one answer that a pull gets; it can be given once only.
pub struct Reply {
    outbound: Outbound,
    call: u32,
    place: Option<Place>,
}

impl Reply {
    /// Sends the answer, with the place that its bytes hold until it is written.
    pub fn send(self, answer: Answer, held: Option<Place>) {
        self.outbound.send(rpc::answer(self.call, answer), [self.place, held]);
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
        self.outbound.waiting()
    }
}

impl Session {
    pub fn new(stream: TcpStream, names: Rc<Names>, bytes: Rc<Room>) -> Session {
        let (inbound, outbound) = link::split(stream);
        let (held, begun, midway) = (None, Some(Instant::now()), Rc::default());
        Session { inbound, outbound, names, bytes, held, begun, midway }
    }

    /// What answers the pull of that number, with the place that it holds until the answer is written.
    pub fn reply(&self, call: u32, place: Option<Place>) -> Reply {
        Reply { outbound: self.outbound.clone(), call, place }
    }

    pub fn closer(&self) -> Closer {
        Closer { outbound: self.outbound.clone(), midway: self.midway.clone() }
    }

    /// Bytes have come that are not parsed yet.
    pub fn has_more(&self) -> bool {
        !self.inbound.bytes.is_empty()
    }

    /// The client's next word; meanwhile answers are written.
    pub async fn next(&mut self) -> Heard {
        loop {
            if self.outbound.is_closed() {
                return Heard::Over;
            }
            match rpc::parse(&mut self.inbound.bytes, &self.names) {
                Ok(Parsed::Whole(said)) => {
                    (self.begun, self.held) = (None, None);
                    match said {
                        Said::Pull { call, asked } => return Heard::Pull { call, asked },
                        Said::Cancel { call } => return Heard::Cancel { call },
                        Said::Alive { call } => self.outbound.send([rpc::alive(call)], [None, None]),
                        Said::Invalid { call, why } => {
                            count(Count::pulls_invalid);
                            log::debug!("a client's request is invalid: {why}");
                            self.outbound.send([rpc::error(call, why, None)], [None, None]);
                        }
                        Said::Nothing => {}
                    }
                    return Heard::Other;
                }
                Ok(Parsed::Short(more)) => {
                    self.inbound.rest();
                    self.midway.set(!self.inbound.bytes.is_empty());
                    if !self.inbound.bytes.is_empty() {
                        self.begun.get_or_insert_with(Instant::now);
                    }
                    if !self.wait(more).await {
                        return Heard::Over;
                    }
                }
                Err(malformed) => {
                    count(Count::clients_malformed);
                    log::debug!("a client's connection is closed: {}", malformed.0);
                    return Heard::Over;
                }
            }
        }
    }

    async fn wait(&mut self, more: usize) -> bool {
        let (pending, reads) = (self.outbound.pending(), self.outbound.waiting() < UNREAD_MOST);
        let (inbound, held) = (&mut self.inbound, &mut self.held);
        let read = async {
            self.bytes.hold(inbound.bytes.len() + more, held).await;
            inbound.more(more).await
        };
        let whole_by = self.begun.map(|begun| begun + WHOLE);
        // Counted from when something began to wait: a connection may have been up for long by then.
        let stalled = self.outbound.stuck_since().map(|since| since + STALLED);
        let now = Instant::now;
        tokio::select! {
            read = read, if reads => matches!(read, Ok(true)),
            () = sleep_until(whole_by.unwrap_or_else(now)), if reads && whole_by.is_some() => {
                count(Count::clients_not_whole);
                false
            }
            written = self.outbound.step(), if pending => written.is_ok(),
            () = sleep_until(stalled.unwrap_or_else(now)), if stalled.is_some() => {
                count(Count::clients_stalled);
                false
            }
            () = self.outbound.stirred() => true,
        }
    }
}
