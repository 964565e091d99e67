//! The purges of single objects that a forwarder has to heed: from when it was told until hosts have dropped the copies
//! by themselves.

use std::collections::{HashMap, VecDeque};

use flaxdeck::{ObjectId, Span, Time};

use crate::fingerprint::Fingerprint;

/// Beyond the hosts' time, for clocks that run apart: 2% of half a minute.
const MARGIN: Span = Span::from_ms(600);
/// The most purges kept: ten times 330 a second for over a minute.
const MAX_ENTRIES: usize = 1 << 18;

/// The unsettled purges by fingerprint.
///
/// A purge counts from when it was told here, which is not before it was made, so it is heeded too long and never too
/// short.
pub struct PurgeIndex {
    settles: Span,
    entries_most: usize,
    /// When each was last told.
    told: HashMap<Fingerprint, Time>,
    /// All that were told, in order.
    order: VecDeque<(Time, Fingerprint)>,
    /// When the last one was told that was dropped before it had settled.
    dropped: Option<Time>,
}

impl PurgeIndex {
    /// An empty index, for hosts that drop by themselves what was purged `settles` ago.
    pub fn new(settles: Span) -> PurgeIndex {
        PurgeIndex::bounded(settles, MAX_ENTRIES)
    }

    /// One that keeps at most so many purges.
    pub fn bounded(settles: Span, entries_most: usize) -> PurgeIndex {
        let settles = settles + MARGIN;
        PurgeIndex {
            settles,
            entries_most,
            told: HashMap::new(),
            order: VecDeque::new(),
            dropped: None,
        }
    }

    /// These objects were purged.
    pub fn told(&mut self, now: Time, purged: &[Fingerprint]) {
        self.prune(now);
        for fingerprint in purged {
            self.told.insert(*fingerprint, now);
            self.order.push_back((now, *fingerprint));
        }
        while self.order.len() > self.entries_most {
            self.dropped = self.drop_first().or(self.dropped);
        }
    }

    /// When the last purge was told that the object matches; none once that has settled. Copies from before it are not
    /// to be handed out.
    pub fn purged_at(&mut self, now: Time, object: ObjectId) -> Option<Time> {
        let told = *self.told.get(&Fingerprint::of(object))?;
        (now.since(told) <= self.settles).then_some(told)
    }

    /// Purges were dropped before they had settled: all copies from before this moment are in doubt. None once they
    /// have settled.
    pub fn overflowed(&self, now: Time) -> Option<Time> {
        self.dropped
            .filter(|dropped| now.since(*dropped) <= self.settles)
    }

    /// Forgets what has settled.
    pub fn prune(&mut self, now: Time) {
        while self
            .order
            .front()
            .is_some_and(|(told, _)| now.since(*told) > self.settles)
        {
            self.drop_first();
        }
    }

    /// Drops the oldest; gives back when it was told.
    fn drop_first(&mut self) -> Option<Time> {
        let (told, fingerprint) = self.order.pop_front()?;
        // It may have been told again since.
        if self.told.get(&fingerprint) == Some(&told) {
            self.told.remove(&fingerprint);
        }
        Some(told)
    }

    /// Purges kept.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
