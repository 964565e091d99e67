//! Conversations over connections: `watch` follows the coordinator, `line` joins forwarders and planners, whose bytes
//! `seal` reads and writes.

pub mod authenticated;
pub mod connection;
pub mod message_kind;
pub mod messages;
pub mod watch;
