//! Applies the guidance of planners, and reports the hints that follow from it to the decision engine.

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

/// Added to the time of a change, so that the change is due when the timer fires.
const TIMER_MARGIN: Duration = Duration::from_micros(100);

/// Updates the decision engine's hints whenever a time at which they change by themselves is reached, until the client
/// is stopped.
pub(super) async fn update_hints_when_due(client: Rc<ControlClient>, router: Rc<Router>) {
    loop {
        let next = client
            .session
            .next_change(router.clock.now())
            .map(|at| router.clock.instant(at) + TIMER_MARGIN);
        tokio::select! {
            () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => client.update_hints(&router),
            () = client.session.schedule_changed() => {}
        }
    }
}

impl ControlClient {
    /// Reports the current hints to the decision engine.
    pub(super) fn update_hints(&self, router: &Router) {
        let now = router.clock.now();
        let mut hints = self.session.hints(now);
        self.coordinator_clock.quotas_to_local(&mut hints);
        if let Some(change) = self.session.update_freshness(now) {
            self.log_freshness(&change);
        }
        router.report(Input::PeerHints(hints));
        self.session.notify_schedule_changed();
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

    /// Applies guidance, a planner's answer to a report.
    pub(super) fn apply_guidance(&self, router: &Router, planner: PlannerId, guidance: Guidance) {
        let now = router.clock.now();
        let accepted = self
            .session
            .apply_guidance(now, planner, guidance, self.position());
        match accepted {
            Ok(events) => {
                self.apply_relayed_events(router, now, planner, &events);
                self.update_hints(router);
                self.note_confirmation(router);
            }
            Err(error) => {
                count(Counter::guidance_refused);
                if self.rejection_log.admits() {
                    log::warn!("guidance of planner {} is refused: {error:?}", planner.0);
                }
            }
        }
    }

    /// Applies relayed events in order, up to the first that does not follow the last one applied or can't be decoded.
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
                    if self.rejection_log.admits() {
                        log::warn!(
                            "event {} relayed by planner {} can't be decoded: {malformed}",
                            relayed.position.number,
                            planner.0
                        );
                    }
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
