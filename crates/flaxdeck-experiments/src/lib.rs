//! Experiments: over the model of the fleet, two shapes played in pairs until the answer is clear or the time is up; over
//! real processes, how service comes back; and what is kept of either.

#![warn(missing_docs)]

pub mod keep;
mod pairs;
pub mod sequence;
pub mod service;

pub use pairs::{Comparison, Figure, Limits, compare};
pub use sequence::{Sequence, Verdict};
