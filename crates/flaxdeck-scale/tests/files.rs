//! Scale files: their contents, faults reported with their position, and sizes over a limit of the machine.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use flaxdeck_scale::bounds::{Bound, check};
use flaxdeck_scale::measurement::Distribution;
use flaxdeck_scale::scenario::{FaultKind, Point, read};

fn faults(text: &str) -> Vec<String> {
    read("x.scale", text)
        .err()
        .into_iter()
        .flatten()
        .map(|fault| fault.to_string())
        .collect()
}

#[test]
fn all_committed_scale_files_are_valid_and_within_the_limits() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scale");
    let mut files = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();
        let scenario = read(&path.to_string_lossy(), &text)
            .unwrap_or_else(|faults| panic!("{}: {faults:?}", path.display()));
        for point in &scenario.points {
            assert_eq!(check(point), Ok(()), "{}: {point:?}", path.display());
        }
        files += 1;
    }
    assert!(files > 0, "no scale files in {folder}");
}

#[test]
fn points_override_sizes_and_rates_of_the_file() {
    let text = "(scale (name \"a\") (seed 5) (runs 2) (sizes (hollow 300) (hosts 1000)) (rates (purges 33))
        (distribution digest) (times (window-s 12)) (fault (kind planner-hung) (at-s 3) (lasts-s 4))
        (point (purges 100)) (point (hollow 1000) (processes 5)))";
    let scenario = read("x.scale", text).unwrap();
    assert_eq!(
        (scenario.seed, scenario.runs, scenario.distribution),
        (5, 2, Distribution::Digest)
    );
    let fault = scenario.fault.unwrap();
    assert_eq!(
        (fault.kind, fault.at_s, fault.lasts_s),
        (FaultKind::PlannerHung, 3.0, 4.0)
    );
    let [first, second] = &scenario.points[..] else {
        panic!("{:?}", scenario.points)
    };
    assert_eq!(
        (
            first.hollow,
            first.processes,
            first.hosts,
            first.purges_per_s
        ),
        (300, 3, 1000, 100.0)
    );
    assert_eq!(
        (second.hollow, second.processes, second.purges_per_s),
        (1000, 5, 33.0)
    );
}

#[test]
fn invalid_files_are_rejected_with_position_and_reason() {
    // `@` marks the expected position of the fault and is removed before parsing.
    for (rest, what) in [
        (" @(sises (hollow 3)))", "write sizes"),
        (" (sizes (hollow @0)))", "it must be a number from 1 to"),
        (
            " (sizes (hosts 100) @(hosts 200)))",
            "hosts is set a second time",
        ),
        (" (rates @(purge 3)))", "write purges"),
        (" (fault (kind @planner-gone)))", "write planner-hung"),
        (" @(fault (at-s 3)))", "kind is missing"),
        (
            " (times (window-s 5)) @(fault (kind planner-hung) (at-s 3) (lasts-s 4)))",
            "would not be measured",
        ),
        (" (distribution @all))", "one of: each-event digest"),
        (" (point @(seed 3)))", "seed is not known in (point ...)"),
    ] {
        let text = format!("(scale (name \"a\"){rest}");
        let column = text.find('@').unwrap() + 1;
        let found = faults(&text.replace('@', ""));
        let place = format!("x.scale:1:{column}: ");
        assert!(
            found.len() == 1 && found[0].starts_with(&place) && found[0].contains(what),
            "{rest}: {found:?}"
        );
    }
    assert!(faults("(scale)")[0].contains("name is missing"));
}

#[test]
fn a_size_over_a_limit_is_rejected_with_the_exceeded_limit() {
    let point = Point {
        hollow: 100,
        processes: 2,
        hosts: 1_000,
        planners: 2,
        real: 3,
        purges_per_s: 330.0,
        host_changes_per_s: 1.0,
    };
    let over = |point: Point| check(&point).err().map(|over| over.bound);
    assert_eq!(over(point), None);
    assert_eq!(
        over(Point {
            processes: 194,
            ..point
        }),
        Some(Bound::Processes)
    );
    assert_eq!(
        over(Point {
            hollow: 8_000,
            processes: 1,
            hosts: 10,
            ..point
        }),
        Some(Bound::Descriptors)
    );
    assert_eq!(
        over(Point {
            hollow: 5_000,
            processes: 50,
            hosts: 3_500,
            ..point
        }),
        Some(Bound::Memory)
    );
}
