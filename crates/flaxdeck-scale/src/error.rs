//! Why a capacity page, its slopes or its charts could not be made.

use std::fmt;

use flaxdeck_plan::Fault;

/// What went wrong, with the file it went wrong at.
#[derive(Clone, Debug, PartialEq)]
pub enum CapacityError {
    /// A file or a folder can't be read or written.
    File { path: String, cause: String },
    /// A table does not hold what its columns promise.
    Table { path: String, cause: String },
    /// The target file has faults, each with its place.
    Target(Vec<Fault>),
    /// The page's template can't be filled in.
    Template(String),
    /// A chart can't be drawn.
    Chart { path: String, cause: String },
}

impl fmt::Display for CapacityError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            CapacityError::File { path, cause } => write!(out, "{path}: {cause}"),
            CapacityError::Table { path, cause } => {
                write!(out, "{path}: not a table of this form: {cause}")
            }
            CapacityError::Target(faults) => {
                let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
                write!(out, "{}", lines.join("\n"))
            }
            CapacityError::Template(cause) => write!(out, "the page's template: {cause}"),
            CapacityError::Chart { path, cause } => write!(out, "{path}: can't be drawn: {cause}"),
        }
    }
}

impl std::error::Error for CapacityError {}
