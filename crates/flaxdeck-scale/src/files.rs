//! Reads and writes CSV files: the measurements of runs and the lines fitted to them.

use std::path::{Path, PathBuf};

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::CapacityError;
use crate::measurement::Measurement;

fn file_error(path: &Path) -> impl Fn(std::io::Error) -> CapacityError {
    let path = path.to_owned();
    move |source| CapacityError::File {
        path: path.clone(),
        source,
    }
}

fn table_error(path: &Path) -> impl Fn(csv::Error) -> CapacityError {
    let path = path.to_owned();
    move |source| CapacityError::Table {
        path: path.clone(),
        source,
    }
}

/// Reads the text of a file.
///
/// # Errors
///
/// [`CapacityError::File`] if it can't be read.
pub fn read_text(path: &Path) -> Result<String, CapacityError> {
    std::fs::read_to_string(path).map_err(file_error(path))
}

/// Reads all rows of a CSV file whose first line names the columns.
///
/// # Errors
///
/// [`CapacityError::File`] if it can't be read, [`CapacityError::Table`] if a row does not match the columns of
/// `T`.
pub fn read_table<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>, CapacityError> {
    let text = read_text(path)?;
    let mut reader = csv::Reader::from_reader(text.as_bytes());
    let rows: Result<Vec<T>, csv::Error> = reader.deserialize().collect();
    rows.map_err(table_error(path))
}

/// Formats rows as CSV text, with the column names in the first line.
///
/// # Errors
///
/// If a row can't be written as CSV.
pub fn table_text<T: Serialize>(rows: &[T]) -> Result<String, csv::Error> {
    let mut text = Vec::new();
    let mut writer = csv::Writer::from_writer(&mut text);
    for row in rows {
        writer.serialize(row)?;
    }
    writer.flush()?;
    drop(writer);
    Ok(String::from_utf8_lossy(&text).into_owned())
}

/// Writes rows as a CSV file.
///
/// # Errors
///
/// [`CapacityError::Table`] if a row can't be written as CSV, [`CapacityError::File`] if the file can't be written.
pub fn write_table<T: Serialize>(path: &Path, rows: &[T]) -> Result<(), CapacityError> {
    let text = table_text(rows).map_err(table_error(path))?;
    std::fs::write(path, text).map_err(file_error(path))
}

/// Returns the CSV files of a folder, sorted by name.
fn csv_files(folder: &Path) -> Result<Vec<PathBuf>, CapacityError> {
    let entries = std::fs::read_dir(folder).map_err(file_error(folder))?;
    let mut paths = Vec::new();
    for entry in entries {
        let path = entry.map_err(file_error(folder))?.path();
        if path.extension().is_some_and(|extension| extension == "csv") {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

/// Reads the measurements of all runs in a folder, in the order of the file names.
///
/// # Errors
///
/// The errors of [`read_table`], and [`CapacityError::File`] if the folder can't be read.
pub fn read_runs(folder: &Path) -> Result<Vec<Measurement>, CapacityError> {
    let mut measurements = Vec::new();
    for path in csv_files(folder)? {
        measurements.extend(read_table::<Measurement>(&path)?);
    }
    Ok(measurements)
}
