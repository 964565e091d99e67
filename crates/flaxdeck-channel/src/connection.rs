//! One connection between a forwarder and a planner, greeted and with authenticated frames.
//!
//! [`connect`] and [`accept`] give its two halves. Whoever holds the [`Receiver`] has to poll [`Receiver::receive`]: what
//! the [`Sender`] has queued is written meanwhile. The connection ends when both halves are dropped, or by
//! [`Sender::end`].

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use flaxdeck_net::link;
use flaxdeck_net::link::{Inbound, Outbound};
use flaxdeck_net::metrics::count_message;
use flaxdeck_wire::Parsed;
use rand::Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout};

use crate::authenticated::{
    FrameSigner, FrameVerifier, GREETING, Greeting, InvalidFrame, Key, Role,
};
use crate::message_kind::{Message, MessageKind};

/// How long connecting may take, and greeting after that.
const GREETING_TIMEOUT: Duration = Duration::from_millis(1000);
/// Messages that may wait to be written; past that the other side reads too slowly to be sent more.
const MAX_WAITING: usize = 4;
/// How long the other side may take nothing of what waits for it, or send nothing.
const SILENT_AFTER: Duration = Duration::from_millis(2500);

/// Why a connection could not begin or went no further.
#[derive(Debug, Error)]
pub enum CloseReason {
    /// There is nobody to connect to.
    #[error("no connection")]
    Unreachable(#[source] io::Error),
    /// Connecting took too long.
    #[error("no connection")]
    ConnectTimeout,
    /// The other side did not greet in time.
    #[error("no greeting in time")]
    GreetingTimeout,
    /// The other side ended the connection before its greeting was whole.
    #[error("ended before the greeting")]
    EndedBeforeGreeting,
    /// The own side has ended it, also by a message over a bound.
    #[error("closed here")]
    ClosedHere,
    /// The other side has ended it.
    #[error("the other side has ended it")]
    ClosedByPeer,
    /// It broke while it was read.
    #[error("the other side has ended it")]
    Read(#[source] io::Error),
    /// It broke while it was written.
    #[error("broken while writing")]
    Write(#[source] io::Error),
    /// The other side has sent nothing for too long.
    #[error("silent")]
    Silent,
    /// The other side is none of ours, or not as it should be.
    #[error(transparent)]
    Refused(InvalidFrame),
}

impl CloseReason {
    /// Whether the other side is at fault, so that trying again soon is of no use until somebody has looked at it.
    pub fn is_refusal(&self) -> bool {
        matches!(self, CloseReason::Refused(_))
    }
}

impl From<InvalidFrame> for CloseReason {
    fn from(malformed: InvalidFrame) -> CloseReason {
        CloseReason::Refused(malformed)
    }
}

/// The two halves of a connection that is up.
pub struct Connection {
    /// The half that sends.
    pub sender: Sender,
    /// The half that receives, and writes what the other has queued.
    pub receiver: Receiver,
}

/// The half that sends.
pub struct Sender {
    outbound: Outbound,
    signer: FrameSigner,
}

/// The half that receives; while it does, what waits is written.
pub struct Receiver {
    inbound: Inbound,
    outbound: Outbound,
    verifier: FrameVerifier,
    last_received_at: Instant,
}

/// Connects to a planner and greets it.
///
/// # Errors
///
/// If nobody is there, or nobody greets in time, or who does is no planner with that key.
pub async fn connect(address: SocketAddr, key: &Key) -> Result<Connection, CloseReason> {
    let stream = timeout(GREETING_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| CloseReason::ConnectTimeout)?
        .map_err(CloseReason::Unreachable)?;
    greet(stream, key, Role::Forwarder, Role::Planner).await
}

/// Greets whoever has connected, as a planner.
///
/// # Errors
///
/// If nobody greets in time, or who does is no forwarder with that key.
pub async fn accept(stream: TcpStream, key: &Key) -> Result<Connection, CloseReason> {
    greet(stream, key, Role::Planner, Role::Forwarder).await
}

async fn greet(
    stream: TcpStream,
    key: &Key,
    own: Role,
    other: Role,
) -> Result<Connection, CloseReason> {
    let (mut inbound, outbound) = link::split(stream);
    let ours = Greeting::new(own, rand::rng().random());
    outbound.send([ours.bytes(key)], [None, None]);
    count_message(MessageKind::Greeting.counters_out(), GREETING);
    let theirs = timeout(GREETING_TIMEOUT, read_greeting(&mut inbound, key, other))
        .await
        .map_err(|_| CloseReason::GreetingTimeout)??;
    let (signer, verifier) = ours.keys(&theirs, key);
    Ok(Connection {
        sender: Sender {
            outbound: outbound.clone(),
            signer,
        },
        receiver: Receiver {
            inbound,
            outbound,
            verifier,
            last_received_at: Instant::now(),
        },
    })
}

async fn read_greeting(
    inbound: &mut Inbound,
    key: &Key,
    from: Role,
) -> Result<Greeting, CloseReason> {
    loop {
        match Greeting::read(&mut inbound.bytes, key, from)? {
            Parsed::Complete(greeting) => {
                count_message(MessageKind::Greeting.counters_in(), GREETING);
                return Ok(greeting);
            }
            Parsed::Incomplete(missing) => {
                if !matches!(inbound.read_more(missing).await, Ok(true)) {
                    return Err(CloseReason::EndedBeforeGreeting);
                }
            }
        }
    }
}

impl Sender {
    /// Whether another message may be sent: the other side keeps up.
    pub fn may_send(&self) -> bool {
        !self.outbound.is_closed() && self.outbound.pending_messages() < MAX_WAITING
    }

    /// Writes one message, or queues it. One over a bound is not sent, and ends the connection.
    pub fn send(&mut self, message: &(impl Serialize + Message)) {
        match self.signer.sign(message) {
            Ok(bytes) => {
                count_message(message.kind().counters_out(), bytes.len());
                self.outbound.send([bytes], [None, None]);
            }
            Err(malformed) => {
                log::error!("not sent: {}", malformed);
                self.outbound.close();
            }
        }
    }

    /// Ends the connection, without what waits to be written.
    pub fn end(&self) {
        self.outbound.close();
    }
}

impl Receiver {
    /// The next message. May be dropped and called again without loss.
    ///
    /// # Errors
    ///
    /// If the connection has ended, or is of no more use.
    pub async fn receive<T: DeserializeOwned + Message>(&mut self) -> Result<T, CloseReason> {
        loop {
            if self.outbound.is_closed() {
                return Err(CloseReason::ClosedHere);
            }
            let before = self.inbound.bytes.len();
            match self.verifier.verify::<T>(&mut self.inbound.bytes)? {
                Parsed::Complete(message) => {
                    let length = before - self.inbound.bytes.len();
                    count_message(message.kind().counters_in(), length);
                    self.last_received_at = Instant::now();
                    return Ok(message);
                }
                Parsed::Incomplete(missing) => self.read_and_write(missing).await?,
            }
        }
    }

    /// Until something has come, something was written or the connection was closed here.
    async fn read_and_write(&mut self, missing: usize) -> Result<(), CloseReason> {
        self.inbound.release_buffer();
        let pending = self.outbound.has_pending();
        tokio::select! {
            read = self.inbound.read_more(missing) => match read {
                Ok(true) => Ok(()),
                Ok(false) => Err(CloseReason::ClosedByPeer),
                Err(error) => Err(CloseReason::Read(error)),
            },
            written = self.outbound.write_some(), if pending => written.map_err(CloseReason::Write),
            () = sleep_until(self.last_received_at + SILENT_AFTER) => Err(CloseReason::Silent),
            () = self.outbound.notified() => Ok(()),
        }
    }
}
