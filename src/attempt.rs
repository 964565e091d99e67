//! Attempts: a request sent to one host, and how that ended.

use crate::{AttemptIndex, HostId, LoadReport, RequestId, Span, Time};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The host gave the client's answer.
    Answered,
    /// The host answered that it had failed; the request may have run.
    Errored,
    /// The host refused the request, which has not run.
    Rejected,
    /// No answer came in the time allowed; the request may have run.
    TimedOut,
    /// No connection came up, or it ended before the last byte was written: the request has not run.
    NotConnected,
    /// The connection ended, or could not be read, after the request was written: it may have run.
    Broken,
    /// A connection that had been idle ended without an answer: the request may have run, and the host is not at fault.
    Stale,
    /// It was cancelled; the request may have run.
    Cancelled,
    /// This process could not send it: the request has not run.
    NotSent,
    /// It was not sent because it was no longer needed by the time it could be.
    Superseded,
    /// The host holds no copy and was not to fill one.
    NoCopy,
}

impl AttemptOutcome {
    /// Whether it is certain that the request has not run.
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
    /// Nothing is told.
    Nothing,
    /// The host held a copy.
    Hit,
    /// The source filled the miss from what it held.
    Filled,
    /// The source, a parent, fetched the object from the origin to fill the miss.
    FilledThroughOrigin,
    /// The host was filling the same object already, and this request waited for that.
    Joined,
    /// The host gave a copy past its fresh time.
    Stale,
    /// The source refused the fill.
    SourceRefused,
    /// The source could not be reached.
    SourceUnreached,
    /// The source was to give only what it held, and held no copy.
    SourceLacks,
    /// The host had no place for a fill.
    NoSlot,
    /// The origin failed, asked by the host or by its source.
    OriginFailed,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnded {
    /// The request.
    pub request: RequestId,
    /// The attempt's number within it.
    pub index: AttemptIndex,
    /// The host that it was sent to.
    pub host: HostId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// From its start to its end.
    pub took: Span,
    /// The request has its final answer.
    pub closed: bool,
    /// What the answer tells of the copy or of the fill.
    pub fill: FillOutcome,
    /// The fill's wait for the source's first byte, or until it failed.
    pub waited: Option<Span>,
    /// What the host reports of its load with the answer.
    pub report: LoadReport,
}

/// Cancel an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Cancel {
    /// The request.
    pub request: RequestId,
    /// The attempt's number within it.
    pub index: AttemptIndex,
}

/// Send a request to a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// The host that it is sent to.
    pub host: HostId,
    /// Where a miss is filled from; the host itself for no fill.
    pub source: HostId,
    /// The time allowed for the answer.
    pub allow: Span,
    /// A miss may wait for a fill of the same object that is under way.
    pub join: bool,
    /// The host may renew a copy in the last part of its fresh time, after it has answered.
    pub renew: bool,
    /// The source gives only what it holds.
    pub only_held: bool,
    /// The age of the oldest copy that will do; none for the class's fresh time.
    pub oldest: Option<Span>,
    /// Not on a connection that has been idle, which may be dead without a sign.
    pub fresh: bool,
    /// The rank at which the cache keeps the object, 1 to 3; 0 for not at all.
    pub keep: u8,
}

/// What an attempt that still stands may ask for by now, its connection having taken a while to come up.
#[derive(Clone, Debug, PartialEq)]
pub struct Clearance {
    /// The age of the oldest copy that will do; none for the class's fresh time.
    pub oldest: Option<Span>,
    /// When its last byte has to be written: past that it may not run any more.
    pub sent_by: Time,
}
