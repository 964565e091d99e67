//! A toy world round one dispatcher, written from the protocol's page: hosts that answer as they are told to, a
//! coordinator and a client. The example program and the integration tests share it.

mod client;
mod coordinator;
mod host;

pub use client::{Answer, Client, request_message};
pub use coordinator::Coordinator;
pub use host::{Host, Manner, body_of};
