//! The objects of a world. Their sizes and bytes are derived from their ids, so that clients can check the answers.

/// The KB that a slot of a warm host sends per millisecond.
pub(crate) const KB_PER_MS: f64 = 11.0;
/// The size of the smallest objects in KB.
const MIN_KB: u64 = 100;
/// The number of different sizes, counted from `MIN_KB` up in steps of 1 KB.
const SIZES: u64 = 240;
/// Multiplier that spreads ids over sizes: 2^64 divided by the golden ratio.
const SIZE_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// How often an object's body repeats its id and version.
const REPEATS: usize = 20;

/// Returns the nominal size of an object in KB, derived from its id: 100 to 339 KB, which take a slot 10 to 31 ms. The
/// body that is actually sent is smaller.
pub(crate) fn size_kb(object: &str) -> u64 {
    let id = u64::from_str_radix(object, 16).unwrap_or(0);
    MIN_KB + id.wrapping_mul(SIZE_MULTIPLIER) % SIZES
}

/// Returns the body of a copy made at `made_ms`: the object's id and that time, repeated.
pub(crate) fn body(object: &str, made_ms: f64) -> Vec<u8> {
    let once = format!("{object} as of {made_ms:.3}. ");
    once.repeat(REPEATS).into_bytes()
}

/// Returns when the copy with this body was made; `None` unless the whole body is that of the object.
pub(crate) fn made_ms(object: &str, bytes: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(bytes).ok()?;
    let version = text.strip_prefix(object)?.strip_prefix(" as of ")?;
    let made_ms: f64 = version.split(". ").next()?.parse().ok()?;
    (body(object, made_ms) == bytes).then_some(made_ms)
}
