//! What bounds memory and descriptors, derived from the limits handed in.

use std::cell::Cell;
use std::rc::Rc;

/// Descriptors kept for the listener, the coordinator, the runtime and standard streams.
const OWN_SOCKETS: usize = 24;
/// The part of the memory limit that pulls may take; the rest is the program, tables and second copies.
const PULLS_PART: f64 = 0.6;
/// Bytes one pull can hold: an object at its largest and a write.
const PULL_MOST: usize = OBJECT_MOST + WRITE_MOST;
/// Bytes of the largest object that the protocol provides for.
pub const OBJECT_MOST: usize = 240_000;
/// Bytes of the largest write that the protocol provides for.
pub const WRITE_MOST: usize = 48_000;

/// How much of everything this process may hold.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub clients: usize,
    pub hosts: usize,
    pub pulls: usize,
}

impl Bounds {
    pub fn of(memory_mb: f64, sockets: usize) -> Bounds {
        let clients = (sockets / 3).max(1);
        let hosts = sockets.saturating_sub(clients + OWN_SOCKETS).max(1);
        let bytes = memory_mb.max(1.0) * 1024.0 * 1024.0 * PULLS_PART;
        Bounds { clients, hosts, pulls: ((bytes / PULL_MOST as f64) as usize).max(1) }
    }
}

/// So many places, each held by a [`Place`].
pub struct Room {
    taken: Rc<Cell<usize>>,
    most: Cell<usize>,
}

/// One place of a room, given back when dropped.
pub struct Place(Rc<Cell<usize>>);

impl Room {
    pub fn new(most: usize) -> Room {
        Room { taken: Rc::new(Cell::new(0)), most: Cell::new(most) }
    }
    /// With fewer places than are taken, none is free until enough have come back.
    pub fn resize(&self, most: usize) {
        self.most.set(most);
    }
    pub fn take(&self) -> Option<Place> {
        if self.is_full() {
            return None;
        }
        self.taken.set(self.taken.get() + 1);
        Some(Place(self.taken.clone()))
    }
    pub fn is_full(&self) -> bool {
        self.taken.get() >= self.most.get()
    }
    pub fn taken(&self) -> usize {
        self.taken.get()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
