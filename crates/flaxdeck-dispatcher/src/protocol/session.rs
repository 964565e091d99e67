//! One client's connection.

use std::rc::Rc;
use std::time::Duration;

use flaxdeck_terms::Names;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

use super::rpc::{self, Said};
use super::{Answer, Asked, Parsed};
use crate::transport::link::{self, Inbound, Outbound};
use crate::transport::room::Place;
use crate::transport::tally::{Count, count};

/// How long a client may take nothing of what waits for it; longer than any client waits for an answer.
const STALLED: Duration = Duration::from_secs(8);
/// Answers left unread at which nothing more is read from a client: twice what it may have open.
const UNREAD_MOST: usize = 64;

/// How long a whole message may take from its first byte, and the first one from the connection's start. Refusals
/// are owed within 3 s of connecting, and a connection may have waited a while to be accepted.
const WHOLE: Duration = Duration::from_millis(2000);

/// What a client said.
pub enum Heard {
    Pull {
        call: u32,
        asked: Asked,
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
    progress: Instant,
    /// Since when a message is awaited that has to come: one that has begun, or the first of all.
    begun: Option<Instant>,
}

/// The one answer that a pull gets; it can be given once only.
pub struct Reply {
    outbound: Outbound,
    call: u32,
    place: Option<Place>,
}

impl Reply {
    pub fn send(self, answer: Answer) {
        self.outbound.send(rpc::answer(self.call, answer), self.place);
    }
}

/// What the outside sees of a session, and ends it by.
pub struct Closer(Outbound);

impl Closer {
    pub fn close(&self) {
        self.0.close();
    }

    /// Answers that the client has not taken yet.
    pub fn unread(&self) -> usize {
        self.0.waiting()
    }
}

impl Session {
    pub fn new(stream: TcpStream, names: Rc<Names>) -> Session {
        let (inbound, outbound) = link::split(stream);
        let now = Instant::now();
        Session { inbound, outbound, names, progress: now, begun: Some(now) }
    }

    /// What answers the pull of that number, with the place that it holds until the answer is written.
    pub fn reply(&self, call: u32, place: Option<Place>) -> Reply {
        Reply { outbound: self.outbound.clone(), call, place }
    }

    pub fn closer(&self) -> Closer {
        Closer(self.outbound.clone())
    }

    /// The client's next word; meanwhile answers are written.
    pub async fn next(&mut self) -> Heard {
        loop {
            if self.outbound.is_closed() {
                return Heard::Over;
            }
            match rpc::parse(&mut self.inbound.bytes, &self.names) {
                Ok(Parsed::Whole(said)) => {
                    self.begun = None;
                    match said {
                        Said::Pull { call, asked } => return Heard::Pull { call, asked },
                        Said::Cancel { call } => return Heard::Cancel { call },
                        Said::Alive { call } => self.outbound.send([rpc::alive(call)], None),
                        Said::Invalid { call, why } => {
                            count(Count::pulls_invalid);
                            log::debug!("a client's request is invalid: {why}");
                            self.outbound.send([rpc::error(call, why, None)], None);
                        }
                        Said::Nothing => {}
                    }
                    return Heard::Other;
                }
                Ok(Parsed::Short(more)) => {
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
        let whole_by = self.begun.unwrap_or(self.progress) + WHOLE;
        tokio::select! {
            read = self.inbound.more(more), if reads => matches!(read, Ok(true)),
            () = sleep_until(whole_by), if reads && self.begun.is_some() => {
                count(Count::clients_not_whole);
                false
            }
            written = self.outbound.step(), if pending => {
                self.progress = Instant::now();
                written.is_ok()
            }
            () = sleep_until(self.progress + STALLED), if pending => {
                count(Count::clients_stalled);
                false
            }
            () = self.outbound.stirred() => {
                if !pending {
                    self.progress = Instant::now();
                }
                true
            }
        }
    }
}
