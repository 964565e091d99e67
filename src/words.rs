//! The words that callers and the decision engine share: points in time, spans, ids, the facts that go in
//! and the decisions that come out. Nothing here decides.

use std::ops::{Add, Mul, Sub};
use std::rc::Rc;

/// A point in time, in microseconds of the caller's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

/// A length of time, in microseconds; never negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(u64);

impl Time {
    pub const NEVER: Time = Time(u64::MAX);
    pub fn at_ms(ms: f64) -> Time {
        Time((ms.max(0.0) * 1000.0).round() as u64)
    }
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }
    /// How long `earlier` lies back; zero if it does not.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    pub const ZERO: Span = Span(0);
    pub const fn from_ms(ms: u64) -> Span {
        Span(ms * 1000)
    }
    pub fn of_ms(ms: f64) -> Span {
        Span((ms.max(0.0) * 1000.0).round() as u64)
    }
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }
    pub fn less(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, by: f64) -> Span {
        Span((self.0 as f64 * by.max(0.0)) as u64)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ObjectId(pub u64);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupId(pub u64);

impl GroupId {
    /// Stands for all groups where a purge is told.
    pub const ALL: GroupId = GroupId(u64::MAX);
}

/// A place in [`Terms::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub usize);
/// A place in [`Terms::zone_dispatchers`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub usize);
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub u64);
/// The number of an attempt within its request, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptIndex(pub u32);
/// What names a host, the same at every dispatcher; its address need not be.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostId(pub Rc<str>);

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    Idempotent,
    /// Repeats are dropped by the hosts of the scope, for so long after the first attempt.
    Deduplicated {
        scope: Scope,
        remembered: Span,
    },
    AtMostOnce,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    All,
    Zone,
    Cell,
}

/// What is known of a class before its first request.
#[derive(Clone, Debug)]
pub struct RequestClass {
    pub objective: Span,
    /// The objective grows by this multiple of the request's sending time.
    pub stretch: f64,
    pub repeats: Repeats,
    /// Runs at the origin and is never kept.
    pub goes_through: bool,
    pub parted: bool,
    /// How long a copy is fresh; none if it is until it is purged.
    pub fresh: Option<Span>,
    /// How much older than that a copy may be where nothing fresh is to be had, at a part of its worth.
    pub older: Span,
}

/// What an instance is handed at start.
#[derive(Clone, Debug)]
pub struct Terms {
    pub classes: Vec<RequestClass>,
    pub zone: ZoneId,
    /// Dispatchers in each zone, and in all.
    pub zone_dispatchers: Vec<u32>,
    pub dispatchers: u32,
    pub tick: Span,
    pub may_cancel: bool,
    pub may_duplicate: bool,
    pub may_name_return: bool,
    pub longest_return: Span,
    pub most_attempts: u32,
    pub cold_from: f64,
    pub warm_within: Span,
    pub overload_factor: f64,
    pub fall_window: Span,
    pub parent_cold_from: f64,
    pub parent_warm_within: Span,
    pub parent_overload_factor: f64,
    pub direct: bool,
    pub joins: bool,
    pub client_kb_per_s: f64,
    pub purge_settles: Span,
    /// Reports tell how full the location's link is.
    pub tells_link: bool,
    /// Hosts may be looked at, and tell their load only then.
    pub may_look: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    #[default]
    Cache,
    Parent,
    Origin,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    InService,
    Draining,
    #[default]
    Removed,
}

/// One line of the list of hosts.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    pub host: HostId,
    pub weight: f64,
    pub zone: Option<ZoneId>,
    pub cell: CellId,
    pub role: Role,
    pub health: Health,
    /// Its latest start; none if that is long past.
    pub started: Option<Time>,
}

/// What a list event says about the hosts that it does not name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Delta,
    Full,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: RequestId,
    pub class: ClassId,
    pub object: ObjectId,
    pub part: u64,
    pub group: GroupId,
    pub size_kb: Option<f64>,
    /// When the client gives this try up.
    pub deadline: Time,
    /// The client says that it asks again.
    pub again: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Answered,
    Errored,
    TurnedAway,
    TimedOut,
    NotConnected,
    Broken,
    /// Broken without a word on a connection that had been idle: it may have run, and the host is no worse for it.
    Stale,
    Cancelled,
    NotSent,
    /// Not sent, as by the time it could be written it was no longer to be.
    Superseded,
    NoCopy,
}

impl Ending {
    /// Proof that nothing ran.
    pub fn never_ran(self) -> bool {
        use Ending::*;
        matches!(
            self,
            TurnedAway | NotConnected | NotSent | Superseded | NoCopy
        )
    }
}

