//! How far this forwarder has come back, and when it begins to take clients.

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
    /// Of a forwarder that has just started.
    pub(super) fn new(now: Time, without_contact: WithoutContact) -> StartupGate {
        StartupGate {
            state: RefCell::new(Startup::begin(now, without_contact)),
            confirmed: Notify::new(),
        }
    }

    /// Somebody confirms the endpoint list.
    pub(super) fn confirmed(&self, now: Time) {
        self.state.borrow_mut().list_confirmed(now);
        self.confirmed.notify_one();
    }

    /// Whether somebody ever did.
    pub(super) fn was_confirmed(&self) -> bool {
        self.state.borrow().times().confirmed.is_some()
    }

    /// Waits until clients are to be taken.
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

    /// Clients are taken from now on; the quotas are the own ones from that time.
    pub(super) fn ready(&self, now: Time, owns_from: Time) {
        let mut state = self.state.borrow_mut();
        state.started_listening(now);
        let times = state.times();
        let [confirmed, listens] =
            [times.confirmed, times.listening].map(|took| took.map_or(f64::NAN, Span::ms));
        let phase = state.phase(now, owns_from);
        log::info!(
            "back: {phase}, the list vouched for after {confirmed:.1} ms, clients after {listens:.1} ms"
        );
    }

    /// Notes it, once, when this forwarder is back in full.
    pub(super) fn note_progress(&self, now: Time, owns_from: Time) {
        if let Some(took) = self.state.borrow_mut().completed(now, owns_from) {
            log::info!("back in full after {:.0} ms", took.ms());
        }
    }
}
