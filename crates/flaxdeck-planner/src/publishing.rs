//! Sending events to subscribers.

use std::rc::Rc;

use tokio::time::{Instant, sleep_until};

use crate::state::State;

/// Sends events to each subscriber when it is due, until it is aborted.
pub(crate) async fn publish(state: Rc<State>) {
    loop {
        let next = state.next_delivery();
        tokio::select! {
            () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {}
            () = state.schedule_changed() => {}
        }
        state.deliver();
    }
}
