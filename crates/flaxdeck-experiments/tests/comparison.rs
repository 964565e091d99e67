//! Comparisons whose true result is known: of equal scenarios, and of one with a harmful change.

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
fn equal_scenarios_have_no_verdict_even_with_independent_seeds() {
    for seed in [1, 1_000, 2_000] {
        let limits = Limits {
            independent_seeds: true,
            seed,
            min_effect: 0.0,
            ..limits(60)
        };
        let comparison = compare(&scenario(), &scenario(), &limits, |_| {});
        let decided = comparison
            .metrics
            .iter()
            .filter(|metric| metric.differences.verdict(0.0) != Verdict::Undecided);
        assert_eq!(
            decided.map(|metric| &metric.name).collect::<Vec<_>>(),
            Vec::<&String>::new(),
            "metrics by which equal scenarios differ, seed {seed}"
        );
    }
}

#[test]
fn a_harmful_change_has_the_verdict_worse() {
    let harmful = Scenario {
        link_kb_per_ms: 12.0,
        ..scenario()
    };
    let comparison = compare(&scenario(), &harmful, &limits(200), |_| {});
    assert_eq!(
        comparison.verdict(0.01),
        Verdict::Worse,
        "gain after the harmful change: {:?}",
        comparison.metrics[0]
    );
    let Pair { a, b } = comparison.metrics[0].means;
    assert!(
        a > b + 0.01,
        "mean gain of A is {a}, of B {b}: expected B lower by more than 0.01"
    );
}

#[test]
fn metrics_do_not_depend_on_the_number_of_threads() {
    let means = |threads: usize| {
        let pool = rayon::ThreadPoolBuilder::new()
            .num_threads(threads)
            .build()
            .unwrap();
        let other = Scenario {
            forwarders_per_zone: 1,
            ..scenario()
        };
        let limits = Limits {
            min_effect: 0.0,
            ..limits(8)
        };
        pool.install(|| compare(&scenario(), &other, &limits, |_| {}).metrics[0].means)
    };
    assert_eq!(means(1), means(8));
}

/// Takes about a minute: `cargo test --release -p flaxdeck-experiments --test comparison -- --ignored --nocapture`.
#[test]
#[ignore = "takes about a minute in release mode"]
fn comparisons_of_equal_scenarios_have_few_false_positives() {
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
        let is_alarm = comparison.metrics.iter().any(|metric| {
            !matches!(
                metric.differences.verdict(0.0),
                Verdict::Undecided | Verdict::Same
            )
        });
        alarms += u32::from(is_alarm);
        covered += u32::from(
            gain.interval()
                .is_some_and(|interval| interval.low <= 0.0 && interval.high >= 0.0),
        );
    }
    println!(
        "false positives: {alarms} of 200; intervals of the gain that cover the true 0: {covered} of 200"
    );
    assert!(
        alarms <= 10 && covered >= 190,
        "{alarms} of 200 false positives (at most 10 allowed), {covered} of 200 intervals cover 0 (at least 190 needed)"
    );
}
