//! Attempts to have a request answered by a host, their outcomes and cancels.

use crate::{AttemptIndex, HostId, LoadReport, RequestId, Span, Time};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The host gave the client's answer.
    Answered,
    /// The host answered that it failed to process the request, which may have run.
    Errored,
    /// The host rejected the request, which has not run.
    Rejected,
    /// No answer arrived in the time allowed; the request may have run.
    TimedOut,
    /// No connection was established, or it ended before the last byte was written: the request has not run.
    NotConnected,
    /// The connection ended, or could not be read, after the request was written: it may have run.
    Broken,
    /// A connection that had been idle ended without an answer: the request may have run, and the host is not at fault.
    Stale,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The dispatcher's process could not send the attempt: the request has not run.
    NotSent,
    /// The attempt was not sent, because it was no longer needed by the time that it could be sent.
    Superseded,
    /// The host has no copy, and the attempt did not allow a fill.
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

/// How a cache obtained its answer, or why it could not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillOutcome {
    /// The answer does not tell how it was obtained.
    Nothing,
    /// The host had a copy.
    Hit,
    /// The source filled the miss from its own copy.
    Filled,
    /// The source, a parent, fetched the object from the origin to fill the miss.
    FilledThroughOrigin,
    /// The host was already filling the same object, and this request waited for that fill.
    Joined,
    /// The host answered with a copy past its fresh time.
    Stale,
    /// The source rejected the fill.
    SourceRefused,
    /// The source could not be reached.
    SourceUnreached,
    /// The source was to answer from its cache only, and has no copy.
    SourceLacks,
    /// The host had no free slot for a fill.
    NoSlot,
    /// A fetch from the origin failed, by the host or by its source.
    OriginFailed,
}

/// The report of the caller that an attempt has ended.
#[derive(Clone, Debug)]
pub struct AttemptEnded {
    /// The request.
    pub request: RequestId,
    /// The index of the attempt within its request.
    pub index: AttemptIndex,
    /// The host that it was sent to.
    pub host: HostId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The time from its start to its end.
    pub took: Span,
    /// Whether the request has its final answer.
    pub closed: bool,
    /// How the cache obtained its answer, or why it could not.
    pub fill: FillOutcome,
    /// How long the fill waited for the source's first byte, or until it failed.
    pub waited: Option<Span>,
    /// The size of the answer in KB, if it was measured and is not the one that the client stated; `None` if the two
    /// agree, or if there is nothing to measure.
    pub actual_kb: Option<f64>,
    /// Whether the answer was that the client's copy is current, which takes no transfer.
    pub unchanged: bool,
    /// The load that the host reported with the answer.
    pub report: LoadReport,
}

/// A decision to cancel an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Cancel {
    /// The request.
    pub request: RequestId,
    /// The index of the attempt within its request.
    pub index: AttemptIndex,
}

/// A decision to send a request to a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// The host that it is sent to.
    pub host: HostId,
    /// The host that a miss is filled from; equal to `host` if a miss is not filled.
    pub source: HostId,
    /// The time allowed for the answer.
    pub allow: Span,
    /// Whether a miss may wait for a fill of the same object that is in progress.
    pub join: bool,
    /// Whether the host may renew a copy in the last part of its fresh time, after it has answered.
    pub renew: bool,
    /// Whether the source may answer only from its cache.
    pub only_held: bool,
    /// The greatest age of a copy that may be used; `None` for the class's fresh time.
    pub oldest: Option<Span>,
    /// Whether it must not be sent on a connection that has been idle, as such a connection may have ended unnoticed.
    pub fresh: bool,
    /// The rank at which the cache keeps the object, 1 to 3; 0 for not at all.
    pub keep: u8,
}

/// Permission to send an attempt once its connection is established, with the terms that apply by then.
#[derive(Clone, Debug, PartialEq)]
pub struct Clearance {
    /// The greatest age of a copy that may be used; `None` for the class's fresh time.
    pub oldest: Option<Span>,
    /// The time by which the last byte has to be written; after that the request may no longer run.
    pub sent_by: Time,
}
