//! An attempt that has ended, and what its outcome shows about its host and its source.

use crate::{AttemptEnded, AttemptOutcome, ClassId, FillOutcome};

use super::state::AttemptState;

/// How the size of an answer compares with the one that the client stated.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum AnswerSize {
    /// It is the stated one, or was not measured.
    AsStated,
    /// The answer is larger.
    Larger,
    /// The answer is smaller, as it may be incomplete.
    Smaller,
}

impl AnswerSize {
    pub(super) fn of(ended: &AttemptEnded, stated_kb: Option<f64>) -> AnswerSize {
        match ended.actual_kb {
            None => AnswerSize::AsStated,
            actual_kb if actual_kb > stated_kb => AnswerSize::Larger,
            Some(_) => AnswerSize::Smaller,
        }
    }

    /// Whether the answer has shown its size.
    pub(super) fn is_verified(self) -> bool {
        self != AnswerSize::Smaller
    }
}

/// An attempt that has ended, with the properties of its request and its hosts at that time.
pub(super) struct CompletedAttempt {
    pub(super) attempt: AttemptState,
    pub(super) ended: AttemptEnded,
    pub(super) class: ClassId,
    /// The request's expected transfer time, in ms; that of the answer if it was larger than stated.
    pub(super) transfer_ms: f64,
    /// Whether the size of the request is known.
    pub(super) size_known: bool,
    /// How the size of the answer compares with the stated one.
    pub(super) size: AnswerSize,
    /// The size in KB, if the sources for the request are compared by bandwidth.
    pub(super) large_kb: Option<f64>,
    /// Whether its host is a cache, or no longer known.
    pub(super) through_cache: bool,
    /// Whether its source is a parent.
    pub(super) from_parent: bool,
}

impl CompletedAttempt {
    pub(super) fn is_answered(&self) -> bool {
        self.ended.outcome == AttemptOutcome::Answered
    }

    /// Whether its duration is that of a transfer of the known size.
    pub(super) fn shows_transfer(&self) -> bool {
        self.is_answered() && !self.ended.unchanged && self.size.is_verified()
    }

    /// Whether a parent rejected the fill, which is a sign of load and not a failure.
    pub(super) fn parent_is_full(&self) -> bool {
        self.from_parent && self.ended.fill == FillOutcome::SourceRefused
    }

    /// Whether the cache has no copy, or no slot for a fill.
    pub(super) fn copy_is_missing(&self) -> bool {
        self.ended.outcome == AttemptOutcome::NoCopy || self.ended.fill == FillOutcome::NoSlot
    }

    /// Whether the source, not the host, is the reason that there was no answer.
    pub(super) fn source_failed(&self) -> bool {
        matches!(
            self.ended.fill,
            FillOutcome::SourceRefused
                | FillOutcome::SourceUnreached
                | FillOutcome::SourceLacks
                | FillOutcome::OriginFailed
        )
    }

    /// Whether the outcome says nothing about the host: the attempt was no longer needed, or an idle connection turned
    /// out to be closed.
    pub(super) fn host_is_unaffected(&self) -> bool {
        matches!(
            self.ended.outcome,
            AttemptOutcome::Stale | AttemptOutcome::Superseded
        )
    }

    /// Whether the host has responded in any way: by an answer, a rejection, or the end of the connection.
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

    /// Whether no connection to the host or the source came up.
    pub(super) fn is_unreachable(&self) -> bool {
        self.ended.outcome == AttemptOutcome::NotConnected
            || (self.ended.outcome == AttemptOutcome::Rejected
                && self.ended.fill == FillOutcome::SourceUnreached)
    }

    /// Whether the cache answered without its source.
    pub(super) fn source_was_unused(&self) -> bool {
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

    /// Whether the attempt went to a cache that had another host as its source.
    pub(super) fn has_source_behind_cache(&self) -> bool {
        self.through_cache && !self.attempt.without_fill()
    }

    /// Decides whether the request has to back off before its next attempt, which would otherwise meet the same load.
    pub(super) fn calls_for_backoff(&self) -> bool {
        self.copy_is_missing()
            || !self.through_cache
            || matches!(
                self.ended.fill,
                FillOutcome::SourceRefused | FillOutcome::OriginFailed
            )
    }
}
