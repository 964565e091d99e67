//! Conversations over connections: `watch` follows the coordinator, `line` joins forwarders and planners, whose bytes
//! `seal` reads and writes.

pub mod kinds;
pub mod line;
pub mod messages;
pub mod seal;
pub mod watch;
