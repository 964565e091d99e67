//! Durations of leases, and the bounds on clock drift that they allow for.

use flaxdeck::Span;

/// Maximum accepted clock drift, in thousandths.
const MAX_DRIFT_PER_MILLE: u32 = 200;
/// Time by which a deposit outlasts the sum of window and grant. Even if messages take half of it each way, a planner
/// can still use most of the deposit.
const DEPOSIT_SLACK: Span = Span::from_ms(700);
/// Relative extension of a deposit's duration for each thousandth of drift.
const DEPOSIT_EXTENSION_PER_MILLE: f64 = 0.008;

/// Durations of leases, which must be the same at all forwarders and planners of an installation.
///
/// Each side measures a lease on its own clock, from a moment that is known to both sides. Clocks need not show the
/// same time, but the rate of each must be within `drift_per_mille` of real time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// The window over which a warming host's load is summed.
    pub window: Span,
    /// How long a forwarder does not use what it has lent, from when it created the report with the deposit.
    pub deposit_duration: Span,
    /// How long a borrower may use what it was granted, from when it created the report with the demand.
    pub grant_duration: Span,
    /// How much faster or slower than real time a clock may run, in thousandths; at most 200.
    pub drift_per_mille: u32,
}

impl LeaseTerms {
    /// Creates the terms for a window of warming hosts and a duration of grants, which should span several reports.
    /// Deposits outlast a grant by at least the window.
    pub fn new(window: Span, grant_duration: Span, drift_per_mille: u32) -> LeaseTerms {
        let drift_per_mille = drift_per_mille.min(MAX_DRIFT_PER_MILLE);
        let extension = 1.0 + f64::from(drift_per_mille) * DEPOSIT_EXTENSION_PER_MILLE;
        LeaseTerms {
            window,
            deposit_duration: (window + grant_duration + DEPOSIT_SLACK) * extension,
            grant_duration,
            drift_per_mille,
        }
    }

    /// Returns the span extended by `drifts` times the maximum drift; a negative number shortens it.
    pub(crate) fn stretched(self, span: Span, drifts: f64) -> Span {
        span * (1.0 + f64::from(self.drift_per_mille) / 1000.0 * drifts)
    }

    /// Returns how long a planner may rely on a deposit, on its own clock, from its own stamp that the lender echoed.
    ///
    /// With a drift of d, the planner's clock advances by at least (1 - d) / (1 + d) of the lender's span, and 1 - 2d
    /// is less than that.
    pub fn deposit_counted_for(self) -> Span {
        self.stretched(self.deposit_duration, -2.0)
    }

    /// Returns how long a planner must keep a grant reserved, on its own clock, from when it issued the grant.
    ///
    /// With a drift of d, the planner's clock advances by up to (1 + d) / (1 - d) of the borrower's span, which is less
    /// than 1 + 3d for the drifts allowed. The window is added because the grant may have been used just before its
    /// end.
    pub fn grant_reserved_for(self) -> Span {
        self.stretched(self.grant_duration, 3.0) + self.stretched(self.window, 1.0)
    }

    /// Returns how long a starting planner waits before it grants its own quota, as an earlier run may have granted all
    /// of it.
    pub fn planner_startup_wait(self) -> Span {
        self.stretched(self.grant_reserved_for(), 3.0)
    }

    /// Returns how long a starting forwarder does not use its own share, as an earlier run may have lent it.
    pub fn forwarder_startup_wait(self) -> Span {
        self.deposit_duration
    }
}
