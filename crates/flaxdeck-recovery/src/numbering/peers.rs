//! Acceptance of events that peers relay.

use flaxdeck::Time;

use super::{AwaitedEvents, EventPosition, Numbering};

impl Numbering {
    /// Handles an event that a peer relayed as the one that follows `after`. Returns whether to apply it: only if
    /// `after` is the last known event, the numbers are consecutive and peers are trusted.
    pub fn accept_relayed(
        &mut self,
        now: Time,
        after: EventPosition,
        position: EventPosition,
    ) -> bool {
        let follows = after == self.last && position.number == after.number + 1;
        if !follows || !self.trusts_peers(now) {
            return false;
        }
        self.apply(now, position);
        // The peer follows the coordinator, so this instance now knows more than its configuration. If the numbering
        // changes later, events may have been missed since now.
        self.confirmed_at = Some(now);
        if self.is_proven() && !self.trusts_numbers {
            self.awaited.get_or_insert(AwaitedEvents {
                first: position.number,
                since: now,
            });
        }
        true
    }

    /// Returns whether relayed events may be accepted. For some time after the coordinator contradicted them, peers may
    /// still follow the previous numbering.
    pub fn trusts_peers(&self, now: Time) -> bool {
        now >= self.peers_distrusted_until
    }

    /// Handles a batch of all events after `after` up to `last`, from a peer that seemed to have all the coordinator's
    /// events at `caught_up_at`, if known. Returns whether to apply the batch: not if it does not follow the last known event, and
    /// not while peers are distrusted after the coordinator contradicted them.
    pub fn accept_batch(
        &mut self,
        now: Time,
        after: EventPosition,
        last: EventPosition,
        caught_up_at: Option<Time>,
    ) -> bool {
        let follows = after == self.last && last.number >= after.number;
        if !follows || !self.trusts_peers(now) {
            return false;
        }
        if last != after {
            self.apply(now, last);
        }
        self.confirmed_at = self.confirmed_at.max(caught_up_at);
        true
    }

    /// Continues from `last` after a peer's full list has replaced the known state. Drops the connection to the
    /// coordinator.
    pub fn accept_snapshot(&mut self, now: Time, last: EventPosition) {
        self.recent.clear();
        self.apply(now, last);
        self.confirmed_at = Some(now);
        self.connection = None;
        self.requests_all = false;
    }
}
