//! What the control plane costs at size: hollow forwarders, each with the real control side and nothing of the request
//! path, beside real programs on loopback; slopes from runs of several sizes; the capacity page computed from them.
//!
//! - [`scenario::read`] reads a scale file, [`bounds::check`] refuses a size that the machine doesn't bear, and [`run::play`]
//!   plays one run of it: processes of [`hollow`] forwarders, the stand-in [`coordinator`] and real planners.
//! - [`delivery`] checks that every event reached every forwarder; [`report`] makes rows of results.
//! - [`fit::fit`] fits lines to the rows of runs of several sizes, [`charts::draw`] draws them, and
//!   [`capacity::page::page`] prints the page for a [`target`].
//!
//! ```
//! use flaxdeck_scale::{bounds, scenario};
//!
//! let text = "(scale (name \"small\") (sizes (hollow 50) (hosts 100) (planners 2)))";
//! let scenario = scenario::read("small.scale", text).unwrap();
//! assert!(scenario.points.iter().all(|point| bounds::check(point).is_ok()));
//! ```

pub mod bounds;
pub mod capacity;
pub mod charts;
mod cluster;
pub mod coordinator;
pub mod delivery;
pub mod error;
pub mod files;
pub mod fit;
pub mod hollow;
pub mod hosts;
pub mod in_force_log;
pub mod measurement;
pub mod messages;
pub mod monotonic;
pub mod options;
pub mod processes;
pub mod report;
pub mod run;
pub mod scenario;
pub mod service;
pub mod target;
pub mod usage;
