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

/// What a client said.
pub enum Heard {
    Pull {
        call: u32,
        asked: Asked,
    },
    Cancel {
        call: u32,
    },
    /// The connection is of no more use.
    Over,
}

pub struct Session {
    inbound: Inbound,
    outbound: Outbound,
    names: Rc<Names>,
    progress: Instant,
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
        Session { inbound, outbound, names, progress: Instant::now() }
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
                Ok(Parsed::Whole(said)) => match said {
                    Said::Pull { call, asked } => return Heard::Pull { call, asked },
                    Said::Cancel { call } => return Heard::Cancel { call },
                    Said::Alive { call } => self.outbound.send([rpc::alive(call)], None),
                    Said::Invalid { call, why } => {
                        count(Count::pulls_invalid);
                        log::debug!("a client's request is invalid: {why}");
                        self.outbound.send([rpc::error(call, why, None)], None);
                    }
                    Said::Nothing => {}
                },
                Ok(Parsed::Short(more)) => {
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
        let pending = self.outbound.pending();
        tokio::select! {
            read = self.inbound.more(more), if self.outbound.waiting() < UNREAD_MOST => matches!(read, Ok(true)),
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
