//! `flaxdeck compare A B` and `flaxdeck model FILE`: shapes of the fleet, played in virtual time.

use std::io::IsTerminal;
use std::time::Instant;

use flaxdeck_experiments::{Comparison, Limits, Verdict};

use crate::{Stop, faulty, shapes};

fn word(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Better => "B is better",
        Verdict::Worse => "B is worse",
        Verdict::Same => "no difference that matters",
        Verdict::NotKnownYet => "not known yet",
    }
}

/// Plays one day and tells what came of it.
pub fn model(file: &str, seed: u64) -> Result<(), Stop> {
    let mut shape = shapes::read(file)?;
    shape.judged = true;
    let begun = Instant::now();
    let out = flaxdeck_fleet::run(&shape, seed);
    let took = begun.elapsed().as_secs_f64();
    println!(
        "wants {}, in time {}, late {}, lost {}, gain {:.4}",
        out.wants,
        out.in_time,
        out.late,
        out.lost,
        out.gain()
    );
    println!(
        "requests {}: served {}, rejected {}, failed {}",
        out.requests, out.served, out.rejected, out.failed
    );
    println!(
        "attempts {}, hits {}, fills at parents {}, at the origin {}, hosts fallen over {}",
        out.attempts, out.hits, out.parent_fills, out.origin_fills, out.fell_over
    );
    println!(
        "{} events in {took:.2} s, {:.0} requests a second; digest {:016x}",
        out.events,
        out.requests as f64 / took,
        out.digest
    );
    let breaches = out.verdict.map_or(Vec::new(), |verdict| verdict.violations);
    println!("rules broken: {}", breaches.len());
    for breach in breaches.iter().take(10) {
        println!(
            "  rule {} at {:.0} ms: {}",
            breach.rule, breach.at_ms, breach.description
        );
    }
    if breaches.is_empty() {
        Ok(())
    } else {
        Err(Stop(1, "a rule was broken".into()))
    }
}

pub struct Asked {
    pub a: String,
    pub b: String,
    pub limits: Limits,
    pub judged: bool,
    pub json: bool,
}

pub fn compare(asked: &Asked) -> Result<(), Stop> {
    for kind in &asked.limits.kinds {
        if !flaxdeck_fleet::faults::KINDS.contains(&kind.as_str()) {
            let known = flaxdeck_fleet::faults::KINDS.join(" ");
            return Err(faulty(format!(
                "--kinds: {kind} is no kind of fault, it is one of: {known}"
            )));
        }
    }
    if !(asked.limits.level > 0.0 && asked.limits.level < 1.0) {
        return Err(faulty(format!(
            "--level: {} is not between 0 and 1",
            asked.limits.level
        )));
    }
    let (mut a, mut b) = (shapes::read(&asked.a)?, shapes::read(&asked.b)?);
    (a.judged, b.judged) = (asked.judged, asked.judged);
    let shown = std::io::stderr().is_terminal() && !asked.json;
    let comparison = flaxdeck_experiments::compare(&a, &b, &asked.limits, |so_far| {
        if shown {
            let (low, high) = so_far.figures[0]
                .sequence
                .interval()
                .unwrap_or((f64::NAN, f64::NAN));
            eprint!(
                "\r{} pairs, {:.0} s, gain {low:+.4} to {high:+.4}   ",
                so_far.pairs,
                so_far.took.as_secs_f64()
            );
        }
    });
    if shown {
        eprintln!();
    }
    if asked.json {
        print_json(&comparison, asked)
    } else {
        print_table(&comparison, asked)
    }
    if comparison.breaches == [0, 0] {
        Ok(())
    } else {
        Err(Stop(1, "a rule was broken".into()))
    }
}

fn print_table(comparison: &Comparison, asked: &Asked) {
    if let Some(breach) = &comparison.first_breach {
        println!(
            "RULES BROKEN: {} in A, {} in B; first: {breach}\n",
            comparison.breaches[0], comparison.breaches[1]
        );
    }
    let seconds = comparison.took.as_secs_f64();
    println!(
        "{} pairs in {seconds:.1} s; all intervals together hold at {:.0} %",
        comparison.pairs,
        100.0 * (1.0 - asked.limits.level)
    );
    println!(
        "{:<24} {:>9} {:>9} {:>9}  {:<22} verdict",
        "figure (more is better)", "A", "B", "B - A", "interval"
    );
    for figure in &comparison.figures {
        let sequence = &figure.sequence;
        let interval = sequence
            .interval()
            .map_or("too few pairs".into(), |(low, high)| {
                format!("{low:+.4} to {high:+.4}")
            });
        let [a, b] = figure.means;
        let verdict = word(sequence.verdict(asked.limits.matters));
        println!(
            "{:<24} {a:>9.4} {b:>9.4} {:>+9.4}  {interval:<22} {verdict}",
            figure.name,
            sequence.mean()
        );
    }
}

fn print_json(comparison: &Comparison, asked: &Asked) {
    let row = |figure: &flaxdeck_experiments::Figure| {
        let sequence = &figure.sequence;
        let interval = sequence.interval().map(|(low, high)| [low, high]);
        serde_json::json!({"name": figure.name, "a": figure.means[0], "b": figure.means[1],
            "difference": sequence.mean(), "interval": interval, "pairs": sequence.count(),
            "verdict": word(sequence.verdict(asked.limits.matters))})
    };
    let rows: Vec<_> = comparison.figures.iter().map(row).collect();
    println!(
        "{}",
        serde_json::json!({"pairs": comparison.pairs, "seconds": comparison.took.as_secs_f64(), "figures": rows,
            "seed": asked.limits.seed, "level": asked.limits.level, "matters": asked.limits.matters,
            "breaches": comparison.breaches, "first_breach": comparison.first_breach})
    );
}
