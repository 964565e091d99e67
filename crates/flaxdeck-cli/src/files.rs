//! Reads the files of the sub-commands: the platform's JSON, and the operator's plan with its key.

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

/// Reads a file as text.
pub(crate) fn read_text(file: &str) -> Result<String, ExitError> {
    std::fs::read_to_string(file)
        .map_err(|error| usage_error(format!("{file}: cannot be read: {error}")))
}

/// Resolves a path that is written in a file, relative to the folder of that file.
pub(crate) fn resolve_beside(file: &str, path: &str) -> PathBuf {
    Path::new(file).parent().unwrap_or(Path::new("")).join(path)
}

/// A plan, and the key that all of its instances share.
pub(crate) struct KeyedPlan {
    pub plan: Plan,
    pub key: Key,
}

/// Reads a plan and its key file, whose path is relative to the plan's folder.
pub(crate) fn read_plan(file: &str) -> Result<KeyedPlan, ExitError> {
    let text = read_text(file)?;
    let plan = flaxdeck_plan::read(file, &text).map_err(|faults| file_faults(&faults))?;
    let path = resolve_beside(file, &plan.key_file);
    let path = path.to_string_lossy();
    let key = Key::from_hex(&read_text(&path)?)
        .map_err(|error| usage_error(format!("{path}: {error}")))?;
    Ok(KeyedPlan { plan, key })
}

/// The platform's JSON, which is the same for all instances.
pub(crate) struct Platform {
    file: String,
    value: Value,
    /// The window over which the load on a cold host is added up.
    pub window: Span,
}

/// Reads the platform's JSON.
pub(crate) fn read_platform(file: &str) -> Result<Platform, ExitError> {
    let value: Value = serde_json::from_str(&read_text(file)?).map_err(|error| {
        let (line, column) = (error.line(), error.column());
        usage_error(format!("{file}:{line}:{column}: not valid JSON: {error}"))
    })?;
    let window = || {
        let settings = Fields::of(&value, "the configuration")?.inner("settings")?;
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
    /// Returns the address on which the instance listens, which also names its stored state.
    pub(crate) fn listen(&self) -> Result<String, ExitError> {
        let listen = || {
            let fields = Fields::of(&self.value, "the configuration")?;
            fields.text("listen").map(str::to_owned)
        };
        listen().map_err(|fault: SettingsError| usage_error(format!("{}: {fault}", self.file)))
    }

    /// Returns the watch of the coordinator's events for the instance of that name, and the events that the
    /// configuration already holds. The name goes into the seed, so that each instance spreads its
    /// connections differently.
    pub(crate) fn watch(&self, name: &str) -> Result<(Watch, NumberedEvents), String> {
        let watch = || {
            let message = |fault: SettingsError| fault.to_string();
            let fields = Fields::of(&self.value, "the configuration").map_err(message)?;
            let settings = fields.inner("settings").map_err(message)?;
            let (_, names) = flaxdeck_terms::read(&settings).map_err(message)?;
            let address = fields.text("coordinator").map_err(message)?;
            let address: SocketAddr = address
                .parse()
                .map_err(|_| format!("coordinator: {address:?} is not a socket address"))?;
            let seed = u64::from_str_radix(fields.text("seed").map_err(message)?, 16)
                .map_err(|_| "seed: not a hexadecimal number of at most 64 bits")?;
            let seed = name
                .bytes()
                .fold(seed, |seed, byte| seed.rotate_left(8) ^ u64::from(byte));
            Watch::start(
                address,
                &fields.inner("known").map_err(message)?,
                Rc::new(names),
                false,
                seed,
            )
            .map_err(|fault| fault.to_string())
        };
        watch().map_err(|fault: String| format!("{}: {fault}", self.file))
    }
}

/// Returns the interval between batches of events, or `None` if the plan has each event sent by itself.
pub(crate) fn batch_interval(plan: &Plan) -> Option<Span> {
    match plan.events {
        EventDelivery::EachEvent => None,
        EventDelivery::Digest { batch_ms } => Some(Span::from_ms(u64::from(batch_ms))),
    }
}

/// Returns how often a planner sends events to its subscribers.
pub(crate) fn cadence(plan: &Plan) -> Cadence {
    batch_interval(plan).map_or_else(Cadence::default, Cadence::with_batch_interval)
}

/// Returns the lease times that follow from a plan and the platform's window.
pub(crate) fn lease_terms(plan: &Plan, window: Span) -> LeaseTerms {
    let grant_duration = Span::from_ms(u64::from(plan.grant_ms));
    LeaseTerms::new(window, grant_duration, (plan.drift * 1000.0).ceil() as u32)
}
