//! The settings of a plan for the delivery of events to forwarders and for the intervals of reports.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use flaxdeck_plan::{EventDelivery, read};

/// Returns a plan with one planner and these further forms.
fn plan(rest: &str) -> String {
    format!("(plan (key-file \"k\") (planners (planner (name a) (listen \"127.0.0.1:1\"))) {rest})")
}

/// Returns the only fault of a plan with these further forms.
fn fault(rest: &str) -> String {
    let faults = read("x.plan", &plan(rest)).unwrap_err();
    assert_eq!(faults.len(), 1, "{faults:?}");
    faults[0].to_string()
}

#[test]
fn events_are_sent_singly_and_idle_reports_keep_the_interval_by_default() {
    let read = |rest| read("x.plan", &plan(rest)).unwrap();
    assert_eq!(read("").events, EventDelivery::EachEvent);
    assert_eq!(
        read("(events (by each-event))").events,
        EventDelivery::EachEvent
    );
    assert_eq!(
        (read("").report_every_ms, read("").report_idle_ms),
        (200, 200)
    );
    assert_eq!(read("(reports (every-ms 100))").report_idle_ms, 100);
}

#[test]
fn the_batch_interval_and_the_idle_report_interval_can_be_set() {
    let plan = read(
        "x.plan",
        &plan("(events (by digest)) (reports (every-ms 100) (idle-ms 1500))"),
    )
    .unwrap();
    assert_eq!(plan.events, EventDelivery::Digest { batch_ms: 1_000 });
    assert_eq!(plan.report_idle_ms, 1_500);
    let text = self::plan("(events (by digest) (batch-ms 250))");
    assert_eq!(
        read("x.plan", &text).unwrap().events,
        EventDelivery::Digest { batch_ms: 250 }
    );
}

#[test]
fn invalid_event_and_report_settings_are_faults_with_a_reason() {
    assert!(fault("(events (by digest) (batch-ms 50))").contains("from 100 to 2000"));
    assert!(fault("(events (by gossip))").contains("one of: each-event digest"));
    assert!(fault("(events (batch-ms 500))").contains("only digests are sent in batches"));
    assert!(fault("(reports (every-ms 200) (idle-ms 100))").contains("from 200 to 1500"));
    let without_planners = read(
        "x.plan",
        "(plan (key-file \"k\") (planners) (events (by digest)))",
    )
    .unwrap_err();
    assert!(
        without_planners[0]
            .to_string()
            .contains("digests are sent by planners")
    );
}
