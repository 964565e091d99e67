//! The encoding of [`PurgeDigest`]s: sorted fingerprints as differences between neighbours, each difference in a Rice
//! code.
//!
//! A difference is split into a quotient and `low_bits` low bits. The quotient is written in unary, as that many one
//! bits and a zero bit; the low bits follow unencoded. Each byte is filled from its most significant bit; the last byte
//! is padded with zero bits.

use crate::fingerprint::Fingerprint;
use crate::messages::{MAX_PURGES, PurgeDigest};

const BYTE_BITS: usize = 8;
/// The maximum number of unencoded low bits of a difference: the width of a fingerprint's integer.
const MAX_LOW_BITS: u8 = 32;

/// The reason why a digest cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum InvalidDigest {
    /// The count exceeds the maximum for one message.
    #[error("the purge digest has a count of {0} fingerprints, at most {MAX_PURGES} are allowed")]
    TooMany(u32),
    /// The bytes are more than that number of fingerprints can need.
    #[error(
        "the purge digest is {length} bytes long, its count of fingerprints needs at most {most}"
    )]
    TooLong {
        /// The length of the digest in bytes.
        length: usize,
        /// The maximum length for its count of fingerprints, in bytes.
        most: usize,
    },
    /// The Rice parameter exceeds the width of a fingerprint.
    #[error(
        "the purge digest has a Rice parameter of {0} bits, at most {MAX_LOW_BITS} are allowed"
    )]
    LowBits(u8),
    /// The bytes end before the last fingerprint is complete.
    #[error("the purge digest ends before its last fingerprint is complete")]
    Truncated,
    /// The sum of the differences exceeds the largest fingerprint.
    #[error("the purge digest contains a fingerprint that does not fit in 32 bits")]
    OutOfRange,
    /// A whole byte or a one bit follows the last fingerprint.
    #[error("the purge digest has data after its last fingerprint")]
    TrailingBits,
}

impl PurgeDigest {
    /// Encodes fingerprints given in any order; duplicates are preserved.
    pub fn encode(mut fingerprints: Vec<Fingerprint>) -> PurgeDigest {
        fingerprints.sort_unstable();
        let low_bits = best_low_bits(&fingerprints);
        let mut bits = BitWriter::default();
        for difference in differences(&fingerprints) {
            write_rice(&mut bits, difference, low_bits);
        }
        PurgeDigest {
            count: fingerprints.len() as u32,
            low_bits,
            bytes: bits.bytes,
        }
    }

    /// Returns the fingerprints, sorted. Memory is allocated only after the count and the length have been checked.
    ///
    /// # Errors
    ///
    /// [`InvalidDigest`] if the sizes are not possible for an [`encode`](PurgeDigest::encode)d digest, or the bytes are
    /// not exactly that many fingerprints.
    pub fn decode(&self) -> Result<Vec<Fingerprint>, InvalidDigest> {
        self.check_sizes()?;
        let mut bits = BitReader {
            bytes: &self.bytes,
            position: 0,
        };
        let mut fingerprints = Vec::with_capacity(self.count as usize);
        let mut previous = 0_u32;
        for _ in 0..self.count {
            let difference = read_rice(&mut bits, self.low_bits)?;
            previous = previous
                .checked_add(difference)
                .ok_or(InvalidDigest::OutOfRange)?;
            fingerprints.push(Fingerprint(previous));
        }
        bits.check_padding()?;
        Ok(fingerprints)
    }

    fn check_sizes(&self) -> Result<(), InvalidDigest> {
        if self.count > MAX_PURGES {
            return Err(InvalidDigest::TooMany(self.count));
        }
        if self.low_bits > MAX_LOW_BITS {
            return Err(InvalidDigest::LowBits(self.low_bits));
        }
        let count = self.count as usize;
        let min_bits = count * (1 + usize::from(self.low_bits));
        if self.bytes.len() * BYTE_BITS < min_bits {
            return Err(InvalidDigest::Truncated);
        }
        // The encoder chooses the shortest code, which is never longer than the one with all 32 bits unencoded.
        let max_bits = count * (1 + usize::from(MAX_LOW_BITS));
        let most = max_bits.div_ceil(BYTE_BITS);
        if self.bytes.len() > most {
            return Err(InvalidDigest::TooLong {
                length: self.bytes.len(),
                most,
            });
        }
        Ok(())
    }
}

fn differences(sorted: &[Fingerprint]) -> impl Iterator<Item = u32> {
    let before = std::iter::once(0).chain(sorted.iter().map(|fingerprint| fingerprint.0));
    sorted
        .iter()
        .zip(before)
        .map(|(fingerprint, before)| fingerprint.0 - before)
}

fn best_low_bits(sorted: &[Fingerprint]) -> u8 {
    if sorted.is_empty() {
        return 0;
    }
    let code_bits = |low_bits: u8| -> u64 {
        let quotients: u64 = differences(sorted)
            .map(|difference| u64::from(difference) >> low_bits)
            .sum();
        quotients + sorted.len() as u64 * (1 + u64::from(low_bits))
    };
    (0..=MAX_LOW_BITS)
        .min_by_key(|low_bits| code_bits(*low_bits))
        .unwrap_or(MAX_LOW_BITS)
}

fn write_rice(bits: &mut BitWriter, difference: u32, low_bits: u8) {
    let difference = u64::from(difference);
    for _ in 0..difference >> low_bits {
        bits.write(true);
    }
    bits.write(false);
    for bit in (0..low_bits).rev() {
        bits.write(difference >> bit & 1 == 1);
    }
}

fn read_rice(bits: &mut BitReader, low_bits: u8) -> Result<u32, InvalidDigest> {
    let mut quotient = 0_u64;
    while bits.read()? {
        quotient += 1;
    }
    // The message's length bounds the quotient, so no significant bit is shifted out.
    let mut difference = quotient;
    for _ in 0..low_bits {
        difference = difference << 1 | u64::from(bits.read()?);
    }
    u32::try_from(difference).map_err(|_| InvalidDigest::OutOfRange)
}

#[derive(Default)]
struct BitWriter {
    bytes: Vec<u8>,
    /// Number of bits written so far.
    length: usize,
}

impl BitWriter {
    fn write(&mut self, bit: bool) {
        if self.length.is_multiple_of(BYTE_BITS) {
            self.bytes.push(0);
        }
        if bit {
            let last = self.bytes.len() - 1;
            self.bytes[last] |= 0x80 >> (self.length % BYTE_BITS);
        }
        self.length += 1;
    }
}

struct BitReader<'a> {
    bytes: &'a [u8],
    /// Number of bits read so far.
    position: usize,
}

impl BitReader<'_> {
    fn read(&mut self) -> Result<bool, InvalidDigest> {
        let byte = self
            .bytes
            .get(self.position / BYTE_BITS)
            .ok_or(InvalidDigest::Truncated)?;
        let bit = byte & (0x80 >> (self.position % BYTE_BITS)) != 0;
        self.position += 1;
        Ok(bit)
    }

    /// Checks that less than one byte remains and that all remaining bits are zero.
    fn check_padding(mut self) -> Result<(), InvalidDigest> {
        let left = self.bytes.len() * BYTE_BITS - self.position;
        if left >= BYTE_BITS {
            return Err(InvalidDigest::TrailingBits);
        }
        for _ in 0..left {
            if self.read()? {
                return Err(InvalidDigest::TrailingBits);
            }
        }
        Ok(())
    }
}
