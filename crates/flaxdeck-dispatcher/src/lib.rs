//! The dispatcher process: the flaxdeck decision engine on real sockets. The layers are program, routing, protocol and
//! transport (`flaxdeck-net`); each calls only the ones below it. A forwarder is a dispatcher that planners guide, in
//! addition to the events of the coordinator.

pub mod control;
mod program;
mod protocol;
mod routing;

pub use program::{ConfigurationError, RunError, StartError, run, run_guided};
pub use routing::{ControlClientOptions, StateDirectory, SubscriptionOptions};
