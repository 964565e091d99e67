//! Reading and writing the files of a fleet's programs.

use std::path::Path;

use serde_json::Value;

use crate::error::EmulatorError;

pub(super) fn write_file(path: &Path, text: &str) -> Result<(), EmulatorError> {
    std::fs::write(path, text).map_err(|source| EmulatorError::File {
        path: path.to_owned(),
        source,
    })
}

pub(super) fn read_json(path: &Path) -> Result<Value, EmulatorError> {
    let text = std::fs::read_to_string(path).map_err(|source| EmulatorError::File {
        path: path.to_owned(),
        source,
    })?;
    serde_json::from_str(&text).map_err(|source| EmulatorError::Configuration {
        path: path.to_owned(),
        source,
    })
}
