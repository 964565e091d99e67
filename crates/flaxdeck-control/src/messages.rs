//! What forwarders and planners say to each other. Times are opaque stamps of the one who wrote them, or spans;
//! nobody reads another's clock.

use flaxdeck::{Span, Time};
use flaxdeck_recovery::EventPosition;
use serde::{Deserialize, Serialize};

use crate::QuotaFraction;

/// One run of a forwarder or planner: new with each start. Which of two is the later is told by the conversations that
/// they hold, not by their numbers: a clock may have been set back between them.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Of a run that starts now, by Unix time, in the process of that number: two that start in the same
    /// millisecond differ by their numbers.
    pub fn new(now: Time, process: u32) -> Epoch {
        Epoch((now.ms() as u64) << 20 | u64::from(process & 0xf_ffff))
    }
}

/// A forwarder's or planner's moment, in microseconds of its own clock; others only send it back.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp(pub u64);

impl Stamp {
    pub fn of(time: Time) -> Stamp {
        Stamp((time.ms() * 1000.0).round() as u64)
    }
    pub fn time(self) -> Time {
        Time::at_ms(self.0 as f64 / 1000.0)
    }
}

/// What stays the same over a forwarder's restarts: a hash of where it listens. Zero stands for one that tells none.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SlotId(pub u64);

/// A host from one start to the next: what it bears while cold belongs to that incarnation alone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    pub host: String,
    /// Its start by the coordinator's list, in milliseconds of Unix time.
    pub started: u64,
}

/// The most of each that one message may hold; what is over the bound makes the message invalid_message.
pub const MAX_INCARNATIONS: usize = 256;
pub const MAX_RATINGS: usize = 128;
pub const MAX_EVENTS: usize = 64;
/// Samples and ratings in one message to or from a forwarder that subscribes, beside those of hosts that failed: what
/// its budget of bytes leaves room for.
pub const MAX_ROUTINE_RATINGS: usize = 4;
pub const MAX_NAME: usize = 64;

/// Who wrote a message, to which run of whom, and when.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Envelope {
    pub from: Epoch,
    /// The run of the other side that the writer knows; the stamps below are void for any other.
    pub to: Epoch,
    /// Counts the writer's messages to this other side.
    pub number: u64,
    pub sent: Stamp,
    /// The latest stamp of the other side that the writer has seen.
    pub echo: Option<Stamp>,
}

/// What a forwarder lends and would borrow of one incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseReport {
    pub incarnation: Incarnation,
    /// Lent from now on for [`crate::LeaseTerms::lent`].
    pub deposit: QuotaFraction,
    /// Would be used at once beside the own share.
    pub demand: QuotaFraction,
    /// Attempts out at the host.
    pub in_flight: u16,
}

/// What a forwarder has seen of a host lately; ages are from when the message was written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    pub host: String,
    /// Milliseconds to a fill's first byte, KB a millisecond.
    pub measures: [Option<f32>; 2],
    pub measured_ago_ms: u32,
    pub last_success_ago_ms: Option<u32>,
    pub last_failure_ago_ms: Option<u32>,
    pub in_flight: u16,
}

/// A link's transfers over those that fit, and how long ago that was heard.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinkLoad {
    pub utilization: f32,
    pub ago_ms: u32,
}

/// A forwarder's report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub envelope: Envelope,
    pub slot: SlotId,
    /// The coordinator's last event that it has applied.
    pub last_event: EventPosition,
    /// Events come to it by a subscription: guidance holds none, and only the ratings that matter most.
    pub subscribes: bool,
    /// The version of the planner's ratings that it has.
    pub version: u64,
    /// The forwarder's location, by its place in the platform's list.
    pub zone: u32,
    /// How full the location's link is, as hosts report it.
    pub link: Option<LinkLoad>,
    pub lease_reports: Vec<LeaseReport>,
    pub samples: Vec<Sample>,
}

/// What a planner grants of one incarnation, from when the forwarder wrote what is echoed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    pub incarnation: Incarnation,
    pub amount: QuotaFraction,
    pub lasts_ms: u32,
}

/// What others do at a cold host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerSummary {
    pub incarnation: Incarnation,
    /// Others wish for more than is their own: worth lending.
    pub demanded: bool,
    /// Attempts that others have out there.
    pub peers_in_flight: u32,
}

/// How several forwarders together see a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rating {
    pub host: String,
    pub measures: [Option<f32>; 2],
    /// The age of the youngest sample in them.
    pub measured_ago_ms: u32,
    /// Enough forwarders failed at it since anybody last succeeded: how long ago the last of them did.
    pub down_ago_ms: Option<u32>,
    /// How long ago somebody last succeeded.
    pub last_success_ago_ms: Option<u32>,
    /// How many attempts one forwarder should have out there at most, while it is weak.
    pub window: Option<u16>,
}

/// One event of the coordinator, as it came.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RelayedEvent {
    pub position: EventPosition,
    pub frame: Vec<u8>,
}

/// A planner's guidance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Guidance {
    pub envelope: Envelope,
    /// How long ago the planner itself heard from the coordinator.
    pub coordinator_ago_ms: Option<u32>,
    /// For how long something may still be out that an earlier run of this forwarder's seat lent to this planner; none
    /// if it can't tell, having started too lately itself.
    pub outstanding_ms: Option<u32>,
    /// The planner's own last event; none while it can't tell that it is the coordinator's last.
    pub coordinator_position: Option<EventPosition>,
    /// Ratings of later versions may follow.
    pub version: u64,
    /// The event that the first of these follows.
    pub after: EventPosition,
    pub events: Vec<RelayedEvent>,
    /// Of the link of the forwarder's location: the latest that any forwarder heard.
    pub link: Option<LinkLoad>,
    pub grants: Vec<Grant>,
    pub incarnations: Vec<PeerSummary>,
    pub ratings: Vec<Rating>,
}

/// A span as messages tell it: whole milliseconds, rounded up, bounded.
pub fn ceil_ms(span: Span) -> u32 {
    span.ms().ceil().min(f64::from(u32::MAX)) as u32
}
