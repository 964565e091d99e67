//! The options of a run, and the message totals in its result.

use std::path::Path;

use crate::scenario::{Fault, Point, Scenario};

/// The options of one run of one point of a scale file.
#[derive(Clone, Debug)]
pub struct RunOptions<'a> {
    /// The content of the scale file.
    pub scenario: &'a Scenario,
    /// The run's size and rates.
    pub point: Point,
    /// The seed of the run's random choices.
    pub seed: u64,
    /// The fault to inject; `None` in a twin.
    pub fault: Option<Fault>,
    /// Whether the run's temporary files, with the logs of its processes, are kept.
    pub keeps_files: bool,
    /// The path of the program `flaxdeck`.
    pub binary: &'a Path,
}

/// The messages of one kind that one side of all connections has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCount {
    /// The number of messages.
    pub messages: u64,
    /// The size of their bodies with framing, in bytes.
    pub bytes: u64,
}

/// The messages of one kind that both sides of all connections have counted since the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MessageTotals {
    /// The kind of message.
    pub kind: &'static str,
    /// As counted by the senders.
    pub sent: MessageCount,
    /// As counted by the receivers.
    pub received: MessageCount,
}
