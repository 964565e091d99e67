//! One TCP connection: a buffer of received bytes that have not been parsed, and a queue of messages sent by vectored
//! writes.
//!
//! [`Inbound`] belongs to the one task that reads; every task that writes has a clone of [`Outbound`]. The owner of the
//! connection closes it with [`close_gracefully`].

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Waker};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::budget::Permit;

/// Minimum bytes of free buffer space for a read: enough for one or two message heads and a small object.
const MIN_READ: usize = 8 * 1024;
/// Maximum slices of one vectored write; a message usually has three: head, body and tail.
const MAX_SLICES: usize = 48;
/// How long the peer has to close its side after this side has closed: a few round trips of a distant peer, including
/// one retransmission.
pub const LINGER: Duration = Duration::from_millis(500);
/// Maximum bytes that are read and discarded while waiting for the peer to close: as much as the protocol lets a client
/// have in transit.
const MAX_DRAINED: usize = 2 * 1024 * 1024;

/// The reading side.
pub struct Inbound {
    stream: Rc<TcpStream>,
    /// Received bytes that have not been parsed.
    pub bytes: BytesMut,
}

impl Inbound {
    /// Waits for more bytes and appends them to the buffer, which gets free space for at least `expected` bytes.
    /// Returns false at the end of the stream. Cancel safe: dropping the future loses no bytes.
    ///
    /// # Errors
    ///
    /// Returns the system's error; the connection is then unusable.
    pub async fn read_more(&mut self, expected: usize) -> io::Result<bool> {
        loop {
            self.stream.readable().await?;
            self.bytes.reserve(expected.max(MIN_READ));
            match self.stream.try_read_buf(&mut self.bytes) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
                read => return read.map(|count| count > 0),
            }
        }
    }

    /// Frees the buffer if it is empty. Bytes split off from it earlier keep the allocation that they share.
    pub fn release_buffer(&mut self) {
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new();
        }
    }

    /// Whether an idle connection cannot be used any more: the peer has closed it or sent unsolicited bytes.
    pub fn is_stale(&mut self) -> bool {
        let read = self.stream.try_read(&mut [0; 1]);
        let is_quiet = matches!(read, Err(error) if error.kind() == ErrorKind::WouldBlock);
        !self.bytes.is_empty() || !is_quiet
    }
}

/// Closes a connection: writes the queue, shuts down the writing side, and reads and discards what still arrives until
/// the peer has closed too, but no longer than `within`.
// Closing a socket with unread received bytes resets the connection, and the peer loses answers it has not read yet.
pub async fn close_gracefully(inbound: &mut Inbound, outbound: &Outbound, within: Duration) {
    let closing = async {
        outbound.flush().await?;
        SockRef::from(&*outbound.stream).shutdown(Shutdown::Write)?;
        drain(inbound).await
    };
    // After a time-out or an error the rest of the close is left to the system.
    let _: Result<io::Result<()>, _> = timeout(within, closing).await;
    outbound.drop_queue();
}

/// Reads and discards bytes until the peer has closed, [`MAX_DRAINED`] bytes at most.
async fn drain(inbound: &mut Inbound) -> io::Result<()> {
    let mut drained = 0;
    loop {
        inbound.bytes.clear();
        let more = inbound.read_more(0).await?;
        if !more || drained >= MAX_DRAINED {
            return Ok(());
        }
        drained += inbound.bytes.len();
    }
}

/// A message to be sent, with the permits that it holds until it is fully written.
struct QueuedMessage {
    pieces: VecDeque<Bytes>,
    permits: [Option<Permit>; 2],
    /// A shorter message that may replace this one while none of it is written.
    substitute: Option<Bytes>,
}

struct Queue {
    messages: VecDeque<QueuedMessage>,
    /// No further messages are accepted.
    closed: bool,
    /// A write has failed, so nothing more can be written.
    broken: bool,
    /// Since when no byte of the queue could be written; none while nothing is blocked.
    stalled_since: Option<Instant>,
}

