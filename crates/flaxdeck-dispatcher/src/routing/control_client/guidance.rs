//! Guidance of planners, and the hints that the decision engine gets from it.

use std::rc::Rc;
use std::time::Duration;

use flaxdeck::Time;
use flaxdeck::polled::Input;
use flaxdeck_control::forwarder::Freshness;
use flaxdeck_control::membership::PlannerId;
use flaxdeck_control::messages::{Guidance, RelayedEvent};
use flaxdeck_net::metrics::{Counter, count};
use flaxdeck_wire::frames;
use tokio::time::{Instant, sleep_until};

use super::ControlClient;
use super::session::FreshnessChange;
use crate::routing::Router;

/// Added to the time of a change, so that it has come when the timer ends.
const AFTER_CHANGE: Duration = Duration::from_micros(100);

/// Tells the decision engine when what holds changes by itself, until the client is stopped.
pub(super) async fn renew_hints(client: Rc<ControlClient>, router: Rc<Router>) {
    loop {
        let next = client
            .session
            .next_change(router.clock.now())
            .map(|at| router.clock.instant(at) + AFTER_CHANGE);
        tokio::select! {
            () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => client.update_hints(&router),
            () = client.session.hints_changed() => {}
        }
    }
}

impl ControlClient {
    /// Tells the decision engine what holds now.
    pub(super) fn update_hints(&self, router: &Router) {
        let now = router.clock.now();
        let mut hints = self.session.hints(now);
        self.coordinator_clock.quotas_by_own_clock(&mut hints);
        if let Some(change) = self.session.update_freshness(now) {
            self.log_freshness(&change);
        }
        router.report(Input::PeerHints(hints));
        self.session.hints_sent();
    }

    fn log_freshness(&self, change: &FreshnessChange) {
        let FreshnessChange { before, now } = change;
        let is_worse = matches!(now, Freshness::Unconfirmed) && self.startup.was_confirmed();
        let level = if is_worse {
            log::Level::Error
        } else {
            log::Level::Info
        };
        log::log!(level, "guidance is now {now}, was {before}");
    }

    /// A planner has answered a report.
    pub(super) fn apply_guidance(&self, router: &Router, planner: PlannerId, guidance: Guidance) {
        let now = router.clock.now();
        let accepted = self.session.accept(now, planner, guidance, self.position());
        match accepted {
            Ok(events) => {
                self.apply_relayed_events(router, now, planner, &events);
                self.update_hints(router);
                self.note_confirmation(router);
            }
            Err(why) => {
                count(Counter::guidance_refused);
                log::warn!("guidance of planner {} is refused: {why:?}", planner.0);
            }
        }
    }

    /// Applies events that follow what is known, up to the first that does not or can't be read.
    fn apply_relayed_events(
        &self,
        router: &Router,
        now: Time,
        planner: PlannerId,
        events: &[RelayedEvent],
    ) {
        for relayed in events {
            let event = match frames::read(&relayed.frame, &router.names) {
                Ok(event) => event,
                Err(malformed) => {
                    count(Counter::events_unreadable);
                    log::warn!(
                        "planner {} passed on an event that is {}",
                        planner.0,
                        malformed
                    );
                    return;
                }
            };
            let after = self.position();
            if !self
                .numbering
                .borrow_mut()
                .accept_relayed(now, after, relayed.position)
            {
                return;
            }
            count(Counter::events_relayed);
            if let Some(event) = event {
                router.apply_event(relayed.position, event);
            }
        }
    }
}
