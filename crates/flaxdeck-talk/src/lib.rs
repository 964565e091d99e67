//! Conversations over connections: `feed` follows the coordinator, `line` joins forwarders and planners, whose bytes
//! `seal` reads and writes.

pub mod feed;
pub mod kinds;
pub mod line;
pub mod seal;
