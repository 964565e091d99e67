//! The error that ends the program: a message for the operator and an exit code for scripts.

use std::fmt::Display;
use std::path::PathBuf;

/// Exit code of a failure at run time.
const FAILED: u8 = 1;
/// Exit code for faults in a file or on the command line.
const USAGE: u8 = 2;

/// An error that ends the program, with its exit code and the message for standard error.
#[derive(Debug)]
pub(crate) struct ExitError {
    /// 1 if something failed while running, 2 if a file or the command line has faults.
    pub code: u8,
    /// The error message, of one or more lines.
    pub message: String,
}

impl ExitError {
    /// Returns the error of a failure at run time.
    pub(crate) fn failed(message: impl Display) -> ExitError {
        ExitError {
            code: FAILED,
            message: message.to_string(),
        }
    }
}

/// Returns the error for faults in a file or on the command line.
pub(crate) fn usage_error(message: impl Display) -> ExitError {
    ExitError {
        code: USAGE,
        message: message.to_string(),
    }
}

/// Returns the error for the faults of a file, with one line for each.
pub(crate) fn file_faults(faults: &[flaxdeck_plan::Fault]) -> ExitError {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    usage_error(lines.join("\n"))
}

/// Returns the path of the running program, from which further processes are started.
pub(crate) fn own_binary() -> Result<PathBuf, ExitError> {
    let path = std::env::current_exe();
    path.map_err(|error| {
        ExitError::failed(format!(
            "cannot determine the path of the running program: {error}"
        ))
    })
}
