//! What bounds memory and descriptors, derived from the limits of the configuration.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::pin::pin;
use std::rc::Rc;

use tokio::sync::Notify;

/// Descriptors kept for the listener, the coordinator, the runtime and standard streams.
pub const OWN_SOCKETS: usize = 24;
/// Descriptors with which there is one for a client and one for a host.
pub const MIN_SOCKETS: u64 = OWN_SOCKETS as u64 + 2;
/// The fraction of the memory limit that requests may take beside the bytes they carry. What this and the next leave
/// is for the program, its tables and what the allocator can't give back.
const REQUESTS_FRACTION: f64 = 0.2;
/// The fraction of the memory limit for the bytes of requests and their responses.
const BYTES_FRACTION: f64 = 0.4;
/// Bytes that one request takes beside those it carries: its task, its entries in tables, its connection's read buffer.
pub const REQUEST_OVERHEAD: f64 = 16.0 * 1024.0;
/// Bytes of the largest message that counts with its connection or request; a larger one acquires a permit of its own
/// before it is read.
pub const MAX_SMALL_MESSAGE: usize = 8 * 1024;
/// Bytes of the largest object that the protocol provides for.
pub const MAX_OBJECT: usize = 240_000;
/// Bytes of the largest write that the protocol provides for.
pub const MAX_WRITE: usize = 48_000;
/// Bytes of one message of a client: the largest write, and as much again as fields could need.
pub const MAX_MESSAGE: usize = MAX_WRITE + 16 * 1024;

/// How much of everything this process may hold.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to hosts.
    pub hosts: usize,
    /// Requests that are open or whose answers are not written yet.
    pub requests: usize,
    /// Bytes that clients' messages may hold together. A response waits for memory while its request holds some, so
    /// with one budget for both all of it could be held by requests whose responses wait for it.
    pub request_bytes: usize,
    /// Bytes that responses may hold together.
    pub response_bytes: usize,
}

impl Bounds {
    /// The bounds within a memory limit in MiB and a number of descriptors.
    pub fn of(memory_mb: f64, sockets: usize) -> Bounds {
        let clients = (sockets / 3).max(1);
        let hosts = sockets.saturating_sub(clients + OWN_SOCKETS).max(1);
        let memory = memory_mb.max(0.0) * 1024.0 * 1024.0;
        // Each client may have the start of a message here that is no request yet.
        let bytes =
            ((memory * BYTES_FRACTION) as usize).saturating_sub(clients * MAX_SMALL_MESSAGE);
        let bytes = bytes.max(MAX_WRITE + MAX_OBJECT);
        let request_bytes = bytes / (MAX_WRITE + MAX_OBJECT) * MAX_WRITE;
        Bounds {
            clients,
            hosts,
            requests: ((memory * REQUESTS_FRACTION / REQUEST_OVERHEAD) as usize).max(1),
            request_bytes,
            response_bytes: bytes - request_bytes,
        }
    }
}

struct Shared {
    in_use: Cell<usize>,
    capacity: Cell<usize>,
    /// Some units have been released, or who waits first has changed.
    released: Notify,
    /// The tickets of those who wait, in the order in which they came.
    waiting: RefCell<VecDeque<u64>>,
    next_ticket: Cell<u64>,
}

/// A counting semaphore for one thread, first come, first served: so many units, held by [`Permit`]s.
pub struct Budget(Rc<Shared>);

/// A place in the queue for units, given up when dropped.
struct Waiter<'a> {
    shared: &'a Shared,
    ticket: u64,
}

/// Units of a budget, released when dropped.
pub struct Permit {
    shared: Rc<Shared>,
    units: usize,
}

impl Budget {
    /// A budget of which nothing is in use.
    pub fn new(capacity: usize) -> Budget {
        Budget(Rc::new(Shared {
            in_use: Cell::new(0),
            capacity: Cell::new(capacity),
            released: Notify::new(),
            waiting: RefCell::default(),
            next_ticket: Cell::new(0),
        }))
    }

    /// Sets the capacity. Under what is in use, nothing more is acquired until enough has been released.
    pub fn resize(&self, capacity: usize) {
        self.0.capacity.set(capacity);
        self.0.released.notify_waiters();
    }

    /// One unit, if one is free and nobody waits.
    pub fn try_acquire(&self) -> Option<Permit> {
        self.try_acquire_many(1)
    }

    /// So many units at once, if they are free and nobody waits for any.
    pub fn try_acquire_many(&self, units: usize) -> Option<Permit> {
        let has_waiters = units > 0 && !self.0.waiting.borrow().is_empty();
        if has_waiters {
            return None;
        }
        self.acquire_free(units)
    }

    /// So many units if they are free, whoever waits.
    fn acquire_free(&self, units: usize) -> Option<Permit> {
        let in_use = self.in_use() + units;
        if in_use > self.0.capacity.get() {
            return None;
        }
        self.0.in_use.set(in_use);
        Some(Permit {
            shared: self.0.clone(),
            units,
        })
    }

    /// Waits for its turn and until so many units are free. A wish for more than the capacity gets all of it once nobody
    /// holds any. Dropping the future gives the turn up.
    // Guards against small wishes that are met past a large one for ever: first come, first served.
    pub async fn acquire_many(&self, units: usize) -> Permit {
        let waiter = self.enqueue();
        loop {
            let mut released = pin!(self.0.released.notified());
            released.as_mut().enable();
            let is_first = self.0.waiting.borrow().front() == Some(&waiter.ticket);
            if is_first && let Some(permit) = self.acquire_free(units.min(self.0.capacity.get())) {
                return permit;
            }
            released.await;
        }
    }

    fn enqueue(&self) -> Waiter<'_> {
        let ticket = self.0.next_ticket.get();
        self.0.next_ticket.set(ticket + 1);
        self.0.waiting.borrow_mut().push_back(ticket);
        Waiter {
            shared: &self.0,
            ticket,
        }
    }

    /// Waits for the memory of a message of so many bytes, before it is read. A message of at most
    /// [`MAX_SMALL_MESSAGE`], or one that has its permit already, acquires none.
    pub async fn reserve_for_message(&self, bytes: usize, permit: &mut Option<Permit>) {
        if bytes > MAX_SMALL_MESSAGE && permit.is_none() {
            *permit = Some(self.acquire_many(bytes).await);
        }
    }

    /// Units that permits hold.
    pub fn in_use(&self) -> usize {
        self.0.in_use.get()
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut waiting = self.shared.waiting.borrow_mut();
        waiting.retain(|ticket| *ticket != self.ticket);
        drop(waiting);
        self.shared.released.notify_waiters();
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let in_use = &self.shared.in_use;
        in_use.set(in_use.get().saturating_sub(self.units));
        self.shared.released.notify_waiters();
    }
}
