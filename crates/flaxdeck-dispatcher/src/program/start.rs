//! What a dispatcher is told at its start: three variables and the JSON that one of them names.

use std::env;
use std::net::SocketAddr;
use std::rc::Rc;

use flaxdeck::DeploymentTerms;
use flaxdeck_terms::fields::Fields;
use flaxdeck_terms::{ConnectionTerms, Names};
use serde_json::Value;

use flaxdeck_channel::watch::{NumberedEvents, Watch};
use flaxdeck_net::budget::{Bounds, MIN_SOCKETS};

pub struct Start {
    pub address: SocketAddr,
    pub watch: Watch,
    pub known: NumberedEvents,
    pub terms: DeploymentTerms,
    pub names: Rc<Names>,
    pub carriage: ConnectionTerms,
    pub bounds: Bounds,
    pub seed: u64,
    /// As they stand in the file, to see whether a later one has others.
    pub settings: Value,
}

/// Reads the file of that path, or else the one that the variable names. A lone dispatcher trusts the coordinator's
/// numbers, as the platform's page has it.
pub fn read(path: Option<&str>, trusts: bool) -> Result<Start, String> {
    let named = || env::var("GW_CONFIG").map_err(|_| "GW_CONFIG is not set".to_owned());
    let path = path.map_or_else(named, |path| Ok(path.to_owned()))?;
    let text = std::fs::read(&path).map_err(|error| format!("cannot read {path}: {error}"))?;
    let value: Value =
        serde_json::from_slice(&text).map_err(|error| format!("{path} is not JSON: {error}"))?;
    parse(&value, env::var("GW_LISTEN").ok(), trusts).map_err(|fault| format!("{path}: {fault}"))
}

/// What a configuration says; the address to listen at may be given apart.
pub fn parse(value: &Value, listen: Option<String>, trusts: bool) -> Result<Start, String> {
    let fields = Fields::of(value, "the whole").map_err(|fault| fault.to_string())?;
    let listen = listen.map_or_else(
        || {
            fields
                .text("listen")
                .map(str::to_owned)
                .map_err(|fault| fault.to_string())
        },
        Ok,
    )?;
    let address = listen
        .parse()
        .map_err(|_| format!("listen: {listen} is no address"))?;
    let coordinator = fields
        .text("coordinator")
        .map_err(|fault| fault.to_string())?;
    let coordinator = coordinator
        .parse()
        .map_err(|_| format!("coordinator: {coordinator} is no address"))?;
    let seed = fields.text("seed").map_err(|fault| fault.to_string())?;
    let seed = u64::from_str_radix(seed, 16).map_err(|_| format!("seed: {seed} is not in hex"))?;
    let settings = fields
        .inner("settings")
        .map_err(|fault| fault.to_string())?;
    let (terms, names) =
        flaxdeck_terms::read(&settings).map_err(|fault| format!("settings: {fault}"))?;
    let names = Rc::new(names);
    let (watch, known) = Watch::start(
        coordinator,
        &fields.inner("known").map_err(|fault| fault.to_string())?,
        names.clone(),
        trusts,
        seed,
    )
    .map_err(|fault| fault.to_string())?;
    let limits = fields.inner("limits").map_err(|fault| fault.to_string())?;
    let (memory_mb, sockets) = (
        limits
            .number("memory_mb")
            .map_err(|fault| fault.to_string())?,
        limits.whole("sockets").map_err(|fault| fault.to_string())?,
    );
    if memory_mb <= 0.0 {
        return Err(format!(
            "limits: field memory_mb is {memory_mb}, nothing fits in that"
        ));
    }
    if sockets < MIN_SOCKETS {
        return Err(format!(
            "limits: field sockets is {sockets}, {MIN_SOCKETS} are needed at least"
        ));
    }
    let bounds = Bounds::of(memory_mb, sockets as usize);
    let carriage =
        ConnectionTerms::read(&settings).map_err(|fault| format!("settings: {fault}"))?;
    let settings = Value::Object(settings.0.clone());
    Ok(Start {
        address,
        watch,
        known,
        terms,
        names,
        carriage,
        bounds,
        seed,
        settings,
    })
}
