//! Restores the state that an earlier run stored, and stores the state of this run.

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

/// Handles the answers of the writer thread, until the client is stopped.
async fn receive_write_events(
    client: Rc<ControlClient>,
    mut events: UnboundedReceiver<WriteEvent>,
) {
    while let Some(event) = events.recv().await {
        match event {
            WriteEvent::Started { generation } => {
                log::info!("storing the state, generation {generation}");
            }
            WriteEvent::LendingPermit { until } => {
                if let Some(writer) = client.state_writer.get() {
                    writer.lending_permit_stored();
                }
                client.session.extend_lending_permit(until);
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

    /// Requests a lending permit if one is needed, and stores a snapshot if one is due.
    pub(super) fn store_state(&self, now: Time, observations: &[Observation]) {
        let Some(writer) = self.state_writer.get() else {
            return;
        };
        if let Some(until) = self.session.requested_lending_permit(now) {
            writer.request_lending_permit(until);
        }
        writer.store_snapshot_if_needed(observations);
    }

    /// Stores the final snapshot at the end of the process.
    pub(in crate::routing) fn store_final_state(&self, router: &Router) {
        if let Some(writer) = self.state_writer.get() {
            writer.store_final(&self.observations(router));
        }
    }
}

impl Router {
    /// Notes that the state of an earlier run holds events after those of the configuration.
    pub(crate) fn note_outdated_configuration(&self) {
        if let Some(client) = self.control_client.get() {
            client.note_outdated_configuration();
        }
    }

    /// Restores leases and hints from the state of an earlier run, whose events have already been applied, and starts
    /// to store the state of this run: first `events`, the state at `position`, then everything applied from now on. To
    /// be called once; without a control client nothing is stored.
    pub(crate) fn adopt_stored_state(
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
        client.session.restore_lease_state(now, previous.lease_wait);
        let mut hints = client.session.hints(now);
        hints.hints.extend(previous.hints);
        self.report(Input::PeerHints(hints));
        let (writer, write_events) =
            StateWriter::start(directory, self.clock, self.purge_settles, events, position);
        assert_invariant(
            client.state_writer.set(writer).is_ok(),
            "the stored state is adopted only once",
        );
        client
            .tasks
            .spawn(receive_write_events(client.clone(), write_events));
    }
}
