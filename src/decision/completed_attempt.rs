//! An attempt that has ended, and what its end says of its host and its source.

use crate::{AttemptEnded, AttemptOutcome, ClassId, FillOutcome};

use super::state::AttemptState;

/// An attempt that has ended, with what its request and its hosts were at that time.
pub(super) struct CompletedAttempt {
    pub(super) attempt: AttemptState,
    pub(super) ended: AttemptEnded,
    pub(super) class: ClassId,
    /// The request's expected transfer time, in ms.
    pub(super) transfer_ms: f64,
    /// The request told its size.
    pub(super) size_known: bool,
    /// KB of a request that bandwidth decides for.
    pub(super) large_kb: Option<f64>,
    /// Its host is a cache, or no longer known.
    pub(super) through_cache: bool,
    /// Its source is a parent.
    pub(super) from_parent: bool,
}

impl CompletedAttempt {
    pub(super) fn is_answered(&self) -> bool {
        self.ended.outcome == AttemptOutcome::Answered
    }

    /// A parent refused the fill, which is a sign of load and no failure.
    pub(super) fn parent_is_full(&self) -> bool {
        self.from_parent && self.ended.fill == FillOutcome::SourceRefused
    }

    /// The cache has no copy, or no place for a fill.
    pub(super) fn copy_is_missing(&self) -> bool {
        self.ended.outcome == AttemptOutcome::NoCopy || self.ended.fill == FillOutcome::NoSlot
    }

    /// The source, not the host, is why there was no answer.
    pub(super) fn source_failed(&self) -> bool {
        matches!(
            self.ended.fill,
            FillOutcome::SourceRefused
                | FillOutcome::SourceUnreached
                | FillOutcome::SourceLacks
                | FillOutcome::OriginFailed
        )
    }

    /// The attempt was not to be sent any more, or its connection had died while idle: the host is as it was.
    pub(super) fn host_is_unaffected(&self) -> bool {
        matches!(
            self.ended.outcome,
            AttemptOutcome::Stale | AttemptOutcome::Superseded
        )
    }

    /// The host has answered something, be it a refusal.
    pub(super) fn host_responded(&self) -> bool {
        !matches!(
            self.ended.outcome,
            AttemptOutcome::TimedOut
                | AttemptOutcome::NotConnected
                | AttemptOutcome::Cancelled
                | AttemptOutcome::NotSent
                | AttemptOutcome::Superseded
        )
    }

    /// The host or the source could not be reached at all.
    pub(super) fn is_unreachable(&self) -> bool {
        self.ended.outcome == AttemptOutcome::NotConnected
            || (self.ended.outcome == AttemptOutcome::Rejected
                && self.ended.fill == FillOutcome::SourceUnreached)
    }

    /// The cache answered by itself, so that its source had no work.
    pub(super) fn spared_source(&self) -> bool {
        matches!(
            self.ended.fill,
            FillOutcome::Hit | FillOutcome::Stale | FillOutcome::Joined
        )
    }

    pub(super) fn was_filled(&self) -> bool {
        matches!(
            self.ended.fill,
            FillOutcome::Filled | FillOutcome::FilledThroughOrigin
        )
    }

    /// A cache asked a source beside itself.
    pub(super) fn has_source_behind_cache(&self) -> bool {
        self.through_cache && !self.attempt.without_fill()
    }

    /// Decides whether the request has to wait before its next attempt: the next one would meet the same load.
    pub(super) fn calls_for_backoff(&self) -> bool {
        self.copy_is_missing()
            || !self.through_cache
            || matches!(
                self.ended.fill,
                FillOutcome::SourceRefused | FillOutcome::OriginFailed
            )
    }
}
