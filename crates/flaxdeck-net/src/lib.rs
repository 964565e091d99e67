//! Bytes only: the listener, connections with their buffers, what bounds them, the clock and the counters.

pub mod budget;
pub mod clock;
pub mod counters_file;
pub mod eviction;
pub mod link;
pub mod listener;
pub mod metrics;
