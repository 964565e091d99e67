//! `flaxdeck state`: what a forwarder's state folder holds, and what of it would be believed.

use std::path::Path;

use flaxdeck::Span;
use flaxdeck_net::clock::since_boot;
use flaxdeck_recovery::EventPosition;
use flaxdeck_recovery::restored_state::{self, CurrentFacts, Verdict};
use flaxdeck_recovery::stored_state::{StoredState, Uptime};
use flaxdeck_store::{Folder, inspect};
use serde_json::{Value, json};

use crate::exit::{ExitError, usage_error};

/// What a state folder holds.
struct Inspection {
    instance: String,
    generation: u64,
    /// Records after the snapshot.
    records: usize,
    damage: Option<String>,
    stored: Stored,
    /// What would be believed of it now.
    verdicts: Vec<Verdict>,
}

enum Stored {
    Nothing,
    OtherVersion,
    State(StoredState),
}

/// Reads a state folder, judges it and prints the verdicts.
pub(crate) fn run(folder: &str, as_json: bool) -> Result<(), ExitError> {
    let inspection = inspect_folder(folder)?;
    if as_json {
        print_json(&inspection);
    } else if let Stored::State(_) = inspection.stored {
        print_text(&inspection);
    }
    match (inspection.damage, inspection.stored) {
        (Some(damage), _) => Err(ExitError::failed(format!("{folder}: damaged: {damage}"))),
        (None, Stored::Nothing) => Err(ExitError::failed(format!(
            "{folder}: no state is kept here"
        ))),
        (None, Stored::OtherVersion) => Err(ExitError::failed(format!(
            "{folder}: the state is of another version"
        ))),
        (None, Stored::State(_)) => Ok(()),
    }
}

fn inspect_folder(folder: &str) -> Result<Inspection, ExitError> {
    if !Path::new(folder).is_dir() {
        return Err(usage_error(format!("{folder}: there is no such folder")));
    }
    let mut disk = Folder::open(Path::new(folder))
        .map_err(|error| usage_error(format!("{folder}: {error}")))?;
    let found = inspect(&mut disk);
    let stored = match &found.snapshot {
        None => Stored::Nothing,
        Some(snapshot) => match StoredState::read(snapshot, &found.records) {
            Ok(state) => Stored::State(state),
            Err(_) => Stored::OtherVersion,
        },
    };
    let verdicts = match &stored {
        Stored::State(state) => restored_state::validate(state.clone(), now()).verdicts,
        Stored::Nothing | Stored::OtherVersion => Vec::new(),
    };
    Ok(Inspection {
        instance: found.instance.to_string(),
        generation: found.generation,
        records: found.records.len(),
        damage: found.damage.as_ref().map(ToString::to_string),
        stored,
        verdicts,
    })
}

/// The facts that the state is judged by: this machine's, without a configuration.
fn now() -> CurrentFacts {
    let since = since_boot();
    CurrentFacts {
        uptime: Uptime {
            boot: since.boot_id,
            ms: since.ms,
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
        Stored::Nothing | Stored::OtherVersion => (0, 0),
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
        let believed = if verdict.is_valid { "yes" } else { "no " };
        println!("  {:<8} {believed}: {}", verdict.item, verdict.reason);
    }
}
