//! Paired comparison: scenarios A and B run with the same seed and the same drawn faults, so that the variance that
//! both runs have in common cancels out of their difference.

use std::iter;
use std::time::{Duration, Instant};

use flaxdeck_fleet::{Fault, Outcome, Scenario, run};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rayon::prelude::*;

use crate::confidence::{ConfidenceSequence, Verdict};

/// The minimum number of pairs in a batch. Pairs of a batch run in parallel, and the verdict is checked after each
/// batch.
const MIN_BATCH_PAIRS: u64 = 4;
/// Spreads the seeds of consecutive pairs over all 64 bits: 2^64 divided by the golden ratio.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// XORed into a run's seed for drawing its fault, so that the fault and the run use different random numbers.
const FAULT_SEED_MASK: u64 = 0xfa;
/// XORed into A's seed for B's if the runs of a pair have independent seeds.
const B_SEED_MASK: u64 = 0x5555_5555;

/// What a comparison plays, and when it stops.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The time that all pairs together may take; no batch starts after it.
    pub budget: Duration,
    /// The maximum number of pairs.
    pub max_pairs: u64,
    /// The probability that any interval of any metric ever misses the true mean. Each metric gets an equal part of it
    /// (Bonferroni correction).
    pub error_level: f64,
    /// Differences of the gain up to this size count as no difference.
    pub min_effect: f64,
    /// Kinds of faults that pairs take in turn: each pair gets one drawn fault of its kind, in addition to the faults
    /// of the scenarios.
    pub fault_kinds: Vec<String>,
    /// The seed from which the seeds of the pairs are derived.
    pub seed: u64,
    /// Gives the two runs of a pair independent seeds. Used to check that equal scenarios do not compare as different.
    pub independent_seeds: bool,
}

/// A value for scenario A and one for scenario B.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pair<T> {
    /// The value for A.
    pub a: T,
    /// The value for B.
    pub b: T,
}

/// The result for one metric so far; larger values are better.
#[derive(Clone, Debug)]
pub struct Metric {
    /// The name of the metric.
    pub name: String,
    /// The differences between the runs of each pair, B minus A.
    pub differences: ConfidenceSequence,
    /// The means over all runs of A and of B.
    pub means: Pair<f64>,
}

impl Metric {
    fn new(name: String, error_level: f64) -> Metric {
        Metric {
            name,
            differences: ConfidenceSequence::new(error_level),
            means: Pair::default(),
        }
    }

    /// Adds the values of one pair of runs.
    fn add(&mut self, values: Pair<f64>) {
        self.differences.add(values.b - values.a);
        let count = self.differences.count() as f64;
        self.means.a += (values.a - self.means.a) / count;
        self.means.b += (values.b - self.means.b) / count;
    }
}

/// The results of a comparison so far.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// The gain over all pairs, then the gain for each kind of fault, then the other metrics over all pairs. Larger is
    /// better for each of them.
    pub metrics: Vec<Metric>,
    /// The number of pairs played.
    pub pairs: u64,
    /// The time that the pairs took.
    pub took: Duration,
    /// The number of rule violations in the runs of A and of B.
    pub violations: Pair<u64>,
    /// A description of the first violation, with its pair and kind of fault.
    pub first_violation: Option<String>,
}

/// A metric of an outcome other than the gain.
struct OutcomeMetric {
    name: &'static str,
    value: fn(&Outcome) -> f64,
}

const FURTHER_METRICS: &[OutcomeMetric] = &[
    OutcomeMetric {
        name: "in time",
        value: |outcome| per_operation(outcome, outcome.in_time),
    },
    OutcomeMetric {
        name: "not lost",
        value: |outcome| 1.0 - per_operation(outcome, outcome.lost),
    },
    OutcomeMetric {
        name: "hits",
        value: |outcome| outcome.hits as f64 / outcome.attempts.max(1) as f64,
    },
    OutcomeMetric {
        name: "spared origin",
        value: |outcome| -per_operation(outcome, outcome.origin_fills),
    },
];

fn per_operation(outcome: &Outcome, count: u64) -> f64 {
    count as f64 / outcome.operations.max(1) as f64
}

impl Comparison {
    /// Creates a comparison without pairs. The error level holds for all metrics together, so each metric gets an equal
    /// part of it.
    fn new(limits: &Limits) -> Comparison {
        let by_kind = limits
            .fault_kinds
            .iter()
            .map(|kind| format!("gain, {kind}"));
        let further = FURTHER_METRICS.iter().map(|metric| metric.name.to_owned());
        let gain = iter::once("gain".to_owned());
        let names: Vec<String> = gain.chain(by_kind).chain(further).collect();
        let level = limits.error_level / names.len() as f64;
        let metrics = names.into_iter().map(|name| Metric::new(name, level));
        Comparison {
            metrics: metrics.collect(),
            pairs: 0,
            took: Duration::ZERO,
            violations: Pair::default(),
            first_violation: None,
        }
    }

