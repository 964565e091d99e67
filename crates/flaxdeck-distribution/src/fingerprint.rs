//! Short names of objects in purges.

use flaxdeck::ObjectId;
use flaxdeck::hash::mix;

/// Bits of a fingerprint. With 3,300 unsettled purges a request's object matches one by chance in one of 81,000 cases;
/// `docs/distribution.md` weighs other widths.
pub const FINGERPRINT_BITS: u32 = 28;

/// A hash of an object's id.
///
/// Equal objects have equal fingerprints, so a purged object is always found; another object may share its fingerprint by
/// chance, and then a copy is fetched anew that need not have been.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u32);

impl Fingerprint {
    /// The upper bits of the hash by which all instances place objects.
    pub fn of(object: ObjectId) -> Fingerprint {
        Fingerprint((mix(object.0) >> (u64::BITS - FINGERPRINT_BITS)) as u32)
    }
}
