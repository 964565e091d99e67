//! The planner's process: one connection to the coordinator and one from each forwarder. All decisions are made in
//! [`flaxdeck_control::planner`] and [`flaxdeck_distribution::publisher`]; this crate receives and sends the messages.
//!
//! [`run`] is the entry point: it serves until SIGTERM or ctrl-c on a runtime of its own, which has one thread.
//! [`Start`] holds its parameters.
//!
//! | module | purpose |
//! | --- | --- |
//! | `server` | starts and owns the tasks, accepts forwarders, logs the counters |
//! | `state` | the state that the tasks share: the planner, connected forwarders, events, subscribers |
//! | `session` | a task for each forwarder: receives its reports and subscriptions |
//! | `coordinator` | a task that follows the coordinator |
//! | `publishing` | a task that sends events to subscribers when they are due |
//! | `events` | the coordinator's events and their subscribers |
//!
//! A planner that ends has nothing to return: its grants expire by themselves at the forwarders.
//!
//! ```
//! use flaxdeck_planner::{RunError, run};
//!
//! // Where there is a plan, the operator's configuration, the closure reads it and returns a `Start`.
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

/// Maximum number of connected forwarders. Each needs memory for at most a frame and some queued messages.
pub const MAX_CONNECTIONS: usize = 4_096;

/// Parameters of a planner.
pub struct Start {
    /// Name of the planner in the plan, the operator's configuration.
    pub name: String,
    /// Address to listen on for forwarders.
    pub listen: SocketAddr,
    /// The key that all forwarders and planners share.
    pub key: Key,
    /// How long leases last.
    pub lease_terms: LeaseTerms,
    /// Fraction of each warming host's quota that this planner may grant besides what forwarders lend to it.
    pub own: QuotaFraction,
    /// How often subscribed forwarders are sent events.
    pub cadence: Cadence,
    /// Watch of the coordinator.
    pub watch: Watch,
    /// Events of the platform's configuration, applied before the coordinator sends any.
    pub known: NumberedEvents,
    /// File to which the counters are written regularly; none if they are not written.
    pub counters: Option<PathBuf>,
}

/// Why a planner could not run.
#[derive(Debug, Error)]
pub enum RunError<E> {
    /// The parameters could not be determined.
    #[error("{0}")]
    Start(E),
    /// The async runtime could not be created.
    #[error("cannot create the async runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The handlers of SIGTERM and SIGINT could not be installed.
    #[error("cannot install the signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The listening socket could not be opened.
    #[error("cannot listen at {address}: {error}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The system's error.
        #[source]
        error: io::Error,
    },
}

/// Runs a planner until SIGTERM or ctrl-c. `start` is called on the planner's runtime, as a watch has to be created
/// there.
///
/// # Errors
///
/// If `start` fails, or the async runtime, the signal handlers or the listener can't be created.
pub fn run<E>(start: impl FnOnce() -> Result<Start, E>) -> Result<(), RunError<E>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(RunError::Runtime)?;
    LocalSet::new().block_on(&runtime, async move {
        server::serve(start().map_err(RunError::Start)?).await
    })
}
