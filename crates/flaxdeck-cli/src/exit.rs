//! What ends the program: a message for the operator, and an exit code that scripts can use.

use std::fmt::Display;
use std::path::PathBuf;

/// Something failed while running.
const FAILED: u8 = 1;
/// A file or the command line has faults.
const USAGE: u8 = 2;

/// What ends the program: the exit code, and what is printed on standard error.
#[derive(Debug)]
pub(crate) struct ExitError {
    /// 1 if something failed while running, 2 if a file or the command line has faults.
    pub code: u8,
    /// What went wrong, in one or more lines.
    pub message: String,
}

impl ExitError {
    /// Something failed while running.
    pub(crate) fn failed(message: impl Display) -> ExitError {
        ExitError {
            code: FAILED,
            message: message.to_string(),
        }
    }
}

/// A file or the command line has faults.
pub(crate) fn usage_error(message: impl Display) -> ExitError {
    ExitError {
        code: USAGE,
        message: message.to_string(),
    }
}

/// The faults of a file, one a line.
pub(crate) fn file_faults(faults: &[flaxdeck_plan::Fault]) -> ExitError {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    usage_error(lines.join("\n"))
}

/// The path of this program, to start further processes of it.
pub(crate) fn own_binary() -> Result<PathBuf, ExitError> {
    let path = std::env::current_exe();
    path.map_err(|error| ExitError::failed(format!("no path of this program: {error}")))
}
