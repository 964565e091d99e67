//! The purges of single objects that a forwarder has to apply: from when each was told until hosts have dropped the
//! copies by themselves.

use std::collections::{HashMap, VecDeque};

use flaxdeck::{ObjectId, Span, Time};

use crate::fingerprint::Fingerprint;

/// Beyond the hosts' time, for clocks that run apart: 2% of half a minute.
const CLOCK_MARGIN: Span = Span::from_ms(600);
/// The most purges kept: ten times 330 a second for over a minute.
const MAX_ENTRIES: usize = 1 << 18;

#[derive(Clone, Copy)]
struct Purge {
    told: Time,
    fingerprint: Fingerprint,
}

/// The unsettled purges by fingerprint.
///
/// A purge counts from when it was told here, which is not before it was made, so it is applied too long and never too
/// short.
pub struct PurgeIndex {
    settles: Span,
    max_entries: usize,
    /// When each was last told.
    last_told: HashMap<Fingerprint, Time>,
    /// All that were told, in order.
    order: VecDeque<Purge>,
    /// When the last one was told that was dropped before it had settled.
    last_dropped: Option<Time>,
}

impl PurgeIndex {
    /// An empty index, for hosts that drop by themselves what was purged `settles` ago.
    pub fn new(settles: Span) -> PurgeIndex {
        PurgeIndex::bounded(settles, MAX_ENTRIES)
    }

    /// One that keeps at most so many purges.
    pub fn bounded(settles: Span, max_entries: usize) -> PurgeIndex {
        PurgeIndex {
            settles: settles + CLOCK_MARGIN,
            max_entries,
            last_told: HashMap::new(),
            order: VecDeque::new(),
            last_dropped: None,
        }
    }

    /// These objects were purged.
    pub fn record(&mut self, now: Time, purged: &[Fingerprint]) {
        self.prune(now);
        for fingerprint in purged {
            self.last_told.insert(*fingerprint, now);
            self.order.push_back(Purge {
                told: now,
                fingerprint: *fingerprint,
            });
        }
        while self.order.len() > self.max_entries {
            self.last_dropped = self.drop_first().or(self.last_dropped);
        }
    }

    /// When the last purge was told that the object matches; none once that has settled. Copies from before it are not to
    /// be served.
    pub fn purged_at(&self, now: Time, object: ObjectId) -> Option<Time> {
        let told = *self.last_told.get(&Fingerprint::of(object))?;
        (now.since(told) <= self.settles).then_some(told)
    }

    /// When the last purge was told that was dropped before it had settled: no copy from before is to be served. None if
    /// none was, or once they have settled.
    pub fn incomplete_before(&self, now: Time) -> Option<Time> {
        self.last_dropped
            .filter(|dropped| now.since(*dropped) <= self.settles)
    }

    /// Forgets what has settled.
    pub fn prune(&mut self, now: Time) {
        while self
            .order
            .front()
            .is_some_and(|purge| now.since(purge.told) > self.settles)
        {
            self.drop_first();
        }
    }

    /// Drops the oldest; gives back when it was told.
    fn drop_first(&mut self) -> Option<Time> {
        let Purge { told, fingerprint } = self.order.pop_front()?;
        // It may have been told again since.
        if self.last_told.get(&fingerprint) == Some(&told) {
            self.last_told.remove(&fingerprint);
        }
        Some(told)
    }

    /// How many purges are kept.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
