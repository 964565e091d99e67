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

/// Between looks whether a killed host's listener has closed, ...
const CLOSING_POLL: Duration = Duration::from_millis(20);
/// ... and how many there are at most.
const MAX_CLOSING_POLLS: u32 = 50;

/// Listens where a host listened that was just killed: its listener closes at its next look, which may be late on a busy
/// machine.
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
    /// A host crashes without a word.
    pub fn kill_host(&self, id: &str) {
        if let Some(host) = self.shared.lock().hosts.get_mut(id) {
            host.crash();
        }
        self.shared.changed.notify_waiters();
    }

    /// A host starts anew, empty and cold, and the coordinator says so.
    ///
    /// # Errors
    ///
    /// [`EmulatorError::UnknownHost`], or [`EmulatorError::ListenAgain`] if it can't listen where it did.
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

    /// Changes how a host answers.
    pub fn set_failure_mode(&self, id: &str, failure_mode: FailureMode) {
        if let Some(host) = self.shared.lock().hosts.get_mut(id) {
            host.failure_mode = failure_mode;
        }
    }

    /// The coordinator says nothing more, or speaks again.
    pub fn silence_coordinator(&self, silent: bool) {
        self.shared.lock().coordinator_silent = silent;
        self.shared.changed.notify_waiters();
    }

    /// The coordinator restarts: what it announced is announced by it as event 1, and its connections end.
    pub fn lose_numbering(&self) {
        self.publish_full_list(1);
        self.end_coordinator_connections();
    }

    /// The coordinator restarts from what it knew so many events ago, and goes on numbering from there.
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

    /// The coordinator restarts and numbers so much further on.
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
