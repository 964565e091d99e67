//! The hash functions of rendezvous hashing, by which all dispatchers order hosts and all forwarders order planners in
//! the same way.

/// Mixes the bits of a number (the finalizer of SplitMix64).
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58476d1ce4e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d049bb133111eb);
    x ^ (x >> 31)
}

/// Returns the hash of a name with a seed (FNV-1a).
pub fn of_name(name: &str, seed: u64) -> u64 {
    name.bytes().fold(0xcbf29ce484222325 ^ seed, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100000001b3)
    })
}
