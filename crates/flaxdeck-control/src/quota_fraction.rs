//! Amounts of a host's quota.

use serde::{Deserialize, Serialize};

/// A fraction of a warming host's full quota, in millionths.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct QuotaFraction(pub u32);

impl QuotaFraction {
    /// The full quota.
    pub const WHOLE: QuotaFraction = QuotaFraction(1_000_000);
    /// An amount of zero.
    pub const NONE: QuotaFraction = QuotaFraction(0);

    /// Converts a number between 0 and 1, rounding down. Other numbers are clamped to that range, and NaN becomes zero.
    pub fn rounded_down(fraction: f64) -> QuotaFraction {
        QuotaFraction((fraction.clamp(0.0, 1.0) * 1e6) as u32)
    }

    /// Converts a number between 0 and 1, rounding up. Other numbers are clamped to that range, and NaN becomes zero.
    pub fn rounded_up(fraction: f64) -> QuotaFraction {
        QuotaFraction((fraction.clamp(0.0, 1.0) * 1e6).ceil() as u32)
    }

    /// Returns the fraction as a number, where 1 is the full quota.
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / 1e6
    }

    /// Returns the difference, at least zero.
    pub fn saturating_sub(self, other: QuotaFraction) -> QuotaFraction {
        QuotaFraction(self.0.saturating_sub(other.0))
    }

    /// Returns the sum, which may exceed the full quota.
    pub fn saturating_add(self, other: QuotaFraction) -> QuotaFraction {
        QuotaFraction(self.0.saturating_add(other.0))
    }

    /// Returns the amount, limited to the full quota.
    pub fn at_most_whole(self) -> QuotaFraction {
        self.min(QuotaFraction::WHOLE)
    }
}
