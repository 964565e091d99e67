//! One connection between a forwarder and a planner, greeted and sealed.

use std::net::SocketAddr;
use std::time::Duration;

use flaxdeck_net::link::{self, Inbound, Outbound};
use flaxdeck_net::metrics::count_message;
use flaxdeck_wire::Parsed;
use rand::Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout};

use crate::authenticated::{FrameSigner, FrameVerifier, GREETING, Greeting, Key, Malformed, Role};
use crate::message_kind::{Message, MessageKind};

/// How long connecting and greeting may take.
const GREETED: Duration = Duration::from_millis(1000);
/// Messages that may wait to be written; past that the other side reads too slowly to be told more.
const MAX_WAITING: usize = 4;
/// How long the other side may take nothing of what waits for it, or say nothing.
const STALLED: Duration = Duration::from_millis(2500);

/// Why a conversation could not begin or went no further.
#[derive(Debug)]
pub enum CloseReason {
    /// It broke, or was too slow.
    Broken(&'static str),
    /// The other side is none of ours, or not as it should be.
    Refused(&'static str),
}

impl From<Malformed> for CloseReason {
    fn from(malformed: Malformed) -> CloseReason {
        CloseReason::Refused(malformed.0)
    }
}

/// The half that speaks.
pub struct Sender {
    outbound: Outbound,
    signer: FrameSigner,
}

/// The half that hears; while it listens, what waits is written.
pub struct Receiver {
    inbound: Inbound,
    outbound: Outbound,
    verifier: FrameVerifier,
    heard: Instant,
}

/// Connects to a planner and greets it.
pub async fn connect(address: SocketAddr, key: &Key) -> Result<(Sender, Receiver), CloseReason> {
    let connected = timeout(GREETED, TcpStream::connect(address)).await;
    let stream = connected
        .ok()
        .and_then(Result::ok)
        .ok_or(CloseReason::Broken("no connection"))?;
    greet(stream, key, Role::Forwarder).await
}

/// Greets whoever has connected, as a planner.
pub async fn accept(stream: TcpStream, key: &Key) -> Result<(Sender, Receiver), CloseReason> {
    greet(stream, key, Role::Planner).await
}

async fn greet(
    stream: TcpStream,
    key: &Key,
    side: Role,
) -> Result<(Sender, Receiver), CloseReason> {
    let (mut inbound, outbound) = link::split(stream);
    let ours = Greeting::new(side, rand::rng().random());
    let other = if side == Role::Planner {
        Role::Forwarder
    } else {
        Role::Planner
    };
    let theirs = async {
        outbound.send([ours.bytes(key)], [None, None]);
        count_message(MessageKind::Greeting.counters_out(), GREETING);
        loop {
            match Greeting::read(&mut inbound.bytes, key, other)? {
                Parsed::Complete(theirs) => {
                    count_message(MessageKind::Greeting.counters_in(), GREETING);
                    return Ok(theirs);
                }
                Parsed::Incomplete(more) => {
                    if !matches!(inbound.read_more(more).await, Ok(true)) {
                        return Err(CloseReason::Broken("ended before the greeting"));
                    }
                }
            }
        }
    };
    let theirs = timeout(GREETED, theirs)
        .await
        .map_err(|_| CloseReason::Broken("no greeting in time"))??;
    let (signer, verifier) = ours.keys(&theirs, key);
    let sender = Sender {
        outbound: outbound.clone(),
        signer,
    };
    Ok((
        sender,
        Receiver {
            inbound,
            outbound,
            verifier,
            heard: Instant::now(),
        },
    ))
}

impl Sender {
    /// Whether another message may be written: the other side keeps up.
    pub fn may_send(&self) -> bool {
        !self.outbound.is_closed() && self.outbound.pending_messages() < MAX_WAITING
    }

    /// Writes one message, or queues it. One over a bound is not sent, and ends the conversation.
    pub fn send(&mut self, message: &(impl Serialize + Message)) {
        match self.signer.sign(message) {
            Ok(bytes) => {
                count_message(message.kind().counters_out(), bytes.len());
                self.outbound.send([bytes], [None, None]);
            }
            Err(malformed) => {
                log::error!("not sent: {}", malformed.0);
                self.outbound.close();
            }
        }
    }

    pub fn end(&self) {
        self.outbound.close();
    }
}

impl Receiver {
    /// The next message. May be dropped and called again without loss.
    pub async fn receive<T: DeserializeOwned + Message>(&mut self) -> Result<T, CloseReason> {
        loop {
            if self.outbound.is_closed() {
                return Err(CloseReason::Broken("closed here"));
            }
            let before = self.inbound.bytes.len();
            let more = match self.verifier.verify::<T>(&mut self.inbound.bytes)? {
                Parsed::Complete(message) => {
                    count_message(
                        message.kind().counters_in(),
                        before - self.inbound.bytes.len(),
                    );
                    self.heard = Instant::now();
                    return Ok(message);
                }
                Parsed::Incomplete(more) => more,
            };
            self.inbound.release_buffer();
            let pending = self.outbound.has_pending();
            tokio::select! {
                read = self.inbound.read_more(more) => {
                    if !matches!(read, Ok(true)) {
                        return Err(CloseReason::Broken("the other side has ended it"));
                    }
                }
                written = self.outbound.write_some(), if pending => {
                    written.map_err(|_| CloseReason::Broken("broken while writing"))?;
                }
                () = sleep_until(self.heard + STALLED) => return Err(CloseReason::Broken("silent")),
                () = self.outbound.notified() => {}
            }
        }
    }
}
