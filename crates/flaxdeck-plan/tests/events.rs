//! The words of a plan that say how events reach forwarders, and how often reports go out.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use flaxdeck_plan::{EventDelivery, read};

fn plan(rest: &str) -> String {
    format!("(plan (key-file \"k\") (planners (planner (name a) (listen \"127.0.0.1:1\"))) {rest})")
}

fn fault(rest: &str) -> String {
    let faults = read("x.plan", &plan(rest)).unwrap_err();
    assert_eq!(faults.len(), 1, "{faults:?}");
    faults[0].to_string()
}

#[test]
fn without_a_word_each_event_is_told_by_itself_and_reports_go_on_evenly() {
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
fn digests_come_in_batches_and_idle_reports_are_rarer() {
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
fn faults_are_told_with_their_reasons() {
    assert!(fault("(events (by digest) (batch-ms 50))").contains("from 100 to 2000"));
    assert!(fault("(events (by gossip))").contains("one of: each-event digest"));
    assert!(fault("(events (batch-ms 500))").contains("only digests come in batches"));
    assert!(fault("(reports (every-ms 200) (idle-ms 100))").contains("from 200 to 1500"));
    let none = read(
        "x.plan",
        "(plan (key-file \"k\") (planners) (events (by digest)))",
    )
    .unwrap_err();
    assert!(none[0].to_string().contains("digests come from planners"));
}
