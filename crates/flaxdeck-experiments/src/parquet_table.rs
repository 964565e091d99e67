//! Raw results as Parquet files, compressed with zstd: a table of named columns, one row a result.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use parquet::basic::{Compression, ZstdLevel};
use parquet::data_type::{ByteArray, ByteArrayType, DoubleType, Int64Type};
use parquet::errors::ParquetError;
use parquet::file::properties::WriterProperties;
use parquet::file::writer::{SerializedColumnWriter, SerializedFileWriter};
use parquet::schema::parser::parse_message_type;

/// Why a table was not written.
#[derive(Debug, thiserror::Error)]
pub enum TableError {
    /// The columns have different numbers of rows.
    #[error("{}: column {column} is not as long as the first", path.display())]
    UnevenColumns {
        /// The file that was to be written.
        path: PathBuf,
        /// The first column that differs.
        column: String,
    },
    /// The file can't be written, or a column's name is not a word of letters and underscores.
    #[error("{}: {source}", path.display())]
    Write {
        /// The file that was to be written.
        path: PathBuf,
        /// What the writer said.
        source: ParquetError,
    },
}

/// The rows of a column.
#[derive(Clone, Debug, PartialEq)]
enum Values {
    Integers(Vec<i64>),
    Floats(Vec<f64>),
    Texts(Vec<String>),
}

/// One named column; all of a table are of one length.
#[derive(Clone, Debug, PartialEq)]
pub struct Column {
    name: &'static str,
    values: Values,
}

impl Column {
    /// Whole numbers.
    pub fn integers(name: &'static str, rows: Vec<i64>) -> Column {
        let values = Values::Integers(rows);
        Column { name, values }
    }

    /// Numbers with fractions.
    pub fn floats(name: &'static str, rows: Vec<f64>) -> Column {
        let values = Values::Floats(rows);
        Column { name, values }
    }

    /// Texts.
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

    /// The column as the schema declares it.
    fn declaration(&self) -> String {
        let name = self.name;
        match self.values {
            Values::Integers(_) => format!("required int64 {name};"),
            Values::Floats(_) => format!("required double {name};"),
            Values::Texts(_) => format!("required binary {name} (UTF8);"),
        }
    }

    fn write(&self, to: &mut SerializedColumnWriter<'_>) -> Result<(), ParquetError> {
        match &self.values {
            Values::Integers(rows) => to.typed::<Int64Type>().write_batch(rows, None, None)?,
            Values::Floats(rows) => to.typed::<DoubleType>().write_batch(rows, None, None)?,
            Values::Texts(rows) => {
                let rows: Vec<ByteArray> = rows.iter().map(|text| text.as_str().into()).collect();
                to.typed::<ByteArrayType>().write_batch(&rows, None, None)?
            }
        };
        Ok(())
    }
}

/// Writes a table. The columns' names are words of letters and underscores.
///
/// # Errors
///
/// [`TableError::UnevenColumns`] if the columns differ in length, [`TableError::Write`] if the file can't be written.
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
        let Some(mut to) = group.next_column()? else {
            break;
        };
        column.write(&mut to)?;
        to.close()?;
    }
    group.close()?;
    writer.close()?;
    Ok(())
}
