//! Charts over made-up measurements.

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

/// A folder that goes with the test.
struct Folder(PathBuf);

impl Folder {
    fn create(name: &str) -> Folder {
        let path =
            std::env::temp_dir().join(format!("flaxdeck-charts-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder can be made");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn charts_hold_points_of_both_distributions_and_their_lines() {
    let folder = Folder::create("both");
    let written = charts::draw(&made_up_rows(), &folder.0).expect("they can be drawn");
    let names: Vec<String> = written
        .iter()
        .filter_map(|path| path.file_name())
        .map(|name| name.to_string_lossy().into())
        .collect();
    assert_eq!(
        names,
        ["dispatcher-bytes.svg", "planner-cores.svg", "delays.svg"],
        "what nobody measured is not drawn"
    );
    let titled: Vec<&str> = charts::titles(&fit(&made_up_rows()))
        .into_iter()
        .map(|(file, _)| file)
        .collect();
    assert_eq!(titled, names, "and the page names the same");
    let text = std::fs::read_to_string(&written[0]).expect("it can be read");
    assert!(text.starts_with("<svg") && text.trim_end().ends_with("</svg>"));
    assert_eq!(
        text.matches("<circle").count(),
        6 + 2,
        "a point a run and the two of the legend"
    );
    assert!(text.contains("each event") && text.contains("digest"));
    assert!(text.contains("purges a second"));
}

#[test]
fn costs_and_delays_of_a_full_machine_are_not_drawn() {
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
    let written = charts::draw(&rows, &folder.0).expect("they can be drawn");
    assert_eq!(written, [folder.0.join("dispatcher-bytes.svg")]);
}

#[test]
fn a_chart_is_the_same_each_time() {
    let folder = Folder::create("same");
    let read = || {
        let written = charts::draw(&made_up_rows(), &folder.0).expect("they can be drawn");
        written
            .iter()
            .map(|path| std::fs::read_to_string(path).expect("it is there"))
            .collect::<Vec<_>>()
    };
    assert_eq!(read(), read());
}

#[test]
fn a_folder_that_is_not_there_is_told() {
    let error = charts::draw(&made_up_rows(), &PathBuf::from("no/such/folder"))
        .expect_err("it is not there");
    assert!(
        error
            .to_string()
            .starts_with("no/such/folder/dispatcher-bytes.svg: "),
        "{error}"
    );
}
