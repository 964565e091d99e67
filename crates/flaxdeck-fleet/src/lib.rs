//! A model of the whole fleet in virtual time: clients, forwarders with the real decisions, planners with the real
//! guidance, hosts, links, a late coordinator, faults. One event queue, one thread, one source of chance: the same shape
//! and seed give the same run. Assumptions and limits are in `docs/comparing.md`.

#![warn(missing_docs)]

pub mod faults;
pub mod hosts;
pub mod links;
pub mod model;
pub mod outcome;
pub mod queue;
pub mod shape;
pub mod traffic;

pub use faults::{Fault, FaultKind};
pub use model::run;
pub use outcome::Outcome;
pub use shape::Shape;
