//! Why a world or a fleet did not start, or a fault could not be injected.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a world or a fleet did not start, or a fault could not be injected.
#[derive(Debug, thiserror::Error)]
pub enum EmulatorError {
    /// The stand-ins' threads did not start.
    #[error("no runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A stand-in can't listen on loopback.
    #[error("no listener: {0}")]
    Listen(#[source] io::Error),
    /// A proxy can't listen on loopback.
    #[error("no wire: {0}")]
    Proxy(#[source] io::Error),
    /// A host can't listen again where it listened before.
    #[error("{address}: {source}")]
    ListenAgain {
        /// Where it listened.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// No host has that id.
    #[error("there is no host {0}")]
    UnknownHost(String),
    /// A file of the fleet can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A configuration of an earlier start is not JSON.
    #[error("{}: {source}", path.display())]
    Configuration {
        /// The file.
        path: PathBuf,
        /// What the parser said.
        source: serde_json::Error,
    },
    /// A program can't be started.
    #[error("{}: {source}", binary.display())]
    Spawn {
        /// The program.
        binary: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A program has no standard error to read its address from.
    #[error("no standard error")]
    NoStandardError,
    /// A program did not say in time where it listens.
    #[error("a program has not begun: {}", lines.join("\n"))]
    NotListening {
        /// What it logged.
        lines: Vec<String>,
    },
}
