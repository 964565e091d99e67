//! How recent a forwarder's information about other processes is, and when that changes.

use std::fmt;

use flaxdeck::{CaughtUpAt, Span, Time};

use super::{Exchange, ForwarderSession};
use crate::COORDINATOR_TIMEOUT;
use crate::membership::PlannerStatus;

/// Ratings older than this are not passed to the decision engine: by then its own trials give better information.
pub(super) const RATINGS_LIFETIME: Span = Span::from_ms(10_000);

/// How recent a forwarder's information about other processes is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// At least one planner is live.
    Guided,
    /// No planner is live, but guidance received earlier is still used according to its age.
    Aging,
    /// The forwarder has only its own observations.
    Standalone,
    /// The endpoint list was not confirmed for longer than the operator allows, or may lack events that are in force.
    Unconfirmed,
}

impl fmt::Display for Freshness {
    /// Writes the names used in log lines, which `docs/on-call.md` explains.
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(match self {
            Freshness::Guided => "Guided",
            Freshness::Aging => "Ageing",
            Freshness::Standalone => "Alone",
            Freshness::Unconfirmed => "Blind",
        })
    }
}

impl ForwarderSession {
    /// Returns how recent this forwarder's information is at `now`.
    pub fn freshness(&self, now: Time) -> Freshness {
        if !self.is_confirmed(now) {
            return Freshness::Unconfirmed;
        }
        if self.planners.iter().any(|planner| planner.is_live(now)) {
            return Freshness::Guided;
        }
        let valid_at = self
            .planners
            .iter()
            .filter_map(PlannerStatus::valid_at)
            .max();
        if valid_at.is_some_and(|at| now.since(at) < RATINGS_LIFETIME) {
            Freshness::Aging
        } else {
            Freshness::Standalone
        }
    }

    /// Returns whether the endpoint list may be relied on: the coordinator or a planner that has caught up with it was
    /// heard recently enough for the operator, and no event is in force that may not be known here.
    pub fn is_confirmed(&self, now: Time) -> bool {
        let is_valid = |until: Option<Time>| until.is_some_and(|until| now < until);
        let limits = [
            (self.options.unconfirmed_limit, self.contact_valid_until()),
            (self.list_lifetime, self.list_valid_until()),
        ];
        limits
            .into_iter()
            .all(|(limit, until)| limit.is_none() || is_valid(until))
    }

    /// Returns whether the coordinator, or a planner that has caught up with it, was heard since the start.
    pub fn has_contact(&self) -> bool {
        self.caught_up_at().is_some()
    }

    /// Returns when this forwarder had last caught up with the coordinator's events, by the coordinator itself or by a
    /// planner; `None` if it had not since the start.
    fn caught_up_at(&self) -> Option<CaughtUpAt> {
        self.exchanges
            .iter()
            .filter_map(|exchange| exchange.caught_up_at)
            .chain(self.caught_up_at)
            .max()
    }

    fn contact_valid_until(&self) -> Option<Time> {
        let limit = self.options.unconfirmed_limit?;
        Some(self.caught_up_at()?.time() + limit)
    }

    fn list_valid_until(&self) -> Option<Time> {
        Some(self.complete_as_of?.time() + self.list_lifetime?)
    }

    /// Returns whether a live planner heard the coordinator about as recently as a direct connection would have. Events
    /// such as drains then arrive by way of that planner as well.
    pub fn is_confirmed_by_planners(&self, now: Time) -> bool {
        let is_confirmed = |exchange: &Exchange| {
            exchange
                .caught_up_at
                .is_some_and(|at| now.since(at.time()) < COORDINATOR_TIMEOUT * 0.5)
        };
        self.planners
            .iter()
            .zip(&self.exchanges)
            .any(|(planner, exchange)| planner.is_live(now) && is_confirmed(exchange))
    }

    /// Returns when the hints to the decision engine change next if no message arrives until then.
    pub fn next_change(&self, now: Time) -> Option<Time> {
        let unconfirmed_from = [self.contact_valid_until(), self.list_valid_until()]
            .into_iter()
            .flatten()
            .filter(|at| *at > now);
        unconfirmed_from.chain(self.quotas.next_change(now)).min()
    }
}
