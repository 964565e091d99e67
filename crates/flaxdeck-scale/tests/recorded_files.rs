//! Files of earlier revisions have to stay readable: the recorded runs of the capacity page, the scale files and the
//! site files. The fixture holds a digest of each file as of revision 45b174f.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::path::{Path, PathBuf};

use flaxdeck_scale::files::{read_table, table_text};
use flaxdeck_scale::measurement::Measurement;
use flaxdeck_scale::scenario::read;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Lists the recorded files by their paths from the repository's root, each with a digest of its bytes.
fn digests() -> String {
    let mut lines = Vec::new();
    for (folder, extension) in [
        ("deploy/sites", "toml"),
        ("docs/capacity", "csv"),
        ("docs/capacity", "plan"),
        ("docs/capacity/runs", "csv"),
        ("scale", "scale"),
    ] {
        for entry in std::fs::read_dir(root().join(folder)).expect(folder) {
            let path = entry.expect("the folder is listed").path();
            if path.extension().is_none_or(|found| found != extension) {
                continue;
            }
            let bytes = std::fs::read(&path).expect("the file is read");
            let name = path
                .file_name()
                .expect("the path has a file name")
                .to_string_lossy()
                .into_owned();
            lines.push(format!("{folder}/{name} {:016x}", fnv(&bytes)));
        }
    }
    lines.sort();
    lines.join("\n") + "\n"
}

/// Computes the 64-bit FNV-1a hash.
fn fnv(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3)
    })
}

fn assert_recorded(name: &str, text: &str) {
    let path = format!("{}/tests/fixtures/{name}", env!("CARGO_MANIFEST_DIR"));
    let recorded = std::fs::read_to_string(path).expect("the fixture is read");
    assert_eq!(
        recorded, text,
        "the contents differ from the fixture {name}"
    );
}

#[test]
fn operator_files_and_recorded_runs_match_the_recorded_digests() {
    assert_recorded("files.digests", &digests());
}

#[test]
fn recorded_runs_survive_a_round_trip_byte_for_byte() {
    let folder = root().join("docs/capacity/runs");
    let mut files = 0;
    for entry in std::fs::read_dir(folder).expect("the folder of recorded runs is listed") {
        let path = entry.expect("the folder is listed").path();
        let rows: Vec<Measurement> =
            read_table(&path).expect("the file is a table of measurements");
        let text = std::fs::read_to_string(&path).expect("the file is read as text");
        assert!(
            table_text(&rows).expect("the rows are written as CSV") == text,
            "{} differs after reading and writing it",
            path.display()
        );
        files += 1;
    }
    assert!(
        files > 10,
        "found only {files} recorded runs, expected more than 10"
    );
}

#[test]
fn a_scale_file_is_parsed_to_the_recorded_values() {
    let text = include_str!("fixtures/planner-killed.scale");
    let scenario = read("planner-killed.scale", text).expect("the fixture is a valid scale file");
    let point = &scenario.points[0];
    let sizes = [
        f64::from(point.hollow),
        f64::from(point.processes),
        f64::from(point.hosts),
        f64::from(point.planners),
        f64::from(point.real),
        point.purges_per_s,
        point.host_changes_per_s,
    ];
    let times = [
        scenario.times.settle_s,
        scenario.times.window_s,
        scenario.times.drain_s,
    ];
    let fault = scenario.fault.expect("the scale file has a fault");
    let summary = format!(
        "{} seed {} runs {} points {}\nsizes {sizes:?}\ntimes {times:?}\nreports {} {:?}\nfault {} at {} lasts {}\n",
        scenario.name,
        scenario.seed,
        scenario.runs,
        scenario.points.len(),
        scenario.report_every_ms,
        scenario.distribution,
        fault.kind.word(),
        fault.at_s,
        fault.lasts_s,
    );
    assert_recorded("planner-killed.meaning", &summary);
}
