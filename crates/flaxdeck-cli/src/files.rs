//! The files that the sub-commands read: the platform's JSON and the operator's plan with its key.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use flaxdeck::Span;
use flaxdeck_channel::authenticated::Key;
use flaxdeck_channel::watch::{NumberedEvents, Watch};
use flaxdeck_control::LeaseTerms;
use flaxdeck_distribution::Cadence;
use flaxdeck_plan::{EventDelivery, Plan};
use flaxdeck_terms::fields::Fields;
use serde_json::Value;

use crate::{Stop, faulty};

pub fn text(file: &str) -> Result<String, Stop> {
    std::fs::read_to_string(file)
        .map_err(|error| faulty(format!("{file}: cannot be read: {error}")))
}

/// A path that stands in a file, relative to that file's own place.
pub fn beside(file: &str, path: &str) -> PathBuf {
    Path::new(file).parent().unwrap_or(Path::new("")).join(path)
}

/// The plan with its shared key; the key's file is looked for beside the plan.
pub fn plan(file: &str) -> Result<(Plan, Key), Stop> {
    let lines = |faults: Vec<flaxdeck_plan::Fault>| {
        faulty(
            faults
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join("\n"),
        )
    };
    let plan = flaxdeck_plan::read(file, &text(file)?).map_err(lines)?;
    let path = beside(file, &plan.key_file);
    let path = path.to_string_lossy();
    let key = Key::from_hex(&text(&path)?).map_err(|why| faulty(format!("{path}: {why}")))?;
    Ok((plan, key))
}

/// What the platform's JSON says to all instances.
pub struct World {
    file: String,
    value: Value,
    /// The time within which a cold host's load counts together.
    pub window: Span,
}

pub fn world(file: &str) -> Result<World, Stop> {
    let value: Value = serde_json::from_str(&text(file)?).map_err(|error| {
        faulty(format!(
            "{file}:{}:{}: not JSON: {error}",
            error.line(),
            error.column()
        ))
    })?;
    let window = || {
        let settings = Fields::of(&value, "the whole")?.inner("settings")?;
        flaxdeck_terms::read(&settings).map(|(terms, _)| terms.fall_window)
    };
    let window = window().map_err(|fault| faulty(format!("{file}: settings: {fault}")))?;
    Ok(World {
        file: file.to_owned(),
        value,
        window,
    })
}

impl World {
    /// Where the instance listens: the name that its state bears.
    pub fn listen(&self) -> Result<String, Stop> {
        let listen = || {
            Fields::of(&self.value, "the whole")?
                .text("listen")
                .map(str::to_owned)
        };
        listen().map_err(|fault: String| faulty(format!("{}: {fault}", self.file)))
    }

    /// The watch from the coordinator, and what it has said already, for an instance of that name.
    pub fn watch(&self, name: &str) -> Result<(Watch, NumberedEvents), String> {
        let watch = || {
            let fields = Fields::of(&self.value, "the whole")?;
            let (_, names) = flaxdeck_terms::read(&fields.inner("settings")?)?;
            let address = fields.text("coordinator")?;
            let address: SocketAddr = address
                .parse()
                .map_err(|_| format!("coordinator: {address} is no address"))?;
            let seed =
                u64::from_str_radix(fields.text("seed")?, 16).map_err(|_| "seed is not in hex")?;
            let seed = name
                .bytes()
                .fold(seed, |seed, byte| seed.rotate_left(8) ^ u64::from(byte));
            Watch::start(
                address,
                &fields.inner("known")?,
                Rc::new(names),
                false,
                seed,
            )
        };
        watch().map_err(|fault: String| format!("{}: {fault}", self.file))
    }
}

/// Between two batches of events, where the plan has events come in batches.
pub fn batch_every(plan: &Plan) -> Option<Span> {
    match plan.events {
        EventDelivery::EachEvent => None,
        EventDelivery::Digest { batch_ms } => Some(Span::from_ms(u64::from(batch_ms))),
    }
}

/// How often a planner tells subscribers of events.
pub fn cadence(plan: &Plan) -> Cadence {
    batch_every(plan).map_or_else(Cadence::default, Cadence::with_batch_interval)
}

pub fn lease_terms(plan: &Plan, window: Span) -> LeaseTerms {
    let granted = Span::from_ms(u64::from(plan.grant_ms));
    LeaseTerms::new(window, granted, (plan.drift * 1000.0).ceil() as u32)
}
