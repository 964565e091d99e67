//! Attempts: a request sent to one host, and how that ended.

use crate::{AttemptIndex, HostId, LoadReport, RequestId, Span, Time};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Answered,
    Errored,
    Rejected,
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

impl AttemptOutcome {
    /// Proof that nothing ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected
                | AttemptOutcome::NotConnected
                | AttemptOutcome::NotSent
                | AttemptOutcome::Superseded
                | AttemptOutcome::NoCopy
        )
    }
}

/// What the answer tells of the copy or of the fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillOutcome {
    Nothing,
    Hit,
    Filled,
    FilledThroughOrigin,
    Joined,
    Stale,
    SourceRefused,
    SourceUnreached,
    SourceLacks,
    NoSlot,
    OriginFailed,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnded {
    pub request: RequestId,
    pub index: AttemptIndex,
    pub host: HostId,
    pub outcome: AttemptOutcome,
    pub took: Span,
    /// The request has its final answer.
    pub closed: bool,
    pub fill: FillOutcome,
    /// The fill's wait for the source's first byte, or until it failed.
    pub waited: Option<Span>,
    pub report: LoadReport,
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
