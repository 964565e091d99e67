//! Errors that keep a dispatcher from starting. Operators see their texts on standard error, before exit code 1.

use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::num::ParseIntError;

use flaxdeck_net::budget::MIN_SOCKETS;
use flaxdeck_terms::SettingsError;
use thiserror::Error;

/// Why a dispatcher did not start, or could not accept clients.
#[derive(Debug, Error)]
pub enum RunError {
    /// The async runtime could not be created.
    #[error("cannot create the async runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The handlers of SIGTERM and SIGHUP could not be installed.
    #[error("cannot install the signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The configuration can't be used.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The listening socket could not be opened.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// The address of the configuration.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
}

/// Why a configuration file can't be used.
#[derive(Debug, Error)]
pub enum StartError {
    /// No configuration file is named.
    #[error("GW_CONFIG is not set")]
    NotSet,
    /// The file can't be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The path of the file.
        path: String,
        /// The system's error.
        source: io::Error,
    },
    /// The file does not contain JSON.
    #[error("{path} is not JSON: {source}")]
    Json {
        /// The path of the file.
        path: String,
        /// The syntax error, with its position.
        source: serde_json::Error,
    },
    /// The file does not contain a valid configuration.
    #[error("{path}: {source}")]
    Configuration {
        /// The path of the file.
        path: String,
        /// What is wrong with the configuration.
        source: ConfigurationError,
    },
}

/// What is wrong with a configuration.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    /// A field is missing or of another type.
    #[error(transparent)]
    Field(#[from] SettingsError),
    /// The value of a field is not an IP address with a port.
    #[error("field {field} is {value:?}, expected an IP address with a port")]
    Address {
        /// The field's name.
        field: &'static str,
        /// The field's value.
        value: String,
        /// The error of the parser.
        source: AddrParseError,
    },
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("field seed is {value:?}, expected a 64-bit hexadecimal number")]
    Seed {
        /// The field's value.
        value: String,
        /// The error of the parser.
        source: ParseIntError,
    },
    /// The settings object is invalid.
    #[error("settings: {0}")]
    Settings(#[source] SettingsError),
    /// The events in the configuration's field `known` are invalid.
    #[error(transparent)]
    Known(Box<dyn std::error::Error + Send + Sync>),
    /// The memory limit is not positive.
    #[error("limits: field memory_mb is {memory_mb}, expected more than 0")]
    Memory {
        /// The field's value, in MiB.
        memory_mb: f64,
    },
    /// There are too few descriptors for one client and one host.
    #[error("limits: field sockets is {sockets}, expected at least {MIN_SOCKETS}")]
    Sockets {
        /// The field's value.
        sockets: u64,
    },
}
