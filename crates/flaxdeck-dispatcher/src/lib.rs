//! The real dispatcher: flaxdeck on sockets. Each layer calls only downwards: program, routing, protocol,
//! transport (`flaxdeck-net`). A forwarder is the same with a plan: planners guide it beside the coordinator.

pub mod control;
mod program;
mod protocol;
mod routing;

pub use program::{ConfigurationError, RunError, StartError, run, run_guided};
pub use routing::{ControlClientOptions, StateDirectory, SubscriptionOptions};
