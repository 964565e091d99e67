//! Pairs of runs: A and B on the same seed and the same drawn faults, so that what both share cancels out.

use std::iter;
use std::time::{Duration, Instant};

use flaxdeck_fleet::faults;
use flaxdeck_fleet::{Outcome, Shape, run};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rayon::prelude::*;

use crate::sequence::{Sequence, Verdict};

/// When to stop.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The time that pairs may take together.
    pub budget: Duration,
    /// Pairs at most.
    pub pairs: u64,
    /// The chance that any of all intervals is ever wrong: divided among the figures and kinds (Bonferroni).
    pub level: f64,
    /// Differences of the gain up to this don't matter.
    pub matters: f64,
    /// Kinds of faults, one drawn for each pair in turn, beside the shapes' own.
    pub kinds: Vec<String>,
    /// From which the pairs' seeds are drawn.
    pub seed: u64,
    /// A and B get seeds of their own: what two settings that are the same must survive.
    pub apart: bool,
}

/// One figure's answer.
#[derive(Clone, Debug)]
pub struct Figure {
    /// What it is a figure of.
    pub name: String,
    /// The differences of B from A.
    pub sequence: Sequence,
    /// The means of A and B.
    pub means: [f64; 2],
}

/// The answers of a comparison so far.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// The gain over all, then by kind, then other figures over all; larger is better in each.
    pub figures: Vec<Figure>,
    /// Pairs played.
    pub pairs: u64,
    /// The time that they took.
    pub took: Duration,
    /// Breaches of rules in A's and B's runs.
    pub breaches: [u64; 2],
    /// The first of them, with its pair and kind of fault.
    pub first_breach: Option<String>,
}

type Read = fn(&Outcome) -> f64;

/// Pairs that are played at once, at least; the verdict is looked at after each such batch.
const PAIRS_AT_ONCE: u64 = 4;

const OTHERS: &[(&str, Read)] = &[
    ("in time", |out| {
        out.in_time as f64 / out.wants.max(1) as f64
    }),
    ("not lost", |out| {
        1.0 - out.lost as f64 / out.wants.max(1) as f64
    }),
    ("hits", |out| out.hits as f64 / out.attempts.max(1) as f64),
    ("spared origin", |out| {
        -(out.origin_fills as f64) / out.wants.max(1) as f64
    }),
];

impl Figure {
    fn new(name: String, level: f64) -> Figure {
        Figure {
            name,
            sequence: Sequence::new(level),
            means: [0.0; 2],
        }
    }

    /// Adds what A and B had on one pair of days.
    fn add(&mut self, pair: [f64; 2]) {
        self.sequence.add(pair[1] - pair[0]);
        let count = self.sequence.count() as f64;
        for (mean, value) in self.means.iter_mut().zip(pair) {
            *mean += (value - *mean) / count;
        }
    }
}

impl Comparison {
    /// Before any pair: the gain over all, the gain of each kind of day, and the other figures. All of them together
    /// hold at the level, so each has its part of it.
    fn begin(limits: &Limits) -> Comparison {
        let kinds = limits.kinds.iter().map(|kind| format!("gain, {kind}"));
        let others = OTHERS.iter().map(|(name, _)| (*name).to_owned());
        let names: Vec<String> = iter::once("gain".to_owned())
            .chain(kinds)
            .chain(others)
            .collect();
        let level = limits.level / names.len() as f64;
        let figures = names
            .into_iter()
            .map(|name| Figure::new(name, level))
            .collect();
        Comparison {
            figures,
            pairs: 0,
            took: Duration::ZERO,
            breaches: [0; 2],
            first_breach: None,
        }
    }

    /// The verdict over all by the gain.
    pub fn verdict(&self, matters: f64) -> Verdict {
        self.figures[0].sequence.verdict(matters)
    }

    fn add(&mut self, pair: u64, outcomes: &[Outcome; 2], kinds: &[String]) {
        let kind = kind_of(pair, kinds);
        let both = |read: &dyn Fn(&Outcome) -> f64| [read(&outcomes[0]), read(&outcomes[1])];
        let gains = both(&Outcome::gain);
        self.figures[0].add(gains);
        if let Some(kind) = kind {
            self.figures[1 + kind].add(gains);
        }
        let others = &mut self.figures[1 + kinds.len()..];
        for (figure, (_, read)) in others.iter_mut().zip(OTHERS) {
            figure.add(both(read));
        }
        let kind = kind.map_or("", |kind| &kinds[kind]);
        for (way, outcome) in outcomes.iter().enumerate() {
            self.add_breaches(
                way,
                outcome,
                &format!("{} pair {pair} {kind}", ["A", "B"][way]),
            );
        }
        self.pairs += 1;
    }

    fn add_breaches(&mut self, way: usize, outcome: &Outcome, day: &str) {
        let Some(verdict) = &outcome.verdict else {
            return;
        };
        self.breaches[way] += verdict.violations.len() as u64;
        if let Some(breach) = verdict.violations.first() {
            let told = || format!("{day}: rule {}: {}", breach.rule, breach.description);
            self.first_breach.get_or_insert_with(told);
        }
    }
}

/// The kind of day of a pair, by its place; none if days are not of kinds.
fn kind_of(pair: u64, kinds: &[String]) -> Option<usize> {
    (!kinds.is_empty()).then(|| pair as usize % kinds.len())
}

/// Plays pairs until the gain's answer is clear, or the budget is out.
pub fn compare(
    a: &Shape,
    b: &Shape,
    limits: &Limits,
    mut told: impl FnMut(&Comparison),
) -> Comparison {
    let begun = Instant::now();
    let mut comparison = Comparison::begin(limits);
    let batch = (rayon::current_num_threads() as u64).max(PAIRS_AT_ONCE);
    while comparison.pairs < limits.pairs && begun.elapsed() < limits.budget {
        let first = comparison.pairs;
        let pairs = (first..(first + batch).min(limits.pairs)).into_par_iter();
        let played: Vec<(u64, [Outcome; 2])> =
            pairs.map(|pair| (pair, play(a, b, limits, pair))).collect();
        for (pair, outcomes) in &played {
            comparison.add(*pair, outcomes, &limits.kinds);
        }
        comparison.took = begun.elapsed();
        told(&comparison);
        if comparison.verdict(limits.matters) != Verdict::NotKnownYet {
            break;
        }
    }
    comparison
}

/// The day of that pair under A and under B.
fn play(a: &Shape, b: &Shape, limits: &Limits, pair: u64) -> [Outcome; 2] {
    let one = |shape: &Shape, seed: u64| {
        let mut shape = shape.clone();
        if let Some(kind) = kind_of(pair, &limits.kinds) {
            let mut chance = Pcg64Mcg::seed_from_u64(seed ^ 0xfau64);
            let kind = &limits.kinds[kind];
            shape
                .faults
                .extend(faults::draw(kind, shape.zones, shape.day_ms, &mut chance));
        }
        run(&shape, seed)
    };
    let seed = limits
        .seed
        .wrapping_add(pair)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    [
        one(a, seed),
        one(
            b,
            if limits.apart {
                seed ^ 0x5555_5555
            } else {
                seed
            },
        ),
    ]
}