/// What the answer tells of the copy or of the fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    Nothing,
    Held,
    Filled,
    FilledThroughOrigin,
    Joined,
    Aged,
    SourceRefused,
    SourceUnreached,
    SourceLacks,
    NoPlace,
    OriginFailed,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Ended {
    pub request: RequestId,
    pub index: AttemptIndex,
    pub host: HostId,
    pub ending: Ending,
    pub took: Span,
    /// The request has its final answer.
    pub closed: bool,
    pub told: Told,
    /// The fill's wait for the source's first byte, or until it failed.
    pub waited: Option<Span>,
    pub report: LoadReport,
}

/// What a host reports of its load; none of what it does not tell.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Of a cache: transfers on its location's link over those that fit at full pace.
    pub link: Option<f64>,
    /// Requests that it holds.
    pub in_hand: Option<f64>,
    /// The share of its capacity that it uses.
    pub busy: Option<f64>,
}

/// Take an attempt back.
#[derive(Clone, Debug, PartialEq)]
pub struct Cancel {
    pub request: RequestId,
    pub index: AttemptIndex,
}

/// Send a request to a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    pub request: RequestId,
    pub host: HostId,
    /// Where a miss is filled from; the host itself for no fill.
    pub source: HostId,
    pub allow: Span,
    pub join: bool,
    pub renew: bool,
    /// The source gives only what it holds.
    pub only_held: bool,
    /// The oldest copy that will do; none for the class's fresh time.
    pub oldest: Option<Span>,
    /// Not on a connection that has been idle, which may be dead without a sign.
    pub fresh: bool,
    /// 0 passes the object through, 1 to 3 is the rank at which it is kept.
    pub keep: u8,
}

/// What an attempt that still stands may ask for by now, its connection having taken a while to come up.
#[derive(Clone, Debug, PartialEq)]
pub struct Clearance {
    /// The oldest copy that will do; none for the class's fresh time.
    pub oldest: Option<Span>,
    /// When its last byte has to be written: past that it may not run any more.
    pub sent_by: Time,
}

/// A final answer that the dispatcher gives itself.
#[derive(Clone, Debug, PartialEq)]
pub enum Final {
    Rejected {
        request: RequestId,
        retry_after: Option<Span>,
    },
    Failed {
        request: RequestId,
    },
}

/// All that one call asks of the caller, applied in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decisions {
    pub cancels: Vec<Cancel>,
    pub attempts: Vec<Attempt>,
    pub finals: Vec<Final>,
    /// Ask these hosts for their load; what they tell is due as a [`LoadReport`].
    pub looks: Vec<HostId>,
    /// Call `wake` at this time; earlier wishes stand.
    pub wake: Option<Time>,
}

/// What one dispatcher has seen of a host itself, for others to hear.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    pub host: HostId,
    pub started: Option<Time>,
    /// Latency in ms, bandwidth in KB a ms.
    pub measures: [Option<f64>; 2],
    /// When it was last measured, succeeded and failed here.
    pub measured: Option<Time>,
    pub good: Option<Time>,
    pub bad: Option<Time>,
    pub in_hand: f64,
    /// While it is cold.
    pub cold: Option<Used>,
}

/// A dispatcher's use of a cold host, as shares of all that such a host can be asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Used {
    /// This dispatcher's equal share.
    pub right: f64,
    /// What it has spent within the window.
    pub spent: f64,
    /// What it turned away for want of a share since the last look.
    pub wished: f64,
}

/// What others tell of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Hint {
    pub host: HostId,
    /// The share of all that the host can be asked for while cold after that start; none for the equal one.
    pub share: Option<(Option<Time>, f64)>,
    /// Latency in ms, bandwidth in KB a ms, and when the youngest sample in them was taken.
    pub measures: [Option<f64>; 2],
    pub measured: Option<Time>,
    /// When the last of several dispatchers failed there, with no success of any since.
    pub down: Option<Time>,
    /// When any dispatcher last succeeded there.
    pub good: Option<Time>,
    /// Attempts that one dispatcher should have out there at most.
    pub window: Option<f64>,
    /// Attempts that other dispatchers have out there, and when that was true.
    pub others: Option<(f64, Time)>,
}

/// All that is heard from others at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct Guided {
    pub hints: Vec<Hint>,
    /// The part of its equal share that holds for a host whose share no hint tells.
    pub by_right: f64,
    /// How full the location's link is, as [`Ended::link`] tells it, and when that was true.
    pub link: Option<(f64, Time)>,
    /// Whether the list of hosts can be trusted; if not, nothing is handed off.
    pub vouched: bool,
}
