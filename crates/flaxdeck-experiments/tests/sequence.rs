//! Intervals that hold however often one looks: how often they miss, and what they tell.

use flaxdeck_experiments::sequence::{LEAST, Sequence, Verdict};

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Normal};
use rand_pcg::Pcg64Mcg;

/// How often of 400 runs the interval ever misses the true mean within 200 looks.
fn missed(draw: impl Fn(&mut Pcg64Mcg) -> f64, truth: f64) -> f64 {
    let miss = |seed| {
        let (mut chance, mut sequence) = (Pcg64Mcg::seed_from_u64(seed), Sequence::new(0.05));
        (0..200).any(|_| {
            sequence.add(draw(&mut chance));
            sequence
                .interval()
                .is_some_and(|(low, high)| truth < low || truth > high)
        })
    };
    (0..400).filter(|seed| miss(*seed)).count() as f64 / 400.0
}

#[test]
fn it_misses_no_more_often_than_its_level_though_looked_at_after_each_pair() {
    let normal = Normal::new(0.3, 2.0).unwrap();
    let rate = missed(|chance| normal.sample(chance), 0.3);
    assert!(rate <= 0.05, "{rate}");
}

#[test]
fn days_that_tip_now_and_then_leave_it_honest() {
    // One day in five is worse by a lot.
    let tips = |chance: &mut Pcg64Mcg| {
        if chance.random_bool(0.2) {
            -0.4
        } else {
            chance.random_range(-0.02..0.02)
        }
    };
    let rate = missed(tips, -0.08);
    assert!(rate <= 0.06, "{rate}");
}

#[test]
fn a_t_interval_looked_at_after_each_pair_would_not_do() {
    let normal = Normal::new(0.0, 1.0).unwrap();
    let miss = |seed| {
        let (mut chance, mut sequence) = (Pcg64Mcg::seed_from_u64(seed), Sequence::new(0.05));
        (0..200u32).any(|_| {
            sequence.add(normal.sample(&mut chance));
            sequence.count() >= LEAST && sequence.mean().abs() > 1.96 * sequence.standard_error()
        })
    };
    let rate = (0..400).filter(|seed| miss(*seed)).count() as f64 / 400.0;
    assert!(rate > 0.12, "{rate}");
}

#[test]
fn a_clear_effect_is_told_and_a_small_one_counts_as_none() {
    let told = |mean: f64, matters: f64| {
        let (mut chance, mut sequence) = (Pcg64Mcg::seed_from_u64(1), Sequence::new(0.05));
        let normal = Normal::new(mean, 0.02).unwrap();
        (0..300).for_each(|_| sequence.add(normal.sample(&mut chance)));
        sequence.verdict(matters)
    };
    assert_eq!(told(0.05, 0.01), Verdict::Better);
    assert_eq!(told(-0.05, 0.01), Verdict::Worse);
    assert_eq!(told(0.001, 0.01), Verdict::Same);
    assert_eq!(told(0.001, 0.0001), Verdict::NotKnownYet);
}
