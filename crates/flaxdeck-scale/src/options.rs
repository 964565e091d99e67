//! What a run is, beside its scale file.

use std::path::Path;

use crate::scenario::{Fault, Point, Scenario};

/// One run of one point of a scale file.
#[derive(Clone, Debug)]
pub struct RunOptions<'a> {
    /// What the scale file says.
    pub scenario: &'a Scenario,
    /// The run's size and rates.
    pub point: Point,
    /// What the run's chance is drawn from.
    pub seed: u64,
    /// What goes wrong; none in a twin.
    pub fault: Option<Fault>,
    /// The run's own files, with the logs of its processes, are left where they are.
    pub keeps_files: bool,
    /// The program `flaxdeck`.
    pub binary: &'a Path,
}

/// Messages and bytes of one kind, on one side of all connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCount {
    /// Messages.
    pub messages: u64,
    /// Bytes of their bodies with framing.
    pub bytes: u64,
}

/// What both sides of all connections counted of one kind of message since the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MessageTotals {
    /// The kind of message.
    pub kind: &'static str,
    /// As those counted who sent them.
    pub sent: MessageCount,
    /// As those counted who received them.
    pub received: MessageCount,
}
