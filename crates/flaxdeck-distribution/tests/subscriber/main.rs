//! The subscriber: which deliveries it applies or rejects, and which planner it follows.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod batches;
mod coordinator;
mod failover;
mod invalid;
mod snapshots;
mod support;
