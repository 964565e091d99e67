//! Writes raw results to Parquet files compressed with zstd: a table of named columns with one row per result.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use parquet::basic::{Compression, ZstdLevel};
use parquet::data_type::{ByteArray, ByteArrayType, DoubleType, Int64Type};
use parquet::errors::ParquetError;
use parquet::file::properties::WriterProperties;
use parquet::file::writer::{SerializedColumnWriter, SerializedFileWriter};
use parquet::schema::parser::parse_message_type;

/// An error of [`write_table`].
#[derive(Debug, thiserror::Error)]
pub enum TableError {
    /// The columns have different numbers of rows.
    #[error("cannot write {}: column {column} and the first column differ in their number of rows", path.display())]
    UnevenColumns {
        /// The file that was to be written.
        path: PathBuf,
        /// The first column with another number of rows than the table's first column.
        column: String,
    },
    /// The file cannot be written, or a column name contains other characters than letters and underscores.
    #[error("cannot write {}: {source}", path.display())]
    Write {
        /// The file that was to be written.
        path: PathBuf,
        /// The error of the Parquet writer.
        source: ParquetError,
    },
}

/// The values of a column, one for each row.
#[derive(Clone, Debug, PartialEq)]
enum Values {
    Integers(Vec<i64>),
    Floats(Vec<f64>),
    Texts(Vec<String>),
}

/// A named column. All columns of a table have the same number of rows.
#[derive(Clone, Debug, PartialEq)]
pub struct Column {
    name: &'static str,
    values: Values,
}

impl Column {
    /// Creates a column of 64-bit integers.
    pub fn integers(name: &'static str, rows: Vec<i64>) -> Column {
        let values = Values::Integers(rows);
        Column { name, values }
    }

    /// Creates a column of floating-point numbers.
    pub fn floats(name: &'static str, rows: Vec<f64>) -> Column {
        let values = Values::Floats(rows);
        Column { name, values }
    }

    /// Creates a column of strings.
    pub fn texts(name: &'static str, rows: Vec<String>) -> Column {
        let values = Values::Texts(rows);
        Column { name, values }
    }

    fn len(&self) -> usize {
        match &self.values {
            Values::Integers(rows) => rows.len(),
            Values::Floats(rows) => rows.len(),
            Values::Texts(rows) => rows.len(),
        }
    }

    /// Returns the declaration of the column in the Parquet schema.
    fn declaration(&self) -> String {
        let name = self.name;
        match self.values {
            Values::Integers(_) => format!("required int64 {name};"),
            Values::Floats(_) => format!("required double {name};"),
            Values::Texts(_) => format!("required binary {name} (UTF8);"),
        }
    }

    fn write(&self, writer: &mut SerializedColumnWriter<'_>) -> Result<(), ParquetError> {
        match &self.values {
            Values::Integers(rows) => writer.typed::<Int64Type>().write_batch(rows, None, None)?,
            Values::Floats(rows) => writer.typed::<DoubleType>().write_batch(rows, None, None)?,
            Values::Texts(rows) => {
                let rows: Vec<ByteArray> = rows.iter().map(|text| text.as_str().into()).collect();
                writer
                    .typed::<ByteArrayType>()
                    .write_batch(&rows, None, None)?
            }
        };
        Ok(())
    }
}

/// Writes a table to a new file at `path`, replacing an existing one. Column names consist of letters and underscores.
///
/// # Errors
///
/// [`TableError::UnevenColumns`] if the columns differ in their number of rows, [`TableError::Write`] if the file
/// cannot be written or a column name is invalid.
pub fn write_table(path: &Path, columns: &[Column]) -> Result<(), TableError> {
    let rows = columns.first().map_or(0, Column::len);
    if let Some(uneven) = columns.iter().find(|column| column.len() != rows) {
        return Err(TableError::UnevenColumns {
            path: path.to_owned(),
            column: uneven.name.to_owned(),
        });
    }
    write_columns(path, columns).map_err(|source| TableError::Write {
        path: path.to_owned(),
        source,
    })
}

fn write_columns(path: &Path, columns: &[Column]) -> Result<(), ParquetError> {
    let declarations: Vec<String> = columns.iter().map(Column::declaration).collect();
    let schema = format!("message rows {{ {} }}", declarations.join(" "));
    let schema = Arc::new(parse_message_type(&schema)?);
    let zstd = Compression::ZSTD(ZstdLevel::default());
    let properties = Arc::new(WriterProperties::builder().set_compression(zstd).build());
    let mut writer = SerializedFileWriter::new(File::create(path)?, schema, properties)?;
    let mut group = writer.next_row_group()?;
    for column in columns {
        let Some(mut column_writer) = group.next_column()? else {
            break;
        };
        column.write(&mut column_writer)?;
        column_writer.close()?;
    }
    group.close()?;
    writer.close()?;
    Ok(())
}
