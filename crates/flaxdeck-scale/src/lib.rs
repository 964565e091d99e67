//! What the control plane costs at size: hollow forwarders, each with the real control side and nothing of the request
//! path, beside real programs on loopback; slopes from runs of several sizes; the capacity page computed from them.

pub mod capacity;
pub mod charts;
pub mod error;
pub mod files;
pub mod fit;
pub mod measurement;
pub mod target;
