//! Charts drawn from synthetic measurements.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::path::PathBuf;

use flaxdeck_scale::charts;
use flaxdeck_scale::fit::fit;
use flaxdeck_scale::measurement::{Distribution, Measurement, Metric, Role};

fn row(
    distribution: Distribution,
    role: Role,
    metric: Metric,
    purges_per_s: f64,
    value: f64,
) -> Measurement {
    Measurement {
        run: format!("made-{purges_per_s}"),
        seed: 1,
        distribution,
        hollow_forwarders: 1_000,
        hosts: 100,
        purges_per_s,
        planners: 2,
        fault: "none".into(),
        role,
        metric,
        kind: String::new(),
        value,
    }
}

fn made_up_rows() -> Vec<Measurement> {
    let mut rows = Vec::new();
    for purges in [33.0, 100.0, 330.0] {
        for (distribution, bytes) in [(Distribution::EachEvent, 90.0), (Distribution::Digest, 3.0)]
        {
            let add = |role, metric, value| row(distribution, role, metric, purges, value);
            rows.push(add(
                Role::HollowForwarder,
                Metric::BytesInPerS,
                bytes * purges,
            ));
            rows.push(add(
                Role::HollowForwarder,
                Metric::DelayWorstMs,
                100.0 + purges,
            ));
            rows.push(add(Role::Planner, Metric::Cores, 1e-4 * bytes * purges));
        }
    }
    rows
}

/// A temporary folder that is deleted when the test ends.
struct Folder(PathBuf);

impl Folder {
    fn create(name: &str) -> Folder {
        let path =
            std::env::temp_dir().join(format!("flaxdeck-charts-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the temporary folder is created");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn charts_show_points_and_lines_of_both_distributions() {
    let folder = Folder::create("both");
    let written = charts::draw(&made_up_rows(), &folder.0).expect("the charts are drawn");
    let names: Vec<String> = written
        .iter()
        .filter_map(|path| path.file_name())
        .map(|name| name.to_string_lossy().into())
        .collect();
    assert_eq!(
        names,
        ["dispatcher-bytes.svg", "planner-cores.svg", "delays.svg"],
        "charts without measurements are not drawn"
    );
    let titled: Vec<&str> = charts::titles(&fit(&made_up_rows()))
        .into_iter()
        .map(|(file, _)| file)
        .collect();
    assert_eq!(
        titled, names,
        "`titles`, which the page uses, lists the charts that were drawn"
    );
    let text = std::fs::read_to_string(&written[0]).expect("the chart is read");
    assert!(text.starts_with("<svg") && text.trim_end().ends_with("</svg>"));
    assert_eq!(
        text.matches("<circle").count(),
        6 + 2,
        "one circle for each run and two in the legend"
    );
    assert!(text.contains("each event") && text.contains("digest"));
    assert!(text.contains("purges a second"));
}

#[test]
fn costs_and_delays_from_a_fully_busy_machine_are_not_drawn() {
    let folder = Folder::create("busy");
    let mut rows = made_up_rows();
    let idle = |(distribution, purges)| {
        row(
            distribution,
            Role::Coordinator,
            Metric::MachineIdleShare,
            purges,
            0.0,
        )
    };
    let runs = [33.0, 100.0, 330.0].map(|purges| {
        [
            (Distribution::EachEvent, purges),
            (Distribution::Digest, purges),
        ]
    });
    rows.extend(runs.into_iter().flatten().map(idle));
    let written = charts::draw(&rows, &folder.0).expect("the charts are drawn");
    assert_eq!(written, [folder.0.join("dispatcher-bytes.svg")]);
}

#[test]
fn drawing_twice_gives_identical_charts() {
    let folder = Folder::create("same");
    let read = || {
        let written = charts::draw(&made_up_rows(), &folder.0).expect("the charts are drawn");
        written
            .iter()
            .map(|path| std::fs::read_to_string(path).expect("the chart is read"))
            .collect::<Vec<_>>()
    };
    assert_eq!(read(), read());
}

#[test]
fn a_missing_folder_is_reported_with_the_path_of_the_chart() {
    let error = charts::draw(&made_up_rows(), &PathBuf::from("no/such/folder"))
        .expect_err("the folder does not exist");
    assert!(
        error
            .to_string()
            .starts_with("no/such/folder/dispatcher-bytes.svg: "),
        "{error}"
    );
}
