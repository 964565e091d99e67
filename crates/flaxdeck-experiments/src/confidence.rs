//! A confidence sequence for a mean: an interval that is valid at all sample sizes simultaneously, so that it may be
//! checked after every pair and sampling may stop as soon as the verdict is clear. A t-test for a fixed sample size
//! that is checked after every pair has far more false positives than its level allows.
//!
//! Uses the normal mixture of Robbins (1970) with the estimated variance: the asymptotic confidence sequence of
//! Waudby-Smith, Arbour, Sinha, Kennedy and Ramdas, "Time-uniform central limit theory and asymptotic confidence
//! sequences" (2024).

/// The number of pairs below which there is no interval: with fewer, the estimate of the variance is unreliable,
/// because pairs with a large difference are rare.
pub const MIN_PAIRS: u64 = 40;
/// The number of pairs at which the interval is tightest for its error level.
const TIGHTEST_AT_PAIRS: f64 = 100.0;

/// The verdict of an interval on B compared with A, where larger values are better.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// B is better: the whole interval lies above zero.
    Better,
    /// B is worse: the whole interval lies below zero.
    Worse,
    /// No difference that matters: the whole interval lies within the smallest effect that matters.
    Same,
    /// Not known yet: the interval is too wide, or there are too few pairs for one.
    Undecided,
}

/// An interval that contains the true mean, except with the error level of its sequence.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    /// The lower bound.
    pub low: f64,
    /// The upper bound.
    pub high: f64,
}

/// Accumulates differences, and computes the confidence interval of their mean.
#[derive(Clone, Debug)]
pub struct ConfidenceSequence {
    /// The probability that the interval ever misses the true mean.
    error_level: f64,
    count: u64,
    mean: f64,
    /// The sum of squared deviations from the mean (Welford 1962).
    squared_deviations: f64,
}

impl ConfidenceSequence {
    /// Creates an empty sequence. `error_level`, between 0 and 1, is the probability that the interval ever misses the
    /// true mean.
    pub fn new(error_level: f64) -> ConfidenceSequence {
        ConfidenceSequence {
            error_level,
            count: 0,
            mean: 0.0,
            squared_deviations: 0.0,
        }
    }

    /// Adds the difference of a pair, B's value minus A's.
    pub fn add(&mut self, difference: f64) {
        self.count += 1;
        let deviation = difference - self.mean;
        self.mean += deviation / self.count as f64;
        self.squared_deviations += deviation * (difference - self.mean);
    }

    /// Returns the number of differences.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns the mean of the differences.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns the standard error of the mean; NaN for fewer than two differences.
    pub fn standard_error(&self) -> f64 {
        let count = self.count as f64;
        (self.squared_deviations / (count - 1.0) / count).sqrt()
    }

    /// Returns the interval, or `None` for fewer than [`MIN_PAIRS`] differences.
    pub fn interval(&self) -> Option<Interval> {
        if self.count < MIN_PAIRS {
            return None;
        }
        let count = self.count as f64;
        let deviation = (self.squared_deviations / (count - 1.0)).sqrt();
        let radius = deviation * self.unit_radius(count);
        Some(Interval {
            low: self.mean - radius,
            high: self.mean + radius,
        })
    }

    /// Returns half the width of the interval for a standard deviation of 1.
    fn unit_radius(&self, count: f64) -> f64 {
        let level = self.error_level;
        // The variance of the mixture that makes the interval tightest at `TIGHTEST_AT_PAIRS`.
        let rho2 = (-2.0 * level.ln() + (-2.0 * level.ln()).ln() + 1.0) / TIGHTEST_AT_PAIRS;
        let inner = count * rho2 + 1.0;
        (2.0 * inner / (count * count * rho2) * (inner.sqrt() / level).ln()).sqrt()
    }

    /// Returns the verdict of the interval, where differences between -`min_effect` and `min_effect` do not matter.
    pub fn verdict(&self, min_effect: f64) -> Verdict {
        match self.interval() {
            None => Verdict::Undecided,
            Some(Interval { low, high }) if low >= -min_effect && high <= min_effect => {
                Verdict::Same
            }
            Some(Interval { low, .. }) if low > 0.0 => Verdict::Better,
            Some(Interval { high, .. }) if high < 0.0 => Verdict::Worse,
            Some(_) => Verdict::Undecided,
        }
    }
}
