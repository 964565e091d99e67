//! What a dispatcher is handed at its start: three variables and the JSON that one of them names.

use std::env;
use std::net::SocketAddr;
use std::rc::Rc;

use flaxdeck::DeploymentTerms;
use flaxdeck_channel::watch::{NumberedEvents, Watch};
use flaxdeck_net::budget::{Bounds, MIN_SOCKETS};
use flaxdeck_terms::fields::Fields;
use flaxdeck_terms::{ConnectionTerms, Names};
use serde_json::Value;

use super::error::{ConfigurationError, StartError};

/// Names the configuration's file.
const CONFIG_VARIABLE: &str = "GW_CONFIG";
/// Holds the address to listen at, in place of the configuration's.
const LISTEN_VARIABLE: &str = "GW_LISTEN";

/// What a configuration says.
pub(crate) struct Start {
    /// Where to listen.
    pub address: SocketAddr,
    /// The coordinator's watch, from the last event that the configuration holds.
    pub watch: Watch,
    /// The events that the configuration holds.
    pub known: NumberedEvents,
    /// The figures that decisions use.
    pub terms: DeploymentTerms,
    /// The names of the settings.
    pub names: Rc<Names>,
    /// What the settings say of connections to hosts.
    pub connection_terms: ConnectionTerms,
    /// How much this process may hold.
    pub bounds: Bounds,
    /// What chance is drawn from.
    pub seed: u64,
    /// As they stand in the file, to see whether a later one has others.
    pub settings: Value,
}

/// Reads the file of that path, or else the one that the variable names. A lone dispatcher trusts the coordinator's
/// numbers, as the platform's page has it.
///
/// # Errors
///
/// A file that is not named, can't be read or can't be used.
pub(crate) fn read(path: Option<&str>, trusts: bool) -> Result<Start, StartError> {
    let path = match path {
        Some(path) => path.to_owned(),
        None => env::var(CONFIG_VARIABLE).map_err(|_| StartError::NotSet)?,
    };
    let value = read_json(&path)?;
    parse(&value, env::var(LISTEN_VARIABLE).ok(), trusts)
        .map_err(|source| StartError::Configuration { path, source })
}

fn read_json(path: &str) -> Result<Value, StartError> {
    let text = std::fs::read(path).map_err(|source| StartError::Read {
        path: path.to_owned(),
        source,
    })?;
    serde_json::from_slice(&text).map_err(|source| StartError::Json {
        path: path.to_owned(),
        source,
    })
}

/// What a configuration says; the address to listen at may be given apart.
///
/// # Errors
///
/// The first field that is missing or can't be used.
pub(crate) fn parse(
    value: &Value,
    listen: Option<String>,
    trusts: bool,
) -> Result<Start, ConfigurationError> {
    let fields = Fields::of(value, "the whole")?;
    let listen = match &listen {
        Some(listen) => listen,
        None => fields.text("listen")?,
    };
    let address = parse_address("listen", listen)?;
    let coordinator = parse_address("coordinator", fields.text("coordinator")?)?;
    let seed = parse_seed(fields.text("seed")?)?;
    let settings = fields.inner("settings")?;
    let (terms, names) = flaxdeck_terms::read(&settings).map_err(ConfigurationError::Settings)?;
    let names = Rc::new(names);
    let known = fields.inner("known")?;
    let (watch, known) = Watch::start(coordinator, &known, names.clone(), trusts, seed)
        .map_err(|error| ConfigurationError::Known(error.into()))?;
    let bounds = parse_limits(&fields.inner("limits")?)?;
    let connection_terms =
        ConnectionTerms::read(&settings).map_err(ConfigurationError::Settings)?;
    Ok(Start {
        address,
        watch,
        known,
        terms,
        names,
        connection_terms,
        bounds,
        seed,
        settings: Value::Object(settings.0.clone()),
    })
}

fn parse_address(field: &'static str, value: &str) -> Result<SocketAddr, ConfigurationError> {
    value.parse().map_err(|source| ConfigurationError::Address {
        field,
        value: value.to_owned(),
        source,
    })
}

fn parse_seed(value: &str) -> Result<u64, ConfigurationError> {
    u64::from_str_radix(value, 16).map_err(|source| ConfigurationError::Seed {
        value: value.to_owned(),
        source,
    })
}

fn parse_limits(limits: &Fields) -> Result<Bounds, ConfigurationError> {
    let memory_mb = limits.number("memory_mb")?;
    let sockets = limits.unsigned("sockets")?;
    if memory_mb <= 0.0 {
        return Err(ConfigurationError::Memory { memory_mb });
    }
    if sockets < MIN_SOCKETS {
        return Err(ConfigurationError::Sockets { sockets });
    }
    Ok(Bounds::of(memory_mb, sockets as usize))
}
