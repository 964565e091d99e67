//! Measures what the control plane costs at scale: runs hollow forwarders, each with the real control plane of a
//! forwarder and without its request path, together with real programs on loopback; fits slopes to the results of runs
//! of several sizes; and computes the capacity page from these slopes.
//!
//! - [`scenario::read`] reads a scale file, [`bounds::check`] rejects a size that exceeds the limits of the machine,
//!   and [`run::play`] executes one run of it: processes of [`hollow`] forwarders, the stand-in [`coordinator`] and
//!   real planners.
//! - [`delivery`] checks that every event reached every forwarder; [`report`] converts the measurements to result rows.
//! - [`fit::fit`] fits lines to the rows of runs of several sizes, [`charts::draw`] draws them, and
//!   [`capacity::page::page`] renders the page for a [`target`].
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
