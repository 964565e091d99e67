//! What a run may take of the machine, checked before anything starts.

use std::fmt;

use crate::scenario::Point;

/// Bytes of memory over all processes.
pub const MAX_MEMORY: u64 = 10_000_000_000;
pub const MAX_PROCESSES: u64 = 200;
/// Descriptors of one process.
pub const MAX_DESCRIPTORS: u64 = 20_000;

/// Resident memory of one process with nothing in it, of one hollow forwarder, of one line of its list, and of one
/// purge that it keeps: rounded up from measured runs.
const PROCESS_BYTES: u64 = 16_000_000;
const FORWARDER_BYTES: u64 = 500_000;
const LINE_BYTES: u64 = 1_200;
/// Of the parent, the coordinator's ring and the planners' logs together.
const OTHER_BYTES: u64 = 400_000_000;
/// Descriptors of a process beside its connections.
const OWN_DESCRIPTORS: u64 = 32;

/// A bound that a point would go over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Over {
    pub bound: Bound,
    pub asked: u64,
    pub most: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    Memory,
    Processes,
    Descriptors,
}

impl fmt::Display for Over {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let Over { asked, most, .. } = self;
        match self.bound {
            Bound::Memory => {
                write!(
                    out,
                    "some {asked} bytes of memory, the bound is {most} over all processes"
                )
            }
            Bound::Processes => write!(out, "{asked} processes, the bound is {most}"),
            Bound::Descriptors => write!(
                out,
                "{asked} descriptors in one process, the bound is {most}"
            ),
        }
    }
}

/// Whether a point fits; the first bound that it would go over if it does not.
pub fn check(point: &Point) -> Result<(), Over> {
    let [hollow, hosts] = [point.hollow, point.hosts].map(u64::from);
    // The coordinator, the planners, the hollow processes, the real forwarders, and this one.
    let processes = u64::from(point.processes + point.planners + point.real) + 2;
    let memory =
        processes * PROCESS_BYTES + hollow * (FORWARDER_BYTES + hosts * LINE_BYTES) + OTHER_BYTES;
    let connections = u64::from(point.planners) + 1;
    let in_hollow = hollow.div_ceil(u64::from(point.processes.max(1))) * connections;
    let descriptors = in_hollow.max(hollow + u64::from(point.real)) + OWN_DESCRIPTORS;
    let checks = [
        (Bound::Processes, processes, MAX_PROCESSES),
        (Bound::Descriptors, descriptors, MAX_DESCRIPTORS),
        (Bound::Memory, memory, MAX_MEMORY),
    ];
    let over = checks.into_iter().find(|(_, asked, most)| asked > most);
    over.map_or(Ok(()), |(bound, asked, most)| {
        Err(Over { bound, asked, most })
    })
}
