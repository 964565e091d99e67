//! What forwarders and planners decide beside the decision engine, as state machines without I/O, clocks or tasks: facts and
//! the time go in, messages and decisions come out. The reasons are in `docs/forwarders-planners.md`.
//!
//! - [`LeaseSchedule`]: an amount that is promised until some time, and less of it for longer.
//! - [`quotas`]: the forwarder's part of what cold hosts bear: lending what it does not need, borrowing what it does.
//! - [`quota_pool`]: the planner's side of that: what was lent to it, and to whom it went.
//! - [`ratings`]: everybody's samples of a host weighed into one picture.
//! - [`instance_slots`]: what a returning forwarder's earlier run may still have lent.
//! - [`membership`]: which planner is in charge, by who was heard.
//! - [`planner`] and [`forwarder`]: the whole of each side, speaking [`messages`].

pub mod forwarder;
pub mod instance_slots;
mod lease_schedule;
pub mod membership;
pub mod messages;
pub mod planner;
pub mod quota_pool;
pub mod quotas;
pub mod ratings;

pub use lease_schedule::LeaseSchedule;

use flaxdeck::Span;
use serde::{Deserialize, Serialize};

/// A share of what a host bears, in millionths of the whole.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct QuotaFraction(pub u32);

impl QuotaFraction {
    pub const WHOLE: QuotaFraction = QuotaFraction(1_000_000);
    pub const NONE: QuotaFraction = QuotaFraction(0);

    /// Of a share between 0 and 1, rounded down; anything else counts as the nearer end, not a number as none.
    pub fn below(share: f64) -> QuotaFraction {
        QuotaFraction((share.clamp(0.0, 1.0) * 1e6) as u32)
    }
    /// The same rounded up.
    pub fn above(share: f64) -> QuotaFraction {
        QuotaFraction((share.clamp(0.0, 1.0) * 1e6).ceil() as u32)
    }
    pub fn share(self) -> f64 {
        f64::from(self.0) / 1e6
    }
    pub fn less(self, other: QuotaFraction) -> QuotaFraction {
        QuotaFraction(self.0.saturating_sub(other.0))
    }
    pub fn and(self, other: QuotaFraction) -> QuotaFraction {
        QuotaFraction(self.0.saturating_add(other.0))
    }
}

/// The spans that lending rests on, the same at all forwarders and planners of an installation.
///
/// Every promise is counters on the clock of who made it, from a moment that both sides can place: clocks need not
/// agree, but each must run within `drift` of real time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// The time within which a host's load counts together: the ramp's window.
    pub window: Span,
    /// How long a forwarder keeps to what it has lent, from when it said so.
    pub lent: Span,
    /// How long a borrower may use what it was granted, from when it asked.
    pub granted: Span,
    /// Thousandths by which a clock may run fast or slow; at most 200.
    pub drift: u32,
}

impl LeaseTerms {
    /// The lease_terms for a window: loans last for some reports, deposits outlast them by the window.
    pub fn of(window: Span, granted: Span, drift: u32) -> LeaseTerms {
        let drift = drift.min(200);
        let late = Span::from_ms(700); // an answer of half that on each way still finds most of a deposit left
        let lent = (window + granted + late) * (1.0 + f64::from(drift) * 0.008);
        LeaseTerms {
            window,
            lent,
            granted,
            drift,
        }
    }
    fn stretched(self, span: Span, by: f64) -> Span {
        span * (1.0 + f64::from(self.drift) / 1000.0 * by)
    }
    /// How long a planner may count on a deposit, on its clock, from its own stamp that the lender had seen:
    /// (1 - d) / (1 + d) of what the lender keeps to is the least, and 1 - 2d is below that.
    pub fn counted_on(self) -> Span {
        self.stretched(self.lent, -2.0)
    }
    /// How long a planner must hold a grant as out, on its clock, from when it gave it: (1 + d) / (1 - d) of the
    /// borrower's time, below 1 + 3d for the drifts allowed, and the window in which it may just have been used.
    pub fn held_as_out(self) -> Span {
        self.stretched(self.granted, 3.0) + self.stretched(self.window, 1.0)
    }
    /// How long a planner that starts waits before it lends what is its own: all that it may have granted before.
    pub fn planner_waits(self) -> Span {
        self.stretched(self.held_as_out(), 3.0)
    }
    /// How long a forwarder that starts leaves its own share alone: it may have lent it before.
    pub fn forwarder_waits(self) -> Span {
        self.lent
    }
}
