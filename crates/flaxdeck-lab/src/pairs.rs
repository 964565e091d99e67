//! Pairs of runs: A and B on the same seed and the same drawn faults, so that what both share cancels out.

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

const OTHERS: &[(&str, Read)] = &[
    ("in time", |out| out.in_time as f64 / out.wants.max(1) as f64),
    ("not lost", |out| 1.0 - out.lost as f64 / out.wants.max(1) as f64),
    ("hits", |out| out.hits as f64 / out.attempts.max(1) as f64),
    ("spared origin", |out| -(out.origin_fills as f64) / out.wants.max(1) as f64),
];

impl Comparison {
    /// The verdict over all by the gain.
    pub fn verdict(&self, matters: f64) -> Verdict {
        self.figures[0].sequence.verdict(matters)
    }
}

/// Plays pairs until the gain's answer is clear, or the budget is out.
pub fn compare(a: &Shape, b: &Shape, limits: &Limits, mut told: impl FnMut(&Comparison)) -> Comparison {
    let begun = Instant::now();
    let kinds: Vec<&str> = limits.kinds.iter().map(String::as_str).collect();
    let count = 1 + kinds.len() + OTHERS.len();
    let level = limits.level / count as f64;
    let figure = |name: &str| Figure { name: name.into(), sequence: Sequence::new(level), means: [0.0; 2] };
    let mut figures = vec![figure("gain")];
    figures.extend(kinds.iter().map(|kind| figure(&format!("gain, {kind}"))));
    figures.extend(OTHERS.iter().map(|(name, _)| figure(name)));
    let mut comparison =
        Comparison { figures, pairs: 0, took: Duration::ZERO, breaches: [0; 2], first_breach: None };
    let batch = (rayon::current_num_threads() as u64).max(4);
    while comparison.pairs < limits.pairs && begun.elapsed() < limits.budget {
        let first = comparison.pairs;
        let played: Vec<(u64, [Outcome; 2])> = (first..(first + batch).min(limits.pairs))
            .into_par_iter()
            .map(|pair| (pair, play(a, b, limits, &kinds, pair)))
            .collect();
        for (pair, outs) in played {
            let kind = (!kinds.is_empty()).then(|| pair as usize % kinds.len());
            let mut add = |at: usize, figures: [f64; 2]| {
                let figure = &mut comparison.figures[at];
                figure.sequence.add(figures[1] - figures[0]);
                let count = figure.sequence.count() as f64;
                (0..2).for_each(|way| figure.means[way] += (figures[way] - figure.means[way]) / count);
            };
            let gains = [outs[0].gain(), outs[1].gain()];
            add(0, gains);
            kind.into_iter().for_each(|kind| add(1 + kind, gains));
            for (at, (_, read)) in OTHERS.iter().enumerate() {
                add(1 + kinds.len() + at, [read(&outs[0]), read(&outs[1])]);
            }
            for (way, out) in outs.iter().enumerate() {
                let Some(verdict) = &out.verdict else { continue };
                comparison.breaches[way] += verdict.breaches.len() as u64;
                if let Some(breach) = verdict.breaches.first() {
                    let kind = kind.map_or("", |kind| kinds[kind]);
                    let what = format!(
                        "{} pair {pair} {kind}: rule {}: {}",
                        ["A", "B"][way],
                        breach.rule,
                        breach.what
                    );
                    comparison.first_breach.get_or_insert(what);
                }
            }
            comparison.pairs += 1;
        }
        comparison.took = begun.elapsed();
        told(&comparison);
        if comparison.verdict(limits.matters) != Verdict::NotKnownYet {
            break;
        }
    }
    comparison
}

fn play(a: &Shape, b: &Shape, limits: &Limits, kinds: &[&str], pair: u64) -> [Outcome; 2] {
    let one = |shape: &Shape, seed: u64| {
        let mut shape = shape.clone();
        if !kinds.is_empty() {
            let mut chance = Pcg64Mcg::seed_from_u64(seed ^ 0xfau64);
            let kind = kinds[pair as usize % kinds.len()];
            shape.faults.extend(faults::draw(kind, shape.zones, shape.day_ms, &mut chance));
        }
        run(&shape, seed)
    };
    let seed = limits.seed.wrapping_add(pair).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    [one(a, seed), one(b, if limits.apart { seed ^ 0x5555_5555 } else { seed })]
}
