//! A discrete-event model of the whole fleet in virtual time: clients, forwarders with the real decision engine,
//! planners with the real guidance, hosts, links, a coordinator whose events arrive with a delay, and faults. A run
//! uses one event queue, one thread and one seeded random number generator, so the same scenario and seed give the same
//! run. Assumptions and limits are in `docs/comparing.md`.
//!
//! [`run`] plays a [`Scenario`] and returns its [`Outcome`]:
//!
//! ```
//! use flaxdeck_fleet::{Scenario, run};
//!
//! let scenario = Scenario { duration_ms: 500.0, zones: 1, ..Scenario::default() };
//! let outcome = run(&scenario, 7);
//! assert_eq!(outcome.operations, outcome.in_time + outcome.late + outcome.lost);
//! ```

pub mod cache;
pub mod faults;
pub mod host;
pub mod link;
mod model;
pub mod outcome;
pub mod queue;
pub mod scenario;
pub mod traffic;

pub use faults::{Fault, FaultKind};
pub use model::run;
pub use outcome::Outcome;
pub use scenario::Scenario;
