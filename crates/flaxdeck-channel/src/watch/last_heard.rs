//! When all events of the coordinator were last known here.

use std::cell::Cell;

use tokio::sync::Notify;
use tokio::time::Instant;

/// The latest time at which all events were known here that the coordinator had. Shared between a
/// [`Watch`](super::Watch), which sets it, and the dispatcher, which stops relying on what it knows some time later.
pub struct LastHeard {
    at: Cell<Instant>,
    changed: Notify,
}

impl LastHeard {
    /// Begins with the present: the configuration of a process that starts holds all events so far.
    pub(super) fn now() -> LastHeard {
        LastHeard {
            at: Cell::new(Instant::now()),
            changed: Notify::new(),
        }
    }

    /// Notes that all events are known that the coordinator had at that time.
    pub(super) fn heard_at(&self, at: Instant) {
        self.at.set(self.at.get().max(at));
        self.changed.notify_one();
    }

    /// Returns that time.
    pub fn at(&self) -> Instant {
        self.at.get()
    }

    /// Waits until it changes.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}
