//! Checks the five rules of routing over a record of the events that clients, hosts and the coordinator observed.
//!
//! The checker shares no code with the decision engine, so that it can't repeat a mistake of it. A test bed collects
//! [`RecordEntry`] values, sets the [`InvariantTerms`], and reads the [`Verdict`] that [`check`] returns:
//!
//! ```
//! use flaxdeck_invariants::{FinalAnswer, InvariantTerms, RecordEntry, RecordedEvent, check};
//!
//! let request = "r1".to_owned();
//! let record = [
//!     RecordEntry { at_ms: 0.0, event: RecordedEvent::RequestSent { request: request.clone(), deadline_ms: 100.0 } },
//!     RecordEntry { at_ms: 40.0, event: RecordedEvent::Answered { request, answer: FinalAnswer::Served } },
//! ];
//! let verdict = check(&InvariantTerms::default(), &record);
//! assert!(verdict.all_accounted_for() && verdict.violations.is_empty());
//! ```
//!
//! All times are milliseconds on the same clock.

mod check;
mod cold_load;
mod record;
mod rules;
mod terms;
mod verdict;

pub use check::check;
pub use cold_load::{SamplingPeriod, mean_cold_load};
pub use record::{FinalAnswer, RecordEntry, RecordedEvent};
pub use terms::{InvariantTerms, SlowStartTerms};
pub use verdict::{Rule, Verdict, Violation};
