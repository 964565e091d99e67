//! Why a dispatcher does not start. The texts are what operators see, before exit code 1.

use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::num::ParseIntError;

use flaxdeck_net::budget::MIN_SOCKETS;
use flaxdeck_terms::SettingsError;
use thiserror::Error;

/// Why a dispatcher did not start, or could not go on.
#[derive(Debug, Error)]
pub enum RunError {
    /// The runtime could not be set up.
    #[error("no runtime: {0}")]
    Runtime(#[source] io::Error),
    /// Signals could not be caught.
    #[error("no signals: {0}")]
    Signals(#[source] io::Error),
    /// The configuration can't be used.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The address to listen at could not be had.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: io::Error,
    },
}

/// Why a configuration file can't be used.
#[derive(Debug, Error)]
pub enum StartError {
    /// No file is named.
    #[error("GW_CONFIG is not set")]
    NotSet,
    /// The file can't be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// Why not.
        source: io::Error,
    },
    /// The file holds no JSON.
    #[error("{path} is not JSON: {source}")]
    Json {
        /// The file.
        path: String,
        /// Where not.
        source: serde_json::Error,
    },
    /// The file holds no configuration.
    #[error("{path}: {source}")]
    Configuration {
        /// The file.
        path: String,
        /// Why not.
        source: ConfigurationError,
    },
}

/// What is wrong with a configuration.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    /// A field is missing or of another type.
    #[error(transparent)]
    Field(#[from] SettingsError),
    /// A field holds no address with a port.
    #[error("{field}: {value} is no address")]
    Address {
        /// The field's name.
        field: &'static str,
        /// The field's value.
        value: String,
        /// Why not.
        source: AddrParseError,
    },
    /// The seed is no number in hex.
    #[error("seed: {value} is not in hex")]
    Seed {
        /// The field's value.
        value: String,
        /// Why not.
        source: ParseIntError,
    },
    /// The settings object can't be used.
    #[error("settings: {0}")]
    Settings(#[source] SettingsError),
    /// The events that the configuration holds can't be used.
    #[error(transparent)]
    Known(Box<dyn std::error::Error + Send + Sync>),
    /// The memory limit leaves room for nothing.
    #[error("limits: field memory_mb is {memory_mb}, nothing fits in that")]
    Memory {
        /// The field's value, in MiB.
        memory_mb: f64,
    },
    /// There are too few descriptors for a client and a host.
    #[error("limits: field sockets is {sockets}, {MIN_SOCKETS} are needed at least")]
    Sockets {
        /// The field's value.
        sockets: u64,
    },
}
