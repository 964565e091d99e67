//! How urgent the next connection to the coordinator is.

use std::cell::Cell;

use tokio::sync::Notify;

/// Whether others bring the coordinator's events meanwhile, so that a connection to it has time. Shared between a
/// [`Watch`](super::Watch), which waits by it, and whoever knows of the others, who sets it.
#[derive(Default)]
pub struct ExpeditedReconnect {
    calm: Cell<bool>,
    expedited: Notify,
}

impl ExpeditedReconnect {
    /// Nobody else can be asked: a pause that is under way ends.
    pub fn expedite(&self) {
        self.calm.set(false);
        self.expedited.notify_one();
    }

    /// Whether others bring the events. Once they do no more, the next connection is expedited.
    pub fn set_calm(&self, calm: bool) {
        if self.calm.replace(calm) && !calm {
            self.expedite();
        }
    }

    pub(super) fn is_calm(&self) -> bool {
        self.calm.get()
    }

    /// Waits until the connection is expedited.
    pub(super) async fn expedited(&self) {
        self.expedited.notified().await;
    }
}
