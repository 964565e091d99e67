//! How fresh is what a forwarder knows, and when that changes.

use std::fmt;

use flaxdeck::{Span, Time};

use super::{Exchange, ForwarderSession};
use crate::membership::PlannerStatus;

/// Ratings older than this are not passed to the decision engine: by then its own trials know better.
pub(super) const RATINGS_LIFETIME: Span = Span::from_ms(10_000);
/// The coordinator speaks each second: a connection on which two of its messages are missing counts as lost.
pub(super) const COORDINATOR_TIMEOUT: Span = Span::from_ms(2_200);

/// How fresh is what a forwarder knows of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// A planner is live.
    Guided,
    /// None is, but what was heard still counts by its age.
    Aging,
    /// The forwarder knows what it observes itself.
    Standalone,
    /// Nobody has confirmed the list of hosts for longer than the operator allows.
    Unconfirmed,
}

impl fmt::Display for Freshness {
    /// The words of the log, which `docs/on-call.md` explains.
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
    /// How fresh is what this forwarder knows now.
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

    /// When the list of hosts was last confirmed: the coordinator was heard, or a planner that follows it; none since
    /// the start.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.exchanges
            .iter()
            .filter_map(|exchange| exchange.confirmed_at)
            .chain(self.coordinator_heard)
            .max()
    }

    /// Whether a live planner heard the coordinator about as lately as a connection of one's own would have: then drains
    /// come by it as well.
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

    /// When the decision engine is to be given hints anew, if nothing is heard until then.
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
