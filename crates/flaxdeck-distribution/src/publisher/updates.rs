//! The updates that subscribers are sent.

use flaxdeck::Time;
use flaxdeck_recovery::EventPosition;

use super::schedule::CATCH_UP_INTERVAL;
use super::{NextUpdate, Publisher, SubscriberId};
use crate::event_log::PositionError;
use crate::messages::{Batch, Delivery, MAX_FULL_BYTES, PurgeDigest, Snapshot, Update};

impl Publisher {
    /// Returns the next update for a subscriber and advances its position accordingly; `None` if it has not subscribed.
    /// `encode_full_list` returns the frame with the full list of hosts for the given event number.
    pub fn update_for(
        &mut self,
        now: Time,
        id: SubscriberId,
        encode_full_list: &mut dyn FnMut(u64) -> Vec<u8>,
    ) -> Option<Delivery> {
        let next_update = self.subscribers.get(&id)?.next_update;
        let update = match next_update {
            NextUpdate::EventsAfter(position) => match self.batch_after(position) {
                Ok(batch) => Update::Batch(batch),
                Err(PositionError::Ahead) => self.behind(),
                Err(PositionError::Unknown) => self.snapshot(now, encode_full_list),
            },
            NextUpdate::Snapshot => self.snapshot(now, encode_full_list),
        };
        let position = match &update {
            Update::Batch(batch) => Some(batch.last),
            Update::Snapshot(snapshot) => Some(snapshot.position),
            Update::Behind { .. } => None,
        };
        // A subscriber that lacks events of this planner lacks events of the coordinator.
        let is_complete = position == Some(self.log.last());
        let ago_ms = match &update {
            Update::Snapshot(_) => self.heard_ago_ms(now),
            Update::Batch(_) | Update::Behind { .. } => self.complete_ago_ms(now),
        };
        let coordinator_ago_ms = ago_ms.filter(|_| is_complete);
        let subscriber = self.subscribers.get_mut(&id)?;
        subscriber.next_update = position.map_or(next_update, NextUpdate::EventsAfter);
        subscriber.is_unanswered = false;
        subscriber.last_sent = now;
        subscriber.reported_due_at = None;
        subscriber.is_catching_up = position.is_some() && !is_complete;
        let next = if subscriber.is_catching_up {
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

    fn batch_after(&mut self, position: EventPosition) -> Result<Batch, PositionError> {
        let batch = match self.cache.batch_after(position) {
            Some(batch) => batch.clone(),
            None => self.encode_batch_after(position)?,
        };
        if batch.last == batch.after {
            self.counters.heartbeats += 1;
        } else {
            self.counters.batches += 1;
        }
        Ok(batch)
    }

    fn encode_batch_after(&mut self, position: EventPosition) -> Result<Batch, PositionError> {
        self.check_position(position)?;
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

    /// Returns a snapshot if this planner seems to have the coordinator's latest list, and `Behind` otherwise. A planner that
    /// has lost the coordinator may have an older list than the subscriber, and its snapshot would return a removed
    /// host to service.
    fn snapshot(&mut self, now: Time, encode_full_list: &mut dyn FnMut(u64) -> Vec<u8>) -> Update {
        if !self.is_current(now) {
            return self.behind();
        }
        self.counters.snapshots += 1;
        let snapshot = match &self.cache.snapshot {
            Some(snapshot) => snapshot.clone(),
            None => {
                let snapshot = self.take_snapshot(now, encode_full_list(self.log.last().number));
                self.cache.snapshot = Some(snapshot.clone());
                snapshot
            }
        };
        Update::Snapshot(Box::new(snapshot))
    }

    fn take_snapshot(&self, now: Time, list: Vec<u8>) -> Snapshot {
        let max_group_bytes = MAX_FULL_BYTES.saturating_sub(list.len());
        let recent = self.log.recent_purges(now, max_group_bytes);
        Snapshot {
            position: self.log.last(),
            list,
            purges: PurgeDigest::encode(recent.objects),
            group_purges: recent.groups,
            purges_reach_ms: recent.reach.ms().min(f64::from(u32::MAX)) as u32,
        }
    }
}
