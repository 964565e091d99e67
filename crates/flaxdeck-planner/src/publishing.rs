//! The task that sends events to subscribers.

use std::rc::Rc;

use tokio::time::{Instant, sleep_until};

use crate::state::State;

/// Sends events to each subscriber when they are due. Runs until the task is aborted.
pub(crate) async fn publish(state: Rc<State>) {
    loop {
        let next_delivery = state.next_delivery();
        tokio::select! {
            () = sleep_until(next_delivery.unwrap_or_else(Instant::now)), if next_delivery.is_some() => {}
            () = state.schedule_changed() => {}
        }
        state.deliver();
    }
}
