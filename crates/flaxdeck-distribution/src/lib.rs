//! How the coordinator's numbered events reach forwarders by way of one planner each, as state machines without I/O,
//! clocks or tasks: messages and the time go in, messages and timers come out.
//!
//! - [`messages`]: what a forwarder and a planner send each other about events.
//!
//! Positions in the coordinator's numbering are [`flaxdeck_recovery::Mark`]s: the number of an event and a hash of what
//! it tells, so that two numberings are told apart.

pub mod messages;
