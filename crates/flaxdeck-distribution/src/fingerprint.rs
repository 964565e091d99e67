//! Short hashes that identify objects in purges.

use flaxdeck::ObjectId;
use flaxdeck::hash::mix;

/// Width of a fingerprint in bits. With 3,300 unsettled purges, the object of a request matches one of them by chance
/// in one of 81,000 cases; `docs/distribution.md` compares other widths.
pub const FINGERPRINT_BITS: u32 = 28;

/// A hash of an object's id.
///
/// Equal objects have equal fingerprints, so a purged object is always found. Another object may have the same
/// fingerprint by chance; then its copy is fetched again without need.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u32);

impl Fingerprint {
    /// Returns the upper bits of the hash that all instances use to place objects.
    pub fn of(object: ObjectId) -> Fingerprint {
        Fingerprint((mix(object.0) >> (u64::BITS - FINGERPRINT_BITS)) as u32)
    }
}
