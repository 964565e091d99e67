//! Stand-ins for the peers of forwarders and planners, on loopback and in one process: cache hosts, parents, an origin,
//! a coordinator, clients, and links that can be cut. A fleet of real processes runs against them, with faults injected
//! from a schedule. All events are recorded and checked by `flaxdeck-invariants`.
//!
//! - [`World`] starts the stand-ins of a [`Layout`], records their events, and checks the record.
//! - [`Clients`] send an open-loop [`Load`]; [`RetryingClients`] also retry, and switch to another dispatcher.
//! - [`Proxy`] is a TCP proxy on the link between two programs, which can delay, stall or cut it.
//! - [`fleet::Fleet`] starts forwarders and planners as processes, and injects [`fleet::Fault`]s.
//!
//! ```no_run
//! use flaxdeck_emulator::fleet::{Fault, Fleet, Setup};
//! use flaxdeck_emulator::{EmulatorError, Layout, World};
//!
//! # fn main() -> Result<(), EmulatorError> {
//! let world = World::start(Layout::default())?;
//! let mut fleet = Fleet::start(world, Setup::new("target/debug/flaxdeck".into(), 2, 3))?;
//! fleet.play(&[(1_000.0, Fault::KillPlanner(0)), (2_000.0, Fault::StartPlanner(0))])?;
//! assert!(fleet.world.verdict().all_accounted_for());
//! # Ok(())
//! # }
//! ```
//!
//! Times are milliseconds since the start of the world, unless a name says otherwise.

mod clients;
mod coordinator;
mod error;
pub mod fleet;
mod hosts;
mod layout;
mod load;
mod objects;
mod proxy;
mod requests;
mod retrying_clients;
mod state;
mod sync;
mod world;

pub use clients::{ClientStatistics, Clients};
pub use error::EmulatorError;
pub use layout::{Layout, settings};
pub use load::{Load, object_of_rank};
pub use proxy::{LinkState, Proxy};
pub use retrying_clients::{OperationEnd, OperationOutcome, RetryPolicy, RetryingClients};
pub use state::{FailureMode, HostKind, INTERVAL_MS, IntervalCounters};
pub use world::{ListedHost, World};
