//! Purges of single objects, which planners send as fingerprints: the decision engine is told of one only once its
//! object is asked for.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use flaxdeck::{ObjectId, Span, Time};
use flaxdeck_distribution::{Fingerprint, PurgeIndex};

/// What is reported is forgotten after so many times as long as a purge takes to settle.
const REMEMBERED_SETTLES: f64 = 2.0;

/// Owns the purges that have not settled, and which of them were reported to the decision engine.
pub(super) struct PurgeTracker {
    index: RefCell<PurgeIndex>,
    /// Objects whose purge was reported, with when it counts as made.
    reported: RefCell<BTreeMap<ObjectId, Time>>,
    /// When the index last dropped purges for want of room, as far as it was noted.
    overflow_noted: Cell<Option<Time>>,
    settles: Span,
}

impl PurgeTracker {
    /// No purge is known; each takes that long to settle.
    pub(super) fn new(settles: Span) -> PurgeTracker {
        PurgeTracker {
            index: RefCell::new(PurgeIndex::new(settles)),
            reported: RefCell::default(),
            overflow_noted: Cell::new(None),
            settles,
        }
    }

    /// These were purged. Gives whether purges had to be dropped for want of room since it was last asked: then copies
    /// of any object are in doubt.
    pub(super) fn add(&self, now: Time, purges: &[Fingerprint]) -> bool {
        let mut index = self.index.borrow_mut();
        index.record(now, purges);
        let overflow = index.incomplete_before(now);
        overflow.is_some() && self.overflow_noted.replace(overflow) != overflow
    }

    /// When the object's purge counts as made, if it has one that was not reported yet; from now on it was.
    pub(super) fn take_unreported(&self, now: Time, object: ObjectId) -> Option<Time> {
        let made = self.index.borrow_mut().purged_at(now, object)?;
        let mut reported = self.reported.borrow_mut();
        if reported.get(&object) == Some(&made) {
            return None;
        }
        let remembered = self.settles * REMEMBERED_SETTLES;
        reported.retain(|_, made| now.since(*made) < remembered);
        reported.insert(object, made);
        Some(made)
    }

    /// Purges that have not settled.
    pub(super) fn unsettled(&self) -> usize {
        self.index.borrow().len()
    }
}
