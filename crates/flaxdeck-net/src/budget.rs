//! What bounds memory and descriptors, derived from the limits handed in.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::pin::pin;
use std::rc::Rc;

use tokio::sync::Notify;

/// Descriptors kept for the listener, the coordinator, the runtime and standard streams.
pub const OWN_SOCKETS: usize = 24;
/// Descriptors with which there is one for a client and one for a host.
pub const MIN_SOCKETS: u64 = OWN_SOCKETS as u64 + 2;
/// The part of the memory limit that requests may take beside the bytes they carry, and the part for those bytes,
/// asked and answered; the rest is the program, its tables and what the allocator can't give back.
const PULLS_PART: f64 = 0.2;
const BYTES_PART: f64 = 0.4;
/// What one request takes beside the bytes it carries: its task, its places in tables, its connection's read buffer.
pub const PULL: f64 = 16.0 * 1024.0;
/// Bytes of a message that count with its connection or request; a larger one takes room of its own before it is read.
pub const SMALL: usize = 8 * 1024;
/// Bytes of the largest object that the protocol provides for.
pub const MAX_OBJECT: usize = 240_000;
/// Bytes of the largest write that the protocol provides for.
pub const MAX_WRITE: usize = 48_000;
/// Bytes of one message of a client: the largest write, and as much again as fields could need.
pub const MAX_MESSAGE: usize = MAX_WRITE + 16 * 1024;

/// How much of everything this process may hold.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub clients: usize,
    pub hosts: usize,
    pub requests: usize,
    /// Bytes that clients' messages may hold together, and the answers to them. An answer waits for room while its
    /// request holds some, so with one room for both all of it could be held by requests whose answers wait for it.
    pub asked: usize,
    pub answered: usize,
}

impl Bounds {
    pub fn of(memory_mb: f64, sockets: usize) -> Bounds {
        let clients = (sockets / 3).max(1);
        let hosts = sockets.saturating_sub(clients + OWN_SOCKETS).max(1);
        let memory = memory_mb.max(0.0) * 1024.0 * 1024.0;
        // Each client may have the start of a message here that is no request yet.
        let bytes = ((memory * BYTES_PART) as usize).saturating_sub(clients * SMALL);
        let bytes = bytes.max(MAX_WRITE + MAX_OBJECT);
        let asked = bytes / (MAX_WRITE + MAX_OBJECT) * MAX_WRITE;
        Bounds {
            clients,
            hosts,
            requests: ((memory * PULLS_PART / PULL) as usize).max(1),
            asked,
            answered: bytes - asked,
        }
    }
}

struct Inside {
    taken: Cell<usize>,
    most: Cell<usize>,
    /// Some places have been given back, or who waits first has changed.
    freed: Notify,
    /// Who waits for places, in the order in which they came.
    queue: RefCell<VecDeque<u64>>,
    next: Cell<u64>,
}

/// So many places, held by [`Permit`]s.
pub struct Budget(Rc<Inside>);

/// A turn in the queue for places, given up when dropped.
struct Turn<'a>(&'a Inside, u64);

/// So many places of a room, given back when dropped.
pub struct Permit {
    room: Rc<Inside>,
    places: usize,
}

impl Budget {
    pub fn new(most: usize) -> Budget {
        Budget(Rc::new(Inside {
            taken: Cell::new(0),
            most: Cell::new(most),
            freed: Notify::new(),
            queue: RefCell::default(),
            next: Cell::new(0),
        }))
    }
    /// With fewer places than are taken, none is free until enough have come back.
    pub fn resize(&self, most: usize) {
        self.0.most.set(most);
        self.0.freed.notify_waiters();
    }
    pub fn take(&self) -> Option<Permit> {
        self.take_some(1)
    }
    /// So many places at once, if they are free and nobody waits for any.
    pub fn take_some(&self, places: usize) -> Option<Permit> {
        let waited_for = places > 0 && !self.0.queue.borrow().is_empty();
        if waited_for {
            None
        } else {
            self.take_first(places)
        }
    }
    fn take_first(&self, places: usize) -> Option<Permit> {
        let taken = self.taken() + places;
        if taken > self.0.most.get() {
            return None;
        }
        self.0.taken.set(taken);
        Some(Permit {
            room: self.0.clone(),
            places,
        })
    }
    /// Waits for its turn and until so many are free; who asks for more than there are gets them once nobody holds any.
    // Guards against small wishes that are met past a large one for ever: first come, first served.
    pub async fn wait_for(&self, places: usize) -> Permit {
        let turn = Turn(&self.0, self.0.next.get());
        self.0.next.set(turn.1 + 1);
        self.0.queue.borrow_mut().push_back(turn.1);
        loop {
            let mut freed = pin!(self.0.freed.notified());
            freed.as_mut().enable();
            let first = self.0.queue.borrow().front() == Some(&turn.1);
            let place = if first {
                self.take_first(places.min(self.0.most.get()))
            } else {
                None
            };
            if let Some(place) = place {
                return place;
            }
            freed.await;
        }
    }
    /// Budget for a message of so many bytes, before it is read; a small one, or one that has it, takes none.
    pub async fn hold(&self, bytes: usize, held: &mut Option<Permit>) {
        if bytes > SMALL && held.is_none() {
            *held = Some(self.wait_for(bytes).await);
        }
    }
    pub fn taken(&self) -> usize {
        self.0.taken.get()
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.0.queue.borrow_mut().retain(|turn| *turn != self.1);
        self.0.freed.notify_waiters();
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.room
            .taken
            .set(self.room.taken.get().saturating_sub(self.places));
        self.room.freed.notify_waiters();
    }
}
