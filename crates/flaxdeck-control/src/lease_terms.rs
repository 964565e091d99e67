//! The spans that leases rest on.

use flaxdeck::Span;

/// The most by which a clock may run fast or slow, in thousandths.
const MAX_DRIFT_PER_MILLE: u32 = 200;
/// What a deposit outlasts window and grant by: an answer that takes half of it each way still finds most of a deposit
/// left.
const DEPOSIT_SLACK: Span = Span::from_ms(700);
/// How much longer a deposit lasts for each thousandth of drift.
const DEPOSIT_STRETCH_PER_MILLE: f64 = 0.008;

/// The spans that leases rest on, the same at all forwarders and planners of an installation.
///
/// Every lease counts on the clock of the side that promised it, from a moment that both sides can place. Clocks need
/// not agree, but each must run within `drift_per_mille` of real time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// The window in which a warming host's load counts together.
    pub window: Span,
    /// How long a forwarder does not use what it has lent, from when it said so.
    pub deposit_duration: Span,
    /// How long a borrower may use what it was granted, from when it asked.
    pub grant_duration: Span,
    /// Thousandths by which a clock may run fast or slow; at most 200.
    pub drift_per_mille: u32,
}

impl LeaseTerms {
    /// The terms for a host's window: grants last for some reports, deposits outlast them by the window.
    pub fn new(window: Span, grant_duration: Span, drift_per_mille: u32) -> LeaseTerms {
        let drift_per_mille = drift_per_mille.min(MAX_DRIFT_PER_MILLE);
        let stretch = 1.0 + f64::from(drift_per_mille) * DEPOSIT_STRETCH_PER_MILLE;
        LeaseTerms {
            window,
            deposit_duration: (window + grant_duration + DEPOSIT_SLACK) * stretch,
            grant_duration,
            drift_per_mille,
        }
    }

    /// A span made longer by so many times the drift.
    pub(crate) fn stretched(self, span: Span, drifts: f64) -> Span {
        span * (1.0 + f64::from(self.drift_per_mille) / 1000.0 * drifts)
    }

    /// How long a planner may count on a deposit, on its clock, from its own stamp that the lender had seen.
    ///
    /// (1 - d) / (1 + d) of the lender's span is the least that the planner's clock can show, and 1 - 2d is below that.
    pub fn deposit_counted_for(self) -> Span {
        self.stretched(self.deposit_duration, -2.0)
    }

    /// How long a planner must hold a grant as reserved, on its clock, from when it gave it.
    ///
    /// (1 + d) / (1 - d) of the borrower's span, which is below 1 + 3d for the drifts allowed, and the window in which the
    /// grant may just have been used.
    pub fn grant_reserved_for(self) -> Span {
        self.stretched(self.grant_duration, 3.0) + self.stretched(self.window, 1.0)
    }

    /// How long a planner that starts waits before it grants its own part: an earlier run may have granted all of it.
    pub fn planner_startup_wait(self) -> Span {
        self.stretched(self.grant_reserved_for(), 3.0)
    }

    /// How long a forwarder that starts does not use its own share: an earlier run may have lent it.
    pub fn forwarder_startup_wait(self) -> Span {
        self.deposit_duration
    }
}
