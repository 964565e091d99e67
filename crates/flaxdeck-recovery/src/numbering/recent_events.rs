//! The recently applied events, with which events of the coordinator's connection are compared.

use std::collections::BTreeMap;

use flaxdeck::{Span, Time};

use super::EventPosition;

/// Minimum time for which events are kept, up to [`MAX_RECENT_EVENTS`]: longer than a connection takes to open and to
/// prove its numbering, at any rate of events.
const MIN_RETENTION: Span = Span::from_ms(5_000);
/// Number of events that are kept however old they are: a coordinator that was restored from a backup may send them
/// again.
const MIN_RECENT_EVENTS: usize = 256;
/// Maximum number of events that are kept. If the first event of a connection is older than these, it can't be
/// compared: the next connection requests all events, and copies are unconfirmed then.
pub const MAX_RECENT_EVENTS: usize = 65_536;

#[derive(Clone, Copy)]
struct AppliedEvent {
    hash: u64,
    /// When this was last the newest event: the time at which the next event was applied, or its own for the newest.
    /// Retention is measured from then, as a connection requests the event that is newest when it opens.
    newest_at: Time,
}

/// The recently applied events by number, from the coordinator and from peers alike.
pub(super) struct RecentEvents {
    events: BTreeMap<u64, AppliedEvent>,
}

impl RecentEvents {
    /// Creates a record that holds only `position`, as if applied at time zero.
    pub(super) fn containing(position: EventPosition) -> RecentEvents {
        let event = AppliedEvent {
            hash: position.hash,
            newest_at: Time::default(),
        };
        RecentEvents {
            events: BTreeMap::from([(position.number, event)]),
        }
    }

    pub(super) fn clear(&mut self) {
        self.events.clear();
    }

    /// Records that an event was applied after the one with the number `before`, and evicts old events.
    pub(super) fn record(&mut self, now: Time, before: u64, position: EventPosition) {
        if let Some(before) = self.events.get_mut(&before) {
            before.newest_at = now;
        }
        let event = AppliedEvent {
            hash: position.hash,
            newest_at: now,
        };
        self.events.insert(position.number, event);
        while self.should_evict_oldest(now) {
            self.events.pop_first();
        }
    }

    fn should_evict_oldest(&self, now: Time) -> bool {
        let is_old = self
            .events
            .first_key_value()
            .is_some_and(|(_, event)| now.since(event.newest_at) > MIN_RETENTION);
        (is_old && self.events.len() > MIN_RECENT_EVENTS) || self.events.len() > MAX_RECENT_EVENTS
    }

    /// Returns whether the event applied under this number differs from `position`; none if no event of that number is
    /// kept.
    pub(super) fn differs(&self, position: EventPosition) -> Option<bool> {
        self.events
            .get(&position.number)
            .map(|event| event.hash != position.hash)
    }
}
