//! The coding of [`PurgeDigest`]s: sorted fingerprints by their differences, each difference in a Rice code.
//!
//! A difference is split into a quotient and `low_bits` low bits. The quotient is written as that many one bits and a
//! zero bit, the low bits follow as they are. Bits fill each byte from its highest; the last byte is filled up with
//! zero bits.

use crate::fingerprint::Fingerprint;
use crate::messages::{MAX_PURGES, PurgeDigest};

const BYTE_BITS: usize = 8;
/// Low bits of a difference that are written as they are, at most: the width of a fingerprint.
const MAX_LOW_BITS: u8 = 32;

/// Why a digest can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum InvalidDigest {
    /// It claims more fingerprints than a message may hold.
    #[error("it claims {0} fingerprints, where {MAX_PURGES} are allowed")]
    TooMany(u32),
    /// It holds more bytes than its fingerprints can need.
    #[error("its {length} bytes are more than the {most} that its fingerprints can need")]
    TooLong {
        /// Its bytes.
        length: usize,
        /// The most that its fingerprints can need.
        most: usize,
    },
    /// It claims more low bits than a fingerprint has.
    #[error("it claims {0} low bits, where a fingerprint has {MAX_LOW_BITS}")]
    LowBits(u8),
    /// It ends before its last fingerprint does.
    #[error("it ends before its last fingerprint")]
    Truncated,
    /// A fingerprint is beyond the largest.
    #[error("a fingerprint is beyond the largest")]
    OutOfRange,
    /// Something follows its last fingerprint.
    #[error("something follows its last fingerprint")]
    TrailingBits,
}

impl PurgeDigest {
    /// Codes fingerprints, in any order; repeated ones are kept.
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

    /// The fingerprints in it, sorted. Nothing is allocated before the count and the length were found possible.
    ///
    /// # Errors
    ///
    /// [`InvalidDigest`] if it is not what [`encode`](PurgeDigest::encode) can have written.
    pub fn decode(&self) -> Result<Vec<Fingerprint>, InvalidDigest> {
        self.check_sizes()?;
        let mut bits = BitReader {
            bytes: &self.bytes,
            position: 0,
        };
        let mut fingerprints = Vec::with_capacity(self.count as usize);
        let mut last = 0_u32;
        for _ in 0..self.count {
            let difference = read_rice(&mut bits, self.low_bits)?;
            last = last
                .checked_add(difference)
                .ok_or(InvalidDigest::OutOfRange)?;
            fingerprints.push(Fingerprint(last));
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
        let least_bits = count * (1 + usize::from(self.low_bits));
        if self.bytes.len() * BYTE_BITS < least_bits {
            return Err(InvalidDigest::Truncated);
        }
        // With the best number of low bits none needs more than with all bits written as they are.
        let most_bits = count * (1 + usize::from(MAX_LOW_BITS));
        let most = most_bits.div_ceil(BYTE_BITS);
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
    // The quotient is bounded by the bits of the message, so no bit is shifted out.
    let mut difference = quotient;
    for _ in 0..low_bits {
        difference = difference << 1 | u64::from(bits.read()?);
    }
    u32::try_from(difference).map_err(|_| InvalidDigest::OutOfRange)
}

#[derive(Default)]
struct BitWriter {
    bytes: Vec<u8>,
    /// Bits written so far.
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
    /// Bits read so far.
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

    /// What is left is less than a byte, and zero.
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
