//! Answers of comparisons whose truth is known.

use std::time::Duration;

use flaxdeck_experiments::{Limits, Verdict, compare};
use flaxdeck_fleet::Shape;

fn limits(pairs: u64) -> Limits {
    Limits {
        budget: Duration::from_secs(600),
        pairs,
        level: 0.05,
        matters: 0.01,
        kinds: vec!["die".into(), "overload".into()],
        seed: 1,
        apart: false,
    }
}

fn shape() -> Shape {
    Shape {
        day_ms: 6_000.0,
        zones: 1,
        caches: 3,
        ..Shape::default()
    }
}

#[test]
fn two_settings_that_are_the_same_are_not_told_apart_even_on_seeds_of_their_own() {
    for seed in [1, 1_000, 2_000] {
        let limits = Limits {
            apart: true,
            seed,
            matters: 0.0,
            ..limits(60)
        };
        let comparison = compare(&shape(), &shape(), &limits, |_| {});
        let wrong = comparison
            .figures
            .iter()
            .filter(|figure| figure.sequence.verdict(0.0) != Verdict::NotKnownYet);
        assert_eq!(
            wrong.map(|figure| &figure.name).collect::<Vec<_>>(),
            Vec::<&String>::new()
        );
    }
}

#[test]
fn a_harmful_change_comes_out_worse_and_by_kind() {
    let harmful = Shape {
        link_pace: 12.0,
        ..shape()
    };
    let comparison = compare(&shape(), &harmful, &limits(200), |_| {});
    assert_eq!(
        comparison.verdict(0.01),
        Verdict::Worse,
        "{:?}",
        comparison.figures[0]
    );
    let [a, b] = comparison.figures[0].means;
    assert!(a > b + 0.01, "{a} {b}");
}

#[test]
fn the_same_comparison_gives_the_same_figures_whatever_the_cores() {
    let means = |threads: usize| {
        let pool = rayon::ThreadPoolBuilder::new()
            .num_threads(threads)
            .build()
            .unwrap();
        let better = Shape {
            forwarders: 1,
            ..shape()
        };
        let limits = Limits {
            matters: 0.0,
            ..limits(8)
        };
        pool.install(|| compare(&shape(), &better, &limits, |_| {}).figures[0].means)
    };
    assert_eq!(means(1), means(8));
}

/// A minute: `cargo test --release -p flaxdeck-experiments --test answers -- --ignored --nocapture`.
#[test]
#[ignore = "long"]
fn of_two_hundred_comparisons_of_the_same_with_the_same_few_call_a_false_alarm() {
    let (mut alarms, mut covered) = (0, 0);
    for n in 0..200 {
        let limits = Limits {
            apart: true,
            seed: 10_000 * n,
            matters: 0.0,
            ..limits(80)
        };
        let comparison = compare(&shape(), &shape(), &limits, |_| {});
        let gain = &comparison.figures[0].sequence;
        let wrong = comparison.figures.iter().any(|figure| {
            !matches!(
                figure.sequence.verdict(0.0),
                Verdict::NotKnownYet | Verdict::Same
            )
        });
        alarms += u32::from(wrong);
        covered += u32::from(
            gain.interval()
                .is_some_and(|(low, high)| low <= 0.0 && high >= 0.0),
        );
    }
    println!(
        "false alarms {alarms} of 200, the gain's interval covers the true zero {covered} of 200 times"
    );
    assert!(alarms <= 10 && covered >= 190, "{alarms} {covered}");
}
