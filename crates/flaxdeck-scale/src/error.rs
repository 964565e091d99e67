//! Errors of runs and of their processes, and errors of capacity pages with their slopes and charts.

use std::fmt::Display;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;

use flaxdeck_emulator::EmulatorError;
use flaxdeck_plan::Fault;

use crate::processes::ProcessKind;

/// Why a run of a scale file failed.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The async runtime of a process could not be created.
    #[error("cannot create the async runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The stand-in coordinator can't listen on loopback.
    #[error("the stand-in coordinator cannot listen on loopback: {0}")]
    Listen(#[source] io::Error),
    /// The proxy for the link that may be cut can't listen.
    #[error("the proxy in front of the first planner cannot listen on loopback: {0}")]
    Proxy(#[source] io::Error),
    /// The log of events in force can't be created.
    #[error("cannot create the log of events in force: {0}")]
    CreateLog(#[source] io::Error),
    /// The log of events in force can't be written.
    #[error("cannot write the log of events in force: {0}")]
    WriteLog(#[source] io::Error),
    /// The file of the coordinator's events can't be written.
    #[error("cannot write the file of published events: {0}")]
    WriteEvents(#[source] io::Error),
    /// A file or folder of the run can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file is not JSON of the expected form.
    #[error("{}: not JSON of the expected form: {source}", path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// The error of the parser.
        source: serde_json::Error,
    },
    /// Result rows can't be written.
    #[error("{}: cannot write result rows: {source}", path.display())]
    Csv {
        /// The file.
        path: PathBuf,
        /// The error of the writer.
        source: csv::Error,
    },
    /// The file of the coordinator's events has a line that can't be parsed.
    #[error("{}: a line is not an event of the form NUMBER HASH MICROSECONDS", path.display())]
    EventList {
        /// The file.
        path: PathBuf,
    },
    /// The orders for a process can't be encoded as JSON.
    #[error("cannot encode the orders for a process as JSON: {0}")]
    Encode(#[source] serde_json::Error),
    /// The file of known events that the coordinator wrote is not JSON.
    #[error("the coordinator's file of known events is not JSON: {0}")]
    KnownEvents(#[source] serde_json::Error),
    /// The platform's settings are invalid.
    #[error("invalid platform settings: {0}")]
    Settings(String),
    /// A hollow forwarder did not start.
    #[error("a hollow forwarder did not start: {0}")]
    HollowForwarder(String),
    /// The emulated hosts did not start.
    #[error(transparent)]
    World(#[from] EmulatorError),
    /// A process of the run failed.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The stand-in coordinator did not listen in time.
    #[error("the stand-in coordinator did not listen in time")]
    CoordinatorListen,
    /// The stand-in coordinator sent an unexpected reply.
    #[error("the stand-in coordinator sent {0}")]
    CoordinatorReply(String),
    /// Some hollow forwarders did not have an endpoint list and connections to all planners in time.
    #[error("not all hollow forwarders got an endpoint list and connected to all planners in time")]
    NotCurrent,
}

/// Why a process of a run failed.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The process can't be started.
    #[error("{process:?} cannot be started: {source}")]
    Spawn {
        /// The process.
        process: ProcessKind,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The process had no id when it was started.
    #[error("a process ended immediately after its start")]
    EndedAtOnce,
    /// The standard input of the process is closed already.
    #[error("cannot send an order to a process whose standard input is closed")]
    InputClosed,
    /// The standard output of the process is not piped.
    #[error("cannot read replies of a process whose standard output is not piped")]
    NoOutput,
    /// An order can't be written to the process.
    #[error("cannot send an order to {process:?}: {source}")]
    Order {
        /// The process.
        process: ProcessKind,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The standard output of the process can't be read.
    #[error("cannot read the standard output of a process: {0}")]
    Output(#[source] io::Error),
    /// The process closed its standard output where a reply was expected.
    #[error("{process:?} ended before it replied: {log}")]
    Ended {
        /// The process.
        process: ProcessKind,
        /// The last lines of its log.
        log: String,
    },
    /// The process wrote a line that is not a valid reply.
    #[error("{process:?} sent an invalid reply {line:?}: {source}")]
    Reply {
        /// The process.
        process: ProcessKind,
        /// The line.
        line: String,
        /// The error of the parser.
        source: serde_json::Error,
    },
    /// The process ended with a failure.
    #[error("{process:?} ended with {status}: {log}")]
    Failed {
        /// The process.
        process: ProcessKind,
        /// Its exit status.
        status: ExitStatus,
        /// The last lines of its log.
        log: String,
    },
    /// Waiting for the end of the process failed.
    #[error("cannot wait for the end of {process:?}: {source}")]
    Wait {
        /// The process.
        process: ProcessKind,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The process did not end in time after its standard input was closed.
    #[error("{process:?} did not end in time and was killed")]
    Killed {
        /// The process.
        process: ProcessKind,
    },
    /// The process did not listen in time.
    #[error("{process:?} did not listen in time: {log}")]
    NotListening {
        /// The process.
        process: ProcessKind,
        /// The last lines of its log.
        log: String,
    },
}

impl RunError {
    /// Returns a function that makes an I/O error of a file or folder.
    pub(crate) fn file(path: &Path) -> impl FnOnce(io::Error) -> RunError {
        let path = path.to_owned();
        move |source| RunError::File { path, source }
    }

    /// Returns a function that makes an error of a file's JSON.
    pub(crate) fn json(path: &Path) -> impl FnOnce(serde_json::Error) -> RunError {
        let path = path.to_owned();
        move |source| RunError::Json { path, source }
    }

    /// Returns a function that makes an error of a table.
    pub(crate) fn csv(path: &Path) -> impl Fn(csv::Error) -> RunError {
        let path = path.to_owned();
        move |source| RunError::Csv {
            path: path.clone(),
            source,
        }
    }

    /// Makes an error of the platform's settings.
    pub(crate) fn settings(fault: impl Display) -> RunError {
        RunError::Settings(fault.to_string())
    }
}

/// Why a capacity page, its slopes or its charts could not be produced.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    /// A file or a folder can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A table can't be written, or its columns or values are not as expected.
    #[error("{}: cannot read or write the rows as CSV: {source}", path.display())]
    Table {
        /// The file.
        path: PathBuf,
        /// The error of the reader or writer.
        source: csv::Error,
    },
    /// The target file is invalid; each fault bears its place.
    #[error("{}", fault_lines(.0))]
    Target(Vec<Fault>),
    /// The template of the page can't be rendered.
    #[error("cannot render the template of the capacity page: {0:#}")]
    Template(#[source] minijinja::Error),
    /// A chart can't be drawn.
    #[error("{}: cannot draw the chart: {cause}", path.display())]
    Chart {
        /// The file.
        path: PathBuf,
        /// The error of the drawing library.
        cause: String,
    },
}

/// Formats the faults of a file, one per line.
fn fault_lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}