/// The writing side, shared by all tasks that write to the connection.
#[derive(Clone)]
pub struct Outbound {
    stream: Rc<TcpStream>,
    queue: Rc<RefCell<Queue>>,
    /// Wakes the owner when messages are left to be written or the connection is to be closed.
    changed: Rc<Notify>,
}

/// What the next read on a connection would find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// Nothing; a read would block.
    Nothing,
    /// Received bytes.
    Bytes,
    /// The peer has closed or reset the connection, or shut down its writing side.
    End,
}

/// Splits an established connection into its reading and its writing side.
pub fn split(stream: TcpStream) -> (Inbound, Outbound) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY: {error}");
    }
    let stream = Rc::new(stream);
    let queue = Queue {
        messages: VecDeque::new(),
        closed: false,
        broken: false,
        stalled_since: None,
    };
    let inbound = Inbound {
        stream: stream.clone(),
        bytes: BytesMut::new(),
    };
    let outbound = Outbound {
        stream,
        queue: Rc::new(RefCell::new(queue)),
        changed: Rc::new(Notify::new()),
    };
    (inbound, outbound)
}

/// Opens a connection, without a time-out of its own.
///
/// # Errors
///
/// Returns the system's error, for example if the connection is refused or the address cannot be reached.
pub async fn connect(address: SocketAddr) -> io::Result<(Inbound, Outbound)> {
    TcpStream::connect(address).await.map(split)
}

impl Outbound {
    /// Queues one message and writes as much of the queue as possible without blocking. The permits are released once
    /// the message is fully written or the queue is dropped. If the connection is closed, the message is discarded.
    pub fn send(&self, pieces: impl IntoIterator<Item = Bytes>, permits: [Option<Permit>; 2]) {
        self.enqueue(pieces, permits, None);
    }

    /// The same with a shorter message that [`Outbound::withdraw_unstarted`] may put in the place of this one.
    pub fn send_replaceable(
        &self,
        pieces: impl IntoIterator<Item = Bytes>,
        permits: [Option<Permit>; 2],
        substitute: Bytes,
    ) {
        self.enqueue(pieces, permits, Some(substitute));
    }

    fn enqueue(
        &self,
        pieces: impl IntoIterator<Item = Bytes>,
        permits: [Option<Permit>; 2],
        substitute: Option<Bytes>,
    ) {
        if self.is_closed() {
            return;
        }
        let pieces = pieces
            .into_iter()
            .filter(|piece| !piece.is_empty())
            .collect();
        self.queue.borrow_mut().messages.push_back(QueuedMessage {
            pieces,
            permits,
            substitute,
        });
        if self.write().is_err() || self.has_pending() {
            self.changed.notify_one();
        }
    }

    /// Replaces queued messages of which nothing is written by their substitutes, which releases their permits. Returns
    /// the number of messages replaced.
    pub fn withdraw_unstarted(&self) -> usize {
        let mut queue = self.queue.borrow_mut();
        let mut withdrawn = 0;
        for message in &mut queue.messages {
            if let Some(substitute) = message.substitute.take() {
                message.pieces = VecDeque::from([substitute]);
                message.permits = [None, None];
                withdrawn += 1;
            }
        }
        withdrawn
    }

    /// Whether the queue holds a message that is not fully written.
    pub fn has_pending(&self) -> bool {
        self.pending_messages() > 0
    }

    /// The number of messages that are not fully written.
    pub fn pending_messages(&self) -> usize {
        self.queue.borrow().messages.len()
    }

    /// Since when the peer has accepted none of the queued bytes; none while nothing is blocked.
    pub fn stalled_since(&self) -> Option<Instant> {
        self.queue.borrow().stalled_since
    }

    /// Whether further messages are discarded, because [`Outbound::close`] was called or a write has failed.
    pub fn is_closed(&self) -> bool {
        self.queue.borrow().closed
    }

