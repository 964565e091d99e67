//! An authenticated connection between a forwarder and a planner.
//!
//! [`connect`] and [`accept`] exchange greetings and return the two halves of the connection. The owner of the
//! [`Receiver`] has to poll [`Receiver::receive`], which also writes the messages that the [`Sender`] has queued. The
//! connection is closed by dropping both halves; [`Sender::end`] makes [`Receiver::receive`] return an error.

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
    FrameSigner, FrameVerifier, GREETING_BYTES, Greeting, InvalidFrame, Key, Role,
};
use crate::message_kind::{Message, MessageKind};

/// Time limit for connecting, and again for receiving the greeting after that.
const GREETING_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum number of queued messages: while so many wait to be written, the other side reads too slowly to be sent
/// more.
const MAX_PENDING_MESSAGES: usize = 4;
/// Time without a complete message from the other side after which the connection ends.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Why a connection could not be opened, or ended.
#[derive(Debug, Error)]
pub enum CloseReason {
    /// The system could not connect.
    #[error("cannot connect: {0}")]
    Unreachable(#[source] io::Error),
    /// Connecting took longer than the limit.
    #[error("cannot connect within {} ms", GREETING_TIMEOUT.as_millis())]
    ConnectTimeout,
    /// No complete greeting was received within the limit.
    #[error("no greeting received within {} ms", GREETING_TIMEOUT.as_millis())]
    GreetingTimeout,
    /// The other side closed the connection, or reading failed, before its greeting was complete.
    #[error("the connection ended before a complete greeting was received")]
    EndedBeforeGreeting,
    /// This side closed the connection, or could not send a message: encoding or writing it failed.
    #[error("closed by this side, or a message could not be sent")]
    ClosedLocally,
    /// The other side closed the connection.
    #[error("closed by the other side")]
    ClosedByPeer,
    /// Reading failed.
    #[error("reading from the other side failed: {0}")]
    Read(#[source] io::Error),
    /// Writing failed.
    #[error("writing to the other side failed: {0}")]
    Write(#[source] io::Error),
    /// No complete message was received within the limit.
    #[error("the other side is silent: no message received for {} ms", SILENCE_TIMEOUT.as_millis())]
    Silent,
    /// The other side sent an invalid greeting or frame.
    #[error(transparent)]
    Refused(InvalidFrame),
}

impl CloseReason {
    /// Returns whether the other side sent an invalid greeting or frame, such as one made with another key or of
    /// another version. Reconnecting soon does not help: an operator has to correct that.
    pub fn is_refusal(&self) -> bool {
        matches!(self, CloseReason::Refused(_))
    }
}

impl From<InvalidFrame> for CloseReason {
    fn from(invalid: InvalidFrame) -> CloseReason {
        CloseReason::Refused(invalid)
    }
}

/// The two halves of an open connection, after both greetings.
pub struct Connection {
    /// Sends messages, or queues them.
    pub sender: Sender,
    /// Receives messages, and writes those that the sender has queued.
    pub receiver: Receiver,
}

/// The sending half of a connection.
pub struct Sender {
    outbound: Outbound,
    signer: FrameSigner,
}

/// The receiving half of a connection. Also writes the queued messages while it is polled.
pub struct Receiver {
    inbound: Inbound,
    outbound: Outbound,
    verifier: FrameVerifier,
    last_received_at: Instant,
}

/// Connects to a planner and exchanges greetings.
///
/// # Errors
///
/// If connecting fails or takes too long, or no valid greeting of a planner with the same key is received in time.
pub async fn connect(address: SocketAddr, key: &Key) -> Result<Connection, CloseReason> {
    let stream = timeout(GREETING_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| CloseReason::ConnectTimeout)?
        .map_err(CloseReason::Unreachable)?;
    greet(stream, key, Role::Forwarder, Role::Planner).await
}

/// Exchanges greetings on a connection that a planner has accepted.
///
/// # Errors
///
/// If no valid greeting of a forwarder with the same key is received in time.
pub async fn accept(stream: TcpStream, key: &Key) -> Result<Connection, CloseReason> {
    greet(stream, key, Role::Planner, Role::Forwarder).await
}

async fn greet(
    stream: TcpStream,
    key: &Key,
    own_role: Role,
    peer_role: Role,
) -> Result<Connection, CloseReason> {
    let (mut inbound, outbound) = link::split(stream);
    let sent = Greeting::new(own_role, rand::rng().random());
    outbound.send([sent.bytes(key)], [None, None]);
    count_message(MessageKind::Greeting.counters_out(), GREETING_BYTES);
    let received = timeout(
        GREETING_TIMEOUT,
        read_greeting(&mut inbound, key, peer_role),
    )
    .await
    .map_err(|_| CloseReason::GreetingTimeout)??;
    let (signer, verifier) = sent.keys(&received, key);
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
                count_message(MessageKind::Greeting.counters_in(), GREETING_BYTES);
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
    /// Returns whether the caller may send another message: the connection is open and its queue is not full.
    pub fn may_send(&self) -> bool {
        !self.outbound.is_closed() && self.outbound.pending_messages() < MAX_PENDING_MESSAGES
    }

    /// Writes a message, or queues it. A message that can't be encoded or is too long for a frame ends the connection.
    pub fn send(&mut self, message: &(impl Serialize + Message)) {
        match self.signer.sign(message) {
            Ok(bytes) => {
                count_message(message.kind().counters_out(), bytes.len());
                self.outbound.send([bytes], [None, None]);
            }
            Err(invalid) => {
                let kind = message.kind();
                log::error!("cannot send a {kind:?} message: {invalid}; closing the connection");
                self.outbound.close();
            }
        }
    }

    /// Ends the connection. Messages that are still queued are discarded.
    pub fn end(&self) {
        self.outbound.close();
    }
}

impl Receiver {
    /// Returns the next message. Cancel-safe: dropping the future loses no bytes.
    ///
    /// # Errors
    ///
    /// If the connection has ended, or has to be closed because of an invalid frame.
    pub async fn receive<T: DeserializeOwned + Message>(&mut self) -> Result<T, CloseReason> {
        loop {
            if self.outbound.is_closed() {
                return Err(CloseReason::ClosedLocally);
            }
            let buffered_before = self.inbound.bytes.len();
            match self.verifier.verify::<T>(&mut self.inbound.bytes)? {
                Parsed::Complete(message) => {
                    let length = buffered_before - self.inbound.bytes.len();
                    count_message(message.kind().counters_in(), length);
                    self.last_received_at = Instant::now();
                    return Ok(message);
                }
                Parsed::Incomplete(missing) => self.read_and_write(missing).await?,
            }
        }
    }

    /// Waits until bytes were read, queued bytes were written, or the sender has queued a message or ended the
    /// connection.
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
            () = sleep_until(self.last_received_at + SILENCE_TIMEOUT) => Err(CloseReason::Silent),
            () = self.outbound.notified() => Ok(()),
        }
    }
}
