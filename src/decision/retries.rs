//! Retries: whether a request may be sent again, and to which hosts, by the idempotency of its class.

use crate::{Repeats, Scope, Time};

use super::DecisionEngine;
use super::state::{Host, RequestState};

impl DecisionEngine {
    pub(super) fn is_idempotent(&self, state: &RequestState) -> bool {
        self.class_of(&state.request).terms.repeats == Repeats::Idempotent
    }

    /// Decides whether a request may have another attempt.
    ///
    /// Guards against an effect that happens twice: a request that may have run is sent again only if it is idempotent,
    /// or while the hosts that deduplicate it still remember the first run.
    pub(super) fn may_retry(&self, state: &RequestState) -> bool {
        self.list_is_valid()
            && state.attempts < self.terms.most_attempts.max(1)
            && self.repeat_is_safe(state)
    }

    fn repeat_is_safe(&self, state: &RequestState) -> bool {
        let Some(first_run) = first_possible_run(state) else {
            return true;
        };
        match self.class_of(&state.request).terms.repeats {
            Repeats::Idempotent => true,
            Repeats::AtMostOnce => false,
            Repeats::Deduplicated { remembered, .. } => {
                self.now + self.answer_margin < first_run + remembered
            }
        }
    }

    /// Decides whether a host would drop a repeat of a request that may have run. Any host is in scope if it has not
    /// run.
    ///
    /// Guards against a deduplicated request that runs a second time at a host that does not know of the first run.
    pub(super) fn in_deduplication_scope(&self, state: &RequestState, host: &Host) -> bool {
        let repeats = self.class_of(&state.request).terms.repeats;
        let Repeats::Deduplicated { scope, .. } = repeats else {
            return true;
        };
        let Some(run) = &state.may_have_run else {
            return true;
        };
        let first = self.hosts.get(&run.host).map(|first| &first.endpoint);
        let same_zone = first.is_some_and(|first| first.zone == host.endpoint.zone);
        match scope {
            Scope::All => true,
            Scope::Zone => same_zone,
            Scope::Cell => same_zone && first.is_some_and(|first| first.cell == host.endpoint.cell),
        }
    }

    /// Returns the end of the deduplication window of a request that may have run, or [`Time::NEVER`] if no such window
    /// applies.
    pub(super) fn deduplicated_until(&self, state: &RequestState) -> Time {
        let repeats = self.class_of(&state.request).terms.repeats;
        match (repeats, &state.may_have_run) {
            (Repeats::Deduplicated { remembered, .. }, Some(run)) => run.sent + remembered,
            _ => Time::NEVER,
        }
    }

    /// Decides whether a request may be answered as rejected, which promises the client that a retry has no second
    /// effect.
    pub(super) fn rejection_is_harmless(&self, state: &RequestState) -> bool {
        match self.class_of(&state.request).terms.repeats {
            Repeats::Idempotent => true,
            Repeats::Deduplicated {
                scope: Scope::All, ..
            } => !self.repeats_forgotten_run(state),
            Repeats::Deduplicated { .. } | Repeats::AtMostOnce => {
                state.may_have_run.is_none() && state.in_flight.is_empty()
            }
        }
    }

    /// Whether the request repeats an earlier one with the same id, which the hosts do not remember any more.
    fn repeats_forgotten_run(&self, state: &RequestState) -> bool {
        let is_repeat = state.attempts == 0 && state.may_have_run.is_some();
        is_repeat && self.now + self.answer_margin >= self.deduplicated_until(state)
    }
}

/// Returns when the first attempt that may have run was sent; an attempt in flight may have run.
fn first_possible_run(state: &RequestState) -> Option<Time> {
    match &state.may_have_run {
        Some(run) => Some(run.sent),
        None => state.in_flight.first().map(|attempt| attempt.sent),
    }
}
