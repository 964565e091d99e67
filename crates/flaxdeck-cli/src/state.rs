//! `flaxdeck state`: what a forwarder's state folder holds, and what of it would be believed.

use std::path::Path;

use flaxdeck::Span;
use flaxdeck_net::clock::since_boot;
use flaxdeck_recovery::EventPosition;
use flaxdeck_recovery::restored_state::{self, CurrentFacts};
use flaxdeck_recovery::stored_state::{StoredState, Uptime};
use flaxdeck_store::{Folder, inspect};

use crate::{Stop, faulty};

pub fn show(folder: &str, json: bool) -> Result<(), Stop> {
    if !Path::new(folder).is_dir() {
        return Err(faulty(format!("{folder}: there is no such folder")));
    }
    let mut disk =
        Folder::open(Path::new(folder)).map_err(|error| faulty(format!("{folder}: {error}")))?;
    let found = inspect(&mut disk);
    let damage = found.damage.as_ref().map(ToString::to_string);
    let kept = found
        .snapshot
        .as_ref()
        .map(|snapshot| StoredState::read(snapshot, &found.records));
    let (boot, ms) = since_boot();
    let now = CurrentFacts {
        uptime: Uptime { boot, ms },
        configured_event: EventPosition::NONE,
        startup_wait: Span::ZERO,
    };
    let read = kept.as_ref().and_then(|kept| kept.as_ref().ok()).cloned();
    let verdicts = read
        .clone()
        .map(|kept| restored_state::validate(kept, now).verdicts)
        .unwrap_or_default();
    let (event, hosts) = read.as_ref().map_or((0, 0), |kept| {
        (kept.last_event.number, kept.endpoints.len())
    });
    if json {
        let rows: Vec<_> = verdicts
            .iter()
            .map(|verdict| serde_json::json!({"item": verdict.item, "believed": verdict.is_valid, "why": verdict.reason}))
            .collect();
        println!(
            "{}",
            serde_json::json!({"instance": found.instance, "generation": found.generation, "event": event,
                "hosts": hosts, "records": found.records.len(), "damage": damage, "judged": rows})
        );
    } else if read.is_some() {
        println!(
            "state of {}, generation {}, {} records after the snapshot",
            found.instance,
            found.generation,
            found.records.len()
        );
        for verdict in &verdicts {
            println!(
                "  {:<8} {}: {}",
                verdict.item,
                if verdict.is_valid { "yes" } else { "no " },
                verdict.reason
            );
        }
    }
    match (damage, kept) {
        (Some(damage), _) => Err(Stop(1, format!("{folder}: damaged: {damage}"))),
        (None, None) => Err(Stop(1, format!("{folder}: no state is kept here"))),
        (None, Some(Err(_))) => Err(Stop(
            1,
            format!("{folder}: the state is of another version"),
        )),
        (None, Some(Ok(_))) => Ok(()),
    }
}
