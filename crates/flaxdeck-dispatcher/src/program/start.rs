//! Reads the configuration of a dispatcher: two environment variables, and the JSON file that one of them names.

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

/// The variable that holds the path of the configuration file.
const CONFIG_VARIABLE: &str = "GW_CONFIG";
/// The variable that overrides the configuration's address to listen at.
const LISTEN_VARIABLE: &str = "GW_LISTEN";

/// A configuration.
pub(crate) struct Configuration {
    /// The address to listen at.
    pub address: SocketAddr,
    /// The watch of the coordinator's events, which starts after the last event that the configuration holds.
    pub watch: Watch,
    /// The events that the configuration holds.
    pub configured_events: NumberedEvents,
    /// The parameters of the decision engine.
    pub terms: DeploymentTerms,
    /// The names that the settings define.
    pub names: Rc<Names>,
    /// The time limits of connections, from the settings.
    pub connection_terms: ConnectionTerms,
    /// The limits on this process's memory and connections.
    pub bounds: Bounds,
    /// The pace of one answer to a client in bytes a second, if it is known.
    pub flow_bytes_per_s: Option<f64>,
    /// The seed of all random decisions.
    pub seed: u64,
    /// The settings as they are in the file, to notice whether a reloaded configuration changes them.
    pub settings: Value,
}

/// Reads the configuration file at `path`, or else the one that `GW_CONFIG` names. With `trusts_numbers` a number of
/// the coordinator always means the same event, as the platform specifies it; this holds for a dispatcher without
/// planners.
///
/// # Errors
///
/// If no file is named, or it can't be read or is invalid.
pub(crate) fn read(path: Option<&str>, trusts_numbers: bool) -> Result<Configuration, StartError> {
    let path = match path {
        Some(path) => path.to_owned(),
        None => env::var(CONFIG_VARIABLE).map_err(|_| StartError::NotSet)?,
    };
    let value = read_json(&path)?;
    parse(&value, env::var(LISTEN_VARIABLE).ok(), trusts_numbers)
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

/// Parses a configuration. `listen` overrides its address to listen at; [`read`] describes `trusts_numbers`.
///
/// # Errors
///
/// For the first field that is missing or invalid.
pub(crate) fn parse(
    value: &Value,
    listen: Option<String>,
    trusts_numbers: bool,
) -> Result<Configuration, ConfigurationError> {
    let fields = Fields::of(value, "the configuration")?;
    let listen = match &listen {
        Some(listen) => listen,
        None => fields.text("listen")?,
    };
    let address = parse_address("listen", listen)?;
    let coordinator = parse_address("coordinator", fields.text("coordinator")?)?;
    let seed = parse_seed(fields.text("seed")?)?;
    let settings = fields.inner("settings")?;
    let (terms, names) = flaxdeck_terms::read(&settings).map_err(ConfigurationError::Settings)?;
    let terms = DeploymentTerms {
        sizes_are_claims: true,
        ..terms
    };
    let names = Rc::new(names);
    let known = fields.inner("known")?;
    let (watch, configured_events) =
        Watch::start(coordinator, &known, names.clone(), trusts_numbers, seed)
            .map_err(|error| ConfigurationError::Known(error.into()))?;
    let bounds = parse_limits(&fields.inner("limits")?)?;
    let connection_terms =
        ConnectionTerms::read(&settings).map_err(ConfigurationError::Settings)?;
    Ok(Configuration {
        address,
        watch,
        configured_events,
        terms,
        names,
        connection_terms,
        bounds,
        flow_bytes_per_s: fields.number_or_none("flow_bytes_per_s")?,
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
