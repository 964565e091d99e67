//! Files of earlier revisions that have to stay readable: the recorded runs of the capacity page, the scale files and
//! the sites of the plays, with a digest of each as revision 45b174f had it.

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

/// The files of these folders by their paths from the repository's root, each with a digest of its bytes.
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
            let path = entry.expect("a file").path();
            if path.extension().is_none_or(|found| found != extension) {
                continue;
            }
            let bytes = std::fs::read(&path).expect("a file that can be read");
            let name = path
                .file_name()
                .expect("a name")
                .to_string_lossy()
                .into_owned();
            lines.push(format!("{folder}/{name} {:016x}", fnv(&bytes)));
        }
    }
    lines.sort();
    lines.join("\n") + "\n"
}

/// FNV-1a of 64 bits.
fn fnv(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3)
    })
}

fn assert_recorded(name: &str, text: &str) {
    let path = format!("{}/tests/fixtures/{name}", env!("CARGO_MANIFEST_DIR"));
    let recorded = std::fs::read_to_string(path).expect("a recorded file");
    assert_eq!(recorded, text, "{name}");
}

#[test]
fn files_of_operators_and_recorded_runs_are_those_of_the_record() {
    assert_recorded("files.digests", &digests());
}

#[test]
fn recorded_runs_are_read_and_written_without_a_changed_byte() {
    let folder = root().join("docs/capacity/runs");
    let mut files = 0;
    for entry in std::fs::read_dir(folder).expect("the recorded runs") {
        let path = entry.expect("a file").path();
        let rows: Vec<Measurement> = read_table(&path).expect("a table of measurements");
        let text = std::fs::read_to_string(&path).expect("a text");
        assert!(
            table_text(&rows).expect("a table") == text,
            "{} is written otherwise",
            path.display()
        );
        files += 1;
    }
    assert!(files > 10, "{files} recorded runs");
}

#[test]
fn a_scale_file_keeps_its_meaning() {
    let text = include_str!("fixtures/planner-killed.scale");
    let scenario = read("planner-killed.scale", text).expect("a scale file");
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
    let fault = scenario.fault.expect("a fault");
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
