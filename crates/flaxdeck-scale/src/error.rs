//! Why a run failed, or why a capacity page, its slopes or its charts could not be made.

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
    /// A process has no asynchronous runtime.
    #[error("no runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The stand-in coordinator can't listen on loopback.
    #[error("cannot listen: {0}")]
    Listen(#[source] io::Error),
    /// The link that may be cut can't listen.
    #[error("no wire: {0}")]
    Proxy(#[source] io::Error),
    /// The log of what came into force can't be made.
    #[error("no notes: {0}")]
    CreateLog(#[source] io::Error),
    /// The log of what came into force can't be written.
    #[error("notes can't be written: {0}")]
    WriteLog(#[source] io::Error),
    /// The coordinator's events can't be written.
    #[error("events can't be written: {0}")]
    WriteEvents(#[source] io::Error),
    /// A file or folder of the run can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A file is not JSON, or not of the form that it should have.
    #[error("{}: {source}", path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// What the parser said.
        source: serde_json::Error,
    },
    /// Rows of results can't be written.
    #[error("{}: {source}", path.display())]
    Csv {
        /// The file.
        path: PathBuf,
        /// What the writer said.
        source: csv::Error,
    },
    /// The file of the coordinator's events has a line that is none.
    #[error("{}: not a list of events", path.display())]
    EventList {
        /// The file.
        path: PathBuf,
    },
    /// A message or a file can't be put into JSON.
    #[error("{0}")]
    Encode(#[source] serde_json::Error),
    /// What the coordinator wrote of known events is no JSON.
    #[error("known events: {0}")]
    KnownEvents(#[source] serde_json::Error),
    /// The platform's settings have a fault.
    #[error("{0}")]
    Settings(String),
    /// A hollow forwarder did not start.
    #[error("{0}")]
    HollowForwarder(String),
    /// The emulator's world did not start.
    #[error(transparent)]
    World(#[from] EmulatorError),
    /// A process of the run failed.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The stand-in coordinator did not listen in time.
    #[error("the coordinator did not listen in time")]
    CoordinatorListen,
    /// The stand-in coordinator said something else than what it should.
    #[error("the coordinator said {0}")]
    CoordinatorReply(String),
    /// Some forwarders had no list, or not all planners, in time.
    #[error("not all forwarders were current in time")]
    NotCurrent,
}

/// Why a process of a run failed.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// It can't be started.
    #[error("{process:?} can't be started: {source}")]
    Spawn {
        /// Which process.
        process: ProcessKind,
        /// What the system said.
        source: io::Error,
    },
    /// It had no id when it was started.
    #[error("a process that has ended at once")]
    EndedAtOnce,
    /// Its standard input is closed.
    #[error("a process that has ended")]
    InputClosed,
    /// It has no standard output to read.
    #[error("a process without output")]
    NoOutput,
    /// An order can't be written to it.
    #[error("{process:?} takes no order: {source}")]
    Order {
        /// Which process.
        process: ProcessKind,
        /// What the system said.
        source: io::Error,
    },
    /// Its standard output can't be read.
    #[error("{0}")]
    Output(#[source] io::Error),
    /// It has ended where a reply was expected.
    #[error("{process:?} has ended: {log}")]
    Ended {
        /// Which process.
        process: ProcessKind,
        /// The last lines of its log.
        log: String,
    },
    /// It said something that is no reply.
    #[error("{process:?} said {line:?}: {source}")]
    Reply {
        /// Which process.
        process: ProcessKind,
        /// What it said.
        line: String,
        /// What the parser said.
        source: serde_json::Error,
    },
    /// It ended with a failure.
    #[error("{process:?} ended with {status}: {log}")]
    Failed {
        /// Which process.
        process: ProcessKind,
        /// How it ended.
        status: ExitStatus,
        /// The last lines of its log.
        log: String,
    },
    /// Its end can't be waited for.
    #[error("{process:?}: {source}")]
    Wait {
        /// Which process.
        process: ProcessKind,
        /// What the system said.
        source: io::Error,
    },
    /// It did not end in time.
    #[error("{process:?} did not end in time and was killed")]
    Killed {
        /// Which process.
        process: ProcessKind,
    },
    /// It did not listen in time.
    #[error("{process:?} did not listen in time: {log}")]
    NotListening {
        /// Which process.
        process: ProcessKind,
        /// The last lines of its log.
        log: String,
    },
}

impl RunError {
    /// An error of a file, by its path.
    pub(crate) fn file(path: &Path) -> impl FnOnce(io::Error) -> RunError {
        let path = path.to_owned();
        move |source| RunError::File { path, source }
    }

    /// An error of what a file holds, by its path.
    pub(crate) fn json(path: &Path) -> impl FnOnce(serde_json::Error) -> RunError {
        let path = path.to_owned();
        move |source| RunError::Json { path, source }
    }

    /// An error of a table, by its path.
    pub(crate) fn csv(path: &Path) -> impl Fn(csv::Error) -> RunError {
        let path = path.to_owned();
        move |source| RunError::Csv {
            path: path.clone(),
            source,
        }
    }

    /// A fault in the platform's settings.
    pub(crate) fn settings(fault: impl Display) -> RunError {
        RunError::Settings(fault.to_string())
    }
}

/// Why a capacity page, its slopes or its charts could not be made.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    /// A file or a folder can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A table does not hold what its columns promise.
    #[error("{}: not a table of this form: {source}", path.display())]
    Table {
        /// The file.
        path: PathBuf,
        /// What the reader or writer said.
        source: csv::Error,
    },
    /// The target file has faults, each with its place.
    #[error("{}", fault_lines(.0))]
    Target(Vec<Fault>),
    /// The page's template can't be filled in.
    #[error("the page's template: {0:#}")]
    Template(#[source] minijinja::Error),
    /// A chart can't be drawn.
    #[error("{}: can't be drawn: {cause}", path.display())]
    Chart {
        /// The file.
        path: PathBuf,
        /// What the drawing library said.
        cause: String,
    },
}

/// Faults of a file, one a line.
fn fault_lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}
