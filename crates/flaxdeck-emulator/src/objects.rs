//! The objects of a world: their sizes and bytes follow from their ids, so that clients can check what they get.

/// KB that a slot at full pace sends in a millisecond.
pub(crate) const KB_PER_MS: f64 = 11.0;
/// The smallest object's KB, ...
const MIN_KB: u64 = 100;
/// ... and how many sizes there are above it.
const SIZES: u64 = 240;
/// Spreads ids over sizes: 2 to the 64th over the golden ratio.
const SIZE_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// How often an object's bytes repeat its id and version.
const REPEATS: usize = 20;

/// KB of an object, which follow from its id: 100 to 339, so 10 to 31 ms of a slot. Its bytes are fewer.
pub(crate) fn size_kb(object: &str) -> u64 {
    let id = u64::from_str_radix(object, 16).unwrap_or(0);
    MIN_KB + id.wrapping_mul(SIZE_MULTIPLIER) % SIZES
}

/// The bytes of an object as it stood at that time: its id and version, over and over.
pub(crate) fn body(object: &str, made_ms: f64) -> Vec<u8> {
    let once = format!("{object} as of {made_ms:.3}. ");
    once.repeat(REPEATS).into_bytes()
}

/// When the copy was made whose bytes these are; none if they are not the object's own throughout.
pub(crate) fn made_ms(object: &str, bytes: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(bytes).ok()?;
    let version = text.strip_prefix(object)?.strip_prefix(" as of ")?;
    let made_ms: f64 = version.split(". ").next()?.parse().ok()?;
    (body(object, made_ms) == bytes).then_some(made_ms)
}
