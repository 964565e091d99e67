//! The purges of single objects that a forwarder has to apply. A purge has settled, and is removed, once the cache
//! hosts have dropped the purged copies themselves.

use std::collections::{HashMap, VecDeque};

use flaxdeck::{ObjectId, Span, Time};

use crate::fingerprint::Fingerprint;

/// Added to the hosts' settle time to allow for clock drift: 2% of half a minute.
const CLOCK_MARGIN: Span = Span::from_ms(600);
/// The maximum number of purges: more than 3,300 a second, ten times the expected 330, for over a minute.
const MAX_ENTRIES: usize = 1 << 18;

#[derive(Clone, Copy)]
struct Purge {
    received_at: Time,
    fingerprint: Fingerprint,
}

/// The unsettled purges by fingerprint.
///
/// A purge is dated by its receipt, which is no earlier than when it was made. So it may be applied for too long, but
/// never for too short a time.
pub struct PurgeIndex {
    settle_time: Span,
    max_entries: usize,
    /// When each fingerprint was last received.
    last_received_at: HashMap<Fingerprint, Time>,
    /// All purges in the order of receipt.
    order: VecDeque<Purge>,
    /// Time of receipt of the last purge that was dropped before it had settled.
    last_dropped_unsettled: Option<Time>,
}

impl PurgeIndex {
    /// Creates an empty index, for hosts that drop purged copies themselves within `settle_time`.
    pub fn new(settle_time: Span) -> PurgeIndex {
        PurgeIndex::with_max_entries(settle_time, MAX_ENTRIES)
    }

    /// Creates an index that holds at most `max_entries` purges.
    pub fn with_max_entries(settle_time: Span, max_entries: usize) -> PurgeIndex {
        PurgeIndex {
            settle_time: settle_time + CLOCK_MARGIN,
            max_entries,
            last_received_at: HashMap::new(),
            order: VecDeque::new(),
            last_dropped_unsettled: None,
        }
    }

    /// Records purges received now.
    pub fn record(&mut self, now: Time, purged: &[Fingerprint]) {
        self.prune(now);
        for fingerprint in purged {
            self.last_received_at.insert(*fingerprint, now);
            self.order.push_back(Purge {
                received_at: now,
                fingerprint: *fingerprint,
            });
        }
        while self.order.len() > self.max_entries {
            self.last_dropped_unsettled = self.drop_oldest().or(self.last_dropped_unsettled);
        }
    }

    /// Returns when the last unsettled purge that matches the object was received; `None` if there is none. Older
    /// copies of the object must not be served.
    pub fn purged_at(&self, now: Time, object: ObjectId) -> Option<Time> {
        let received_at = *self.last_received_at.get(&Fingerprint::of(object))?;
        (now.since(received_at) <= self.settle_time).then_some(received_at)
    }

    /// Returns the time of receipt of the last purge that was dropped before it had settled; `None` if there is none or
    /// all such purges have settled by now. Copies older than this must not be served, whatever their object.
    pub fn incomplete_before(&self, now: Time) -> Option<Time> {
        self.last_dropped_unsettled
            .filter(|dropped| now.since(*dropped) <= self.settle_time)
    }

    /// Removes the purges that have settled.
    pub fn prune(&mut self, now: Time) {
        while self
            .order
            .front()
            .is_some_and(|purge| now.since(purge.received_at) > self.settle_time)
        {
            self.drop_oldest();
        }
    }

    /// Removes the oldest purge and returns when it was received.
    fn drop_oldest(&mut self) -> Option<Time> {
        let Purge {
            received_at,
            fingerprint,
        } = self.order.pop_front()?;
        // The same object may have been purged again since.
        if self.last_received_at.get(&fingerprint) == Some(&received_at) {
            self.last_received_at.remove(&fingerprint);
        }
        Some(received_at)
    }

    /// Returns the number of purges.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether the index holds no purges.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
