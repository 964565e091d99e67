//! A host that comes back as a new process: what attempts at the old one do later is not counted for the new one.

mod fake;

use fake::{Fake, default_hosts, endpoint, host, terms};
use flaxdeck::{AttemptOutcome, FillOutcome, Role, Span};

/// Requests to the old processes, and then to the new ones.
const OLD_REQUESTS: u64 = 6;
const NEW_REQUESTS: u64 = 40;

/// Sends requests, lists cache "a" with a later start, and ends the attempts at the old process by `outcome`. Returns
/// how many of further requests go to the new process.
fn attempts_at_new_process(outcome: AttemptOutcome) -> usize {
    let mut fake = Fake::new(terms(), default_hosts());
    let mut at_old = Vec::new();
    for object in 0..OLD_REQUESTS {
        let position = fake.request_of(0, object, 1.0);
        if fake.sent[position].host == host("a") {
            at_old.push(position);
        } else {
            fake.end(position, AttemptOutcome::Answered, FillOutcome::Hit, 0);
        }
    }
    assert!(at_old.len() > 2, "requests at the old process");
    fake.advance(20);
    let mut new = endpoint("a", Role::Cache);
    new.started = Some(fake.now - Span::from_ms(60_000));
    fake.list(vec![new]);
    for position in at_old {
        fake.end(position, outcome, FillOutcome::Nothing, 0);
    }
    let at_new = (100..100 + NEW_REQUESTS).filter(|object| {
        let position = fake.request_of(0, *object, 1.0);
        let is_at_new = fake.sent[position].host == host("a");
        fake.end(position, AttemptOutcome::Answered, FillOutcome::Hit, 0);
        is_at_new
    });
    at_new.count()
}

// Guards against a new process that gets no requests, because the connections of the old one broke after the list had
// told of the new one.
#[test]
fn failures_of_a_replaced_process_do_not_eject_the_new_one() {
    let expected = attempts_at_new_process(AttemptOutcome::Answered);
    assert!(expected > 0);
    for outcome in [
        AttemptOutcome::Broken,
        AttemptOutcome::NotConnected,
        AttemptOutcome::Errored,
    ] {
        assert_eq!(attempts_at_new_process(outcome), expected, "{outcome:?}");
    }
}
