//! An interval for a mean that holds at all times at once, so that one may look after every pair and stop when the
//! answer is clear. A fixed-size t-test looked at after each pair calls false alarms far above its level.
//!
//! The normal mixture of Robbins (1970) with the estimated variance: the asymptotic confidence sequence of Waudby-Smith,
//! Arbour, Sinha, Kennedy and Ramdas, "Time-uniform central limit theory and asymptotic confidence sequences" (2024).

/// Pairs before which no interval is given: the variance is not known before, and days that tip are rare.
pub const MIN_PAIRS: u64 = 40;
/// Pairs at which the interval is tightest for its level.
const TIGHTEST_AT_PAIRS: f64 = 100.0;

/// What an interval says of B against A, larger being better.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The whole interval lies above zero.
    Better,
    /// The whole interval lies below zero.
    Worse,
    /// No difference larger than the one that matters.
    Same,
    /// The interval is too wide, or there is none yet.
    Undecided,
}

/// The mean lies between these, but for the chance that the sequence was given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    /// The lower end.
    pub low: f64,
    /// The upper end.
    pub high: f64,
}

/// Differences so far, with the interval of their mean.
#[derive(Clone, Debug)]
pub struct ConfidenceSequence {
    /// The chance that the interval ever misses the true mean.
    error_level: f64,
    count: u64,
    mean: f64,
    /// The sum of squared deviations from the mean (Welford 1962).
    squared_deviations: f64,
}

impl ConfidenceSequence {
    /// No differences yet; the interval may ever miss the true mean with this chance, between 0 and 1.
    pub fn new(error_level: f64) -> ConfidenceSequence {
        ConfidenceSequence {
            error_level,
            count: 0,
            mean: 0.0,
            squared_deviations: 0.0,
        }
    }

    /// Adds a difference, B's figure less A's.
    pub fn add(&mut self, difference: f64) {
        self.count += 1;
        let deviation = difference - self.mean;
        self.mean += deviation / self.count as f64;
        self.squared_deviations += deviation * (difference - self.mean);
    }

    /// Differences so far.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Their mean.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// The standard error of the mean; not a number before there are two.
    pub fn standard_error(&self) -> f64 {
        let count = self.count as f64;
        (self.squared_deviations / (count - 1.0) / count).sqrt()
    }

    /// The interval; none before there are enough pairs for one.
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

    /// Half the interval's width for a standard deviation of one.
    fn unit_radius(&self, count: f64) -> f64 {
        let level = self.error_level;
        // The squared width of the mixture that makes the interval tightest at that count.
        let rho2 = (-2.0 * level.ln() + (-2.0 * level.ln()).ln() + 1.0) / TIGHTEST_AT_PAIRS;
        let inner = count * rho2 + 1.0;
        (2.0 * inner / (count * count * rho2) * (inner.sqrt() / level).ln()).sqrt()
    }

    /// What the interval says, where differences up to `min_effect` either way don't matter.
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
