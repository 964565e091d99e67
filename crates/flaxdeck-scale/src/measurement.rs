//! A measurement: one measured value of one run, a row of `docs/capacity/runs/*.csv`.

use serde::{Deserialize, Serialize};

/// Name of the runs that measure only routing decisions (`examples/decisions.rs`).
pub const DECISIONS_RUN: &str = "decisions";

/// How events are distributed to the forwarders of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Distribution {
    /// Every planner and the coordinator send every event to every forwarder.
    EachEvent,
    /// One planner sends batches with purge digests; a forwarder requests events from the coordinator only while
    /// it has no contact with a planner.
    Digest,
}

/// The role that was measured. A figure of several processes or forwarders is the mean of one, unless the metric says
/// otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The stand-in coordinator.
    Coordinator,
    /// A planner.
    Planner,
    /// A real forwarder under request load.
    RealForwarder,
    /// A hollow forwarder: the control side of a forwarder, without the request path.
    HollowForwarder,
    /// The decision engine of a forwarder alone, measured separately from the runs (`examples/decisions.rs`).
    Dispatcher,
}

/// What is measured; each metric has one unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Metric {
    /// Bytes received a second, of message bodies with their framing and authentication tag; `kind` names the message.
    BytesInPerS,
    /// Like [`Metric::BytesInPerS`], for bytes sent.
    BytesOutPerS,
    /// Messages received a second; `kind` names the message.
    MessagesInPerS,
    /// Like [`Metric::MessagesInPerS`], for messages sent.
    MessagesOutPerS,
    /// Bytes a second of IP and TCP headers in both directions, from a counted or estimated number of segments.
    HeaderBytesPerS,
    /// Processor time of the process divided by the length of the window, in cores.
    Cores,
    /// Processor time per message handled, in microseconds.
    MicrosPerMessage,
    /// Resident memory at the end of the window, in bytes: of the process for real programs, per forwarder for hollow
    /// ones.
    ResidentBytes,
    /// Number of open file descriptors at the end of the window.
    Descriptors,
    /// Median time from when the coordinator has an event until the event is in force at a forwarder, in milliseconds.
    DelayMedianMs,
    /// 99th percentile of the same delay.
    DelayP99Ms,
    /// Maximum of the same delay.
    DelayWorstMs,
    /// Number of events that had to come into force, over all forwarders of the role.
    EventsExpected,
    /// Events that never came into force.
    EventsLost,
    /// Events that a forwarder skipped because a full list that includes them replaced what it knew; not counted as
    /// lost. Cached copies from before are in doubt then, as purges may be among these events.
    EventsReplaced,
    /// Events that came into force again after they already had.
    EventsDoubled,
    /// Events that came into force after a later one, and log entries that match no event of the coordinator.
    EventsOutOfOrder,
    /// Share of the machine's processor time that was idle over the window, recorded once a run with the coordinator's
    /// rows. Near 0, processes waited for each other, and figures of cost and delay are invalid.
    MachineIdleShare,
    /// Share of the requests at real forwarders that were served in time.
    ServedShare,
    /// 99th percentile of the response time of real forwarders, in milliseconds.
    ServiceP99Ms,
    /// Number of rule violations by real forwarders; `kind` names the rule.
    RulesBroken,
    /// Processor time of all decisions about one request, in microseconds; `kind` gives the numbers of hosts and
    /// purges.
    DecisionMicros,
}

impl Metric {
    /// Whether the metric depends on how busy the machine was with other work.
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

    /// Returns the unit of the values.
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

/// One measured value, with the run it belongs to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measurement {
    /// Name of the run: scale file and seed.
    pub run: String,
    /// Seed of the run's random numbers.
    pub seed: u64,
    /// How events were distributed to the forwarders.
    pub distribution: Distribution,
    /// Number of hollow forwarders.
    pub hollow_forwarders: u32,
    /// Number of hosts in the coordinator's endpoint list, without those used by the real forwarders.
    pub hosts: u32,
    /// Purges a second in the coordinator's schedule.
    pub purges_per_s: f64,
    /// Number of planners.
    pub planners: u32,
    /// `none`, or the fault as named in the scale file.
    pub fault: String,
    /// The role that was measured.
    pub role: Role,
    /// What was measured.
    pub metric: Metric,
    /// The kind of message if the metric has kinds; otherwise empty.
    pub kind: String,
    /// The value, in the metric's unit.
    pub value: f64,
}
