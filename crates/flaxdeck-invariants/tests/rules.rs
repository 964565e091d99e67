//! Each of the five rules, with records that violate it and records that don't.

use std::collections::BTreeMap;

use flaxdeck_invariants::{
    FinalAnswer, InvariantTerms, RecordEntry, RecordedEvent, Rule, SlowStartTerms, check,
};

fn terms() -> InvariantTerms {
    let slow_start = SlowStartTerms {
        slots: 2.0,
        initial_fraction: 0.1,
        duration_ms: 10_000.0,
        overload_factor: 2.0,
    };
    InvariantTerms {
        withdrawal_grace_ms: 1000.0,
        purge_grace_ms: 500.0,
        deadline_slack_ms: 10.0,
        load_window_ms: 1000.0,
        slow_starts: BTreeMap::from([("a".to_owned(), slow_start)]),
    }
}

/// Returns the rules that a record violates, given its events with their times in milliseconds.
fn violated_rules(events: &[(f64, RecordedEvent)]) -> Vec<Rule> {
    let entry = |(at_ms, event): &(f64, RecordedEvent)| RecordEntry {
        at_ms: *at_ms,
        event: event.clone(),
    };
    let record: Vec<RecordEntry> = events.iter().map(entry).collect();
    let violations = check(&terms(), &record).violations;
    violations
        .into_iter()
        .map(|violation| violation.rule)
        .collect()
}

fn request_sent() -> RecordedEvent {
    RecordedEvent::RequestSent {
        request: "p".to_owned(),
        deadline_ms: 100.0,
    }
}

fn answered() -> RecordedEvent {
    RecordedEvent::Answered {
        request: "p".to_owned(),
        answer: FinalAnswer::Served,
    }
}

#[test]
fn each_request_gets_exactly_one_answer_before_its_deadline() {
    let violated = [Rule::OneAnswerInTime];
    assert_eq!(
        violated_rules(&[(0.0, request_sent()), (50.0, answered())]),
        []
    );
    assert_eq!(
        violated_rules(&[(0.0, request_sent()), (150.0, answered())]),
        violated
    );
    assert_eq!(
        violated_rules(&[(0.0, request_sent()), (5.0, answered()), (6.0, answered())]),
        violated
    );
    assert_eq!(violated_rules(&[(0.0, request_sent())]), violated);
}

#[test]
fn request_whose_client_left_needs_no_answer() {
    let left = RecordedEvent::ClientLeft {
        request: "p".to_owned(),
    };
    assert_eq!(violated_rules(&[(0.0, request_sent()), (1.0, left)]), []);
}

#[test]
fn effect_is_applied_at_most_once() {
    let applied = RecordedEvent::EffectApplied {
        effect: "e".to_owned(),
    };
    assert_eq!(violated_rules(&[(0.0, applied.clone())]), []);
    assert_eq!(
        violated_rules(&[(0.0, applied.clone()), (9.0, applied)]),
        [Rule::NoDoubleEffect]
    );
}

#[test]
fn withdrawn_host_gets_no_work_after_the_grace_until_announced_again() {
    let host = || "a".to_owned();
    let withdrawn = RecordedEvent::HostWithdrawn { host: host() };
    let arrived = RecordedEvent::WorkArrived { host: host() };
    let announced = RecordedEvent::HostAnnounced { host: host() };
    assert_eq!(
        violated_rules(&[(0.0, withdrawn.clone()), (900.0, arrived.clone())]),
        []
    );
    assert_eq!(
        violated_rules(&[(0.0, withdrawn.clone()), (1100.0, arrived.clone())]),
        [Rule::NothingToWithdrawnHosts]
    );
    assert_eq!(
        violated_rules(&[(0.0, withdrawn), (500.0, announced), (1100.0, arrived)]),
        []
    );
}

#[test]
fn work_requested_from_a_cold_host_within_a_window_stays_below_its_overload_limit() {
    let started = RecordedEvent::HostStarted {
        host: "a".to_owned(),
    };
    let work = |cost_ms| RecordedEvent::WorkRequested {
        host: "a".to_owned(),
        cost_ms,
    };
    assert_eq!(
        violated_rules(&[(0.0, started.clone()), (1.0, work(390.0))]),
        []
    );
    assert_eq!(
        violated_rules(&[
            (0.0, started.clone()),
            (1.0, work(250.0)),
            (900.0, work(500.0))
        ]),
        [Rule::NoOverloadedSlowStart]
    );
    assert_eq!(
        violated_rules(&[(0.0, started), (1.0, work(250.0)), (1100.0, work(500.0))]),
        []
    );
}

#[test]
fn copy_older_than_its_purge_is_not_served_after_the_grace() {
    let purged = RecordedEvent::ObjectPurged {
        object: "o".to_owned(),
    };
    let copy = |sent_ms, made_ms| RecordedEvent::CopyServed {
        object: "o".to_owned(),
        sent_ms,
        made_ms,
    };
    assert_eq!(
        violated_rules(&[(10.0, purged.clone()), (600.0, copy(400.0, 5.0))]),
        []
    );
    assert_eq!(
        violated_rules(&[(10.0, purged.clone()), (600.0, copy(520.0, 5.0))]),
        [Rule::NoCopyOlderThanPurge]
    );
    assert_eq!(
        violated_rules(&[(10.0, purged), (600.0, copy(520.0, 15.0))]),
        []
    );
}
