//! `flaxdeck check`: prints the faults of a plan or, on request, the lease times that follow from it.

use clap::Args;
use flaxdeck::Span;
use flaxdeck_control::LeaseTerms;
use flaxdeck_plan::{Fault, Plan};
use serde_json::{Value, json};

use crate::exit::{ExitError, file_faults, usage_error};
use crate::files;

/// Arguments of `flaxdeck check`.
#[derive(Args)]
pub(crate) struct Arguments {
    /// The plan
    file: String,
    /// Print what follows from the plan as well
    #[arg(long)]
    explain: bool,
    /// Print JSON, for programs
    #[arg(long)]
    json: bool,
    /// The window of the platform's settings, in milliseconds, for --explain
    #[arg(long, default_value_t = 3000)]
    window_ms: u64,
}

/// Reads a plan and prints its faults.
pub(crate) fn run(arguments: &Arguments) -> Result<(), ExitError> {
    let file = &arguments.file;
    let text = files::read_text(file)?;
    let read = flaxdeck_plan::read(file, &text);
    if arguments.json {
        print_json(read.as_ref().err().map_or(&[], Vec::as_slice));
    }
    let plan = match read {
        Ok(plan) => plan,
        // The JSON on standard output already holds the faults.
        Err(_) if arguments.json => return Err(usage_error("")),
        Err(faults) => return Err(file_faults(&faults)),
    };
    if !arguments.json {
        println!("{file}: good");
    }
    if arguments.explain {
        explain(&plan, arguments.window_ms);
    }
    Ok(())
}

fn print_json(faults: &[Fault]) {
    let row = |fault: &Fault| {
        json!({
            "file": fault.file,
            "line": fault.place.line,
            "column": fault.place.column,
            "what": fault.problem,
            "why": fault.reason,
            "mend": fault.remedy,
        })
    };
    let rows: Vec<Value> = faults.iter().map(row).collect();
    println!("{}", json!({"good": faults.is_empty(), "faults": rows}));
}

/// Prints the lease times that follow from a plan, and how a cold host's capacity is divided.
fn explain(plan: &Plan, window_ms: u64) {
    let lease_terms: LeaseTerms = files::lease_terms(plan, Span::from_ms(window_ms));
    let lines = [
        (
            "a forwarder keeps to what it lent for",
            lease_terms.deposit_duration,
        ),
        (
            "a planner counts on a deposit for",
            lease_terms.deposit_counted_for(),
        ),
        ("a grant may be used for", lease_terms.grant_duration),
        (
            "a planner holds a grant as out for",
            lease_terms.grant_reserved_for(),
        ),
        (
            "a forwarder that starts leaves its share for",
            lease_terms.forwarder_startup_wait(),
        ),
        (
            "a planner that starts leaves its own part for",
            lease_terms.planner_startup_wait(),
        ),
    ];
    println!("with a window of {window_ms} ms:");
    for (label, duration) in lines {
        println!("  {label:<46} {:.0} ms", duration.ms());
    }
    println!(
        "  of a cold host the seats divide {:.2}, planners grant {:.2}",
        1.0 - plan.reserve,
        plan.reserve
    );
}
