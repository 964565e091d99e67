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
use flaxdeck_terms::SettingsError;
use flaxdeck_terms::fields::Fields;
use serde_json::Value;

use crate::exit::{ExitError, file_faults, usage_error};

/// The text of a file that the operator named.
pub(crate) fn read_text(file: &str) -> Result<String, ExitError> {
    std::fs::read_to_string(file)
        .map_err(|error| usage_error(format!("{file}: cannot be read: {error}")))
}

/// A path that stands in a file, relative to that file's own place.
pub(crate) fn beside(file: &str, path: &str) -> PathBuf {
    Path::new(file).parent().unwrap_or(Path::new("")).join(path)
}

/// A plan with the key that its instances share.
pub(crate) struct KeyedPlan {
    pub plan: Plan,
    pub key: Key,
}

/// Reads a plan and its key, whose file is looked for beside the plan.
pub(crate) fn read_plan(file: &str) -> Result<KeyedPlan, ExitError> {
    let text = read_text(file)?;
    let plan = flaxdeck_plan::read(file, &text).map_err(|faults| file_faults(&faults))?;
    let path = beside(file, &plan.key_file);
    let path = path.to_string_lossy();
    let key = Key::from_hex(&read_text(&path)?)
        .map_err(|error| usage_error(format!("{path}: {error}")))?;
    Ok(KeyedPlan { plan, key })
}

/// What the platform's JSON says to all instances.
pub(crate) struct Platform {
    file: String,
    value: Value,
    /// The time within which a cold host's load counts together.
    pub window: Span,
}

/// Reads the platform's JSON.
pub(crate) fn read_platform(file: &str) -> Result<Platform, ExitError> {
    let value: Value = serde_json::from_str(&read_text(file)?).map_err(|error| {
        let (line, column) = (error.line(), error.column());
        usage_error(format!("{file}:{line}:{column}: not JSON: {error}"))
    })?;
    let window = || {
        let settings = Fields::of(&value, "the whole")?.inner("settings")?;
        flaxdeck_terms::read(&settings).map(|(terms, _)| terms.overload_window)
    };
    let window = window().map_err(|fault| usage_error(format!("{file}: settings: {fault}")))?;
    Ok(Platform {
        file: file.to_owned(),
        value,
        window,
    })
}

impl Platform {
    /// Where the instance listens: the name that its state bears.
    pub(crate) fn listen(&self) -> Result<String, ExitError> {
        let listen = || {
            let fields = Fields::of(&self.value, "the whole")?;
            fields.text("listen").map(str::to_owned)
        };
        listen().map_err(|fault: SettingsError| usage_error(format!("{}: {fault}", self.file)))
    }

    /// The watch from the coordinator, and what it has said already, for an instance of that name.
    pub(crate) fn watch(&self, name: &str) -> Result<(Watch, NumberedEvents), String> {
        let watch = || {
            let text = |fault: SettingsError| fault.to_string();
            let fields = Fields::of(&self.value, "the whole").map_err(text)?;
            let settings = fields.inner("settings").map_err(text)?;
            let (_, names) = flaxdeck_terms::read(&settings).map_err(text)?;
            let address = fields.text("coordinator").map_err(text)?;
            let address: SocketAddr = address
                .parse()
                .map_err(|_| format!("coordinator: {address} is no address"))?;
            let seed = u64::from_str_radix(fields.text("seed").map_err(text)?, 16)
                .map_err(|_| "seed is not in hex")?;
            let seed = name
                .bytes()
                .fold(seed, |seed, byte| seed.rotate_left(8) ^ u64::from(byte));
            Watch::start(
                address,
                &fields.inner("known").map_err(text)?,
                Rc::new(names),
                false,
                seed,
            )
            .map_err(|fault| fault.to_string())
        };
        watch().map_err(|fault: String| format!("{}: {fault}", self.file))
    }
}

/// Between two batches of events, where the plan has events come in batches.
pub(crate) fn batch_interval(plan: &Plan) -> Option<Span> {
    match plan.events {
        EventDelivery::EachEvent => None,
        EventDelivery::Digest { batch_ms } => Some(Span::from_ms(u64::from(batch_ms))),
    }
}

/// How often a planner sends events to its subscribers.
pub(crate) fn cadence(plan: &Plan) -> Cadence {
    batch_interval(plan).map_or_else(Cadence::default, Cadence::with_batch_interval)
}

/// The times of leases that follow from a plan and the platform's window.
pub(crate) fn lease_terms(plan: &Plan, window: Span) -> LeaseTerms {
    let granted = Span::from_ms(u64::from(plan.grant_ms));
    LeaseTerms::new(window, granted, (plan.drift * 1000.0).ceil() as u32)
}
