//! Confidence sequences: how often the interval misses the true mean when it is checked after every pair, and verdicts.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use flaxdeck_experiments::confidence::{ConfidenceSequence, MIN_PAIRS, Verdict};

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Normal};
use rand_pcg::Pcg64Mcg;

/// Returns the fraction of 400 sequences whose interval misses the true mean in any of 200 checks.
fn miss_rate(draw: impl Fn(&mut Pcg64Mcg) -> f64, true_mean: f64) -> f64 {
    let miss = |seed| {
        let (mut rng, mut sequence) =
            (Pcg64Mcg::seed_from_u64(seed), ConfidenceSequence::new(0.05));
        (0..200).any(|_| {
            sequence.add(draw(&mut rng));
            sequence
                .interval()
                .is_some_and(|interval| true_mean < interval.low || true_mean > interval.high)
        })
    };
    (0..400).filter(|seed| miss(*seed)).count() as f64 / 400.0
}

#[test]
fn the_interval_keeps_its_error_level_when_checked_after_every_pair() {
    let normal = Normal::new(0.3, 2.0).unwrap();
    let rate = miss_rate(|rng| normal.sample(rng), 0.3);
    assert!(rate <= 0.05, "miss rate is {rate}, expected at most 0.05");
}

#[test]
fn the_interval_nearly_keeps_its_error_level_when_one_difference_in_five_is_large() {
    // One difference in five is large.
    let draw = |rng: &mut Pcg64Mcg| {
        if rng.random_bool(0.2) {
            -0.4
        } else {
            rng.random_range(-0.02..0.02)
        }
    };
    let rate = miss_rate(draw, -0.08);
    assert!(rate <= 0.06, "miss rate is {rate}, expected at most 0.06");
}

#[test]
fn a_normal_interval_checked_after_every_pair_exceeds_its_error_level() {
    let normal = Normal::new(0.0, 1.0).unwrap();
    let miss = |seed| {
        let (mut rng, mut sequence) =
            (Pcg64Mcg::seed_from_u64(seed), ConfidenceSequence::new(0.05));
        (0..200u32).any(|_| {
            sequence.add(normal.sample(&mut rng));
            sequence.count() >= MIN_PAIRS
                && sequence.mean().abs() > 1.96 * sequence.standard_error()
        })
    };
    let rate = (0..400).filter(|seed| miss(*seed)).count() as f64 / 400.0;
    assert!(rate > 0.12, "miss rate is {rate}, expected more than 0.12");
}

#[test]
fn a_clear_effect_has_a_verdict_and_a_small_one_counts_as_no_difference() {
    let verdict = |mean: f64, min_effect: f64| {
        let (mut rng, mut sequence) = (Pcg64Mcg::seed_from_u64(1), ConfidenceSequence::new(0.05));
        let normal = Normal::new(mean, 0.02).unwrap();
        for _ in 0..300 {
            sequence.add(normal.sample(&mut rng));
        }
        sequence.verdict(min_effect)
    };
    assert_eq!(verdict(0.05, 0.01), Verdict::Better);
    assert_eq!(verdict(-0.05, 0.01), Verdict::Worse);
    assert_eq!(verdict(0.001, 0.01), Verdict::Same);
    assert_eq!(verdict(0.001, 0.0001), Verdict::Undecided);
}
