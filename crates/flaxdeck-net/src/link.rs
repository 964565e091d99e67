//! One connection: what came in and is not parsed yet, and what is to go out, in gathered writes.

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

use super::budget::Permit;

/// Bytes asked for at a read of small messages: a head or two and a small object.
const READ: usize = 8 * 1024;
/// Pieces of one gathered write; a head, a body and a tail make three.
const PIECES: usize = 48;
/// How long the other side has to end a connection that was ended here: a few trips of a far one, and a lost segment.
pub const LINGER: Duration = Duration::from_millis(500);
/// Bytes that are read and dropped meanwhile: all that a client may have had on its way by the protocol.
const MAX_DRAINED: usize = 2 * 1024 * 1024;

/// The reading side.
pub struct Inbound {
    stream: Rc<TcpStream>,
    pub bytes: BytesMut,
}

impl Inbound {
    /// Waits for more bytes, `want` of them if that many are known to be coming; false at the end.
    pub async fn more(&mut self, want: usize) -> io::Result<bool> {
        loop {
            self.stream.readable().await?;
            self.bytes.reserve(want.max(READ));
            match self.stream.try_read_buf(&mut self.bytes) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
                read => return read.map(|count| count > 0),
            }
        }
    }

    /// Gives the buffer's memory back if nothing is in it; what was taken out may go on holding its own.
    pub fn rest(&mut self) {
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new();
        }
    }

    /// Whether the other side has closed, or sent what nobody asked for, since the last read.
    pub fn stale(&mut self) -> bool {
        let quiet = self.stream.try_read(&mut [0; 1]);
        !self.bytes.is_empty()
            || !matches!(quiet, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }
}

/// Ends a connection from this side: what is queued is written, the writing side is shut, and what still comes is read
/// and dropped until the other side has ended too, for so long at the most.
// Guards against a close over unread bytes: that resets the connection, and answers which the other side has not read
// yet go with it.
pub async fn end(inbound: &mut Inbound, outbound: &Outbound, within: Duration) {
    let ended = async {
        outbound.flush().await.ok()?;
        SockRef::from(&*outbound.stream)
            .shutdown(Shutdown::Write)
            .ok()?;
        let mut drained = 0;
        loop {
            inbound.bytes.clear();
            let more = inbound
                .more(0)
                .await
                .ok()
                .filter(|more| *more && drained < MAX_DRAINED);
            drained += more.map(|_| inbound.bytes.len())?;
        }
    };
    let _: Result<Option<()>, _> = timeout(within, ended).await; // whoever has not ended by then is left to the system
    outbound.drop_queue();
}

/// A message to go out, with the places that it holds until it is written.
struct Parcel {
    pieces: VecDeque<Bytes>,
    _places: [Option<Permit>; 2],
}

struct Queue {
    parcels: VecDeque<Parcel>,
    /// Nothing more is taken to be sent.
    closed: bool,
    /// Nothing more can be written.
    broken: bool,
    /// Since when the other side has taken nothing of what waits for it; none while nothing waits.
    stuck_since: Option<Instant>,
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
    Nothing,
    Bytes,
    /// The other side has closed or reset the connection, or shut its writing side.
    End,
}

pub fn split(stream: TcpStream) -> (Inbound, Outbound) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("TCP_NODELAY not set: {error}");
    }
    let stream = Rc::new(stream);
    let queue = Rc::new(RefCell::new(Queue {
        parcels: VecDeque::new(),
        closed: false,
        broken: false,
        stuck_since: None,
    }));
    let inbound = Inbound {
        stream: stream.clone(),
        bytes: BytesMut::new(),
    };
    (
        inbound,
        Outbound {
            stream,
            queue,
            changed: Rc::new(Notify::new()),
        },
    )
}

/// Opens a connection; how long that may take is the caller's matter.
pub async fn connect(address: SocketAddr) -> io::Result<(Inbound, Outbound)> {
    TcpStream::connect(address).await.map(split)
}

impl Outbound {
    /// Queues one message and writes what the connection takes at once.
    pub fn send(&self, pieces: impl IntoIterator<Item = Bytes>, places: [Option<Permit>; 2]) {
        if self.is_closed() {
            return;
        }
        let pieces = pieces
            .into_iter()
            .filter(|piece| !piece.is_empty())
            .collect();
        self.queue.borrow_mut().parcels.push_back(Parcel {
            pieces,
            _places: places,
        });
        if self.write().is_err() || self.pending() {
            self.changed.notify_one();
        }
    }

    pub fn pending(&self) -> bool {
        self.waiting() > 0
    }

    /// Messages that are not written to their end.
    pub fn waiting(&self) -> usize {
        self.queue.borrow().parcels.len()
    }

    /// Since when the other side has taken nothing of what waits for it; none while nothing waits.
    pub fn stuck_since(&self) -> Option<Instant> {
        self.queue.borrow().stuck_since
    }

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
        self.queue.borrow_mut().parcels.clear();
    }

    /// Waits until something is left to be written or the connection is to end.
    pub async fn notified(&self) {
        self.changed.notified().await;
    }

    /// Writes what the connection takes, once it takes something.
    pub async fn step(&self) -> io::Result<()> {
        self.stream.writable().await?;
        self.write()
    }

    /// Writes all that is queued.
    pub async fn flush(&self) -> io::Result<()> {
        while self.pending() {
            self.step().await?;
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
            let mut slices = [IoSlice::new(&[]); PIECES];
            let pieces = queue.parcels.iter().flat_map(|parcel| &parcel.pieces);
            let used = pieces
                .zip(&mut slices)
                .map(|(piece, slice)| *slice = IoSlice::new(piece))
                .count();
            if used == 0 {
                queue.parcels.clear();
                queue.stuck_since = None;
                return Ok(());
            }
            match self.stream.try_write_vectored(&slices[..used]) {
                Ok(count) => {
                    queue.written(count);
                    queue.stuck_since = None;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    queue.stuck_since.get_or_insert_with(Instant::now);
                    return Ok(());
                }
                Err(error) => {
                    (queue.closed, queue.broken) = (true, true);
                    queue.parcels.clear();
                    return Err(error);
                }
            }
        }
    }
}

impl Queue {
    fn written(&mut self, mut count: usize) {
        while let Some(parcel) = self.parcels.front_mut() {
            while let Some(piece) = parcel.pieces.front_mut() {
                let part = piece.len().min(count);
                piece.advance(part);
                count -= part;
                if !piece.is_empty() {
                    return;
                }
                parcel.pieces.pop_front();
            }
            self.parcels.pop_front();
            if count == 0 {
                return;
            }
        }
    }
}
