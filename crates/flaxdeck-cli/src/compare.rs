//! `flaxdeck compare A B`: plays two scenarios of the fleet in pairs in virtual time and compares their results.

use std::io::IsTerminal;
use std::time::Duration;

use clap::Args;
use flaxdeck_experiments::{Comparison, Interval, Limits, Metric, Verdict};
use flaxdeck_fleet::faults::KINDS;
use serde_json::{Value, json};

use crate::exit::{ExitError, usage_error};
use crate::scenario_files;

/// Arguments of `flaxdeck compare`.
#[derive(Args)]
pub(crate) struct Arguments {
    a: String,
    b: String,
    /// Seconds to spend
    #[arg(long, default_value_t = 60)]
    budget_s: u64,
    /// Pairs at most
    #[arg(long, default_value_t = 10_000)]
    pairs: u64,
    /// The chance that any interval is ever wrong
    #[arg(long, default_value_t = 0.05)]
    level: f64,
    /// Differences up to this don't matter
    #[arg(long, default_value_t = 0.005)]
    matters: f64,
    /// Kinds of faults to draw, one a pair in turn
    #[arg(long, value_delimiter = ',')]
    kinds: Vec<String>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Give A and B seeds of their own, to see what noise alone does
    #[arg(long)]
    apart: bool,
    /// Judge every run by the rules
    #[arg(long)]
    judged: bool,
    /// Print JSON, for programs
    #[arg(long)]
    json: bool,
}

impl Arguments {
    fn limits(&self) -> Result<Limits, ExitError> {
        for kind in &self.kinds {
            if !KINDS.contains(&kind.as_str()) {
                let known = KINDS.join(" ");
                return Err(usage_error(format!(
                    "--kinds: unknown kind of fault {kind:?}, expected one of: {known}"
                )));
            }
        }
        if !(self.level > 0.0 && self.level < 1.0) {
            let level = self.level;
            return Err(usage_error(format!(
                "--level: {level} is not between 0 and 1"
            )));
        }
        Ok(Limits {
            budget: Duration::from_secs(self.budget_s),
            max_pairs: self.pairs,
            error_level: self.level,
            min_effect: self.matters,
            fault_kinds: self.kinds.clone(),
            seed: self.seed,
            independent_seeds: self.apart,
        })
    }
}

fn verdict_text(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Better => "B is better",
        Verdict::Worse => "B is worse",
        Verdict::Same => "no difference that matters",
        Verdict::Undecided => "not known yet",
    }
}

/// Plays pairs until the verdict is clear or a limit is reached, and prints the comparison.
pub(crate) fn run(arguments: &Arguments) -> Result<(), ExitError> {
    let limits = arguments.limits()?;
    let mut a = scenario_files::read(&arguments.a)?;
    let mut b = scenario_files::read(&arguments.b)?;
    a.check_invariants = arguments.judged;
    b.check_invariants = arguments.judged;
    let show_progress = std::io::stderr().is_terminal() && !arguments.json;
    let comparison = flaxdeck_experiments::compare(&a, &b, &limits, |so_far| {
        if show_progress {
            print_progress(so_far);
        }
    });
    if show_progress {
        eprintln!();
    }
    if arguments.json {
        print_json(&comparison, &limits);
    } else {
        print_table(&comparison, &limits);
    }
    if comparison.violations.a == 0 && comparison.violations.b == 0 {
        Ok(())
    } else {
        Err(ExitError::failed(format!(
            "violations of the rules: {} in A, {} in B",
            comparison.violations.a, comparison.violations.b
        )))
    }
}

fn print_progress(comparison: &Comparison) {
    let Interval { low, high } = comparison.metrics[0]
        .differences
        .interval()
        .unwrap_or(Interval {
            low: f64::NAN,
            high: f64::NAN,
        });
    eprint!(
        "\r{} pairs, {:.0} s, gain {low:+.4} to {high:+.4}   ",
        comparison.pairs,
        comparison.took.as_secs_f64()
    );
}

fn print_table(comparison: &Comparison, limits: &Limits) {
    if let Some(violation) = &comparison.first_violation {
        println!(
            "RULES BROKEN: {} in A, {} in B; first: {violation}\n",
            comparison.violations.a, comparison.violations.b
        );
    }
    let seconds = comparison.took.as_secs_f64();
    println!(
        "{} pairs in {seconds:.1} s; all intervals together hold at {:.0} %",
        comparison.pairs,
        100.0 * (1.0 - limits.error_level)
    );
    println!(
        "{:<24} {:>9} {:>9} {:>9}  {:<22} verdict",
        "figure (more is better)", "A", "B", "B - A", "interval"
    );
    for metric in &comparison.metrics {
        print_metric(metric, limits);
    }
}

fn print_metric(metric: &Metric, limits: &Limits) {
    let differences = &metric.differences;
    let interval = match differences.interval() {
        Some(Interval { low, high }) => format!("{low:+.4} to {high:+.4}"),
        None => "too few pairs".into(),
    };
    println!(
        "{:<24} {:>9.4} {:>9.4} {:>+9.4}  {interval:<22} {}",
        metric.name,
        metric.means.a,
        metric.means.b,
        differences.mean(),
        verdict_text(differences.verdict(limits.min_effect))
    );
}

fn metric_json(metric: &Metric, limits: &Limits) -> Value {
    let differences = &metric.differences;
    let interval = differences.interval().map(|ends| [ends.low, ends.high]);
    json!({
        "name": metric.name,
        "a": metric.means.a,
        "b": metric.means.b,
        "difference": differences.mean(),
        "interval": interval,
        "pairs": differences.count(),
        "verdict": verdict_text(differences.verdict(limits.min_effect)),
    })
}

fn print_json(comparison: &Comparison, limits: &Limits) {
    let metrics = comparison.metrics.iter();
    let rows: Vec<Value> = metrics.map(|metric| metric_json(metric, limits)).collect();
    let violations = comparison.violations;
    println!(
        "{}",
        json!({
            "pairs": comparison.pairs,
            "seconds": comparison.took.as_secs_f64(),
            "figures": rows,
            "seed": limits.seed,
            "level": limits.error_level,
            "matters": limits.min_effect,
            "breaches": [violations.a, violations.b],
            "first_breach": comparison.first_violation,
        })
    );
}
