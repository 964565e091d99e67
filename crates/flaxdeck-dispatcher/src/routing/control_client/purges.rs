//! Tracks purges of single objects, which planners send as fingerprints. A purge is reported to the decision engine
//! only when its object is requested.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use flaxdeck::{ObjectId, Span, Time};
use flaxdeck_distribution::{Fingerprint, PurgeIndex};

/// A reported purge is forgotten after this many times the span that a purge takes to settle.
const REPORTED_RETENTION_FACTOR: f64 = 2.0;

/// Owns the unsettled purges, and the set of those reported to the decision engine.
pub(super) struct PurgeTracker {
    index: RefCell<PurgeIndex>,
    /// Objects whose purge was reported, with the time from which it counts.
    reported: RefCell<BTreeMap<ObjectId, Time>>,
    /// The last value of [`PurgeIndex::incomplete_before`] for which `add` returned true.
    last_overflow: Cell<Option<Time>>,
    settles: Span,
}

impl PurgeTracker {
    /// Creates a tracker without purges; each takes `settles` to settle.
    pub(super) fn new(settles: Span) -> PurgeTracker {
        PurgeTracker {
            index: RefCell::new(PurgeIndex::new(settles)),
            reported: RefCell::default(),
            last_overflow: Cell::new(None),
            settles,
        }
    }

    /// Records purges. Returns whether unsettled purges have been dropped since the last call because the index is
    /// full: then a copy of any object may be purged.
    pub(super) fn add(&self, now: Time, purges: &[Fingerprint]) -> bool {
        let mut index = self.index.borrow_mut();
        index.record(now, purges);
        let overflow = index.incomplete_before(now);
        overflow.is_some() && self.last_overflow.replace(overflow) != overflow
    }

    /// Returns the time from which the object's purge counts, if it has one that was not reported yet, and marks it as
    /// reported.
    pub(super) fn take_unreported(&self, now: Time, object: ObjectId) -> Option<Time> {
        let made = self.index.borrow_mut().purged_at(now, object)?;
        let mut reported = self.reported.borrow_mut();
        if reported.get(&object) == Some(&made) {
            return None;
        }
        let remembered = self.settles * REPORTED_RETENTION_FACTOR;
        reported.retain(|_, made| now.since(*made) < remembered);
        reported.insert(object, made);
        Some(made)
    }

    /// Returns the number of unsettled purges.
    pub(super) fn unsettled(&self) -> usize {
        self.index.borrow().len()
    }
}
