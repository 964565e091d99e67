//! Pairs of runs: A and B on the same seed and the same drawn faults, so that what both share cancels out.

use std::iter;
use std::time::{Duration, Instant};

use flaxdeck_fleet::{Fault, Outcome, Scenario, run};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rayon::prelude::*;

use crate::confidence::{ConfidenceSequence, Verdict};

/// Pairs that are played at once, at least; the verdict is looked at after each such batch.
const MIN_PAIRS_AT_ONCE: u64 = 4;
/// Spreads the pairs' seeds: 2 to the 64th over the golden ratio.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Sets the seeds of a pair's faults apart from those of its runs, ...
const FAULT_SEED_MASK: u64 = 0xfa;
/// ... and independent seeds of B from A's.
const B_SEED_MASK: u64 = 0x5555_5555;

/// When a comparison stops, and what it plays.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The time that pairs may take together.
    pub budget: Duration,
    /// Pairs at most.
    pub max_pairs: u64,
    /// The chance that any of all intervals is ever wrong: divided among the metrics (Bonferroni).
    pub error_level: f64,
    /// Differences of the gain up to this don't matter.
    pub min_effect: f64,
    /// Kinds of faults, one drawn for each pair in turn, beside the scenarios' own.
    pub fault_kinds: Vec<String>,
    /// What the pairs' seeds are drawn from.
    pub seed: u64,
    /// A and B get seeds of their own: what two scenarios that are the same must survive.
    pub independent_seeds: bool,
}

/// What there is of A and of B.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pair<T> {
    /// Of A.
    pub a: T,
    /// Of B.
    pub b: T,
}

/// One metric's answer so far; more of it is better.
#[derive(Clone, Debug)]
pub struct Metric {
    /// What is measured.
    pub name: String,
    /// The differences of B from A.
    pub differences: ConfidenceSequence,
    /// The means of A and B.
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

    /// Adds what A and B had in one pair of runs.
    fn add(&mut self, values: Pair<f64>) {
        self.differences.add(values.b - values.a);
        let count = self.differences.count() as f64;
        self.means.a += (values.a - self.means.a) / count;
        self.means.b += (values.b - self.means.b) / count;
    }
}

/// The answers of a comparison so far.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// The gain over all pairs, then by kind of fault, then other metrics over all; larger is better in each.
    pub metrics: Vec<Metric>,
    /// Pairs played.
    pub pairs: u64,
    /// The time that they took.
    pub took: Duration,
    /// Violations of the rules in A's and B's runs.
    pub violations: Pair<u64>,
    /// The first of them, with its pair and kind of fault.
    pub first_violation: Option<String>,
}

/// A figure of an outcome beside the gain.
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
    /// Before any pair: the gain over all, the gain with each kind of fault, and the other metrics. All of them together
    /// hold at the error level, so each has its part of it.
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

    /// The verdict over all pairs by the gain, where differences up to `min_effect` don't matter.
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

    /// Keeps the first violation of all runs.
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

/// The kind of fault of a pair, by its index; none if no faults are drawn.
fn fault_kind(pair: u64, limits: &Limits) -> Option<usize> {
    let kinds = limits.fault_kinds.len();
    (kinds > 0).then(|| pair as usize % kinds)
}

/// Plays pairs until the gain's answer is clear, or the budget is out. `progress` sees the answers after each batch.
pub fn compare(
    a: &Scenario,
    b: &Scenario,
    limits: &Limits,
    mut progress: impl FnMut(&Comparison),
) -> Comparison {
    let started = Instant::now();
    let mut comparison = Comparison::new(limits);
    let batch = (rayon::current_num_threads() as u64).max(MIN_PAIRS_AT_ONCE);
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

/// The runs of that pair under A and under B.
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
