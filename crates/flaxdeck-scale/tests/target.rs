//! The target file: faults reported with their positions, and averages computed from its fields.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use flaxdeck_scale::target::{self, Target};

const FILE: &str = include_str!("../../../docs/capacity/target.plan");

fn committed_target() -> Target {
    target::read("target.plan", FILE).expect("the committed target file has no faults")
}

/// Returns the faults, as text, of the committed file with `old` replaced by `new`.
fn faults_with(old: &str, new: &str) -> Vec<String> {
    assert!(FILE.contains(old), "the target file does not contain {old}");
    let faults = target::read("target.plan", &FILE.replace(old, new))
        .expect_err("the changed file has a fault");
    faults.iter().map(ToString::to_string).collect()
}

#[test]
fn averages_are_computed_from_the_fields() {
    let target = committed_target();
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
fn a_misspelt_keyword_is_reported_with_position_and_suggestion() {
    let faults = faults_with("(regions 44)", "(region 44)");
    assert_eq!(
        faults.len(),
        2,
        "expected one fault for the unknown keyword and one for the missing field: {faults:?}"
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
fn a_number_out_of_bounds_is_reported_with_its_position() {
    let faults = faults_with("(core-share 0.02)", "(core-share 2)");
    assert_eq!(faults.len(), 1);
    assert!(
        faults[0].starts_with("target.plan:12:23: core-share is 2"),
        "{faults:?}"
    );
}

#[test]
fn missing_fields_have_no_default() {
    let faults = faults_with("(purge-storm (times 10) (for-s 10))", "");
    assert_eq!(faults.len(), 1);
    assert!(
        faults[0].starts_with("target.plan:18:3: purge-storm is missing in (events ...)"),
        "{faults:?}"
    );
}

#[test]
fn duplicate_fields_are_rejected() {
    let faults = faults_with("(sites 930)", "(sites 930) (sites 931)");
    assert_eq!(faults.len(), 1);
    assert!(
        faults[0].contains("sites is set a second time"),
        "{faults:?}"
    );
}

#[test]
fn an_unterminated_form_is_reported_with_its_position() {
    let faults =
        target::read("target.plan", "(target (fleet").expect_err("the form is unterminated");
    assert!(
        faults[0].to_string().starts_with("target.plan:1:"),
        "{}",
        faults[0]
    );
}