    /// Returns the verdict by the gain over all pairs; differences up to `min_effect` count as no difference.
    pub fn verdict(&self, min_effect: f64) -> Verdict {
        self.metrics[0].differences.verdict(min_effect)
    }

    fn add(&mut self, pair: u64, outcomes: &Pair<Outcome>, limits: &Limits) {
        let kind = fault_kind(pair, limits);
        let gains = outcomes.map(&Outcome::gain);
        self.metrics[0].add(gains);
        if let Some(kind) = kind {
            self.metrics[1 + kind].add(gains);
        }
        let further = &mut self.metrics[1 + limits.fault_kinds.len()..];
        for (metric, definition) in further.iter_mut().zip(FURTHER_METRICS) {
            metric.add(outcomes.map(&definition.value));
        }
        let kind = kind.map_or("", |kind| &limits.fault_kinds[kind]);
        self.violations.a += violations(&outcomes.a);
        self.violations.b += violations(&outcomes.b);
        self.note_violation(&outcomes.a, &format!("A pair {pair} {kind}"));
        self.note_violation(&outcomes.b, &format!("B pair {pair} {kind}"));
        self.pairs += 1;
    }

    /// Stores the description of a run's first violation, unless an earlier run had one.
    fn note_violation(&mut self, outcome: &Outcome, run: &str) {
        let verdict = outcome.verdict.as_ref();
        let first = verdict.and_then(|verdict| verdict.violations.first());
        if let Some(violation) = first {
            self.first_violation.get_or_insert_with(|| {
                format!("{run}: rule {}: {}", violation.rule, violation.description)
            });
        }
    }
}

fn violations(outcome: &Outcome) -> u64 {
    let verdict = outcome.verdict.as_ref();
    verdict.map_or(0, |verdict| verdict.violations.len() as u64)
}

impl Pair<Outcome> {
    fn map(&self, value: &impl Fn(&Outcome) -> f64) -> Pair<f64> {
        Pair {
            a: value(&self.a),
            b: value(&self.b),
        }
    }
}

/// Returns the index of the fault kind that a pair gets, or `None` if no faults are drawn.
fn fault_kind(pair: u64, limits: &Limits) -> Option<usize> {
    let kinds = limits.fault_kinds.len();
    (kinds > 0).then(|| pair as usize % kinds)
}

/// Plays batches of pairs until there is a verdict on the gain, or the time budget or the number of pairs is exhausted.
/// Calls `progress` with the results so far after each batch.
pub fn compare(
    a: &Scenario,
    b: &Scenario,
    limits: &Limits,
    mut progress: impl FnMut(&Comparison),
) -> Comparison {
    let started = Instant::now();
    let mut comparison = Comparison::new(limits);
    let batch = (rayon::current_num_threads() as u64).max(MIN_BATCH_PAIRS);
    while comparison.pairs < limits.max_pairs && started.elapsed() < limits.budget {
        let first = comparison.pairs;
        let end = (first + batch).min(limits.max_pairs);
        let outcomes: Vec<Pair<Outcome>> = (first..end)
            .into_par_iter()
            .map(|pair| play(a, b, limits, pair))
            .collect();
        for (pair, outcomes) in (first..).zip(&outcomes) {
            comparison.add(pair, outcomes, limits);
        }
        comparison.took = started.elapsed();
        progress(&comparison);
        if comparison.verdict(limits.min_effect) != Verdict::Undecided {
            break;
        }
    }
    comparison
}

/// Plays the runs of a pair, under A and under B.
fn play(a: &Scenario, b: &Scenario, limits: &Limits, pair: u64) -> Pair<Outcome> {
    let seed = limits.seed.wrapping_add(pair).wrapping_mul(SEED_MULTIPLIER);
    let b_seed = if limits.independent_seeds {
        seed ^ B_SEED_MASK
    } else {
        seed
    };
    let kind = fault_kind(pair, limits).map(|kind| limits.fault_kinds[kind].as_str());
    Pair {
        a: play_with_fault(a, kind, seed),
        b: play_with_fault(b, kind, b_seed),
    }
}

fn play_with_fault(scenario: &Scenario, kind: Option<&str>, seed: u64) -> Outcome {
    let mut scenario = scenario.clone();
    if let Some(kind) = kind {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ FAULT_SEED_MASK);
        let fault = Fault::draw(kind, scenario.zones, scenario.duration_ms, &mut rng);
        scenario.faults.extend(fault);
    }
    run(&scenario, seed)
}
