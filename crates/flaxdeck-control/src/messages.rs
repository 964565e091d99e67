//! Messages between forwarders and planners.
//!
//! A forwarder sends [`Report`]s, and a planner answers with [`Guidance`]. Times are either [`Stamp`]s that only their
//! sender interprets, or ages in milliseconds, so that the clocks of two machines are never compared.
//!
//! The messages are encoded with `postcard`, which encodes fields by position: the set of fields and their order are
//! part of the protocol.

use flaxdeck::{SourceMeasurements, Span, Time};
use flaxdeck_recovery::EventPosition;
use serde::{Deserialize, Serialize};

use crate::QuotaFraction;

/// Identifies one run of a forwarder or planner; every start has a new one.
///
/// The open connections decide which of two runs is the later one, not the numbers: a clock may have been set back
/// between the two starts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Returns the epoch of a run that starts at `now` (Unix time) in the process with the id `process`. The id
    /// distinguishes runs that start in the same millisecond.
    pub fn new(now: Time, process: u32) -> Epoch {
        Epoch((now.ms() as u64) << 20 | u64::from(process & 0xf_ffff))
    }
}

/// A time in microseconds on the sender's own clock. The receiver only echoes it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp(pub u64);

impl Stamp {
    /// Converts a time to a stamp.
    pub fn of(time: Time) -> Stamp {
        Stamp((time.ms() * 1000.0).round() as u64)
    }

    /// Converts the stamp back to a time on its sender's clock.
    pub fn time(self) -> Time {
        Time::at_ms(self.0 as f64 / 1000.0)
    }
}

/// Identifies a forwarder across restarts: a hash of the address on which it listens. Zero if the forwarder has no
/// slot.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SlotId(pub u64);

impl SlotId {
    /// The id of a forwarder that has no slot.
    pub const NONE: SlotId = SlotId(0);
}

/// A host from one start to the next. The quota of a warming host belongs to one incarnation only.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The host's name.
    pub host: String,
    /// Start time of the host in the coordinator's endpoint list, in milliseconds of Unix time; 0 if that is long past.
    pub started: u64,
}

/// Maximum number of lease reports, grants or peer summaries in one message.
pub const MAX_INCARNATIONS: usize = 256;
/// Maximum number of samples or ratings in one message.
pub const MAX_RATINGS: usize = 128;
/// Maximum number of relayed events in one message.
pub const MAX_EVENTS: usize = 64;
/// Maximum number of samples or ratings of hosts that did not fail, in one message to or from a forwarder that
/// receives events by a subscription. The byte budget of such a forwarder has no room for more.
pub const MAX_ROUTINE_RATINGS: usize = 4;

/// Sender, recipient, number and time of a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender's run.
    pub from: Epoch,
    /// The run of the recipient that the sender knows; `echo` is meaningless to any other run.
    pub to: Epoch,
    /// Number of the message, counted from 1 for each pair of sender and recipient.
    pub number: u64,
    /// When the message was created.
    pub sent: Stamp,
    /// The latest stamp that the sender has received from the recipient.
    pub echo: Option<Stamp>,
}

/// What a forwarder lends of the quota of one incarnation, and how much it would like to borrow.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseReport {
    /// The warming host.
    pub incarnation: Incarnation,
    /// Amount lent, from now on for [`LeaseTerms::deposit_duration`](crate::LeaseTerms::deposit_duration).
    pub deposit: QuotaFraction,
    /// Amount that the forwarder would use at once in addition to its own share.
    pub demand: QuotaFraction,
    /// The forwarder's attempts in flight at the host.
    pub in_flight: u16,
}

/// Measured performance of a source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Measurements {
    /// Time to the first byte of a fill, in milliseconds.
    pub latency_ms: Option<f32>,
    /// Bandwidth in KB per millisecond.
    pub bandwidth: Option<f32>,
}

impl From<SourceMeasurements> for Measurements {
    fn from(measured: SourceMeasurements) -> Measurements {
        Measurements {
            latency_ms: measured.latency.map(|value| value as f32),
            bandwidth: measured.bandwidth.map(|value| value as f32),
        }
    }
}

impl From<Measurements> for SourceMeasurements {
    fn from(received: Measurements) -> SourceMeasurements {
        SourceMeasurements {
            latency: received.latency_ms.map(f64::from),
            bandwidth: received.bandwidth.map(f64::from),
        }
    }
}

