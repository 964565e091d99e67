//! Cache of encoded updates, so that an update for several subscribers is encoded once.

use std::hash::{Hash, Hasher};

use flaxdeck_recovery::EventPosition;

use crate::messages::{Batch, Snapshot};

/// The maximum number of cached batches.
const MAX_BATCHES: usize = 64;

/// Encoded batches, most recent first, and the snapshot. Its content can always be computed again, so it does not count
/// when publishers are compared or hashed.
#[derive(Clone, Debug, Default)]
pub(super) struct Cache {
    batches: Vec<Batch>,
    pub(super) snapshot: Option<Snapshot>,
}

impl Cache {
    pub(super) fn batch_after(&self, position: EventPosition) -> Option<&Batch> {
        self.batches.iter().find(|batch| batch.after == position)
    }

    pub(super) fn insert(&mut self, batch: Batch) {
        self.batches.truncate(MAX_BATCHES - 1);
        self.batches.insert(0, batch);
    }
}

impl PartialEq for Cache {
    fn eq(&self, _: &Cache) -> bool {
        true
    }
}

impl Eq for Cache {}

impl Hash for Cache {
    fn hash<H: Hasher>(&self, _: &mut H) {}
}
