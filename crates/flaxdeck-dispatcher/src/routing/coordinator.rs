//! Follows the coordinator's events, and switches to the coordinator of a reloaded configuration.

use std::rc::Rc;

use flaxdeck_channel::watch::{NumberedEvents, Watch, WatchEvent};
use flaxdeck_net::budget::Bounds;

use super::Router;

/// The coordinator of a reloaded configuration, and the events that the configuration holds.
pub(super) struct PendingReload {
    watch: Watch,
    configured_events: NumberedEvents,
}

impl Router {
    /// Receives and applies the coordinator's events until the router's tasks are aborted.
    pub(super) async fn follow_coordinator(self: Rc<Router>, mut watch: Watch) {
        if let Some(client) = self.control_client.get() {
            client.go_live();
        }
        loop {
            tokio::select! {
                needed = self.coordinator_need_changed() => {
                    // Closes the present connection first: the position that it was opened at may be outdated, as
                    // planners deliver events too.
                    watch.set_paused(true);
                    watch.set_paused(!needed);
                }
                event = watch.next() => self.apply_watch_event(&watch, event),
                () = self.reload_requested.notified() => self.apply_reload(&mut watch),
            }
        }
    }

    async fn coordinator_need_changed(&self) -> bool {
        match self.control_client.get() {
            Some(client) => client.coordinator_need_changed().await,
            None => std::future::pending().await,
        }
    }

    fn apply_watch_event(&self, watch: &Watch, event: WatchEvent) {
        let client = self.control_client.get();
        match event {
            WatchEvent::Heartbeat | WatchEvent::CaughtUp => {}
            WatchEvent::Event {
                position, event, ..
            } => {
                if let Some(client) = client.filter(|_| watch.is_live()) {
                    client.update_clock_offset(self, &event);
                }
                self.apply_event(position, event);
            }
            WatchEvent::FullList {
                position,
                list,
                missed,
            } => {
                self.replace_list(position, list, missed);
            }
        }
        if let Some(client) = client {
            client.note_coordinator_knowledge(self, watch.knowledge(&self.clock));
        }
    }

    /// Switches to the coordinator of a reloaded configuration, and applies those of its events that are new here.
    fn apply_reload(&self, watch: &mut Watch) {
        let Some(reload) = self.pending_reload.take() else {
            return;
        };
        let events = watch.switch_coordinator(reload.watch, reload.configured_events);
        let position = watch.numbering().borrow().last();
        for event in events {
            self.apply_event(position, event);
        }
    }

    /// Applies what a reloaded configuration may change while requests are served; open requests are not affected. The
    /// bounds apply at once; the task that follows the coordinator switches to the new one when it runs next.
    pub(crate) fn reload(&self, bounds: Bounds, watch: Watch, configured_events: NumberedEvents) {
        self.slots.resize(bounds.requests);
        self.request_bytes.resize(bounds.request_bytes);
        self.answer_bytes.resize(bounds.response_bytes);
        self.clients.resize(bounds.clients);
        self.run_history.borrow_mut().resize(bounds.remembered_runs);
        self.host_connections.resize(bounds.hosts);
        *self.pending_reload.borrow_mut() = Some(PendingReload {
            watch,
            configured_events,
        });
        self.reload_requested.notify_one();
    }
}
