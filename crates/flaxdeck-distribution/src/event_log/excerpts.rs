//! Excerpts of a log for subscribers: batches, and the purges of a snapshot.

use flaxdeck::Time;
use flaxdeck_recovery::EventPosition;

use super::{Content, Entry, EventLog, PositionError, RecentPurges};
use crate::messages::{Batch, FullEvent, MAX_FULL_BYTES, MAX_FULL_EVENTS, MAX_PURGES, PurgeDigest};

impl Entry {
    fn to_full_event(&self, frame: &[u8]) -> FullEvent {
        FullEvent {
            position: self.position,
            frame: frame.to_vec(),
        }
    }
}

impl EventLog {
    /// Returns the events after the position, as many as one batch may hold.
    ///
    /// # Errors
    ///
    /// [`PositionError`] if the position is not in the log.
    pub fn batch_after(&self, position: EventPosition) -> Result<Batch, PositionError> {
        let index = self.index_after(position)?;
        let (mut last, mut frame_bytes) = (position, 0);
        let (mut objects, mut events) = (Vec::new(), Vec::new());
        for entry in self.entries.iter().skip(index) {
            match &entry.content {
                Content::ObjectPurge(_) if objects.len() == MAX_PURGES as usize => break,
                Content::ObjectPurge(fingerprint) => objects.push(*fingerprint),
                Content::GroupPurge(frame) | Content::HostChange(frame) => {
                    frame_bytes += frame.len();
                    if events.len() == MAX_FULL_EVENTS || frame_bytes > MAX_FULL_BYTES {
                        break;
                    }
                    events.push(entry.to_full_event(frame));
                }
            }
            last = entry.position;
        }
        Ok(Batch {
            after: position,
            last,
            purges: PurgeDigest::encode(objects),
            events,
        })
    }

    /// Returns the latest purges, as many as fit into one snapshot with at most `max_group_bytes` of group purges, and
    /// the period for which they are complete.
    ///
    /// The period is measured by the times of receipt. A purge is received no earlier than it was made, so all purges
    /// received within a period include all that were made within it.
    pub fn recent_purges(&self, now: Time, max_group_bytes: usize) -> RecentPurges {
        let mut recent = RecentPurges::default();
        let (mut complete_after, mut frame_bytes) = (self.complete_after, 0);
        for entry in self.entries.iter().rev() {
            let fits = match &entry.content {
                Content::ObjectPurge(fingerprint) => {
                    let fits = recent.objects.len() < MAX_PURGES as usize;
                    if fits {
                        recent.objects.push(*fingerprint);
                    }
                    fits
                }
                Content::GroupPurge(frame) => {
                    frame_bytes += frame.len();
                    let fits =
                        recent.groups.len() < MAX_FULL_EVENTS && frame_bytes <= max_group_bytes;
                    if fits {
                        recent.groups.push(entry.to_full_event(frame));
                    }
                    fits
                }
                Content::HostChange(_) => true,
            };
            if !fits {
                complete_after = complete_after.max(entry.received_at);
                break;
            }
        }
        recent.groups.reverse();
        recent.reach = now.since(complete_after);
        recent
    }
}
