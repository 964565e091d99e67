//! A planner on sockets: one connection to the coordinator, one from each forwarder. All that it decides is
//! [`flaxdeck_control::planner`] and [`flaxdeck_distribution::publisher`]; here messages only move.
//!
//! [`run`] is the entry point: it serves until SIGTERM or ctrl-c on a runtime of its own, which has one thread. [`Start`]
//! says what it needs to know.
//!
//! | module | job |
//! | --- | --- |
//! | `server` | starts the tasks and owns them, accepts forwarders, writes the counters to the log |
//! | `state` | the one place that holds and changes what the tasks share: the planner, its senders, events, subscribers |
//! | `session` | a task for each forwarder: reports in, guidance out |
//! | `coordinator` | a task that follows the coordinator |
//! | `publishing` | a task that sends events to subscribers as they are due |
//! | `events` | what is known of the coordinator's events, and who subscribes to them |
//!
//! At the end nothing is owed: what was granted runs off by itself at the forwarders.
//!
//! ```
//! use flaxdeck_planner::{RunError, run};
//!
//! // Where there is a plan, the closure reads it and gives a `Start`.
//! let ended = run(|| Err("there is no plan"));
//! assert!(matches!(ended, Err(RunError::Start("there is no plan"))));
//! ```

mod coordinator;
mod events;
mod publishing;
mod server;
mod session;
mod state;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use flaxdeck_channel::authenticated::Key;
use flaxdeck_channel::watch::{NumberedEvents, Watch};
use flaxdeck_control::{LeaseTerms, QuotaFraction};
use flaxdeck_distribution::Cadence;
use thiserror::Error;
use tokio::task::LocalSet;

/// Forwarders that may be connected at once, each with at most a frame and some messages in memory.
pub const MAX_CONNECTIONS: usize = 4_096;

/// What a planner is told at start.
pub struct Start {
    /// Its name in the plan.
    pub name: String,
    /// Where forwarders connect to it.
    pub listen: SocketAddr,
    /// The key that all instances share.
    pub key: Key,
    /// How long leases last.
    pub lease_terms: LeaseTerms,
    /// Its own part of each cold host.
    pub own: QuotaFraction,
    /// How often forwarders that subscribe are sent events.
    pub cadence: Cadence,
    /// Follows the coordinator.
    pub watch: Watch,
    /// The events that the configuration holds.
    pub known: NumberedEvents,
    /// Where its counters are written as they grow, if anywhere.
    pub counters: Option<PathBuf>,
}

/// Why a planner did not run.
#[derive(Debug, Error)]
pub enum RunError<E> {
    /// What it needs to know could not be told.
    #[error("{0}")]
    Start(E),
    /// The system has no room for a runtime.
    #[error("no runtime: {0}")]
    Runtime(#[source] io::Error),
    /// Signals can't be received.
    #[error("no signals: {0}")]
    Signals(#[source] io::Error),
    /// The address can't be listened at.
    #[error("cannot listen at {address}: {error}")]
    Listen {
        /// That address.
        address: SocketAddr,
        /// What the system says.
        #[source]
        error: io::Error,
    },
}

/// Runs until SIGTERM or ctrl-c. `start` is called on the planner's runtime, as a watch begins there.
///
/// # Errors
///
/// If `start` fails, or the system does not give what a planner needs.
pub fn run<E>(start: impl FnOnce() -> Result<Start, E>) -> Result<(), RunError<E>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(RunError::Runtime)?;
    LocalSet::new().block_on(&runtime, async move {
        server::serve(start().map_err(RunError::Start)?).await
    })
}
