//! The target's file: faults with their places, and the means that follow from it.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use flaxdeck_scale::target::{self, Target};

const FILE: &str = include_str!("../../../docs/capacity/target.plan");

fn committed() -> Target {
    target::read("target.plan", FILE).expect("it has no faults")
}

/// The faults of the committed file with something in it replaced, as lines.
fn faults_with(old: &str, new: &str) -> Vec<String> {
    assert!(FILE.contains(old), "the file holds {old}");
    let faults =
        target::read("target.plan", &FILE.replace(old, new)).expect_err("there is a fault");
    faults.iter().map(ToString::to_string).collect()
}

#[test]
fn means_follow_from_what_is_written() {
    let target = committed();
    let rounded = |value: f64| value.round();
    assert_eq!(rounded(target.mean_requests_per_s()), 929.0);
    assert_eq!(rounded(target.dispatchers_per_site()), 15.0);
    assert_eq!(rounded(target.dispatchers_per_region()), 318.0);
    assert_eq!(rounded(target.hosts_per_region()), 80.0);
    assert_eq!(rounded(target.dispatchers_per_zone()), 147.0);
    assert_eq!(rounded(target.hosts_per_zone()), 37.0);
    assert_eq!(rounded(100.0 * target.change_interval_s()), 105.0);
    assert_eq!(target.dispatchers_per_planner(), 1_167.0);
    assert_eq!(target.storm_per_s(), 3_300.0);
    assert_eq!(target.budget_memory_bytes(), 64_000_000.0);
}

#[test]
fn a_misspelt_word_is_told_with_its_place_and_the_nearest_one() {
    let faults = faults_with("(regions 44)", "(region 44)");
    assert_eq!(
        faults.len(),
        2,
        "it is not known, and the right one is missing: {faults:?}"
    );
    assert!(
        faults[0].starts_with("target.plan:4:3: regions is missing in (fleet ...)"),
        "{faults:?}"
    );
    assert!(
        faults[1].starts_with("target.plan:4:55: region is not known in (fleet ...)"),
        "{faults:?}"
    );
    assert!(faults[1].ends_with("write regions"), "{faults:?}");
}

#[test]
fn a_number_out_of_its_bounds_is_told_with_its_place() {
    let faults = faults_with("(core-share 0.02)", "(core-share 2)");
    assert_eq!(faults.len(), 1);
    assert!(
        faults[0].starts_with("target.plan:12:23: core-share is 2"),
        "{faults:?}"
    );
}

#[test]
fn what_is_left_out_has_no_default() {
    let faults = faults_with("(purge-storm (times 10) (for-s 10))", "");
    assert_eq!(faults.len(), 1);
    assert!(
        faults[0].starts_with("target.plan:18:3: purge-storm is missing in (events ...)"),
        "{faults:?}"
    );
}

#[test]
fn what_stands_twice_is_a_fault() {
    let faults = faults_with("(sites 930)", "(sites 930) (sites 931)");
    assert_eq!(faults.len(), 1);
    assert!(
        faults[0].contains("sites is set a second time"),
        "{faults:?}"
    );
}

#[test]
fn a_file_that_is_no_form_is_told() {
    let faults = target::read("target.plan", "(target (fleet").expect_err("it is cut off");
    assert!(
        faults[0].to_string().starts_with("target.plan:1:"),
        "{}",
        faults[0]
    );
}
