//! How recent a forwarder's information about other processes is, and when that changes.

use std::fmt;

use flaxdeck::{Span, Time};

use super::{Exchange, ForwarderSession};
use crate::membership::PlannerStatus;

/// Ratings older than this are not passed to the decision engine: by then its own trials give better information.
pub(super) const RATINGS_LIFETIME: Span = Span::from_ms(10_000);
/// The coordinator sends a message every second: a connection on which two of them are missing counts as lost.
pub(super) const COORDINATOR_TIMEOUT: Span = Span::from_ms(2_200);

/// How recent a forwarder's information about other processes is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// At least one planner is live.
    Guided,
    /// No planner is live, but guidance received earlier is still used according to its age.
    Aging,
    /// The forwarder has only its own observations.
    Standalone,
    /// The endpoint list was not confirmed for longer than the operator allows.
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
        let is_unconfirmed = self.options.unconfirmed_limit.is_some_and(|limit| {
            self.confirmed_at()
                .is_none_or(|confirmed| now.since(confirmed) >= limit)
        });
        if is_unconfirmed {
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

    /// Returns when the endpoint list was last confirmed, by the coordinator itself or by a planner that is up to date
    /// with it; `None` if it was not since the start.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.exchanges
            .iter()
            .filter_map(|exchange| exchange.confirmed_at)
            .chain(self.coordinator_heard)
            .max()
    }

    /// Returns whether a live planner heard the coordinator about as recently as a direct connection would have. Events
    /// such as drains then arrive by way of that planner as well.
    pub fn is_confirmed_by_planners(&self, now: Time) -> bool {
        let is_confirmed = |exchange: &Exchange| {
            exchange
                .confirmed_at
                .is_some_and(|at| now.since(at) < COORDINATOR_TIMEOUT * 0.5)
        };
        self.planners
            .iter()
            .zip(&self.exchanges)
            .any(|(planner, exchange)| planner.is_live(now) && is_confirmed(exchange))
    }

    /// Returns when the hints to the decision engine change next if no message arrives until then.
    pub fn next_change(&self, now: Time) -> Option<Time> {
        let confirmed_at = self.confirmed_at();
        let unconfirmed_from = self
            .options
            .unconfirmed_limit
            .and_then(|limit| confirmed_at.map(|at| at + limit))
            .filter(|at| *at > now);
        [unconfirmed_from, self.quotas.next_change(now)]
            .into_iter()
            .flatten()
            .min()
    }
}