/// A forwarder's recent observations of a host. Ages count back from when the message was created.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The host's name.
    pub host: String,
    /// The forwarder's own measurements; empty if there are none since its last report.
    pub measurements: Measurements,
    /// Age of the measurements.
    pub measured_ago_ms: u32,
    /// Age of the forwarder's last success at the host.
    pub last_success_ago_ms: Option<u32>,
    /// Age of the forwarder's last failure at the host.
    pub last_failure_ago_ms: Option<u32>,
    /// The forwarder's attempts in flight at the host.
    pub in_flight: u16,
}

/// Utilization of a zone's link as last reported by a host.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinkLoad {
    /// Number of transfers divided by the number that the link has capacity for.
    pub utilization: f32,
    /// Age of that value.
    pub ago_ms: u32,
}

/// A forwarder's report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Sender, recipient, number and time.
    pub envelope: Envelope,
    /// The forwarder's slot.
    pub slot: SlotId,
    /// The coordinator's last event that the forwarder has applied.
    pub last_event: EventPosition,
    /// Whether the forwarder receives events by a subscription. Guidance for it then has no events, and only the most
    /// important ratings.
    pub subscribes: bool,
    /// The version of the planner's ratings that the forwarder has.
    pub version: u64,
    /// Index of the forwarder's zone in the platform's list of zones.
    pub zone: u32,
    /// Utilization of the zone's link, as hosts reported it to this forwarder.
    pub link: Option<LinkLoad>,
    /// One entry for each warming host whose lease holder is the addressed planner.
    pub lease_reports: Vec<LeaseReport>,
    /// New observations of hosts.
    pub samples: Vec<Sample>,
}

/// A planner's grant from the quota of one incarnation. It starts when the forwarder created the report whose stamp the
/// guidance echoes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The warming host.
    pub incarnation: Incarnation,
    /// Amount that may be used in addition to the forwarder's own share.
    pub amount: QuotaFraction,
    /// Duration of the grant in milliseconds.
    pub lasts_ms: u32,
}

/// Demand and load of the other forwarders at a warming host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerSummary {
    /// The warming host.
    pub incarnation: Incarnation,
    /// Whether other forwarders demand more quota than they have, so that lending to the planner is of use.
    pub demanded: bool,
    /// Attempts that the other forwarders have in flight at the host.
    pub peers_in_flight: u32,
}

/// Rating of a host, combined from the samples of several forwarders.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rating {
    /// The host's name.
    pub host: String,
    /// Mean of the forwarders' measurements, weighted towards recent ones.
    pub measurements: Measurements,
    /// Age of the newest sample in the mean; [`u32::MAX`] if there is none.
    pub measured_ago_ms: u32,
    /// Age of the latest failure, if enough forwarders failed at the host since the last success of any forwarder; the
    /// host then counts as down.
    pub down_ago_ms: Option<u32>,
    /// Age of the last success of any forwarder.
    pub last_success_ago_ms: Option<u32>,
    /// Maximum number of attempts that one forwarder should have in flight at the host; absent unless the host is down.
    pub window: Option<u16>,
}

/// One event of the coordinator, relayed unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RelayedEvent {
    /// The event's position in the coordinator's numbering.
    pub position: EventPosition,
    /// The frame as the coordinator encoded it.
    pub frame: Vec<u8>,
}

/// A planner's guidance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Guidance {
    /// Sender, recipient, number and time.
    pub envelope: Envelope,
    /// Time since the planner certainly had all of the coordinator's events, by a heartbeat of the coordinator. Absent
    /// before the first heartbeat.
    pub coordinator_ago_ms: Option<u32>,
    /// How long deposits that any run in this forwarder's slot lent to this planner may still be outstanding. Absent if
    /// the planner does not know, because it started too recently or does not track the slot.
    pub outstanding_ms: Option<u32>,
    /// The last event known to the planner; absent while further events seem to be on their way to it.
    pub coordinator_position: Option<EventPosition>,
    /// The version of the planner's ratings that the forwarder has after this message.
    pub version: u64,
    /// The position that the first of `events` follows.
    pub after: EventPosition,
    /// Events that follow the last event of the forwarder, in order.
    pub events: Vec<RelayedEvent>,
    /// The latest utilization of the zone's link that any forwarder of the zone reported.
    pub link: Option<LinkLoad>,
    /// Grants in answer to the demand in the report.
    pub grants: Vec<Grant>,
    /// Demand and load of other forwarders at the hosts in the report's lease reports.
    pub incarnations: Vec<PeerSummary>,
    /// Ratings that changed since the version in the report.
    pub ratings: Vec<Rating>,
}

/// Converts a span to whole milliseconds as used in messages, rounded up and at most [`u32::MAX`].
pub fn ceil_ms(span: Span) -> u32 {
    span.ms().ceil().min(f64::from(u32::MAX)) as u32
}
