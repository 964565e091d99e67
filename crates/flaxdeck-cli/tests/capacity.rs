//! Files, output and exit codes of `flaxdeck capacity`, run as a process.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const TARGET: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../docs/capacity/target.plan"
);

fn flaxdeck(arguments: &[&Path]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_flaxdeck"));
    command
        .arg("capacity")
        .args(arguments)
        .output()
        .expect("flaxdeck can be started")
}

/// A temporary folder that is removed when the test ends.
struct Folder(PathBuf);

impl Folder {
    fn create(name: &str) -> Folder {
        let path =
            std::env::temp_dir().join(format!("flaxdeck-capacity-{name}-{}", std::process::id()));
        std::fs::create_dir_all(path.join("runs")).expect("the temporary folder can be created");
        Folder(path)
    }
    fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Measurements of a hollow forwarder that receives 80 bytes for each purge.
fn rows() -> String {
    let head = "run,seed,distribution,hollow_forwarders,hosts,purges_per_s,planners,fault,role,metric,kind,value";
    let row = |(seed, purges): (u32, f64)| {
        let value = 80.0 * purges;
        format!(
            "made-{seed},{seed},each_event,100,3500,{purges},2,none,hollow_forwarder,bytes_in_per_s,feed,{value}"
        )
    };
    let points = [33.0, 100.0, 330.0]
        .into_iter()
        .flat_map(|purges| [(1, purges), (2, purges)]);
    let lines: Vec<String> = std::iter::once(head.to_owned())
        .chain(points.map(row))
        .collect();
    lines.join("\n") + "\n"
}

#[test]
fn measurements_give_slopes_charts_and_the_page() {
    let folder = Folder::create("valid");
    let (runs, slopes) = (folder.path("runs"), folder.path("slopes.csv"));
    std::fs::write(runs.join("made.csv"), rows()).expect("the file can be written");
    let fitted = flaxdeck(&[Path::new("fit"), &runs, &slopes]);
    assert!(
        fitted.status.success(),
        "{}",
        String::from_utf8_lossy(&fitted.stderr)
    );
    assert_eq!(
        String::from_utf8_lossy(&fitted.stdout),
        "6 rows of runs: 1 lines, 1 of them slopes\n"
    );
    let drawn = flaxdeck(&[Path::new("charts"), &runs, &folder.0]);
    assert!(
        drawn.status.success(),
        "{}",
        String::from_utf8_lossy(&drawn.stderr)
    );
    assert!(folder.path("dispatcher-bytes.svg").exists());
    let printed = flaxdeck(&[&slopes, Path::new(TARGET)]);
    assert!(
        printed.status.success(),
        "{}",
        String::from_utf8_lossy(&printed.stderr)
    );
    let page = String::from_utf8_lossy(&printed.stdout).into_owned();
    assert!(
        page.contains("| 26,400 bytes/s | **13.2 over** | slope x 1 |"),
        "{page}"
    );
    assert!(page.contains("| made | 1, 2 |"), "{page}");
}

#[test]
fn faulty_or_missing_files_exit_with_2() {
    let folder = Folder::create("faults");
    let (slopes, target) = (folder.path("slopes.csv"), folder.path("bad.plan"));
    std::fs::write(&slopes, "").expect("the file can be written");
    std::fs::write(&target, "(target (fleet))").expect("the file can be written");
    let printed = flaxdeck(&[&slopes, &target]);
    assert_eq!(printed.status.code(), Some(2));
    let message = String::from_utf8_lossy(&printed.stderr).into_owned();
    assert!(
        message.contains("bad.plan:1:9: dispatchers is missing in (fleet ...)"),
        "{message}"
    );
    assert!(
        printed.stdout.is_empty(),
        "a faulty target must not give part of a page"
    );
    std::fs::write(&slopes, "a,b\n1,2\n").expect("the file can be written");
    let printed = flaxdeck(&[&slopes, Path::new(TARGET)]);
    assert_eq!(printed.status.code(), Some(2));
    assert!(
        String::from_utf8_lossy(&printed.stderr)
            .contains("slopes.csv: cannot read or write the rows as CSV: ")
    );
    assert_eq!(
        flaxdeck(&[Path::new("fit"), &folder.path("nothing"), &slopes])
            .status
            .code(),
        Some(2)
    );
    assert_eq!(
        flaxdeck(&[&slopes]).status.code(),
        Some(2),
        "the target argument is missing"
    );
}
