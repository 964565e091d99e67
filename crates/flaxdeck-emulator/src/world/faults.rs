//! Faults of hosts and of the coordinator.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use flaxdeck_invariants::{RecordEntry, RecordedEvent};
use tokio::net::TcpListener;

use super::World;
use crate::error::EmulatorError;
use crate::hosts;
use crate::state::FailureMode;

/// The pause before each attempt to listen at the address of a killed host.
const CLOSING_POLL: Duration = Duration::from_millis(20);
/// The number of such attempts after which one last attempt is made without a pause.
const MAX_CLOSING_POLLS: u32 = 50;

/// Listens at the address of a host that was just killed. Its listener is closed asynchronously by the task that serves
/// it, which may take a while on a busy machine.
fn listen_again(address: SocketAddr) -> io::Result<TcpListener> {
    for _ in 0..MAX_CLOSING_POLLS {
        thread::sleep(CLOSING_POLL);
        if let Ok(listener) = hosts::listen(address) {
            return Ok(listener);
        }
    }
    hosts::listen(address)
}

impl World {
    /// Crashes a host without announcing it.
    pub fn kill_host(&self, id: &str) {
        if let Some(host) = self.shared.lock().hosts.get_mut(id) {
            host.crash();
        }
        self.shared.changed.notify_waiters();
    }

    /// Restarts a host, cold and with an empty cache, and publishes it.
    ///
    /// # Errors
    ///
    /// [`EmulatorError::UnknownHost`], or [`EmulatorError::ListenAgain`] if it can't listen at its earlier address.
    pub fn restart_host(&self, id: &str) -> Result<(), EmulatorError> {
        self.kill_host(id);
        let _entered = self.runtime.enter();
        let unknown = || EmulatorError::UnknownHost(id.to_owned());
        let address = self.shared.lock().hosts.get(id).map(|host| host.address);
        let address = address.ok_or_else(unknown)?;
        let listener = listen_again(address)
            .map_err(|source| EmulatorError::ListenAgain { address, source })?;
        let now_ms = self.now();
        let incarnation = {
            let mut state = self.shared.lock();
            let host = id.to_owned();
            state.record.push(RecordEntry {
                at_ms: now_ms,
                event: RecordedEvent::HostStarted { host },
            });
            let host = state.hosts.get_mut(id).ok_or_else(unknown)?;
            host.restart(now_ms);
            host.incarnation
        };
        let serving = hosts::serve(self.shared.clone(), id.to_owned(), listener, incarnation);
        self.runtime.spawn(serving);
        let host = id.to_owned();
        self.publish_host(id, RecordedEvent::HostAnnounced { host });
        Ok(())
    }

    /// Sets how a host answers requests.
    pub fn set_failure_mode(&self, id: &str, failure_mode: FailureMode) {
        if let Some(host) = self.shared.lock().hosts.get_mut(id) {
            host.failure_mode = failure_mode;
        }
    }

    /// Makes the coordinator send nothing on its connections, or resume sending.
    pub fn silence_coordinator(&self, silent: bool) {
        self.shared.lock().coordinator_silent = silent;
        self.shared.changed.notify_waiters();
    }

    /// Lets this time pass between two events on a connection to the coordinator, as if it were overloaded.
    pub fn set_coordinator_pace(&self, pace: Duration) {
        self.shared.lock().coordinator_pace = pace;
    }

    /// Restarts the coordinator with a new numbering: the current full list becomes event 1, and its connections are
    /// closed.
    pub fn lose_numbering(&self) {
        self.publish_full_list(1);
        self.end_coordinator_connections();
    }

    /// Restarts the coordinator in its state of `events` events ago, from which it continues its numbering.
    pub fn roll_back_coordinator(&self, events: u64) {
        {
            let mut state = self.shared.lock();
            let last = state.last_event.saturating_sub(events).max(1);
            state.last_event = last;
            state.frames.retain(|frame| frame.number <= last);
            state.lists.retain(|list| list.number <= last);
            state.events.retain(|event| event.number <= last);
        }
        self.end_coordinator_connections();
    }

    /// Restarts the coordinator with its numbering advanced by `events`.
    pub fn jump_ahead(&self, events: u64) {
        let last = self.shared.lock().last_event;
        self.publish_full_list(last + events);
        self.end_coordinator_connections();
    }

    fn end_coordinator_connections(&self) {
        self.shared.lock().coordinator_incarnation += 1;
        self.shared.changed.notify_waiters();
    }
}