    /// Checks for unread received bytes or the end of the stream without reading; costs a system call.
    pub fn unread(&self) -> Unread {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&*self.stream).peek(&mut byte) {
            Ok(1..) => Unread::Bytes,
            Err(error) if error.kind() == ErrorKind::WouldBlock => Unread::Nothing,
            _ => Unread::End,
        }
    }

    /// Whether received bytes have not been read yet.
    pub fn has_unread(&self) -> bool {
        self.unread() == Unread::Bytes
    }

    /// Waits until the peer has closed or reset the connection, or shut down its writing side. The system signals this
    /// as soon as it happens, even while earlier bytes are still unread.
    pub async fn peer_closed(&self) {
        // Priority readiness signals urgent data or a closed read side, and no flaxdeck protocol uses urgent data.
        if self.stream.ready(Interest::PRIORITY).await.is_err() {
            std::future::pending().await // the runtime is shutting down
        }
    }

    /// Whether [`Outbound::peer_closed`] would return at once.
    pub fn is_peer_closed(&self) -> bool {
        let mut context = Context::from_waker(Waker::noop());
        pin!(self.peer_closed())
            .as_mut()
            .poll(&mut context)
            .is_ready()
    }

    /// Accepts no further messages and wakes the owner, which writes the queue and closes the connection.
    pub fn close(&self) {
        self.queue.borrow_mut().closed = true;
        self.changed.notify_one();
    }

    fn drop_queue(&self) {
        self.queue.borrow_mut().messages.clear();
    }

    /// Waits until messages are left to be written or the connection is to be closed.
    pub async fn notified(&self) {
        self.changed.notified().await;
    }

    /// Waits until the connection is writable and writes as much of the queue as possible.
    ///
    /// # Errors
    ///
    /// Returns the system's error; the connection is then unusable.
    pub async fn write_some(&self) -> io::Result<()> {
        self.stream.writable().await?;
        self.write()
    }

    /// Writes the complete queue.
    ///
    /// # Errors
    ///
    /// Returns the system's error; [`ErrorKind::BrokenPipe`] if an earlier write has failed.
    pub async fn flush(&self) -> io::Result<()> {
        while self.has_pending() {
            self.write_some().await?;
        }
        if self.queue.borrow().broken {
            Err(ErrorKind::BrokenPipe.into())
        } else {
            Ok(())
        }
    }

    fn write(&self) -> io::Result<()> {
        let mut queue = self.queue.borrow_mut();
        loop {
            let mut slices = [IoSlice::new(&[]); MAX_SLICES];
            let pieces = queue.messages.iter().flat_map(|message| &message.pieces);
            let used = pieces
                .zip(&mut slices)
                .map(|(piece, slice)| *slice = IoSlice::new(piece))
                .count();
            if used == 0 {
                queue.messages.clear();
                queue.stalled_since = None;
                return Ok(());
            }
            match self.stream.try_write_vectored(&slices[..used]) {
                Ok(count) => {
                    queue.advance(count);
                    queue.stalled_since = None;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    queue.stalled_since.get_or_insert_with(Instant::now);
                    return Ok(());
                }
                Err(error) => {
                    queue.closed = true;
                    queue.broken = true;
                    queue.messages.clear();
                    return Err(error);
                }
            }
        }
    }
}

impl Queue {
    /// Removes `count` written bytes from the front of the queue, and the messages that are thereby complete.
    fn advance(&mut self, mut count: usize) {
        while let Some(message) = self.messages.front_mut() {
            if count > 0 {
                message.substitute = None;
            }
            while let Some(piece) = message.pieces.front_mut() {
                let part = piece.len().min(count);
                piece.advance(part);
                count -= part;
                if !piece.is_empty() {
                    return;
                }
                message.pieces.pop_front();
            }
            self.messages.pop_front();
            if count == 0 {
                return;
            }
        }
    }
}
