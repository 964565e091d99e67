//! The session with the planners: the state machine of `flaxdeck_control::forwarder`, and how fresh its guidance was
//! when the decision engine was last told.

use std::cell::{Cell, RefCell};

use flaxdeck::{Observation, PeerHints, Sampled, Span, Time, ZoneId};
use flaxdeck_control::MessageError;
use flaxdeck_control::forwarder::{ForwarderSession, Freshness};
use flaxdeck_control::membership::PlannerId;
use flaxdeck_control::messages::{Guidance, RelayedEvent, Report};
use flaxdeck_control::quotas::LeaseTotals;
use flaxdeck_recovery::EventPosition;
use tokio::sync::Notify;

/// A change in how fresh the guidance is.
pub(super) struct FreshnessChange {
    pub(super) before: Freshness,
    pub(super) now: Freshness,
}

/// Owns the session's state; nothing else changes it.
pub(super) struct Session {
    state: RefCell<ForwarderSession>,
    /// As the decision engine was last told.
    freshness: Cell<Freshness>,
    /// The hints may change by themselves sooner than was known.
    hints_changed: Notify,
}

impl Session {
    /// A session that was just started: no planner is heard yet.
    pub(super) fn new(state: ForwarderSession) -> Session {
        Session {
            state: RefCell::new(state),
            freshness: Cell::new(Freshness::Standalone),
            hints_changed: Notify::new(),
        }
    }

    /// A planner was reached, so it may have something lent to an earlier run.
    pub(super) fn connected(&self, planner: PlannerId) {
        self.state.borrow_mut().connection_opened(planner);
    }

    /// That planner brings the events, and is reported observations of hosts too.
    pub(super) fn subscribed_to(&self, planner: Option<PlannerId>) {
        self.state.borrow_mut().set_subscribed_to(planner);
    }

    /// All is known here that the coordinator had at that time.
    pub(super) fn events_known_at(&self, at: Time) {
        self.state.borrow_mut().events_known_at(at);
    }

    /// Whether somebody has confirmed the endpoint list.
    pub(super) fn is_confirmed(&self) -> bool {
        self.state.borrow().confirmed_at().is_some()
    }

    /// Whether planners confirm it right now, so that a reconnect to the coordinator has time.
    pub(super) fn is_confirmed_by_planners(&self, now: Time) -> bool {
        self.state.borrow().is_confirmed_by_planners(now)
    }

    /// Whether the decision engine was last told that nobody confirms the endpoint list.
    pub(super) fn was_unconfirmed(&self) -> bool {
        self.freshness.get() == Freshness::Unconfirmed
    }

    /// When the own quotas are this forwarder's own again.
    pub(super) fn owns_from(&self) -> Time {
        self.state.borrow().own_share_from()
    }

    /// What an earlier run had lent has run off after that time, and nothing is lent from now on that was not permitted.
    pub(super) fn take_up_leases(&self, now: Time, lease_wait: Option<Span>) {
        let mut state = self.state.borrow_mut();
        if let Some(lease_wait) = lease_wait {
            state.set_startup_wait(now, lease_wait);
        }
        state.require_lending_permit(now);
    }

    /// Until when a permission to lend is wanted, if one is.
    pub(super) fn required_lend_permission(&self, now: Time) -> Option<Time> {
        self.state.borrow_mut().requested_lending_permit(now)
    }

    /// Lending is permitted until then.
    pub(super) fn lend_permitted(&self, until: Time) {
        self.state.borrow_mut().extend_lending_permit(until);
    }

    /// Takes in what the decision engine has observed; its demand counts until the next call.
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
    pub(super) fn needs_report(
        &self,
        now: Time,
        planner: PlannerId,
        observations: &[Observation],
    ) -> bool {
        self.state
            .borrow()
            .is_report_due(now, planner, observations)
    }

    /// The report to that planner, which has to be sent at once: what it lends is not used here from now on.
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

    /// Takes in guidance; gives the events that came with it and follow `position`.
    pub(super) fn accept(
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

    /// What the decision engine is to be told.
    pub(super) fn hints(&self, now: Time) -> PeerHints {
        self.state.borrow_mut().hints(now)
    }

    /// Notes how fresh the guidance is; gives the change, if there is one.
    pub(super) fn update_freshness(&self, now: Time) -> Option<FreshnessChange> {
        let freshness = self.state.borrow().freshness(now);
        let before = self.freshness.replace(freshness);
        (before != freshness).then_some(FreshnessChange {
            before,
            now: freshness,
        })
    }

    /// The decision engine has been told the hints, so the time of their next change may be another.
    pub(super) fn hints_sent(&self) {
        self.hints_changed.notify_one();
    }

    /// Waits until [`Session::hints_sent`] is called.
    pub(super) async fn hints_changed(&self) {
        self.hints_changed.notified().await;
    }

    /// When the hints change by themselves.
    pub(super) fn next_change(&self, now: Time) -> Option<Time> {
        self.state.borrow().next_change(now)
    }

    /// Freshness, quotas and counters, for the log.
    pub(super) fn status(&self, now: Time) -> String {
        let state = self.state.borrow();
        let LeaseTotals { lent, granted } = state.lease_totals(now);
        let (freshness, counters) = (state.freshness(now), state.counters);
        format!("{freshness} lent={lent:.3} granted={granted:.3} {counters:?}")
    }
}
