//! A copy of `deploy/two-levels.plan` as of revision 45b174f, and the settings that the program read from it at that
//! revision. Later versions must read the same settings from it.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use flaxdeck_plan::{EventDelivery, LogFormat, Plan, Planner, WithoutContact, read};

const RECORDED: &str = include_str!("fixtures/two-levels.plan");

fn planner(name: &str, listen: &str) -> Planner {
    Planner {
        name: name.into(),
        listen: listen.parse().expect("a valid address"),
    }
}

#[test]
fn the_recorded_plan_is_read_as_at_that_revision() {
    let expected = Plan {
        key_file: "two-levels.key".into(),
        planners: vec![
            planner("p1", "127.0.0.1:7501"),
            planner("p2", "127.0.0.1:7502"),
        ],
        reserve: 0.0,
        grant_ms: 1_200,
        drift: 0.01,
        has_slot: true,
        report_every_ms: 200,
        report_idle_ms: 200,
        events: EventDelivery::EachEvent,
        without_contact: WithoutContact::RejectAfter { ms: 2_500.0 },
        log_format: LogFormat::Text,
        state_folder: None,
        log_levels: "info".into(),
    };
    assert_eq!(read("two-levels.plan", RECORDED), Ok(expected));
}

#[test]
fn the_plan_in_deploy_equals_the_recorded_one() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/two-levels.plan");
    let current = std::fs::read_to_string(path).expect("deploy/two-levels.plan can be read");
    assert!(
        current == RECORDED,
        "deploy/two-levels.plan differs from the recorded copy"
    );
}
