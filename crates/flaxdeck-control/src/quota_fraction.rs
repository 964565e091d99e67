//! Amounts of a quota.

use serde::{Deserialize, Serialize};

/// A fraction of what a host can take while it warms up, in millionths of the whole.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct QuotaFraction(pub u32);

impl QuotaFraction {
    /// All that the host can take.
    pub const WHOLE: QuotaFraction = QuotaFraction(1_000_000);
    /// Nothing.
    pub const NONE: QuotaFraction = QuotaFraction(0);

    /// A fraction between 0 and 1, rounded down. Anything else counts as the nearer end, and not-a-number as none.
    pub fn rounded_down(fraction: f64) -> QuotaFraction {
        QuotaFraction((fraction.clamp(0.0, 1.0) * 1e6) as u32)
    }

    /// A fraction between 0 and 1, rounded up. Anything else counts as the nearer end, and not-a-number as none.
    pub fn rounded_up(fraction: f64) -> QuotaFraction {
        QuotaFraction((fraction.clamp(0.0, 1.0) * 1e6).ceil() as u32)
    }

    /// The fraction as a number, 1 for the whole.
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / 1e6
    }

    /// What is left when `other` is taken away, at least none.
    pub fn saturating_sub(self, other: QuotaFraction) -> QuotaFraction {
        QuotaFraction(self.0.saturating_sub(other.0))
    }

    /// The sum, which may be more than the whole.
    pub fn saturating_add(self, other: QuotaFraction) -> QuotaFraction {
        QuotaFraction(self.0.saturating_add(other.0))
    }

    /// The same, at most the whole.
    pub fn at_most_whole(self) -> QuotaFraction {
        self.min(QuotaFraction::WHOLE)
    }
}
