//! Encoding of purge digests: round trips, rejection of damaged digests, and the size per purge.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use flaxdeck_distribution::messages::{MAX_PURGES, PurgeDigest};
use flaxdeck_distribution::{Fingerprint, InvalidDigest};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn fingerprints(numbers: &[u32]) -> Vec<Fingerprint> {
    numbers.iter().copied().map(Fingerprint).collect()
}

/// Numbers close together, far apart, repeated, and at both ends of the range.
fn numbers(max_length: usize) -> impl Strategy<Value = Vec<u32>> {
    let number = prop_oneof![
        any::<u32>(),
        0..40_u32,
        Just(u32::MAX),
        Just(0),
        7_000_000..7_000_100_u32
    ];
    prop::collection::vec(number, 0..max_length)
}

/// Returns whether the digest decodes to a sorted list of exactly its count.
fn is_valid_digest(digest: &PurgeDigest) -> bool {
    digest
        .decode()
        .is_ok_and(|decoded| decoded.len() == digest.count as usize && decoded.is_sorted())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn decoding_returns_the_encoded_fingerprints_sorted_with_duplicates(numbers in numbers(400)) {
        let digest = PurgeDigest::encode(fingerprints(&numbers));
        let mut sorted = fingerprints(&numbers);
        sorted.sort_unstable();
        prop_assert_eq!(digest.decode(), Ok(sorted));
    }

    #[test]
    fn every_truncated_digest_is_rejected(numbers in numbers(100)) {
        let digest = PurgeDigest::encode(fingerprints(&numbers));
        for length in 0..digest.bytes.len() {
            let bytes = digest.bytes[..length].to_vec();
            prop_assert!(
                PurgeDigest { bytes, ..digest.clone() }.decode().is_err(),
                "a digest truncated to {} bytes was accepted", length
            );
        }
    }

    #[test]
    fn a_digest_with_a_flipped_bit_is_rejected_or_decodes_to_its_count(numbers in numbers(40)) {
        let digest = PurgeDigest::encode(fingerprints(&numbers));
        for bit in 0..digest.bytes.len() * 8 {
            let mut damaged = digest.clone();
            damaged.bytes[bit / 8] ^= 1 << (bit % 8);
            prop_assert!(
                damaged.decode().is_err() || is_valid_digest(&damaged),
                "with bit {} flipped the digest decodes to another count or unsorted", bit
            );
        }
    }

    #[test]
    fn arbitrary_bytes_are_rejected_or_decode_to_their_count(
        count in 0..20_u32,
        low_bits in any::<u8>(),
        bytes in prop::collection::vec(any::<u8>(), 0..64),
    ) {
        let digest = PurgeDigest { count, low_bits, bytes };
        prop_assert!(digest.decode().is_err() || is_valid_digest(&digest));
    }
}

#[test]
fn a_count_that_does_not_match_the_bytes_is_rejected() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let digest = PurgeDigest::encode((0..330).map(|_| Fingerprint(rng.random())).collect());
    for count in (0..=400).filter(|count| *count != digest.count) {
        assert!(
            PurgeDigest {
                count,
                ..digest.clone()
            }
            .decode()
            .is_err(),
            "count {count} was accepted for a digest of {} fingerprints",
            digest.count
        );
    }
}

