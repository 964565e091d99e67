//! One TCP connection: what came in and is not parsed yet, and what is to go out, in gathered writes.
//!
//! [`Inbound`] belongs to the one task that reads; [`Outbound`] is cloned to all that write. Whoever owns the connection
//! ends it with [`close_gracefully`].

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

/// Least bytes of free buffer for a read: a head or two and a small object.
const MIN_READ: usize = 8 * 1024;
/// Slices of one gathered write; a head, a body and a tail make three.
const MAX_SLICES: usize = 48;
/// How long the other side has to end a connection that was ended here: a few round trips of a far one, and a lost
/// segment.
pub const LINGER: Duration = Duration::from_millis(500);
/// Bytes that are read and dropped meanwhile: all that a client may have had on its way by the protocol.
const MAX_DRAINED: usize = 2 * 1024 * 1024;

/// The reading side.
pub struct Inbound {
    stream: Rc<TcpStream>,
    /// What came in and is not parsed yet.
    pub bytes: BytesMut,
}

impl Inbound {
    /// Waits for more bytes, with room for `expected` of them if that many are known to be coming; false at the end.
    /// May be dropped and called again without loss.
    ///
    /// # Errors
    ///
    /// Those of the system; the connection is of no more use.
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

    /// Gives the buffer's memory back if nothing is in it; what was taken out may go on holding its own.
    pub fn release_buffer(&mut self) {
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new();
        }
    }

    /// Whether an idle connection is of no more use: the other side has closed it, or sent what nobody asked for.
    pub fn is_stale(&mut self) -> bool {
        let read = self.stream.try_read(&mut [0; 1]);
        let is_quiet = matches!(read, Err(error) if error.kind() == ErrorKind::WouldBlock);
        !self.bytes.is_empty() || !is_quiet
    }
}

/// Ends a connection from this side: what is queued is written, the writing side is shut, and what still comes is read
/// and dropped until the other side has ended too, for so long at the most.
// Guards against a close over unread bytes: that resets the connection, and answers which the other side has not read
// yet go with it.
pub async fn close_gracefully(inbound: &mut Inbound, outbound: &Outbound, within: Duration) {
    let closing = async {
        outbound.flush().await?;
        SockRef::from(&*outbound.stream).shutdown(Shutdown::Write)?;
        drain(inbound).await
    };
    let _: Result<io::Result<()>, _> = timeout(within, closing).await; // who has not ended by then is left to the system
    outbound.drop_queue();
}

/// Reads and drops what comes until the other side has ended, [`MAX_DRAINED`] bytes at most.
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

/// A message to go out, with the permits that it holds until it is written.
struct QueuedMessage {
    pieces: VecDeque<Bytes>,
    _permits: [Option<Permit>; 2],
}

struct Queue {
    messages: VecDeque<QueuedMessage>,
    /// Nothing more is taken to be sent.
    closed: bool,
    /// Nothing more can be written.
    broken: bool,
    /// Since when the other side has taken nothing of what waits for it; none while nothing waits.
    stalled_since: Option<Instant>,
}

/// The writing side, shared by all that write to the connection.
#[derive(Clone)]
pub struct Outbound {
    stream: Rc<TcpStream>,
    queue: Rc<RefCell<Queue>>,
    /// Something is left to be written, or the connection is to end.
    changed: Rc<Notify>,
}

/// What lies next to be read on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// Nothing has come.
    Nothing,
    /// Bytes have come.
    Bytes,
    /// The other side has closed or reset the connection, or shut its writing side.
    End,
}

/// Makes the two sides of a connection that is up.
pub fn split(stream: TcpStream) -> (Inbound, Outbound) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("TCP_NODELAY not set: {error}");
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

/// Opens a connection; how long that may take is the caller's matter.
///
/// # Errors
///
/// Those of the system: nobody listens there, or nothing comes back from there.
pub async fn connect(address: SocketAddr) -> io::Result<(Inbound, Outbound)> {
    TcpStream::connect(address).await.map(split)
}

impl Outbound {
    /// Queues one message and writes what the connection takes at once. The permits are released once all of it is
    /// written, or with the connection. Once the connection is closed nothing is queued.
    pub fn send(&self, pieces: impl IntoIterator<Item = Bytes>, permits: [Option<Permit>; 2]) {
        if self.is_closed() {
            return;
        }
        let pieces = pieces
            .into_iter()
            .filter(|piece| !piece.is_empty())
            .collect();
        self.queue.borrow_mut().messages.push_back(QueuedMessage {
            pieces,
            _permits: permits,
        });
        if self.write().is_err() || self.has_pending() {
            self.changed.notify_one();
        }
    }

    /// Whether a message is not written to its end.
    pub fn has_pending(&self) -> bool {
        self.pending_messages() > 0
    }

    /// Messages that are not written to their end.
    pub fn pending_messages(&self) -> usize {
        self.queue.borrow().messages.len()
    }

    /// Since when the other side has taken nothing of what waits for it; none while nothing waits.
    pub fn stalled_since(&self) -> Option<Instant> {
        self.queue.borrow().stalled_since
    }

    /// Whether nothing more is taken to be sent: the connection was closed here, or broke.
    pub fn is_closed(&self) -> bool {
        self.queue.borrow().closed
    }

    /// What has come from the other side that nobody here has read.
    pub fn unread(&self) -> Unread {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&*self.stream).peek(&mut byte) {
            Ok(1..) => Unread::Bytes,
            Err(error) if error.kind() == ErrorKind::WouldBlock => Unread::Nothing,
            _ => Unread::End,
        }
    }

    /// Whether bytes have come from the other side that nobody here has read.
    pub fn has_unread(&self) -> bool {
        self.unread() == Unread::Bytes
    }

    /// Waits until the other side has closed or reset the connection, or shut its writing side. Bytes that it sent before
    /// may lie unread: the system tells of the end as soon as it has come, not once it has been read up to.
    pub async fn peer_closed(&self) {
        // Of a stream, priority interest wakes for the end of reading alone: nothing here sends urgent bytes.
        if self.stream.ready(Interest::PRIORITY).await.is_err() {
            std::future::pending().await // the runtime ends
        }
    }

    /// Whether that is known to have happened already.
    pub fn is_peer_closed(&self) -> bool {
        let mut context = Context::from_waker(Waker::noop());
        pin!(self.peer_closed())
            .as_mut()
            .poll(&mut context)
            .is_ready()
    }

    /// Takes nothing more to send; the connection ends at its owner's next look, which writes what is queued.
    pub fn close(&self) {
        self.queue.borrow_mut().closed = true;
        self.changed.notify_one();
    }

    fn drop_queue(&self) {
        self.queue.borrow_mut().messages.clear();
    }

    /// Waits until something is left to be written or the connection is to end.
    pub async fn notified(&self) {
        self.changed.notified().await;
    }

    /// Waits until the connection takes something, and writes what it takes.
    ///
    /// # Errors
    ///
    /// Those of the system; the connection is of no more use.
    pub async fn write_some(&self) -> io::Result<()> {
        self.stream.writable().await?;
        self.write()
    }

    /// Writes all that is queued.
    ///
    /// # Errors
    ///
    /// Those of the system; [`ErrorKind::BrokenPipe`] where the connection had broken before.
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
                    queue.written(count);
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
    fn written(&mut self, mut count: usize) {
        while let Some(message) = self.messages.front_mut() {
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
