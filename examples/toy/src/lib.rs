//! A toy world round one dispatcher, written from the protocol's page: hosts that answer as they are told to, a
//! coordinator and a client. The example program and the integration tests share it.

mod client;
mod coordinator;
mod host;

pub use client::{Answer, Client, pull_message};
pub use coordinator::Coordinator;
pub use host::{Host, Manner, body_of};

use std::thread;

/// Runs a loop of a stand-in; it ends with the process.
fn spawn(work: impl FnOnce() + Send + 'static) {
    thread::spawn(work);
}
