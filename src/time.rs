//! Points in time and lengths of time, as separate types that can't be mixed up.

use std::ops::{Add, Mul, Sub};

/// A point in time, in microseconds of the caller's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

/// A length of time, in microseconds; never negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(u64);

/// A value with the time at which it was sampled.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sampled<T> {
    /// The value.
    pub value: T,
    /// When it was sampled.
    pub at: Time,
}

impl Time {
    /// Later than any other time.
    pub const NEVER: Time = Time(u64::MAX);

    /// Returns the time at `ms` milliseconds of the caller's clock, rounded to microseconds; zero if negative.
    pub fn at_ms(ms: f64) -> Time {
        Time((ms.max(0.0) * 1000.0).round() as u64)
    }

    /// Returns the milliseconds of the caller's clock.
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// Returns the time from `earlier` to this one; zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// A span of zero length.
    pub const ZERO: Span = Span(0);

    /// Returns a span of a whole number of milliseconds.
    pub const fn from_ms(ms: u64) -> Span {
        Span(ms * 1000)
    }

    /// Returns a span of `ms` milliseconds, rounded to microseconds; zero if negative.
    pub fn of_ms(ms: f64) -> Span {
        Span((ms.max(0.0) * 1000.0).round() as u64)
    }

    /// Returns its length in milliseconds.
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// Returns this span minus another; zero if the other is longer.
    pub fn saturating_sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, by: f64) -> Span {
        Span((self.0 as f64 * by.max(0.0)) as u64)
    }
}
