//! Intervals that hold however often one looks: how often they miss, and what they say.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use flaxdeck_experiments::confidence::{ConfidenceSequence, MIN_PAIRS, Verdict};

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Normal};
use rand_pcg::Pcg64Mcg;

/// How often of 400 runs the interval ever misses the true mean within 200 looks.
fn missed(draw: impl Fn(&mut Pcg64Mcg) -> f64, truth: f64) -> f64 {
    let miss = |seed| {
        let (mut rng, mut sequence) =
            (Pcg64Mcg::seed_from_u64(seed), ConfidenceSequence::new(0.05));
        (0..200).any(|_| {
            sequence.add(draw(&mut rng));
            sequence
                .interval()
                .is_some_and(|interval| truth < interval.low || truth > interval.high)
        })
    };
    (0..400).filter(|seed| miss(*seed)).count() as f64 / 400.0
}

#[test]
fn it_misses_no_more_often_than_its_level_though_looked_at_after_each_pair() {
    let normal = Normal::new(0.3, 2.0).unwrap();
    let rate = missed(|rng| normal.sample(rng), 0.3);
    assert!(rate <= 0.05, "{rate}");
}

#[test]
fn days_that_tip_now_and_then_leave_it_honest() {
    // One day in five is worse by a lot.
    let tips = |rng: &mut Pcg64Mcg| {
        if rng.random_bool(0.2) {
            -0.4
        } else {
            rng.random_range(-0.02..0.02)
        }
    };
    let rate = missed(tips, -0.08);
    assert!(rate <= 0.06, "{rate}");
}

#[test]
fn a_t_interval_looked_at_after_each_pair_would_not_do() {
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
    assert!(rate > 0.12, "{rate}");
}

#[test]
fn a_clear_effect_is_found_and_a_small_one_counts_as_none() {
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
