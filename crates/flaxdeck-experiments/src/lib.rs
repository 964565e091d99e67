//! Experiments: compares two scenarios of the fleet model by pairs of runs, measures how service recovers after real
//! processes restart, and writes raw results to files.
//!
//! - [`compare`] plays pairs of runs until the verdict is clear or the time is up; [`confidence`] has the confidence
//!   sequence, whose interval may be checked after every pair.
//! - [`recovery`] compares a run with a fault to its twin without one.
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
//! assert_eq!(comparison.verdict(limits.min_effect), Verdict::Undecided, "a verdict needs more than four pairs");
//! ```

mod comparison;
pub mod confidence;
pub mod parquet_table;
pub mod recovery;

pub use comparison::{Comparison, Limits, Metric, Pair, compare};
pub use confidence::{ConfidenceSequence, Interval, Verdict};
