//! Raw results as Parquet files, compressed with zstd: a table of named columns, one row a line.

use std::fs::File;
use std::path::Path;
use std::sync::Arc;

use parquet::basic::{Compression, ZstdLevel};
use parquet::data_type::{ByteArray, ByteArrayType, DoubleType, Int64Type};
use parquet::errors::ParquetError;
use parquet::file::properties::WriterProperties;
use parquet::file::writer::SerializedFileWriter;
use parquet::schema::parser::parse_message_type;

/// One column; all of a table are of one length.
pub enum Column {
    /// Whole numbers.
    Whole(Vec<i64>),
    /// Numbers with fractions.
    Number(Vec<f64>),
    /// Texts.
    Text(Vec<String>),
}

impl Column {
    fn len(&self) -> usize {
        match self {
            Column::Whole(rows) => rows.len(),
            Column::Number(rows) => rows.len(),
            Column::Text(rows) => rows.len(),
        }
    }
}

/// Writes a table. The names are words of letters and underscores.
pub fn write(path: &Path, columns: &[(&str, Column)]) -> Result<(), String> {
    let rows = columns.first().map_or(0, |(_, column)| column.len());
    if let Some((name, _)) = columns.iter().find(|(_, column)| column.len() != rows) {
        return Err(format!(
            "{}: column {name} is not as long as the first",
            path.display()
        ));
    }
    write_columns(path, columns).map_err(|error| format!("{}: {error}", path.display()))
}

fn write_columns(path: &Path, columns: &[(&str, Column)]) -> Result<(), ParquetError> {
    let field = |(name, column): &(&str, Column)| match column {
        Column::Whole(_) => format!("required int64 {name};"),
        Column::Number(_) => format!("required double {name};"),
        Column::Text(_) => format!("required binary {name} (UTF8);"),
    };
    let fields: Vec<String> = columns.iter().map(field).collect();
    let schema = Arc::new(parse_message_type(&format!(
        "message rows {{ {} }}",
        fields.join(" ")
    ))?);
    let zstd = Compression::ZSTD(ZstdLevel::default());
    let properties = Arc::new(WriterProperties::builder().set_compression(zstd).build());
    let mut writer = SerializedFileWriter::new(File::create(path)?, schema, properties)?;
    let mut group = writer.next_row_group()?;
    for (_, column) in columns {
        let Some(mut to) = group.next_column()? else {
            break;
        };
        match column {
            Column::Whole(rows) => to.typed::<Int64Type>().write_batch(rows, None, None)?,
            Column::Number(rows) => to.typed::<DoubleType>().write_batch(rows, None, None)?,
            Column::Text(rows) => {
                let rows: Vec<ByteArray> = rows.iter().map(|text| text.as_str().into()).collect();
                to.typed::<ByteArrayType>().write_batch(&rows, None, None)?
            }
        };
        to.close()?;
    }
    group.close()?;
    writer.close()?;
    Ok(())
}
