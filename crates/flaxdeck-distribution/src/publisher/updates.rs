//! What a subscriber is sent.

use flaxdeck::Time;
use flaxdeck_recovery::EventPosition;

use super::schedule::CATCH_UP_INTERVAL;
use super::{Publisher, SubscriberId, Wanted};
use crate::event_log::NotKept;
use crate::messages::{Batch, Delivery, MAX_FULL_BYTES, PurgeDigest, Snapshot, Update};

impl Publisher {
    /// What a subscriber is sent, which moves its position; none if it has not subscribed. `list` gives the frame that
    /// tells the full list of hosts under a number.
    pub fn update_for(
        &mut self,
        now: Time,
        id: SubscriberId,
        list: &mut dyn FnMut(u64) -> Vec<u8>,
    ) -> Option<Delivery> {
        let wanted = self.members.get(&id)?.wanted;
        let update = match wanted {
            Wanted::EventsAfter(position) => match self.batch_after(position) {
                Ok(batch) => Update::Batch(batch),
                Err(NotKept::Ahead) => self.behind(),
                Err(NotKept::Unknown) => self.snapshot(now, list),
            },
            Wanted::Snapshot => self.snapshot(now, list),
        };
        let position = match &update {
            Update::Batch(batch) => Some(batch.last),
            Update::Snapshot(snapshot) => Some(snapshot.position),
            Update::Behind { .. } => None,
        };
        // A subscriber that lacks what this planner knows does not have all that the coordinator has.
        let is_complete = position == Some(self.log.last());
        let coordinator_ago_ms = self.coordinator_ago_ms(now).filter(|_| is_complete);
        let member = self.members.get_mut(&id)?;
        member.wanted = position.map_or(wanted, Wanted::EventsAfter);
        member.is_unanswered = false;
        member.last_sent = now;
        member.offered = None;
        member.is_catching_up = position.is_some() && !is_complete;
        let next = if member.is_catching_up {
            now + CATCH_UP_INTERVAL
        } else {
            now + self.cadence.urgent_delay
        };
        self.next_due = self.next_due.min(next);
        Some(Delivery {
            update,
            coordinator_ago_ms,
        })
    }

    fn batch_after(&mut self, position: EventPosition) -> Result<Batch, NotKept> {
        let batch = match self.cache.batch_after(position) {
            Some(batch) => batch.clone(),
            None => self.encode_after(position)?,
        };
        if batch.last == batch.after {
            self.counters.heartbeats += 1;
        } else {
            self.counters.batches += 1;
        }
        Ok(batch)
    }

    fn encode_after(&mut self, position: EventPosition) -> Result<Batch, NotKept> {
        self.follows(position)?;
        let batch = self.log.batch_after(position)?;
        if batch.last != batch.after {
            self.counters.encoded += 1;
            self.cache.insert(batch.clone());
        }
        Ok(batch)
    }

    fn behind(&mut self) -> Update {
        self.counters.behind += 1;
        Update::Behind {
            last: self.log.last(),
        }
    }

    /// The state, given only by a planner that knows all that the coordinator has. One that has lost the coordinator may
    /// hold an older list than the subscriber, and would bring a withdrawn host back by it.
    fn snapshot(&mut self, now: Time, list: &mut dyn FnMut(u64) -> Vec<u8>) -> Update {
        if !self.is_current(now) {
            return self.behind();
        }
        self.counters.snapshots += 1;
        let snapshot = match &self.cache.snapshot {
            Some(snapshot) => snapshot.clone(),
            None => {
                let snapshot = self.take_snapshot(now, list(self.log.last().number));
                self.cache.snapshot = Some(snapshot.clone());
                snapshot
            }
        };
        Update::Snapshot(Box::new(snapshot))
    }

    fn take_snapshot(&self, now: Time, list: Vec<u8>) -> Snapshot {
        let max_group_bytes = MAX_FULL_BYTES.saturating_sub(list.len());
        let kept = self.log.purges_since(now, max_group_bytes);
        Snapshot {
            position: self.log.last(),
            list,
            purges: PurgeDigest::encode(kept.objects),
            group_purges: kept.groups,
            purges_reach_ms: kept.reach.ms().min(f64::from(u32::MAX)) as u32,
        }
    }
}
