//! The urgency of the next connection to the coordinator.

use std::cell::Cell;

use tokio::sync::Notify;

/// Whether the next connection to the coordinator is urgent: it is not while planners relay all of its events. Shared
/// between a [`Watch`](super::Watch), whose pauses depend on it, and the client of the planners, which sets it.
#[derive(Default)]
pub struct ExpeditedReconnect {
    is_relaxed: Cell<bool>,
    expedited: Notify,
}

impl ExpeditedReconnect {
    /// Makes the connection urgent, as no planner relays events: a pause in progress is cut short.
    pub fn expedite(&self) {
        self.is_relaxed.set(false);
        self.expedited.notify_one();
    }

    /// Sets whether planners relay all events, so that pauses may be longer. A change to false expedites the
    /// connection.
    pub fn set_relaxed(&self, is_relaxed: bool) {
        if self.is_relaxed.replace(is_relaxed) && !is_relaxed {
            self.expedite();
        }
    }

    pub(super) fn is_relaxed(&self) -> bool {
        self.is_relaxed.get()
    }

    /// Waits until the connection is expedited.
    pub(super) async fn expedited(&self) {
        self.expedited.notified().await;
    }
}
