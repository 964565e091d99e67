//! The task that follows the coordinator.

use std::rc::Rc;

use flaxdeck_channel::watch::{Watch, WatchEvent};

use crate::state::State;

/// Applies the coordinator's events and relays them to forwarders. Runs until the task is aborted.
pub(crate) async fn follow(state: Rc<State>, mut watch: Watch) {
    loop {
        let relayed = match watch.next().await {
            WatchEvent::Heartbeat | WatchEvent::CaughtUp => None,
            WatchEvent::Event {
                position,
                frame,
                event,
            } => Some(state.apply_event(position, &frame, event)),
            WatchEvent::FullList {
                position,
                list,
                missed,
            } => {
                tracing::warn!(
                    ?position,
                    ?missed,
                    "the coordinator's numbering is another: its list is taken anew"
                );
                state.apply_list(list);
                state.restart_log_at(position);
                None
            }
        };
        state.coordinator_heard(relayed, &watch);
    }
}
