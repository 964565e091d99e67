//! Bounds on memory and descriptors, derived from the limits in the configuration, and permits that enforce them.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::pin::pin;
use std::rc::Rc;

use tokio::sync::Notify;

/// Descriptors reserved for the listener, the coordinator's connection, the runtime and the standard streams.
pub const RESERVED_SOCKETS: usize = 24;
/// The smallest usable number of descriptors: the reserved ones, one for a client and one for a host.
pub const MIN_SOCKETS: u64 = RESERVED_SOCKETS as u64 + 2;
/// The fraction of the memory limit available for the fixed overhead of requests. What this and the next fraction leave
/// over is for the program itself, its tables and memory that the allocator cannot return to the system.
const REQUEST_OVERHEAD_FRACTION: f64 = 0.2;
/// The fraction of the memory limit available for the bytes of requests and their responses.
const MESSAGE_BYTES_FRACTION: f64 = 0.4;
/// The fraction of the memory limit available for the history of requests that must not run a second time.
const RUN_HISTORY_FRACTION: f64 = 0.1;
/// Bytes that one entry of that history needs in its tables, which double their size when they are full.
pub const RUN_HISTORY_ENTRY: f64 = 100.0;
/// The most entries of that history.
const MAX_RUN_HISTORY: usize = 1 << 17;
/// Bytes that one request needs besides its message: its task, its table entries and its connection's read buffer.
pub const REQUEST_OVERHEAD: f64 = 16.0 * 1024.0;
/// Bytes of the largest message that is covered by the memory reserved for its connection or request; a larger one
/// needs a permit of its own before it is read.
pub const MAX_SMALL_MESSAGE: usize = 8 * 1024;
/// Bytes of the largest object that the protocol allows.
pub const MAX_OBJECT: usize = 240_000;
/// Bytes of the largest write that the protocol allows.
pub const MAX_WRITE: usize = 48_000;
/// Bytes of the largest client message: the largest write plus 16 KiB for the fields.
pub const MAX_MESSAGE: usize = MAX_WRITE + 16 * 1024;

/// Upper bounds on the connections, requests and message bytes that this process holds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Client connections.
    pub clients: usize,
    /// Host connections.
    pub hosts: usize,
    /// Requests that are open or whose answers have not been fully written.
    pub requests: usize,
    /// Total bytes of client messages. A request holds its memory while its response waits for memory, so a single
    /// budget for both could deadlock with all of it held by requests whose responses wait for some.
    pub request_bytes: usize,
    /// Total bytes of responses.
    pub response_bytes: usize,
    /// Requests that must not run a second time and are remembered after their end.
    pub remembered_runs: usize,
}

impl Bounds {
    /// Derives the bounds from a memory limit in MiB and a number of descriptors.
    pub fn of(memory_mb: f64, sockets: usize) -> Bounds {
        let clients = (sockets / 3).max(1);
        let hosts = sockets.saturating_sub(clients + RESERVED_SOCKETS).max(1);
        let memory = memory_mb.max(0.0) * 1024.0 * 1024.0;
        // Each client connection may buffer the start of a message that is not counted as a request yet.
        let bytes = ((memory * MESSAGE_BYTES_FRACTION) as usize)
            .saturating_sub(clients * MAX_SMALL_MESSAGE);
        let bytes = bytes.max(MAX_WRITE + MAX_OBJECT);
        let request_bytes = bytes / (MAX_WRITE + MAX_OBJECT) * MAX_WRITE;
        Bounds {
            clients,
            hosts,
            requests: ((memory * REQUEST_OVERHEAD_FRACTION / REQUEST_OVERHEAD) as usize).max(1),
            request_bytes,
            response_bytes: bytes - request_bytes,
            remembered_runs: ((memory * RUN_HISTORY_FRACTION / RUN_HISTORY_ENTRY) as usize)
                .clamp(1, MAX_RUN_HISTORY),
        }
    }
}

struct Shared {
    in_use: Cell<usize>,
    capacity: Cell<usize>,
    /// Wakes the waiters when units are released, the capacity changes or a waiter leaves the queue.
    released: Notify,
    /// Notified when units are asked for and are not free.
    wanted: Notify,
    /// The tickets of the waiters, in order of arrival.
    waiting: RefCell<VecDeque<u64>>,
    next_ticket: Cell<u64>,
}

/// A single-threaded counting semaphore that serves waiters in order of arrival; its units are held by [`Permit`]s.
pub struct Budget(Rc<Shared>);

/// A position in the queue of waiters, given up when dropped.
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
    /// Creates a budget with no units in use.
    pub fn new(capacity: usize) -> Budget {
        Budget(Rc::new(Shared {
            in_use: Cell::new(0),
            capacity: Cell::new(capacity),
            released: Notify::new(),
            wanted: Notify::new(),
            waiting: RefCell::default(),
            next_ticket: Cell::new(0),
        }))
    }

    /// Sets the capacity. If more units than that are in use, none can be acquired until enough have been released.
    pub fn resize(&self, capacity: usize) {
        self.0.capacity.set(capacity);
        self.0.released.notify_waiters();
    }

    /// Acquires one unit if one is free and nobody is waiting.
    pub fn try_acquire(&self) -> Option<Permit> {
        self.try_acquire_many(1)
    }

    /// Acquires `units` at once if they are free and nobody is waiting.
    pub fn try_acquire_many(&self, units: usize) -> Option<Permit> {
        let has_waiters = units > 0 && !self.0.waiting.borrow().is_empty();
        if !has_waiters && let Some(permit) = self.acquire_free(units) {
            return Some(permit);
        }
        self.0.wanted.notify_waiters();
        None
    }

    /// Waits until units are asked for that are not free.
    pub async fn wanted(&self) {
        self.0.wanted.notified().await;
    }

    /// Acquires `units` if they are free, regardless of waiters.
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

    /// Waits for its turn and until `units` are free. A request for more than the capacity is granted the whole
    /// capacity once nothing is in use. Dropping the future gives up the position in the queue.
    // Waiters are served strictly in order of arrival, so that small requests cannot starve a large one.
    pub async fn acquire_many(&self, units: usize) -> Permit {
        let waiter = self.enqueue();
        loop {
            let mut released = pin!(self.0.released.notified());
            released.as_mut().enable();
            let is_first = self.0.waiting.borrow().front() == Some(&waiter.ticket);
            if is_first && let Some(permit) = self.acquire_free(units.min(self.0.capacity.get())) {
                return permit;
            }
            self.0.wanted.notify_waiters();
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

    /// Waits for the memory of a message of `bytes` bytes before it is read, and stores the permit. A message of at
    /// most [`MAX_SMALL_MESSAGE`] bytes, or one that already has a permit, acquires none.
    pub async fn reserve_for_message(&self, bytes: usize, permit: &mut Option<Permit>) {
        if bytes > MAX_SMALL_MESSAGE && permit.is_none() {
            *permit = Some(self.acquire_many(bytes).await);
        }
    }

    /// The number of units held by permits.
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
