//! The open requests of one client connection, and until when an answer is owed on it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// How long after a client's own time-out an answer may still be delivered; after that the request is lost anyway.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(500);

/// Counts the open requests of a connection. A time limit must not end the connection while one of them is owed an
/// answer.
#[derive(Default)]
pub(super) struct OpenRequests {
    count: Cell<usize>,
    answers_due: Cell<Option<Instant>>,
    ended: Notify,
}

/// One open request; dropped when the request is answered or its client has left.
pub(super) struct OpenRequest(Rc<OpenRequests>);

impl OpenRequests {
    /// Adds a request whose client waits for the answer until that time.
    pub(super) fn add(self: &Rc<OpenRequests>, client_waits_until: Instant) -> OpenRequest {
        self.count.set(self.count.get() + 1);
        self.note_waiting_until(client_waits_until);
        OpenRequest(self.clone())
    }

    /// Notes that the client waits until that time for an answer that involves no host.
    pub(super) fn note_waiting_until(&self, time: Instant) {
        let due = time + MAX_ANSWER_DELAY;
        self.answers_due.set(self.answers_due.get().max(Some(due)));
    }

    /// Whether a request is open.
    pub(super) fn any(&self) -> bool {
        self.count.get() > 0
    }

    /// The latest time at which an answer to any request so far may still be delivered; none before the first request.
    pub(super) fn answers_due(&self) -> Option<Instant> {
        self.answers_due.get()
    }

    /// Waits until a request ends.
    pub(super) async fn ended(&self) {
        self.ended.notified().await;
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.ended.notify_one();
    }
}
