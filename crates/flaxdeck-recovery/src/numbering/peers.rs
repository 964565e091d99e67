//! Events that peers bring, and how far they are trusted.

use flaxdeck::Time;

use super::{AwaitedEvents, EventPosition, Numbering};

impl Numbering {
    /// A peer that knows the same numbering brought the event that follows `after`; false if it is not to be applied.
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
        self.confirmed_at = Some(now); // no more a file's: who relayed it follows the coordinator
        if self.is_proven() && !self.trusts_numbers {
            self.awaited.get_or_insert(AwaitedEvents {
                first: position.number,
                since: now,
            });
        }
        true
    }

    /// Whether what peers bring may be taken: they may follow what was before the coordinator contradicted it.
    pub fn trusts_peers(&self, now: Time) -> bool {
        now >= self.peers_distrusted_until
    }

    /// All events between the last one and another were brought by a peer that knows the same numbering, and that had all
    /// that the coordinator had at the time `complete_at`. False if they don't follow the last one, or come too soon
    /// after the coordinator contradicted what peers brought.
    pub fn accept_batch(
        &mut self,
        now: Time,
        after: EventPosition,
        last: EventPosition,
        complete_at: Option<Time>,
    ) -> bool {
        let follows = after == self.last && last.number >= after.number;
        if !follows || !self.trusts_peers(now) {
            return false;
        }
        if last != after {
            self.apply(now, last);
        }
        self.confirmed_at = self.confirmed_at.max(complete_at);
        true
    }

    /// A full list that a peer brought has replaced all that was known.
    pub fn accept_snapshot(&mut self, now: Time, last: EventPosition) {
        self.recent.clear();
        self.apply(now, last);
        self.confirmed_at = Some(now);
        self.connection = None;
        self.asks_for_all = false;
    }
}
