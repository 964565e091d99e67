//! `flaxdeck state`: prints what a forwarder's state folder holds, and which parts of it would be trusted by a
//! forwarder that starts now.

use std::path::Path;

use flaxdeck::Span;
use flaxdeck_net::clock::since_boot;
use flaxdeck_recovery::EventPosition;
use flaxdeck_recovery::restored_state::{self, CurrentFacts, Verdict};
use flaxdeck_recovery::stored_state::{StoredState, Uptime};
use flaxdeck_store::{Folder, inspect};
use serde_json::{Value, json};

use crate::exit::{ExitError, usage_error};

/// The content of a state folder, and how valid it is.
struct Inspection {
    instance: String,
    generation: u64,
    /// Number of records after the snapshot.
    records: usize,
    damage: Option<String>,
    stored: Stored,
    /// For each part of the stored state, whether it is valid now and why.
    verdicts: Vec<Verdict>,
}

enum Stored {
    Empty,
    OtherVersion,
    State(StoredState),
}

/// Reads a state folder, validates the stored state and prints the verdicts.
pub(crate) fn run(folder: &str, as_json: bool) -> Result<(), ExitError> {
    let inspection = inspect_folder(folder)?;
    if as_json {
        print_json(&inspection);
    } else if let Stored::State(_) = inspection.stored {
        print_text(&inspection);
    }
    match (inspection.damage, inspection.stored) {
        (Some(damage), _) => Err(ExitError::failed(format!(
            "{folder}: the stored state is damaged: {damage}"
        ))),
        (None, Stored::Empty) => Err(ExitError::failed(format!(
            "{folder}: the folder holds no snapshot of a forwarder's state"
        ))),
        (None, Stored::OtherVersion) => Err(ExitError::failed(format!(
            "{folder}: the stored state has a format that this version of flaxdeck does not read"
        ))),
        (None, Stored::State(_)) => Ok(()),
    }
}

fn inspect_folder(folder: &str) -> Result<Inspection, ExitError> {
    if !Path::new(folder).is_dir() {
        return Err(usage_error(format!(
            "{folder}: no folder exists at this path"
        )));
    }
    let mut disk = Folder::open(Path::new(folder))
        .map_err(|error| usage_error(format!("{folder}: {error}")))?;
    let contents = inspect(&mut disk);
    let stored = match &contents.snapshot {
        None => Stored::Empty,
        Some(snapshot) => match StoredState::read(snapshot, &contents.records) {
            Ok(state) => Stored::State(state),
            Err(_) => Stored::OtherVersion,
        },
    };
    let verdicts = match &stored {
        Stored::State(state) => restored_state::validate(state.clone(), current_facts()).verdicts,
        Stored::Empty | Stored::OtherVersion => Vec::new(),
    };
    Ok(Inspection {
        instance: contents.instance.to_string(),
        generation: contents.generation,
        records: contents.records.len(),
        damage: contents.damage.as_ref().map(ToString::to_string),
        stored,
        verdicts,
    })
}

/// Returns the facts that stored state is validated against: this machine's uptime, and no configuration.
fn current_facts() -> CurrentFacts {
    let uptime = since_boot();
    CurrentFacts {
        uptime: Uptime {
            boot: uptime.boot_id,
            ms: uptime.ms,
        },
        configured_event: EventPosition::NONE,
        startup_wait: Span::ZERO,
    }
}

fn print_json(inspection: &Inspection) {
    let row = |verdict: &Verdict| json!({"item": verdict.item, "believed": verdict.is_valid, "why": verdict.reason});
    let judged: Vec<Value> = inspection.verdicts.iter().map(row).collect();
    let (event, hosts) = match &inspection.stored {
        Stored::State(state) => (state.last_event.number, state.endpoints.len()),
        Stored::Empty | Stored::OtherVersion => (0, 0),
    };
    println!(
        "{}",
        json!({
            "instance": inspection.instance,
            "generation": inspection.generation,
            "event": event,
            "hosts": hosts,
            "records": inspection.records,
            "damage": inspection.damage,
            "judged": judged,
        })
    );
}

fn print_text(inspection: &Inspection) {
    println!(
        "state of {}, generation {}, {} records after the snapshot",
        inspection.instance, inspection.generation, inspection.records
    );
    for verdict in &inspection.verdicts {
        let answer = if verdict.is_valid { "yes" } else { "no " };
        println!("  {:<8} {answer}: {}", verdict.item, verdict.reason);
    }
}
