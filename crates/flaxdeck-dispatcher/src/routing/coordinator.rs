//! Following the coordinator, and changing over to what a later configuration says of it.

use std::rc::Rc;

use flaxdeck_channel::watch::{NumberedEvents, Watch, WatchEvent};
use flaxdeck_net::budget::Bounds;

use super::Router;

/// What a later configuration says of the coordinator.
pub(super) struct LaterConfiguration {
    watch: Watch,
    known: NumberedEvents,
}

impl Router {
    /// Follows the coordinator until the router's tasks end.
    pub(super) async fn follow_coordinator(self: Rc<Router>, mut watch: Watch) {
        if let Some(client) = self.control_client.get() {
            client.go_live();
        }
        loop {
            tokio::select! {
                needed = self.coordinator_need_changed() => {
                    // What a link was asked for may have been replaced since.
                    watch.set_paused(true);
                    watch.set_paused(!needed);
                }
                event = watch.next() => self.apply_watch_event(&watch, event),
                () = self.configuration_changed.notified() => self.change_over(&mut watch),
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
        let client = self.control_client.get().filter(|_| watch.is_current());
        match event {
            WatchEvent::Heartbeat => {}
            WatchEvent::Event {
                position, event, ..
            } => {
                if let Some(client) = client {
                    client.compare_clocks(self, &event);
                }
                self.apply_event(position, event);
            }
            WatchEvent::FullList {
                position,
                list,
                missed,
            } => {
                self.adopt_list(position, list, missed);
            }
        }
        if let Some(client) = client {
            client.coordinator_current(self);
        }
    }

    /// Changes over to the coordinator of a later configuration, and applies its events that are new here.
    fn change_over(&self, watch: &mut Watch) {
        let Some(later) = self.later_configuration.take() else {
            return;
        };
        let events = watch.switch_coordinator(later.watch, later.known);
        let position = watch.numbering().borrow().last();
        for event in events {
            self.apply_event(position, event);
        }
    }

    /// Takes over what a later configuration may change under load; open requests notice nothing. The bounds hold at
    /// once, the coordinator is changed at the watch's next turn.
    pub(crate) fn reload(&self, bounds: Bounds, watch: Watch, known: NumberedEvents) {
        self.slots.resize(bounds.requests);
        self.request_bytes.resize(bounds.request_bytes);
        self.answer_bytes.resize(bounds.response_bytes);
        self.clients.resize(bounds.clients);
        self.host_connections.resize(bounds.hosts);
        *self.later_configuration.borrow_mut() = Some(LaterConfiguration { watch, known });
        self.configuration_changed.notify_one();
    }
}
