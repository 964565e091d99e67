//! An interval for a mean that holds at all times at once, so that one may look after every pair and stop when the
//! answer is clear. A fixed-size t-test looked at after each pair calls false alarms far above its level.
//!
//! The normal mixture of Robbins (1970) with the estimated variance: the asymptotic confidence sequence of Waudby-Smith,
//! Arbour, Sinha, Kennedy and Ramdas, "Time-uniform central limit theory and asymptotic confidence sequences" (2024).

/// Pairs before which no interval is given: the variance is not known before, and days that tip are rare.
pub const LEAST: u64 = 40;
/// Pairs at which the interval is tightest for its level.
const TUNED_TO: f64 = 100.0;

/// What an interval says of B against A, larger being better.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The whole interval lies above zero.
    Better,
    /// The whole interval lies below zero.
    Worse,
    /// No difference larger than was asked for.
    Same,
    /// The interval is too wide, or there is none yet.
    NotKnownYet,
}

/// Differences so far, with the interval of their mean.
#[derive(Clone, Debug)]
pub struct Sequence {
    /// The chance that the interval ever misses the true mean.
    level: f64,
    count: u64,
    mean: f64,
    squares: f64,
}

impl Sequence {
    /// No differences yet; the interval may ever miss with this chance.
    pub fn new(level: f64) -> Sequence {
        Sequence {
            level,
            count: 0,
            mean: 0.0,
            squares: 0.0,
        }
    }

    /// Adds a difference, B's figure less A's.
    pub fn add(&mut self, difference: f64) {
        self.count += 1;
        let off = difference - self.mean;
        self.mean += off / self.count as f64;
        self.squares += off * (difference - self.mean);
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
        (self.squares / (count - 1.0) / count).sqrt()
    }

    /// The interval; none before there are enough pairs for one.
    pub fn interval(&self) -> Option<(f64, f64)> {
        if self.count < LEAST {
            return None;
        }
        let count = self.count as f64;
        let deviation = (self.squares / (count - 1.0)).sqrt();
        // The mixture's width that makes the interval tightest at that count.
        let rho2 = (-2.0 * self.level.ln() + (-2.0 * self.level.ln()).ln() + 1.0) / TUNED_TO;
        let inner = count * rho2 + 1.0;
        let radius = deviation
            * (2.0 * inner / (count * count * rho2) * (inner.sqrt() / self.level).ln()).sqrt();
        Some((self.mean - radius, self.mean + radius))
    }

    /// What it says, where differences up to `matters` either way don't matter.
    pub fn verdict(&self, matters: f64) -> Verdict {
        match self.interval() {
            None => Verdict::NotKnownYet,
            Some((low, high)) if low >= -matters && high <= matters => Verdict::Same,
            Some((low, _)) if low > 0.0 => Verdict::Better,
            Some((_, high)) if high < 0.0 => Verdict::Worse,
            Some(_) => Verdict::NotKnownYet,
        }
    }
}
