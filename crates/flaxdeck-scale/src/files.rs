//! Tables on disk: the measurements of the runs and the lines fitted to them, as CSV.

use std::path::{Path, PathBuf};

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::CapacityError;
use crate::measurement::Measurement;

fn file_error(path: &Path, cause: impl ToString) -> CapacityError {
    CapacityError::File {
        path: path.display().to_string(),
        cause: cause.to_string(),
    }
}

fn table_error(path: &Path, cause: impl ToString) -> CapacityError {
    CapacityError::Table {
        path: path.display().to_string(),
        cause: cause.to_string(),
    }
}

/// The text of a file.
pub fn read_text(path: &Path) -> Result<String, CapacityError> {
    std::fs::read_to_string(path).map_err(|error| file_error(path, error))
}

/// All rows of a CSV file whose first line names the columns.
pub fn read_table<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>, CapacityError> {
    let text = read_text(path)?;
    let mut reader = csv::Reader::from_reader(text.as_bytes());
    let rows: Result<Vec<T>, csv::Error> = reader.deserialize().collect();
    rows.map_err(|error| table_error(path, error))
}

/// Rows as CSV text, with the names of the columns first.
pub fn table_text<T: Serialize>(rows: &[T]) -> Result<String, String> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    for row in rows {
        writer.serialize(row).map_err(|error| error.to_string())?;
    }
    let bytes = writer.into_inner().map_err(|error| error.to_string())?;
    String::from_utf8(bytes).map_err(|error| error.to_string())
}

/// Writes rows as a CSV file.
pub fn write_table<T: Serialize>(path: &Path, rows: &[T]) -> Result<(), CapacityError> {
    let text = table_text(rows).map_err(|cause| table_error(path, cause))?;
    std::fs::write(path, text).map_err(|error| file_error(path, error))
}

/// The CSV files of a folder, by name.
fn tables_within(folder: &Path) -> Result<Vec<PathBuf>, CapacityError> {
    let entries = std::fs::read_dir(folder).map_err(|error| file_error(folder, error))?;
    let mut paths = Vec::new();
    for entry in entries {
        let path = entry.map_err(|error| file_error(folder, error))?.path();
        if path.extension().is_some_and(|extension| extension == "csv") {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

/// The measurements of all runs in a folder, file by file.
pub fn read_runs(folder: &Path) -> Result<Vec<Measurement>, CapacityError> {
    let mut measurements = Vec::new();
    for path in tables_within(folder)? {
        measurements.extend(read_table::<Measurement>(&path)?);
    }
    Ok(measurements)
}
