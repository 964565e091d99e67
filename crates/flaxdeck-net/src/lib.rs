//! The transport that all flaxdeck programs share: bytes in, bytes out, and what bounds them. Nothing here knows a
//! protocol.
//!
//! | module | job |
//! | --- | --- |
//! | [`listener`] | binds an address and accepts connections |
//! | [`link`] | one TCP connection: its read buffer, its queue of messages to write, its orderly end |
//! | [`budget`] | how many connections, requests and bytes a process may hold, and permits for them |
//! | [`eviction`] | which client connections are closed to make room for new ones |
//! | [`clock`] | Unix time that never steps, and the conversion to the runtime's instants |
//! | [`metrics`], [`counters_file`] | counters of a thread, in the log or in a file |
//!
//! A permit is acquired before memory or a descriptor is used, and comes back when it is dropped:
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
pub mod metrics;
