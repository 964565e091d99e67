//! The last events that were applied, against which a connection's are compared.

use std::collections::BTreeMap;

use flaxdeck::{Span, Time};

use super::EventPosition;

/// For how long events are remembered: longer than a connection takes to open and to prove its numbering, at any rate of
/// events.
const REMEMBERED_FOR: Span = Span::from_ms(5_000);
/// How many are remembered at least, however old: a coordinator that was restored may tell them once more.
const MIN_REMEMBERED: usize = 256;
/// And how many at most. A connection that is compared with one beyond them asks for everything, with copies unconfirmed.
pub const MAX_REMEMBERED: usize = 65_536;

#[derive(Clone, Copy)]
struct AppliedEvent {
    hash: u64,
    /// When it was applied, and once another has followed, when that was: a connection asks for the last one.
    at: Time,
}

/// The last events as applied, whoever brought them, by number.
pub(super) struct RecentEvents {
    events: BTreeMap<u64, AppliedEvent>,
}

impl RecentEvents {
    /// Only that one, applied long ago.
    pub(super) fn starting_with(position: EventPosition) -> RecentEvents {
        let event = AppliedEvent {
            hash: position.hash,
            at: Time::default(),
        };
        RecentEvents {
            events: BTreeMap::from([(position.number, event)]),
        }
    }

    /// Forgets all.
    pub(super) fn clear(&mut self) {
        self.events.clear();
    }

    /// An event was applied after the one with the number `before`.
    pub(super) fn applied(&mut self, now: Time, before: u64, position: EventPosition) {
        if let Some(before) = self.events.get_mut(&before) {
            before.at = now;
        }
        let event = AppliedEvent {
            hash: position.hash,
            at: now,
        };
        self.events.insert(position.number, event);
        while self.is_first_forgotten(now) {
            self.events.pop_first();
        }
    }

    fn is_first_forgotten(&self, now: Time) -> bool {
        let is_old = self
            .events
            .first_key_value()
            .is_some_and(|(_, event)| now.since(event.at) > REMEMBERED_FOR);
        (is_old && self.events.len() > MIN_REMEMBERED) || self.events.len() > MAX_REMEMBERED
    }

    /// Whether another event than this was applied under its number; none if that is not remembered.
    pub(super) fn is_other(&self, position: EventPosition) -> Option<bool> {
        self.events
            .get(&position.number)
            .map(|event| event.hash != position.hash)
    }
}
