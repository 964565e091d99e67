//! `flaxdeck model FILE`: plays one day of a model of the fleet in virtual time and checks it against the rules.

use std::time::Instant;

use flaxdeck_fleet::Outcome;

use crate::exit::ExitError;
use crate::scenario_files;

/// Maximum number of violations that are printed.
const PRINTED_VIOLATIONS: usize = 10;

/// Plays one day and prints its results.
pub(crate) fn run(file: &str, seed: u64) -> Result<(), ExitError> {
    let mut scenario = scenario_files::read(file)?;
    scenario.check_invariants = true;
    let started = Instant::now();
    let outcome = flaxdeck_fleet::run(&scenario, seed);
    let elapsed_s = started.elapsed().as_secs_f64();
    print_outcome(&outcome, elapsed_s);
    let violations = outcome
        .verdict
        .map_or(Vec::new(), |verdict| verdict.violations);
    println!("rules broken: {}", violations.len());
    for violation in violations.iter().take(PRINTED_VIOLATIONS) {
        println!(
            "  rule {} at {:.0} ms: {}",
            violation.rule, violation.at_ms, violation.description
        );
    }
    if violations.is_empty() {
        Ok(())
    } else {
        Err(ExitError::failed(format!(
            "{file}: {} violations of the rules",
            violations.len()
        )))
    }
}

fn print_outcome(outcome: &Outcome, elapsed_s: f64) {
    println!(
        "wants {}, in time {}, late {}, lost {}, gain {:.4}",
        outcome.operations,
        outcome.in_time,
        outcome.late,
        outcome.lost,
        outcome.gain()
    );
    println!(
        "requests {}: served {}, rejected {}, failed {}",
        outcome.requests, outcome.served, outcome.rejected, outcome.failed
    );
    println!(
        "attempts {}, hits {}, fills at parents {}, at the origin {}, hosts fallen over {}",
        outcome.attempts,
        outcome.hits,
        outcome.parent_fills,
        outcome.origin_fills,
        outcome.overloaded_hosts
    );
    println!(
        "{} events in {elapsed_s:.2} s, {:.0} requests a second; digest {:016x}",
        outcome.events,
        outcome.requests as f64 / elapsed_s,
        outcome.digest
    );
}
