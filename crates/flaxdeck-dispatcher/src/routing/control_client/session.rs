//! Holds the session with the planners: the state machine of `flaxdeck_control::forwarder`, and the freshness of the
//! guidance as last reported to the decision engine.

use std::cell::{Cell, RefCell};

use flaxdeck::{CaughtUpAt, CompleteAsOf, Observation, PeerHints, Sampled, Span, Time, ZoneId};
use flaxdeck_control::MessageError;
use flaxdeck_control::forwarder::{ForwarderSession, Freshness};
use flaxdeck_control::membership::PlannerId;
use flaxdeck_control::messages::{Guidance, RelayedEvent, Report};
use flaxdeck_control::quotas::LeaseTotals;
use flaxdeck_recovery::EventPosition;
use tokio::sync::Notify;

/// A change in the freshness of the guidance.
pub(super) struct FreshnessChange {
    pub(super) before: Freshness,
    pub(super) now: Freshness,
}

/// Owns the state of the session.
pub(super) struct Session {
    state: RefCell<ForwarderSession>,
    /// The freshness when the hints were last reported to the decision engine.
    freshness: Cell<Freshness>,
    /// Notified when the next time at which the hints change by themselves may be another.
    schedule_changed: Notify,
}

impl Session {
    /// Creates the session from a state that was just started, before any message of a planner.
    pub(super) fn new(state: ForwarderSession) -> Session {
        Session {
            state: RefCell::new(state),
            freshness: Cell::new(Freshness::Standalone),
            schedule_changed: Notify::new(),
        }
    }

    /// Notes that a connection to a planner was opened: the run that sends the first message on it counts as the
    /// planner's present run, even if its epoch is older.
    pub(super) fn connection_opened(&self, planner: PlannerId) {
        self.state.borrow_mut().connection_opened(planner);
    }

    /// Sets the planner that delivers the events. Reports to it hold all ratings of hosts, those to others only
    /// failures.
    pub(super) fn set_subscribed_to(&self, planner: Option<PlannerId>) {
        self.state.borrow_mut().set_subscribed_to(planner);
    }

    /// Notes that no further event of the coordinator seemed to be on its way at that time.
    pub(super) fn note_caught_up(&self, at: CaughtUpAt) {
        self.state.borrow_mut().note_caught_up(at);
    }

    /// Notes that all events are known that the coordinator had as of that time.
    pub(super) fn note_complete(&self, as_of: CompleteAsOf) {
        self.state.borrow_mut().note_complete(as_of);
    }

    /// Notes that it is not known of any time that all of the coordinator's events are known.
    pub(super) fn forget_completeness(&self) {
        self.state.borrow_mut().forget_completeness();
    }

    /// Whether the coordinator or a planner that follows it was heard in this run, and the endpoint list may be relied
    /// on.
    pub(super) fn is_confirmed(&self, now: Time) -> bool {
        let state = self.state.borrow();
        state.has_contact() && state.is_confirmed(now)
    }

    /// Whether a live planner confirms the endpoint list now, so that a reconnect to the coordinator is not urgent.
    pub(super) fn is_confirmed_by_planners(&self, now: Time) -> bool {
        self.state.borrow().is_confirmed_by_planners(now)
    }

    /// Whether the endpoint list counted as unconfirmed when hints were last reported to the decision engine.
    pub(super) fn was_unconfirmed(&self) -> bool {
        self.freshness.get() == Freshness::Unconfirmed
    }

    /// Returns the time from which this forwarder may use its own shares of warming hosts.
    pub(super) fn own_share_from(&self) -> Time {
        self.state.borrow().own_share_from()
    }

    /// Restores the state of leases: own shares may be used after `lease_wait`, when all that the earlier run lent has
    /// expired, and nothing is lent from now on without a permit.
    pub(super) fn restore_lease_state(&self, now: Time, lease_wait: Option<Span>) {
        let mut state = self.state.borrow_mut();
        if let Some(lease_wait) = lease_wait {
            state.set_startup_wait(now, lease_wait);
        }
        state.require_lending_permit(now);
    }

    /// Returns until when a permit to lend is needed, if one has to be requested.
    pub(super) fn requested_lending_permit(&self, now: Time) -> Option<Time> {
        self.state.borrow_mut().requested_lending_permit(now)
    }

    /// Permits lending until that time.
    pub(super) fn extend_lending_permit(&self, until: Time) {
        self.state.borrow_mut().extend_lending_permit(until);
    }

    /// Updates the session by the decision engine's observations; the unmet demand in them counts until the next call.
    pub(super) fn observe(
        &self,
        now: Time,
        observations: &[Observation],
        zone: ZoneId,
        link: Option<Sampled<f64>>,
    ) {
        let mut state = self.state.borrow_mut();
        state.update_usage(now, observations);
        state.update_link(zone, link);
    }

    /// Whether a report to that planner is due.
    pub(super) fn is_report_due(
        &self,
        now: Time,
        planner: PlannerId,
        observations: &[Observation],
    ) -> bool {
        self.state
            .borrow()
            .is_report_due(now, planner, observations)
    }

    /// Creates the report to that planner. It has to be sent at once, since quota that it lends is not used here from
    /// now on.
    pub(super) fn report(
        &self,
        now: Time,
        planner: PlannerId,
        observations: &[Observation],
        position: EventPosition,
    ) -> Report {
        self.state
            .borrow_mut()
            .report(now, planner, observations, position)
    }

    /// Applies guidance; returns the relayed events in it that follow `position`.
    pub(super) fn apply_guidance(
        &self,
        now: Time,
        planner: PlannerId,
        guidance: Guidance,
        position: EventPosition,
    ) -> Result<Vec<RelayedEvent>, MessageError> {
        self.state
            .borrow_mut()
            .apply_guidance(now, planner, guidance, position)
    }

    /// Returns the hints for the decision engine.
    pub(super) fn hints(&self, now: Time) -> PeerHints {
        self.state.borrow_mut().hints(now)
    }

    /// Updates the freshness of the guidance; returns the change, if there is one.
    pub(super) fn update_freshness(&self, now: Time) -> Option<FreshnessChange> {
        let freshness = self.state.borrow().freshness(now);
        let before = self.freshness.replace(freshness);
        (before != freshness).then_some(FreshnessChange {
            before,
            now: freshness,
        })
    }

    /// Notifies the waiting task that the next time at which the hints change by themselves may be another.
    pub(super) fn notify_schedule_changed(&self) {
        self.schedule_changed.notify_one();
    }

    /// Waits until [`Session::notify_schedule_changed`] is called.
    pub(super) async fn schedule_changed(&self) {
        self.schedule_changed.notified().await;
    }

    /// Returns the next time at which the hints change by themselves.
    pub(super) fn next_change(&self, now: Time) -> Option<Time> {
        self.state.borrow().next_change(now)
    }

    /// Returns the freshness, the quotas and the counters, for the log.
    pub(super) fn status(&self, now: Time) -> String {
        let state = self.state.borrow();
        let LeaseTotals { lent, granted } = state.lease_totals(now);
        let (freshness, counters) = (state.freshness(now), state.counters);
        format!("{freshness} lent={lent:.3} granted={granted:.3} {counters:?}")
    }
}
