//! One measured figure of one run, a row of `docs/capacity/runs/*.csv`.

use serde::{Deserialize, Serialize};

/// The name of the runs that measure decisions by themselves (`examples/decisions.rs`).
pub const DECISIONS_RUN: &str = "decisions";

/// How events reach the forwarders of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Distribution {
    /// Every planner and the coordinator tell every event to every forwarder.
    EachEvent,
    /// One planner tells batches with purge digests; the coordinator is asked only where no planner is heard.
    Digest,
}

/// Whose figure it is. Figures of several processes or forwarders of a role are means of one, unless the metric says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The stand-in coordinator.
    Coordinator,
    /// A planner.
    Planner,
    /// A forwarder under load.
    RealForwarder,
    /// The control side of a forwarder.
    HollowForwarder,
    /// A forwarder's decision engine by itself, measured apart from the runs (`examples/decisions.rs`).
    Dispatcher,
}

/// What is measured, with its unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Metric {
    /// Bytes a second, of message bodies with their framing and seal; `kind` names the message.
    BytesInPerS,
    /// As [`Metric::BytesInPerS`], sent.
    BytesOutPerS,
    /// Messages a second that came in; `kind` names the message.
    MessagesInPerS,
    /// As [`Metric::MessagesInPerS`], sent.
    MessagesOutPerS,
    /// Bytes a second of a connection's IP and TCP headers both ways, from the segments counted or estimated.
    HeaderBytesPerS,
    /// Processor time of the process over the time of the run, in cores.
    Cores,
    /// Processor time a message handled, in microseconds.
    MicrosPerMessage,
    /// Resident memory at the end, in bytes: of a process for real programs, of one forwarder for hollow ones.
    ResidentBytes,
    /// Descriptors open at the end.
    Descriptors,
    /// From when the coordinator held an event to when it was in force at a forwarder, in milliseconds.
    DelayMedianMs,
    /// The 99th percentile of the same.
    DelayP99Ms,
    /// The worst of the same.
    DelayWorstMs,
    /// Events over all forwarders of the role and the whole run.
    EventsExpected,
    /// Events that never came into force.
    EventsLost,
    /// Events that a whole list covered which came in place of all that was known; copies from before are in doubt.
    EventsReplaced,
    /// Events that came into force twice.
    EventsDoubled,
    /// Events that came into force after a later one.
    EventsOutOfOrder,
    /// The share of the whole machine's processor time that nobody used over the window, once a run, with the
    /// coordinator's rows. Where it is near 0 processes waited for each other, and no figure of cost or delay counts.
    MachineIdleShare,
    /// The share of the requests at real forwarders that were answered in time.
    ServedShare,
    /// The 99th percentile of the time of an answer of real forwarders.
    ServiceP99Ms,
    /// Violations of the rules by real forwarders; `kind` names the rule.
    RulesBroken,
    /// Processor time of all decisions about one request, in microseconds; `kind` tells what stands beside.
    DecisionMicros,
}

impl Metric {
    /// Whether it depends on how much of the machine the run had to itself.
    pub fn is_cost_or_delay(self) -> bool {
        matches!(
            self,
            Metric::Cores
                | Metric::MicrosPerMessage
                | Metric::DelayMedianMs
                | Metric::DelayP99Ms
                | Metric::DelayWorstMs
                | Metric::ServiceP99Ms
                | Metric::DecisionMicros
        )
    }

    /// The unit that its values are counted in.
    pub fn unit(self) -> &'static str {
        match self {
            Metric::BytesInPerS | Metric::BytesOutPerS | Metric::HeaderBytesPerS => "bytes/s",
            Metric::MessagesInPerS | Metric::MessagesOutPerS => "messages/s",
            Metric::Cores => "cores",
            Metric::MicrosPerMessage | Metric::DecisionMicros => "us",
            Metric::ResidentBytes => "bytes",
            Metric::Descriptors => "descriptors",
            Metric::DelayMedianMs
            | Metric::DelayP99Ms
            | Metric::DelayWorstMs
            | Metric::ServiceP99Ms => "ms",
            Metric::EventsExpected | Metric::EventsLost => "events",
            Metric::EventsDoubled | Metric::EventsOutOfOrder | Metric::EventsReplaced => "events",
            Metric::ServedShare | Metric::MachineIdleShare => "share",
            Metric::RulesBroken => "breaks",
        }
    }
}

/// A row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measurement {
    /// Names the run: file, seed and repetition.
    pub run: String,
    /// What the run's chance was drawn from.
    pub seed: u64,
    /// How events reached the forwarders.
    pub distribution: Distribution,
    /// Hollow forwarders of the run.
    pub hollow_forwarders: u32,
    /// Hosts of the coordinator's list, without those that real forwarders serve.
    pub hosts: u32,
    /// Purges a second of the coordinator's schedule.
    pub purges_per_s: f64,
    /// Planners of the run.
    pub planners: u32,
    /// `none`, or the fault as the scale file names it.
    pub fault: String,
    /// Whose figure it is.
    pub role: Role,
    /// What was measured.
    pub metric: Metric,
    /// The kind of message where the metric has kinds; else empty.
    pub kind: String,
    /// The figure, in the metric's unit.
    pub value: f64,
}
