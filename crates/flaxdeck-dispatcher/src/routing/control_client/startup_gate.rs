//! Tracks the startup phase of this forwarder, and when it begins to accept clients.

use std::cell::RefCell;

use flaxdeck::{Span, Time};
use flaxdeck_net::clock::Clock;
use flaxdeck_recovery::startup::{Startup, WithoutContact};
use tokio::sync::Notify;
use tokio::time::sleep_until;

/// Owns the startup phase.
pub(super) struct StartupGate {
    state: RefCell<Startup>,
    confirmed: Notify,
}

impl StartupGate {
    /// Creates the state of a forwarder that has just started.
    pub(super) fn new(now: Time, without_contact: WithoutContact) -> StartupGate {
        StartupGate {
            state: RefCell::new(Startup::begin(now, without_contact)),
            confirmed: Notify::new(),
        }
    }

    /// Notes that the endpoint list is confirmed.
    pub(super) fn list_confirmed(&self, now: Time) {
        self.state.borrow_mut().list_confirmed(now);
        self.confirmed.notify_one();
    }

    /// Whether the endpoint list was confirmed at any time in this run.
    pub(super) fn was_confirmed(&self) -> bool {
        self.state.borrow().times().confirmed.is_some()
    }

    /// Waits until clients may be accepted.
    pub(super) async fn wait(&self, clock: Clock) {
        loop {
            let at = self.state.borrow().listens_at();
            if clock.now() >= at {
                return;
            }
            tokio::select! {
                () = sleep_until(clock.instant(at)) => {}
                () = self.confirmed.notified() => {}
            }
        }
    }

    /// Notes and logs that clients are accepted from now on. Own shares may be used from `own_share_from` on.
    pub(super) fn started_listening(&self, now: Time, own_share_from: Time) {
        let mut state = self.state.borrow_mut();
        state.started_listening(now);
        let times = state.times();
        let [confirmed, listens] =
            [times.confirmed, times.listening].map(|took| took.map_or(f64::NAN, Span::ms));
        let phase = state.phase(now, own_share_from);
        log::info!(
            "back: {phase}, the list vouched for after {confirmed:.1} ms, clients after {listens:.1} ms"
        );
    }

    /// Logs, once, that the startup is complete.
    pub(super) fn log_completion(&self, now: Time, own_share_from: Time) {
        if let Some(took) = self.state.borrow_mut().completed(now, own_share_from) {
            log::info!("back in full after {:.0} ms", took.ms());
        }
    }
}
