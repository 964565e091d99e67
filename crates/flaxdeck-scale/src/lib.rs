//! What the control plane costs at size: hollow forwarders, each with the real control side and nothing of the request
//! path, beside real programs on loopback; slopes from runs of several sizes; the capacity page computed from them.

pub mod bounds;
pub mod capacity;
pub mod charts;
pub mod coordinator;
pub mod delays;
pub mod error;
pub mod files;
pub mod fit;
pub mod hollow;
pub mod hosts;
pub mod in_force;
pub mod measurement;
pub mod messages;
pub mod monotonic;
pub mod processes;
pub mod report;
pub mod run;
pub mod scenario;
pub mod service;
mod stage;
pub mod target;
pub mod usage;
