//! Stand-ins for the peers of one dispatcher, written from the protocol's documentation: hosts whose answers
//! can be configured, a coordinator and a client. The example program and the integration tests use them.

mod client;
mod coordinator;
mod host;

pub use client::{Answer, Client, request_message};
pub use coordinator::Coordinator;
pub use host::{Host, HostBehavior, body_of};
