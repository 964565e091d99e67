//! The coding of purge digests: what goes in comes out, what is damaged is refused or stays within its count, and what
//! a purge costs in bytes.

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

/// Numbers near each other, far apart, repeated, and at both ends.
fn numbers(most: usize) -> impl Strategy<Value = Vec<u32>> {
    let number = prop_oneof![
        any::<u32>(),
        0..40_u32,
        Just(u32::MAX),
        Just(0),
        7_000_000..7_000_100_u32
    ];
    prop::collection::vec(number, 0..most)
}

/// Whatever is decoded is sorted and of exactly the count.
fn is_whole(digest: &PurgeDigest) -> bool {
    digest
        .decode()
        .is_ok_and(|decoded| decoded.len() == digest.count as usize && decoded.is_sorted())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_is_encoded_is_decoded_sorted_and_with_repeats(numbers in numbers(400)) {
        let digest = PurgeDigest::encode(fingerprints(&numbers));
        let mut sorted = fingerprints(&numbers);
        sorted.sort_unstable();
        prop_assert_eq!(digest.decode(), Ok(sorted));
    }

    #[test]
    fn every_truncation_is_refused(numbers in numbers(100)) {
        let digest = PurgeDigest::encode(fingerprints(&numbers));
        for length in 0..digest.bytes.len() {
            let bytes = digest.bytes[..length].to_vec();
            prop_assert!(PurgeDigest { bytes, ..digest.clone() }.decode().is_err(), "{} bytes", length);
        }
    }

    #[test]
    fn every_flipped_bit_is_refused_or_leaves_a_whole_list(numbers in numbers(40)) {
        let digest = PurgeDigest::encode(fingerprints(&numbers));
        for bit in 0..digest.bytes.len() * 8 {
            let mut damaged = digest.clone();
            damaged.bytes[bit / 8] ^= 1 << (bit % 8);
            prop_assert!(damaged.decode().is_err() || is_whole(&damaged), "bit {}", bit);
        }
    }

    #[test]
    fn any_bytes_are_refused_or_a_whole_list(
        count in 0..20_u32,
        low_bits in any::<u8>(),
        bytes in prop::collection::vec(any::<u8>(), 0..64),
    ) {
        let digest = PurgeDigest { count, low_bits, bytes };
        prop_assert!(digest.decode().is_err() || is_whole(&digest));
    }
}

#[test]
fn another_count_than_the_bytes_hold_is_refused() {
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
            "{count}"
        );
    }
}

#[test]
fn each_fault_has_its_name() {
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
    let beyond = PurgeDigest {
        count: 2,
        low_bits: 32,
        bytes: vec![0x7f, 0xff, 0xff, 0xff, 0xbf, 0xff, 0xff, 0xff, 0xc0],
    };
    assert_eq!(beyond.decode(), Err(InvalidDigest::OutOfRange));
    let padded = PurgeDigest {
        count: 1,
        low_bits: 0,
        bytes: vec![0b0000_0001],
    };
    assert_eq!(padded.decode(), Err(InvalidDigest::TrailingBits));
    let none = PurgeDigest {
        count: 0,
        low_bits: 0,
        bytes: vec![0],
    };
    assert_eq!(
        none.decode(),
        Err(InvalidDigest::TooLong { length: 1, most: 0 })
    );
    assert_eq!(PurgeDigest::default().decode(), Ok(Vec::new()));
}

#[test]
fn the_most_purges_fit_and_one_more_does_not() {
    let numbers: Vec<u32> = (0..MAX_PURGES)
        .map(|n| n.wrapping_mul(0x9e37_79b9))
        .collect();
    assert!(is_whole(&PurgeDigest::encode(fingerprints(&numbers))));
    let digest = PurgeDigest::encode(fingerprints(&[&numbers[..], &[7]].concat()));
    assert_eq!(digest.decode(), Err(InvalidDigest::TooMany(MAX_PURGES + 1)));
}

/// A digest of a second at 330 purges a second takes close to 3.2 bytes a purge.
#[test]
fn what_a_purge_costs_is_printed() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    println!("rate a s | batch s | purges | low bits | bytes a purge, digest | in a message");
    for rate in [33, 100, 330] {
        for (interval, part) in [("0.5", 0.5), ("1", 1.0), ("2", 2.0)] {
            let count = (f64::from(rate) * part) as u32;
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
                "{digest} bytes"
            );
        }
    }
}

/// What other widths of a fingerprint would cost: bytes by the digest's own coding of as many upper bits, chance
/// matches by the width and 3,300 unsettled purges.
#[test]
fn widths_of_fingerprints_are_weighed() {
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    println!("bits | bytes a purge at 330 in 1 s | objects a false match, 3,300 unsettled");
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
