//! What is relied on while the coordinator is not heard: nothing new goes to hosts, and no copy that may be purged is
//! used, later than the rules allow; before that nothing is rejected.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod fake;

use fake::{Fake, default_hosts, terms};
use flaxdeck::{AttemptIndex, AttemptOutcome, CompleteAsOf, FillOutcome, Final, Span, Time};

/// When an event is in force by the protocol, and the graces of [`terms`] after it.
const MAX_EVENT_DELAY_MS: u64 = 7000;
const DRAIN_GRACE_MS: u64 = 1000;
const PURGE_GRACE_MS: u64 = 500;

/// Returns a location whose coordinator was last heard now.
fn heard_now() -> Fake {
    let mut fake = Fake::new(terms(), default_hosts());
    hear(&mut fake);
    fake
}

fn hear(fake: &mut Fake) {
    let decisions = fake
        .engine
        .events_confirmed(fake.now, CompleteAsOf::by_heartbeat(fake.now));
    assert!(decisions.finals.is_empty());
}

/// Sends a request and answers it; returns whether an attempt was made.
fn is_attempted(fake: &mut Fake, object: u64) -> bool {
    let position = fake.request(0, object);
    let sent = fake.sent.len() > position;
    if sent {
        fake.end(position, AttemptOutcome::Answered, FillOutcome::Hit, 0);
    }
    sent
}

// Guards against new requests to a host, or fills from a source, that has drained since the coordinator was last heard.
#[test]
fn nothing_new_is_sent_once_an_unheard_drain_is_in_force() {
    let mut fake = heard_now();
    fake.advance(MAX_EVENT_DELAY_MS + DRAIN_GRACE_MS);
    for object in 0..20 {
        assert!(!is_attempted(&mut fake, object));
    }
    assert_eq!(fake.finals.len(), 20);
    assert!(
        fake.finals.iter().all(
            |answer| matches!(answer, Final::Rejected { retry_after, .. } if retry_after.is_some())
        ),
        "not all are rejected at once with a time to come back: {:?}",
        fake.finals
    );
}

// Guards against an outage that rejects requests while events may still be late.
#[test]
fn an_outage_rejects_nothing_while_events_may_be_late() {
    let mut fake = heard_now();
    for object in 0..80 {
        fake.advance(99);
        assert!(is_attempted(&mut fake, object), "at {:?}", fake.now);
    }
    assert!(fake.finals.is_empty());
}

#[test]
fn requests_are_sent_again_once_the_coordinator_is_heard() {
    let mut fake = heard_now();
    fake.advance(MAX_EVENT_DELAY_MS + DRAIN_GRACE_MS + 5000);
    assert!(!is_attempted(&mut fake, 1));
    hear(&mut fake);
    assert!(is_attempted(&mut fake, 2));
}

// Guards against an attempt that was decided in time and whose connection comes up too late, and against retries.
#[test]
fn an_attempt_is_not_cleared_once_the_list_has_expired() {
    let mut fake = heard_now();
    fake.advance(MAX_EVENT_DELAY_MS + DRAIN_GRACE_MS - 10);
    let position = fake.request(0, 1);
    let request = fake.sent[position].request;
    let cleared = |fake: &mut Fake| {
        fake.engine
            .clear_attempt(fake.now, request, AttemptIndex(0))
            .is_some()
    };
    assert!(cleared(&mut fake));
    fake.advance(10);
    assert!(!cleared(&mut fake));
    fake.end(
        position,
        AttemptOutcome::Superseded,
        FillOutcome::Nothing,
        0,
    );
    assert_eq!(fake.sent.len(), position + 1, "the request is sent again");
}

// Guards against copies that were purged since the coordinator was last heard.
#[test]
fn copies_that_an_unheard_purge_may_concern_are_not_used() {
    let mut fake = heard_now();
    fake.advance(MAX_EVENT_DELAY_MS + PURGE_GRACE_MS - 1);
    let position = fake.request(0, 1);
    assert_eq!(fake.sent[position].oldest, None);
    fake.advance(1);
    let position = fake.request(0, 2);
    let limit = fake.sent[position]
        .oldest
        .expect("copies have an age limit");
    assert!(
        limit <= Span::from_ms(MAX_EVENT_DELAY_MS + PURGE_GRACE_MS),
        "{limit:?}"
    );
    hear(&mut fake);
    let position = fake.request(0, 3);
    assert_eq!(fake.sent[position].oldest, None);
}

// A caller that never tells when the coordinator was heard, as the simulator's, has lists that do not expire.
#[test]
fn without_a_report_nothing_expires() {
    let mut fake = Fake::new(terms(), default_hosts());
    assert_eq!(fake.engine.list_valid_until(), Time::NEVER);
    fake.advance(20_000);
    assert!(is_attempted(&mut fake, 1));
}
