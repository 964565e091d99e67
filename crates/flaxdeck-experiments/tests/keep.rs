//! Tables are read as they were written.

use std::fs::File;

use flaxdeck_experiments::keep::{Column, write};

use parquet::file::reader::{FileReader, SerializedFileReader};

#[test]
fn a_table_is_read_as_it_was_written() {
    let path = std::env::temp_dir().join(format!(
        "flaxdeck-experiments-{}.parquet",
        std::process::id()
    ));
    let texts = ["plain", "cold"].map(String::from).to_vec();
    let columns = [
        ("run", Column::Whole(vec![1, 2])),
        ("share", Column::Number(vec![0.5, 1.0])),
        ("world", Column::Text(texts)),
    ];
    write(&path, &columns).unwrap();
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
    let uneven = [("a", Column::Whole(vec![1])), ("b", Column::Whole(vec![]))];
    assert!(write(&path, &uneven).is_err_and(|why| why.contains("column b")));
}