#[test]
fn each_malformed_digest_is_rejected_with_its_own_error() {
    let digest = PurgeDigest::encode(fingerprints(&[5, 9, 1 << 30]));
    assert_eq!(digest.decode(), Ok(fingerprints(&[5, 9, 1 << 30])));
    let decoded = |change: &dyn Fn(&mut PurgeDigest)| {
        let mut changed = digest.clone();
        change(&mut changed);
        changed.decode()
    };
    assert_eq!(
        decoded(&|digest| digest.count = MAX_PURGES + 1),
        Err(InvalidDigest::TooMany(MAX_PURGES + 1))
    );
    assert_eq!(
        decoded(&|digest| digest.count = u32::MAX),
        Err(InvalidDigest::TooMany(u32::MAX))
    );
    assert_eq!(
        decoded(&|digest| digest.low_bits = 33),
        Err(InvalidDigest::LowBits(33))
    );
    assert_eq!(
        decoded(&|digest| digest.bytes.truncate(2)),
        Err(InvalidDigest::Truncated)
    );
    assert_eq!(
        decoded(&|digest| digest.bytes.push(0)),
        Err(InvalidDigest::TrailingBits)
    );
    assert_eq!(
        decoded(&|digest| digest.bytes = vec![0; 1 << 20]),
        Err(InvalidDigest::TooLong {
            length: 1 << 20,
            most: 13
        })
    );
    let out_of_range = PurgeDigest {
        count: 2,
        low_bits: 32,
        bytes: vec![0x7f, 0xff, 0xff, 0xff, 0xbf, 0xff, 0xff, 0xff, 0xc0],
    };
    assert_eq!(out_of_range.decode(), Err(InvalidDigest::OutOfRange));
    let padded = PurgeDigest {
        count: 1,
        low_bits: 0,
        bytes: vec![0b0000_0001],
    };
    assert_eq!(padded.decode(), Err(InvalidDigest::TrailingBits));
    let empty = PurgeDigest {
        count: 0,
        low_bits: 0,
        bytes: vec![0],
    };
    assert_eq!(
        empty.decode(),
        Err(InvalidDigest::TooLong { length: 1, most: 0 })
    );
    assert_eq!(PurgeDigest::default().decode(), Ok(Vec::new()));
}

#[test]
fn max_purges_are_accepted_and_one_more_is_rejected() {
    let numbers: Vec<u32> = (0..MAX_PURGES)
        .map(|n| n.wrapping_mul(0x9e37_79b9))
        .collect();
    assert!(is_valid_digest(&PurgeDigest::encode(fingerprints(
        &numbers
    ))));
    let digest = PurgeDigest::encode(fingerprints(&[&numbers[..], &[7]].concat()));
    assert_eq!(digest.decode(), Err(InvalidDigest::TooMany(MAX_PURGES + 1)));
}

/// Prints the bytes per purge. A digest of one second at 330 purges a second takes close to 3.2 bytes per purge.
#[test]
fn bytes_per_purge_stay_within_bounds() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    println!("purges per s | batch s | purges | low bits | bytes per purge, digest | in a message");
    for rate in [33, 100, 330] {
        for (interval, seconds) in [("0.5", 0.5), ("1", 1.0), ("2", 2.0)] {
            let count = (f64::from(rate) * seconds) as u32;
            let mut bytes = [0.0; 2];
            let mut low_bits = 0;
            for _ in 0..100 {
                let digest =
                    PurgeDigest::encode((0..count).map(|_| Fingerprint(rng.random())).collect());
                let message = postcard::to_stdvec(&digest).unwrap().len();
                bytes[0] += digest.bytes.len() as f64 / f64::from(count) / 100.0;
                bytes[1] += message as f64 / f64::from(count) / 100.0;
                low_bits = digest.low_bits;
            }
            let [digest, message] = bytes;
            println!(
                "{rate:8} | {interval:>7} | {count:6} | {low_bits:8} | {digest:21.3} | {message:.3}"
            );
            assert!(
                digest < if rate == 330 { 3.3 } else { 3.9 },
                "{digest} bytes per purge at {rate} purges a second"
            );
        }
    }
}

/// Compares widths of a fingerprint: bytes per purge when only that many upper bits are encoded, and the rate of false
/// matches with 3,300 unsettled purges.
#[test]
fn print_cost_and_false_matches_by_fingerprint_width() {
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    println!("bits | bytes per purge, 330 in 1 s | objects per false match, 3,300 unsettled");
    for bits in [24, 28, 32] {
        let mut bytes = 0.0;
        for _ in 0..100 {
            let numbers = (0..330)
                .map(|_| Fingerprint(rng.random::<u32>() >> (32 - bits)))
                .collect();
            bytes += PurgeDigest::encode(numbers).bytes.len() as f64 / 330.0 / 100.0;
        }
        println!(
            "{bits:4} | {bytes:27.3} | {:.0}",
            f64::from(1 << (bits / 2)).powi(2) / 3_300.0
        );
    }
}
