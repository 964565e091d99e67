//! What is taken from a log to be passed on: batches, and the purges of a snapshot.

use flaxdeck::Time;
use flaxdeck_recovery::EventPosition;

use super::{Content, Entry, EventLog, KeptPurges, NotKept};
use crate::messages::{Batch, FullEvent, MAX_FULL_BYTES, MAX_FULL_EVENTS, MAX_PURGES, PurgeDigest};

impl Entry {
    fn in_full(&self, frame: &[u8]) -> FullEvent {
        FullEvent {
            position: self.position,
            frame: frame.to_vec(),
        }
    }
}

impl EventLog {
    /// The events after a position, as many as one batch may hold.
    ///
    /// # Errors
    ///
    /// [`NotKept`] if the position is not known here.
    pub fn batch_after(&self, position: EventPosition) -> Result<Batch, NotKept> {
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
                    events.push(entry.in_full(frame));
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

    /// The latest purges, as many as one snapshot may hold with so many bytes of purges of groups, and how far back they
    /// are complete.
    ///
    /// Each purge counts from when it came here, which is not before it was made: whoever has all that came within a
    /// time has all that was made within it.
    pub fn purges_since(&self, now: Time, max_group_bytes: usize) -> KeptPurges {
        let mut kept = KeptPurges::default();
        let (mut complete_after, mut frame_bytes) = (self.complete_after, 0);
        for entry in self.entries.iter().rev() {
            let fits = match &entry.content {
                Content::ObjectPurge(fingerprint) => {
                    let fits = kept.objects.len() < MAX_PURGES as usize;
                    if fits {
                        kept.objects.push(*fingerprint);
                    }
                    fits
                }
                Content::GroupPurge(frame) => {
                    frame_bytes += frame.len();
                    let fits =
                        kept.groups.len() < MAX_FULL_EVENTS && frame_bytes <= max_group_bytes;
                    if fits {
                        kept.groups.push(entry.in_full(frame));
                    }
                    fits
                }
                Content::HostChange(_) => true,
            };
            if !fits {
                complete_after = complete_after.max(entry.at);
                break;
            }
        }
        kept.groups.reverse();
        kept.reach = now.since(complete_after);
        kept
    }
}
