//! How the coordinator's numbered events reach forwarders by way of one planner each, as state machines without I/O,
//! clocks or tasks: messages and the time go in, messages and timers come out. The reasons and the figures are in
//! `docs/distribution.md`.
//!
//! - [`messages`]: what a forwarder and a planner send each other about events.
//! - [`fingerprint`] and [`digest`]: short names of purged objects and their coding.
//! - [`cadence`]: how often a planner speaks, and when it counts as silent.
//! - [`event_log`]: what a planner keeps of the coordinator's events.
//! - [`publisher`]: the planner's side: which subscriber is told what, and when.
//! - [`subscriber`]: the forwarder's side: which planner it follows, and what of its messages is applied.
//! - [`purge_index`]: the purges that a forwarder has to heed until hosts have dropped the copies by themselves.
//!
//! Positions in the coordinator's numbering are [`flaxdeck_recovery::EventPosition`]s: the number of an event and a hash of what
//! it tells, so that two numberings are told apart.

pub mod cadence;
pub mod digest;
pub mod event_log;
pub mod fingerprint;
pub mod messages;
pub mod publisher;
pub mod purge_index;
pub mod subscriber;

pub use cadence::Cadence;
pub use digest::InvalidDigest;
pub use event_log::{Content, EventLog, NotKept, Retention};
pub use fingerprint::Fingerprint;
pub use publisher::{Publisher, SubscriberId};
pub use purge_index::PurgeIndex;
pub use subscriber::{Applied, PlannerNumber, Refused, Subscriber};
