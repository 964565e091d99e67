//! How long the endpoint list and the known purges may be relied on once the coordinator is not heard.
//!
//! By the protocol an event is in force some time after it happened, whether or not it has arrived. A host may have begun
//! to drain, or an object may have been purged, at any time since the coordinator was last heard.

use crate::{CompleteAsOf, Decisions, Span, Time};

use super::DecisionEngine;
use super::constants::{AGE_ROUNDING, MAX_EVENT_DELAY};

impl DecisionEngine {
    /// Notes that all events are known here that the coordinator had as of that time. Before the first call nothing
    /// expires.
    pub fn events_confirmed(&mut self, now: Time, as_of: CompleteAsOf) -> Decisions {
        self.now = now;
        let was_valid = self.list_is_valid();
        self.events_confirmed_at = self.events_confirmed_at.max(Some(as_of.time()));
        if !was_valid {
            self.ready.extend(self.requests.keys().copied());
        }
        self.wake(now)
    }

    /// Returns the time from which no new attempt is made unless the coordinator is heard before;
    /// [`Time::NEVER`] where nothing expires.
    pub fn list_valid_until(&self) -> Time {
        self.events_confirmed_at
            .map_or(Time::NEVER, |at| at + self.list_lifetime())
    }

    /// Returns how long the endpoint list may be relied on after the coordinator was heard.
    pub fn list_lifetime(&self) -> Span {
        MAX_EVENT_DELAY + self.terms.drain_grace
    }

    /// Returns the shorter of the graces for drains and purges: events that arrive later than that break one of them.
    /// `None` where the settings have none.
    pub fn shortest_event_grace(&self) -> Option<Span> {
        [self.terms.drain_grace, self.terms.purge_grace]
            .into_iter()
            .filter(|grace| *grace > Span::ZERO)
            .min()
    }

    /// Whether hosts may be sent new requests by the endpoint list.
    ///
    /// Guards against new requests to a host, or fills from a source, that drains or is gone since the coordinator was
    /// last heard: every host may be one.
    pub(super) fn list_is_valid(&self) -> bool {
        self.list_trusted && self.now < self.list_valid_until()
    }

    /// Returns the age limit of all copies, if there may be a purge that is in force and has not arrived.
    ///
    /// Guards against purged copies while the coordinator is not heard: any copy that is older may have been purged.
    pub(super) fn unknown_purge_limit(&self) -> Option<Span> {
        let in_force_after = MAX_EVENT_DELAY + self.terms.purge_grace;
        self.events_confirmed_at
            .filter(|at| self.now >= *at + in_force_after)
            .map(|_| in_force_after.saturating_sub(AGE_ROUNDING))
    }
}
