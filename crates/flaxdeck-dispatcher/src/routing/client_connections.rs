//! All connections of clients: how many there may be, and which make room for others.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::{Rc, Weak};

use flaxdeck_net::budget::Budget;
use flaxdeck_net::eviction;
use flaxdeck_net::eviction::Eviction;
use flaxdeck_net::metrics::{Counter, count};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::clients::Client;
use super::request_table::RequestTable;
use super::task_set::TaskSet;

/// Connections that were ended here while the other side has not ended them yet: their descriptors are of those that
/// are no client's and no host's.
const MAX_ENDING: usize = 8;

/// Owns the connections of clients and the tasks that serve them.
pub(super) struct ClientConnections {
    /// A permit for each connection that is not ending.
    pub(super) budget: Budget,
    open: RefCell<Vec<Weak<Client>>>,
    /// What ends those that are being ended, the longest at it first.
    ending: RefCell<VecDeque<AbortHandle>>,
    /// This process ends: no client is taken any more.
    is_closing: Cell<bool>,
    /// The listener is waited for: no connection is left that the system accepted and this process did not.
    is_listener_empty: Cell<bool>,
    /// One for each connection.
    pub(super) tasks: TaskSet,
}

impl ClientConnections {
    /// With room for so many.
    pub(super) fn new(max: usize) -> ClientConnections {
        ClientConnections {
            budget: Budget::new(max),
            open: RefCell::default(),
            ending: RefCell::default(),
            is_closing: Cell::new(false),
            is_listener_empty: Cell::new(false),
            tasks: TaskSet::default(),
        }
    }

    /// From now on there is room for so many.
    pub(super) fn resize(&self, max: usize) {
        self.budget.resize(max);
    }

    /// Adds a connection that was just accepted.
    pub(super) fn add(&self, client: Weak<Client>) {
        self.open.borrow_mut().push(client);
    }

    /// Forgets those that have ended.
    pub(super) fn forget_ended(&self) {
        self.open
            .borrow_mut()
            .retain(|client| client.strong_count() > 0);
    }

    /// A connection is being ended; the one that is longest at it goes if they are too many.
    pub(super) fn add_ending(&self, ending: AbortHandle) {
        let mut all = self.ending.borrow_mut();
        all.push_back(ending);
        if all.len() > MAX_ENDING
            && let Some(longest) = all.pop_front()
        {
            longest.abort();
        }
    }

    /// Whether this process ends.
    pub(super) fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// The listener is waited for, or has accepted one.
    pub(super) fn set_listener_empty(&self, is_empty: bool) {
        self.is_listener_empty.set(is_empty);
    }

    fn all(&self) -> Vec<Rc<Client>> {
        self.open
            .borrow()
            .iter()
            .filter_map(Weak::upgrade)
            .collect()
    }

    /// Whether a client has sent something that was not read to its end, or is not accepted yet.
    pub(super) fn has_unread(&self) -> bool {
        !self.is_listener_empty.get() || self.all().iter().any(|client| client.has_unread())
    }

    /// Whether no connection is left, ending ones included.
    pub(super) fn is_empty(&self) -> bool {
        self.budget.in_use() == 0 && self.ending.borrow().iter().all(AbortHandle::is_finished)
    }

    /// Ends all connections, those too that are accepted from now on; what comes on them is not taken any more.
    pub(super) fn close(&self) {
        self.is_closing.set(true);
        for client in self.all() {
            client.close();
        }
    }

    /// Closes resting connections, so that others find room.
    pub(super) fn evict(&self, requests: &RequestTable) {
        let candidates: Vec<Candidate> = self
            .all()
            .into_iter()
            .map(|client| Candidate { requests, client })
            .collect();
        match eviction::choose(&candidates, Instant::now()) {
            Eviction::Silent(silent) => {
                for candidate in silent {
                    count(Counter::clients_closed_silent);
                    candidate.client.close();
                }
            }
            Eviction::Idle(candidate) => {
                count(Counter::clients_closed_idle);
                candidate.client.close();
            }
            Eviction::Nothing => {}
        }
    }
}

/// A client's connection that may have to make room.
struct Candidate<'a> {
    requests: &'a RequestTable,
    client: Rc<Client>,
}

impl eviction::Connection for Candidate<'_> {
    fn has_sent(&self) -> bool {
        self.client.has_sent()
    }

    fn quiet_since(&self) -> Instant {
        self.client.quiet_since()
    }

    fn is_busy(&self) -> bool {
        self.client.is_busy(self.requests)
    }

    // After a pause of this process what its clients have sent may lie unread: who has sent something is not silent.
    fn has_unread(&self) -> bool {
        self.client.has_unread_bytes()
    }
}
