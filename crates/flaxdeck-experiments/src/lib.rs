//! Experiments: whether one scenario of the fleet does better than another, by pairs of runs of the model, and how
//! service comes back after a restart of real processes; and raw results as files.
//!
//! - [`compare`] plays pairs of runs until the answer is clear or the time is up; [`confidence`] has the interval that
//!   may be looked at after every pair.
//! - [`recovery`] judges a run with a fault against its twin without one.
//! - [`parquet_table`] writes tables of results.
//!
//! ```
//! use std::time::Duration;
//! use flaxdeck_experiments::{Limits, Verdict, compare};
//! use flaxdeck_fleet::Scenario;
//!
//! let a = Scenario { duration_ms: 200.0, zones: 1, ..Scenario::default() };
//! let b = Scenario { link_kb_per_ms: 54.0, ..a.clone() };
//! let limits = Limits {
//!     budget: Duration::from_secs(5),
//!     max_pairs: 4,
//!     error_level: 0.05,
//!     min_effect: 0.005,
//!     fault_kinds: Vec::new(),
//!     seed: 1,
//!     independent_seeds: false,
//! };
//! let comparison = compare(&a, &b, &limits, |_| {});
//! assert_eq!(comparison.verdict(limits.min_effect), Verdict::Undecided, "four pairs are too few");
//! ```

mod comparison;
pub mod confidence;
pub mod parquet_table;
pub mod recovery;

pub use comparison::{Comparison, Limits, Metric, Pair, compare};
pub use confidence::{ConfidenceSequence, Interval, Verdict};
