//! Comparisons whose true answer is known.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::time::Duration;

use flaxdeck_experiments::{Limits, Pair, Verdict, compare};
use flaxdeck_fleet::Scenario;

fn limits(max_pairs: u64) -> Limits {
    Limits {
        budget: Duration::from_secs(600),
        max_pairs,
        error_level: 0.05,
        min_effect: 0.01,
        fault_kinds: vec!["die".into(), "overload".into()],
        seed: 1,
        independent_seeds: false,
    }
}

fn scenario() -> Scenario {
    Scenario {
        duration_ms: 6_000.0,
        zones: 1,
        caches_per_zone: 3,
        ..Scenario::default()
    }
}

#[test]
fn two_settings_that_are_the_same_are_not_told_apart_even_on_seeds_of_their_own() {
    for seed in [1, 1_000, 2_000] {
        let limits = Limits {
            independent_seeds: true,
            seed,
            min_effect: 0.0,
            ..limits(60)
        };
        let comparison = compare(&scenario(), &scenario(), &limits, |_| {});
        let wrong = comparison
            .metrics
            .iter()
            .filter(|metric| metric.differences.verdict(0.0) != Verdict::Undecided);
        assert_eq!(
            wrong.map(|metric| &metric.name).collect::<Vec<_>>(),
            Vec::<&String>::new()
        );
    }
}

#[test]
fn a_harmful_change_comes_out_worse_and_by_kind() {
    let harmful = Scenario {
        link_kb_per_ms: 12.0,
        ..scenario()
    };
    let comparison = compare(&scenario(), &harmful, &limits(200), |_| {});
    assert_eq!(
        comparison.verdict(0.01),
        Verdict::Worse,
        "{:?}",
        comparison.metrics[0]
    );
    let Pair { a, b } = comparison.metrics[0].means;
    assert!(a > b + 0.01, "{a} {b}");
}

#[test]
fn the_same_comparison_gives_the_same_metrics_whatever_the_cores() {
    let means = |threads: usize| {
        let pool = rayon::ThreadPoolBuilder::new()
            .num_threads(threads)
            .build()
            .unwrap();
        let better = Scenario {
            forwarders_per_zone: 1,
            ..scenario()
        };
        let limits = Limits {
            min_effect: 0.0,
            ..limits(8)
        };
        pool.install(|| compare(&scenario(), &better, &limits, |_| {}).metrics[0].means)
    };
    assert_eq!(means(1), means(8));
}

/// A minute: `cargo test --release -p flaxdeck-experiments --test comparison -- --ignored --nocapture`.
#[test]
#[ignore = "long"]
fn of_two_hundred_comparisons_of_the_same_with_the_same_few_call_a_false_alarm() {
    let (mut alarms, mut covered) = (0, 0);
    for n in 0..200 {
        let limits = Limits {
            independent_seeds: true,
            seed: 10_000 * n,
            min_effect: 0.0,
            ..limits(80)
        };
        let comparison = compare(&scenario(), &scenario(), &limits, |_| {});
        let gain = &comparison.metrics[0].differences;
        let wrong = comparison.metrics.iter().any(|metric| {
            !matches!(
                metric.differences.verdict(0.0),
                Verdict::Undecided | Verdict::Same
            )
        });
        alarms += u32::from(wrong);
        covered += u32::from(
            gain.interval()
                .is_some_and(|interval| interval.low <= 0.0 && interval.high >= 0.0),
        );
    }
    println!(
        "false alarms {alarms} of 200, the gain's interval covers the true zero {covered} of 200 times"
    );
    assert!(alarms <= 10 && covered >= 190, "{alarms} {covered}");
}
