//! Errors of starting a world or a fleet, and of injecting faults.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// An error of starting a world or a fleet, or of injecting a fault.
#[derive(Debug, thiserror::Error)]
pub enum EmulatorError {
    /// The async runtime of the stand-ins could not be created.
    #[error("cannot create the async runtime of the stand-ins: {0}")]
    Runtime(#[source] io::Error),
    /// A stand-in can't listen on loopback.
    #[error("a stand-in cannot listen on loopback: {0}")]
    Listen(#[source] io::Error),
    /// A proxy can't listen on loopback.
    #[error("a proxy cannot listen on loopback: {0}")]
    Proxy(#[source] io::Error),
    /// A restarted host can't listen at its earlier address.
    #[error("a restarted host cannot listen at {address}: {source}")]
    ListenAgain {
        /// The host's address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// No host of the world has this id.
    #[error("unknown host id {0:?}")]
    UnknownHost(String),
    /// A file of the fleet can't be read or written.
    #[error("cannot access {}: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The configuration file of an earlier start is not valid JSON.
    #[error("invalid JSON in the configuration file {}: {source}", path.display())]
    Configuration {
        /// The configuration file.
        path: PathBuf,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
    /// A program can't be started.
    #[error("cannot start {}: {source}", binary.display())]
    Spawn {
        /// The path of the program.
        binary: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A started program has no standard error pipe, from which its address would be read.
    #[error("a started program has no standard error to read its listening address from")]
    NoStandardError,
    /// A program did not log its listening address in time.
    #[error("a program did not log its listening address; its log:\n{}", lines.join("\n"))]
    NotListening {
        /// The lines that it logged.
        lines: Vec<String>,
    },
}
