//! All client connections: how many may be open, and which are closed to make room for new ones.

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

/// The most connections that this side has closed and the client has not. Their descriptors come out of those that are
/// reserved for neither clients nor hosts.
const MAX_LINGERING: usize = 8;

/// Owns the client connections and the tasks that serve them.
pub(super) struct ClientConnections {
    /// One permit for each connection that is not lingering.
    pub(super) budget: Budget,
    open: RefCell<Vec<Weak<Client>>>,
    /// The tasks that close connections gracefully, oldest first.
    lingering: RefCell<VecDeque<AbortHandle>>,
    /// Set when this process shuts down: connections that are accepted from then on are closed at once.
    is_shutting_down: Cell<bool>,
    /// Set while the accept loop waits for the listener: the kernel's backlog holds no connection that was not
    /// accepted.
    is_backlog_empty: Cell<bool>,
    /// One task for each connection.
    pub(super) tasks: TaskSet,
}

impl ClientConnections {
    /// Creates the set without connections, with room for `max` of them.
    pub(super) fn new(max: usize) -> ClientConnections {
        ClientConnections {
            budget: Budget::new(max),
            open: RefCell::default(),
            lingering: RefCell::default(),
            is_shutting_down: Cell::new(false),
            is_backlog_empty: Cell::new(false),
            tasks: TaskSet::default(),
        }
    }

    /// Changes the maximum number of connections.
    pub(super) fn resize(&self, max: usize) {
        self.budget.resize(max);
    }

    /// Adds a connection that was just accepted.
    pub(super) fn add(&self, client: Weak<Client>) {
        self.open.borrow_mut().push(client);
    }

    /// Removes the entries of connections that have ended.
    pub(super) fn remove_closed(&self) {
        self.open
            .borrow_mut()
            .retain(|client| client.strong_count() > 0);
    }

    /// Adds the task that closes a connection gracefully; beyond [`MAX_LINGERING`] the oldest one is aborted.
    pub(super) fn add_lingering(&self, task: AbortHandle) {
        let mut all = self.lingering.borrow_mut();
        all.push_back(task);
        if all.len() > MAX_LINGERING
            && let Some(oldest) = all.pop_front()
        {
            oldest.abort();
        }
    }

    /// Whether this process is shutting down.
    pub(super) fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.get()
    }

    /// Notes whether the accept loop waits for the listener, or has just accepted a connection.
    pub(super) fn set_backlog_empty(&self, is_empty: bool) {
        self.is_backlog_empty.set(is_empty);
    }

    fn all(&self) -> Vec<Rc<Client>> {
        self.open
            .borrow()
            .iter()
            .filter_map(Weak::upgrade)
            .collect()
    }

    /// Whether some client's connection is not accepted yet, or has input that was not read to the end of a message.
    pub(super) fn has_pending_input(&self) -> bool {
        !self.is_backlog_empty.get() || self.all().iter().any(|client| client.has_pending_input())
    }

    /// Whether no connection is left, not even a lingering one.
    pub(super) fn is_empty(&self) -> bool {
        self.budget.in_use() == 0 && self.lingering.borrow().iter().all(AbortHandle::is_finished)
    }

    /// Closes all connections, including those accepted from now on; nothing more is read from them.
    pub(super) fn close_all(&self) {
        self.is_shutting_down.set(true);
        for client in self.all() {
            client.close();
        }
    }

    /// Closes silent connections, or else the one that has been idle longest, to make room for new ones.
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

/// A client connection that may be closed to make room.
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

    // After a pause of this process, messages of its clients may be unread; a client with unread bytes is not silent.
    fn has_unread(&self) -> bool {
        self.client.has_unread_bytes()
    }
}
