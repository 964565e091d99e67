//! The state on disk: what an earlier run left is taken up, what follows is stored.

use std::rc::Rc;

use flaxdeck::polled::Input;
use flaxdeck::{Observation, Time};
use flaxdeck_channel::watch::Event;
use flaxdeck_net::metrics::{Counter, assert_invariant, count};
use flaxdeck_recovery::EventPosition;
use tokio::sync::mpsc::UnboundedReceiver;

use super::ControlClient;
use crate::routing::Router;
use crate::routing::persistence::{PreviousState, StateDirectory, StateWriter, WriteEvent};

/// Acts on what the writer's thread answers, until the client is stopped.
async fn receive_write_events(
    client: Rc<ControlClient>,
    mut events: UnboundedReceiver<WriteEvent>,
) {
    while let Some(event) = events.recv().await {
        match event {
            WriteEvent::Started { generation } => {
                log::info!("state is kept, generation {generation}");
            }
            WriteEvent::LendingPermit { until } => {
                if let Some(writer) = client.state_writer.get() {
                    writer.lending_permit_stored();
                }
                client.session.lend_permitted(until);
            }
            WriteEvent::Failed(error) => {
                count(Counter::state_broken);
                log::error!("no state is kept any more, and nothing is lent: {}", error);
            }
        }
    }
}

impl ControlClient {
    /// Stores an event that is about to be applied, if state is stored.
    pub(in crate::routing) fn store_event(&self, position: EventPosition, event: &Event) {
        if let Some(writer) = self.state_writer.get() {
            writer.store_event(position, event);
        }
    }

    /// Asks for a permission to lend where one is wanted, and stores a snapshot if it is time.
    pub(super) fn store_state(&self, now: Time, observations: &[Observation]) {
        let Some(writer) = self.state_writer.get() else {
            return;
        };
        if let Some(until) = self.session.required_lend_permission(now) {
            writer.request_lending_permit(until);
        }
        writer.store_snapshot_if_needed(observations);
    }

    /// Stores a last state at the end of the process.
    pub(in crate::routing) fn store_final_state(&self, router: &Router) {
        if let Some(writer) = self.state_writer.get() {
            writer.store_final(&self.observations(router));
        }
    }
}

impl Router {
    /// Takes up what an earlier run left, whose events have been applied, and stores all that is applied from now on:
    /// first `events`, up to that position. To be called once; without a control client nothing is stored.
    pub(crate) fn take_up_state(
        &self,
        previous: PreviousState,
        directory: &StateDirectory,
        events: &[Event],
        position: EventPosition,
    ) {
        let Some(client) = self.control_client.get() else {
            return;
        };
        let now = self.clock.now();
        client.session.take_up_leases(now, previous.lease_wait);
        let mut hints = client.session.hints(now);
        hints.hints.extend(previous.hints);
        self.report(Input::PeerHints(hints));
        let (writer, write_events) =
            StateWriter::start(directory, self.clock, self.purge_settles, events, position);
        assert_invariant(
            client.state_writer.set(writer).is_ok(),
            "state is taken up once",
        );
        client
            .tasks
            .spawn(receive_write_events(client.clone(), write_events));
    }
}
