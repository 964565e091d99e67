//! Messages between forwarders and planners.
//!
//! A forwarder sends [`Report`]s, a planner answers with [`Guidance`]. Times are [`Stamp`]s that only their writer
//! reads, or ages in milliseconds, so no clock is compared with another's.
//!
//! The messages travel as `postcard`, which encodes fields by position: fields and their order are part of the protocol.

use flaxdeck::{SourceMeasurements, Span, Time};
use flaxdeck_recovery::EventPosition;
use serde::{Deserialize, Serialize};

use crate::QuotaFraction;

/// One run of a forwarder or planner: new with each start.
///
/// Which of two runs is the later one is decided by the connections that they hold and not by their numbers, as a
/// clock may have been set back between them.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch of a run that starts at `now` (Unix time) in the process with that id. The id tells two runs apart that
    /// start in the same millisecond.
    pub fn new(now: Time, process: u32) -> Epoch {
        Epoch((now.ms() as u64) << 20 | u64::from(process & 0xf_ffff))
    }
}

/// A moment in microseconds of its writer's own clock. Others only send it back.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp(pub u64);

impl Stamp {
    /// The stamp of a moment.
    pub fn of(time: Time) -> Stamp {
        Stamp((time.ms() * 1000.0).round() as u64)
    }

    /// The moment that it stands for on its writer's clock.
    pub fn time(self) -> Time {
        Time::at_ms(self.0 as f64 / 1000.0)
    }
}

/// What stays the same over a forwarder's restarts: a hash of the address on which it listens. Zero for a forwarder that
/// tells none.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SlotId(pub u64);

impl SlotId {
    /// Stands for a forwarder that has no slot.
    pub const NONE: SlotId = SlotId(0);
}

/// A host from one start to the next. What it can take while it warms up belongs to that incarnation alone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The host's name.
    pub host: String,
    /// Its start by the coordinator's list, in milliseconds of Unix time; 0 if that is long past.
    pub started: u64,
}

/// The most lease reports, grants or peer summaries that one message may hold.
pub const MAX_INCARNATIONS: usize = 256;
/// The most samples or ratings that one message may hold.
pub const MAX_RATINGS: usize = 128;
/// The most relayed events that one message may hold.
pub const MAX_EVENTS: usize = 64;
/// The most samples or ratings of hosts that did not fail in one message to or from a forwarder that subscribes: what
/// its byte budget leaves room for.
pub const MAX_ROUTINE_RATINGS: usize = 4;

/// Who wrote a message, to which run of the other side, and when.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Envelope {
    /// The writer's run.
    pub from: Epoch,
    /// The run of the other side that the writer knows; `echo` is void for any other.
    pub to: Epoch,
    /// Counts the writer's messages to this other side, from 1.
    pub number: u64,
    /// When the message was written.
    pub sent: Stamp,
    /// The latest stamp of the other side that the writer has seen.
    pub echo: Option<Stamp>,
}

/// What a forwarder lends and would borrow of one incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseReport {
    /// The warming host.
    pub incarnation: Incarnation,
    /// Lent from now on for [`LeaseTerms::deposit_duration`](crate::LeaseTerms::deposit_duration).
    pub deposit: QuotaFraction,
    /// Would be used at once in addition to the forwarder's own share.
    pub demand: QuotaFraction,
    /// The forwarder's attempts in flight at the host.
    pub in_flight: u16,
}

/// Measured performance of a source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Measurements {
    /// Milliseconds to a fill's first byte.
    pub latency_ms: Option<f32>,
    /// KB per millisecond.
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

/// What a forwarder has observed of a host lately. Ages count from when the message was written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The host's name.
    pub host: String,
    /// The forwarder's own measurements; empty unless newer than its last report.
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

/// How busy a zone's link was when a host last told it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinkLoad {
    /// Transfers over the number that fit.
    pub utilization: f32,
    /// Age of that figure.
    pub ago_ms: u32,
}

/// A forwarder's report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Writer, addressee and time.
    pub envelope: Envelope,
    /// The forwarder's slot.
    pub slot: SlotId,
    /// The coordinator's last event that the forwarder has applied.
    pub last_event: EventPosition,
    /// Events reach the forwarder by a subscription: guidance holds none, and only the ratings that matter most.
    pub subscribes: bool,
    /// The version of the planner's ratings that the forwarder has.
    pub version: u64,
    /// The forwarder's zone, by its place in the platform's list.
    pub zone: u32,
    /// How busy the zone's link is, as hosts told this forwarder.
    pub link: Option<LinkLoad>,
    /// One for each warming host whose lease holder is the addressed planner.
    pub lease_reports: Vec<LeaseReport>,
    /// What is new of hosts.
    pub samples: Vec<Sample>,
}

/// What a planner grants of one incarnation, counted from when the forwarder wrote the report that is echoed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The warming host.
    pub incarnation: Incarnation,
    /// How much may be used in addition to the forwarder's own share.
    pub amount: QuotaFraction,
    /// For how long.
    pub lasts_ms: u32,
}

/// What other forwarders do at a warming host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerSummary {
    /// The warming host.
    pub incarnation: Incarnation,
    /// Others demand more than they have, so it is worth lending.
    pub demanded: bool,
    /// Attempts that others have in flight there.
    pub peers_in_flight: u32,
}

/// How several forwarders together see a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rating {
    /// The host's name.
    pub host: String,
    /// The mean of the forwarders' measurements, recent ones weighted higher.
    pub measurements: Measurements,
    /// Age of the youngest sample in the mean.
    pub measured_ago_ms: u32,
    /// Enough forwarders failed at the host since anybody last succeeded: how long ago the last of them did.
    pub down_ago_ms: Option<u32>,
    /// How long ago somebody last succeeded.
    pub last_success_ago_ms: Option<u32>,
    /// How many attempts one forwarder should have in flight there at most, while the host is down or recovering.
    pub window: Option<u16>,
}

/// One event of the coordinator, passed on as it came.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RelayedEvent {
    /// The event's place in the coordinator's numbering.
    pub position: EventPosition,
    /// The coordinator's own frame.
    pub frame: Vec<u8>,
}

/// A planner's guidance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Guidance {
    /// Writer, addressee and time.
    pub envelope: Envelope,
    /// How long ago the planner itself heard from the coordinator.
    pub coordinator_ago_ms: Option<u32>,
    /// For how long something may still be outstanding that an earlier run of this forwarder's slot lent to this planner;
    /// absent if the planner can't tell, having started too lately itself.
    pub outstanding_ms: Option<u32>,
    /// The planner's own last event; absent while it can't tell that this is the coordinator's last.
    pub coordinator_position: Option<EventPosition>,
    /// The version of the planner's ratings up to which this message tells them.
    pub version: u64,
    /// The event that the first of `events` follows.
    pub after: EventPosition,
    /// Events that follow the forwarder's last one, in order.
    pub events: Vec<RelayedEvent>,
    /// The latest that any forwarder of the zone heard of its link.
    pub link: Option<LinkLoad>,
    /// Answers to the demand of the report.
    pub grants: Vec<Grant>,
    /// What others do at the hosts of the report's lease reports.
    pub incarnations: Vec<PeerSummary>,
    /// Ratings that changed since the version of the report.
    pub ratings: Vec<Rating>,
}

/// A span as messages tell it: whole milliseconds, rounded up, at most [`u32::MAX`].
pub fn ceil_ms(span: Span) -> u32 {
    span.ms().ceil().min(f64::from(u32::MAX)) as u32
}
