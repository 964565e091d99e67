//! Writes tables to Parquet files and reads them back.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::fs::File;

use flaxdeck_experiments::parquet_table::{Column, TableError, write_table};

use parquet::file::reader::{FileReader, SerializedFileReader};

#[test]
fn a_written_table_reads_back_equal() {
    let path = std::env::temp_dir().join(format!(
        "flaxdeck-experiments-{}.parquet",
        std::process::id()
    ));
    let texts = ["plain", "cold"].map(String::from).to_vec();
    let columns = [
        Column::integers("run", vec![1, 2]),
        Column::floats("share", vec![0.5, 1.0]),
        Column::texts("world", texts),
    ];
    write_table(&path, &columns).unwrap();
    let reader = SerializedFileReader::new(File::open(&path).unwrap()).unwrap();
    let rows: Vec<String> = reader
        .get_row_iter(None)
        .unwrap()
        .map(|row| row.unwrap().to_string())
        .collect();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(
        rows,
        [
            r#"{run: 1, share: 0.5, world: "plain"}"#,
            r#"{run: 2, share: 1.0, world: "cold"}"#
        ]
    );
}

#[test]
fn columns_with_different_numbers_of_rows_are_an_error() {
    let path = std::env::temp_dir().join("flaxdeck-experiments-uneven.parquet");
    let uneven = [
        Column::integers("a", vec![1]),
        Column::integers("b", vec![]),
    ];
    let error = write_table(&path, &uneven).unwrap_err();
    assert!(matches!(&error, TableError::UnevenColumns { column, .. } if column == "b"));
    assert!(error.to_string().contains("column b"), "{error}");
}
