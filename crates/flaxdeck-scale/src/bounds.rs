//! What a run may take of the machine, checked before anything starts.

use std::fmt;

use crate::scenario::Point;

/// Bytes of memory over all processes.
pub const MAX_MEMORY: u64 = 10_000_000_000;
/// Processes of one run.
pub const MAX_PROCESSES: u64 = 200;
/// Descriptors of one process.
pub const MAX_DESCRIPTORS: u64 = 20_000;

/// Resident memory of one process with nothing in it, rounded up from measured runs, ...
const PROCESS_BYTES: u64 = 16_000_000;
/// ... of one hollow forwarder, ...
const FORWARDER_BYTES: u64 = 500_000;
/// ... and of one host of its list.
const HOST_BYTES: u64 = 1_200;
/// Of the parent, the coordinator's ring and the planners' logs together.
const OTHER_BYTES: u64 = 400_000_000;
/// Descriptors of a process beside its connections.
const OWN_DESCRIPTORS: u64 = 32;

/// A bound that a point would go over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundExceeded {
    /// Which bound.
    pub bound: Bound,
    /// What the point would take, in the bound's unit.
    pub needed: u64,
    /// The bound.
    pub max: u64,
}

/// What a run may take at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// Bytes of memory over all processes.
    Memory,
    /// Processes of the run.
    Processes,
    /// Descriptors of one process.
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
                    "some {needed} bytes of memory, the bound is {max} over all processes"
                )
            }
            Bound::Processes => write!(out, "{needed} processes, the bound is {max}"),
            Bound::Descriptors => write!(
                out,
                "{needed} descriptors in one process, the bound is {max}"
            ),
        }
    }
}

/// Whether a point fits.
///
/// # Errors
///
/// The first bound that it would go over.
pub fn check(point: &Point) -> Result<(), BoundExceeded> {
    let hollow = u64::from(point.hollow);
    let hosts = u64::from(point.hosts);
    // The coordinator, the planners, the hollow processes, the real forwarders, and this one.
    let processes = u64::from(point.processes + point.planners + point.real) + 2;
    let memory =
        processes * PROCESS_BYTES + hollow * (FORWARDER_BYTES + hosts * HOST_BYTES) + OTHER_BYTES;
    let connections = u64::from(point.planners) + 1;
    let in_hollow = hollow.div_ceil(u64::from(point.processes.max(1))) * connections;
    let descriptors = in_hollow.max(hollow + u64::from(point.real)) + OWN_DESCRIPTORS;
    let checks = [
        (Bound::Processes, processes, MAX_PROCESSES),
        (Bound::Descriptors, descriptors, MAX_DESCRIPTORS),
        (Bound::Memory, memory, MAX_MEMORY),
    ];
    for (bound, needed, max) in checks {
        if needed > max {
            return Err(BoundExceeded { bound, needed, max });
        }
    }
    Ok(())
}
