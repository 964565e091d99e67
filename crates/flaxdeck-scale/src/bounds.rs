//! Limits on the resources that a run may use, checked before any process starts.

use std::fmt;

use crate::scenario::Point;

/// Maximum memory of all processes of a run together, in bytes.
pub const MAX_MEMORY_BYTES: u64 = 10_000_000_000;
/// Maximum number of processes of a run.
pub const MAX_PROCESSES: u64 = 200;
/// Maximum number of open file descriptors of one process.
pub const MAX_DESCRIPTORS: u64 = 20_000;

/// Estimated resident memory of a process without forwarders, rounded up from measured runs.
const PROCESS_BYTES: u64 = 16_000_000;
/// Estimated resident memory of one hollow forwarder without its endpoint list.
const FORWARDER_BYTES: u64 = 500_000;
/// Estimated resident memory of one host in the endpoint list of a hollow forwarder.
const HOST_BYTES: u64 = 1_200;
/// Estimated memory of the parent process, the coordinator's buffered frames and the planners' event logs together.
const OTHER_BYTES: u64 = 400_000_000;
/// Descriptors of a process other than those of its connections.
const BASE_DESCRIPTORS: u64 = 32;

/// A bound that a point would exceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundExceeded {
    /// The bound that would be exceeded.
    pub bound: Bound,
    /// The estimated use of the point, in the unit of the bound.
    pub needed: u64,
    /// The maximum, in the unit of the bound.
    pub max: u64,
}

/// A resource whose use by a run is bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// Memory of all processes together, in bytes.
    Memory,
    /// Number of processes of the run.
    Processes,
    /// Number of open file descriptors of one process.
    Descriptors,
}

impl std::error::Error for BoundExceeded {}

impl fmt::Display for BoundExceeded {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let BoundExceeded { needed, max, .. } = self;
        match self.bound {
            Bound::Memory => {
                write!(
                    out,
                    "about {needed} bytes of memory; the bound is {max} over all processes"
                )
            }
            Bound::Processes => write!(out, "{needed} processes; the bound is {max}"),
            Bound::Descriptors => write!(
                out,
                "{needed} descriptors in one process; the bound is {max}"
            ),
        }
    }
}

/// Checks that a point stays within all bounds.
///
/// # Errors
///
/// The first bound that the point would exceed.
pub fn check(point: &Point) -> Result<(), BoundExceeded> {
    let hollow = u64::from(point.hollow);
    let hosts = u64::from(point.hosts);
    // The two others are the coordinator and this process.
    let processes = u64::from(point.processes + point.planners + point.real) + 2;
    let memory =
        processes * PROCESS_BYTES + hollow * (FORWARDER_BYTES + hosts * HOST_BYTES) + OTHER_BYTES;
    // Each hollow forwarder connects to every planner and to the coordinator.
    let connections = u64::from(point.planners) + 1;
    let in_hollow = hollow.div_ceil(u64::from(point.processes.max(1))) * connections;
    let descriptors = in_hollow.max(hollow + u64::from(point.real)) + BASE_DESCRIPTORS;
    let checks = [
        (Bound::Processes, processes, MAX_PROCESSES),
        (Bound::Descriptors, descriptors, MAX_DESCRIPTORS),
        (Bound::Memory, memory, MAX_MEMORY_BYTES),
    ];
    for (bound, needed, max) in checks {
        if needed > max {
            return Err(BoundExceeded { bound, needed, max });
        }
    }
    Ok(())
}
