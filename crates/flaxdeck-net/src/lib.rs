//! Bytes only: the listener, connections with their buffers, what bounds them, the clock and the counters.

pub mod clock;
pub mod counters_file;
pub mod link;
pub mod listener;
pub mod room;
pub mod tally;
