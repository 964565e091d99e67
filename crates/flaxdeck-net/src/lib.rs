//! The transport that all flaxdeck programs share: listeners, connections and resource limits, independent of any
//! protocol.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`listener`] | binds an address and accepts connections |
//! | [`link`] | one TCP connection: its read buffer, its write queue and its graceful close |
//! | [`budget`] | limits on connections, requests and bytes of a process, and permits for them |
//! | [`eviction`] | selects the client connections to close when new ones need capacity |
//! | [`clock`] | monotonic Unix time, its conversion to the runtime's instants, and the time since boot |
//! | [`log_limiter`] | limits on the lines that others can cause in the log |
//! | [`metrics`], [`counters_file`] | counters of a thread, written to the log or to a file |
//!
//! A permit is acquired before memory or a descriptor is used, and its units are released when it is dropped:
//!
//! ```
//! use flaxdeck_net::budget::Budget;
//!
//! let connections = Budget::new(1);
//! let permit = connections.try_acquire().unwrap();
//! assert!(connections.try_acquire().is_none());
//! drop(permit);
//! assert_eq!(connections.in_use(), 0);
//! ```

pub mod budget;
pub mod clock;
pub mod counters_file;
pub mod eviction;
pub mod link;
pub mod listener;
pub mod log_limiter;
pub mod metrics;
