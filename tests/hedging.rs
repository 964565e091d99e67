//! Overdue attempts: silent hosts are passed by, slow ones are waited for.

mod fake;

use fake::{Fake, single, terms, usual};
use flaxdeck::{Attempt, AttemptIndex, AttemptOutcome, Cancel, FillOutcome, Span};

#[test]
fn a_silent_cache_gets_a_hedged_request_beside_it_and_a_slow_one_does_not() {
    let mut fake = Fake::new(terms(), usual());
    let at = fake.request(0, 1);
    let cache = fake.sent[at].host.clone();
    fake.pass(1500);
    assert_eq!(fake.sent.len(), 2, "a second copy beside the silent one");
    assert_ne!(fake.sent[1].host, cache);
    fake.end(1, AttemptOutcome::Answered, FillOutcome::Hit, 0);
    assert_eq!(
        fake.cancels,
        vec![Cancel {
            request: fake.sent[0].request,
            index: AttemptIndex(0)
        }]
    );

    let mut fake = Fake::new(terms(), usual());
    fake.request(0, 1);
    for _ in 0..15 {
        fake.pass(100);
        fake.fill(1, 100.0, FillOutcome::Filled, |_| 20);
    }
    assert_eq!(
        fake.sent.len(),
        16,
        "no second copy: the cache and the source go on answering others"
    );
}

#[test]
fn without_hedged_requests_a_silent_cache_loses_its_request_and_a_slow_one_keeps_it() {
    let mut fake = Fake::new(single(), usual());
    let at = fake.request(0, 1);
    let cache = fake.sent[at].host.clone();
    fake.pass(1500);
    assert_eq!(fake.sent.len(), 1, "never two at once");
    assert_eq!(
        fake.cancels,
        vec![Cancel {
            request: fake.sent[at].request,
            index: AttemptIndex(0)
        }]
    );
    fake.end(at, AttemptOutcome::Cancelled, FillOutcome::Nothing, 0);
    assert_ne!(fake.sent[1].host, cache, "at once, elsewhere");

    let mut fake = Fake::new(single(), usual());
    let at = fake.request(0, 1);
    assert!(
        fake.sent[at].allow >= Span::from_ms(3900),
        "no time-out cuts off what is only large"
    );
    for _ in 0..30 {
        fake.pass(100);
        fake.fill(1, 100.0, FillOutcome::Filled, |_| 20);
    }
    assert_eq!(
        fake.cancels,
        [],
        "its cache and its source go on answering others"
    );
}

#[test]
fn one_overdue_request_alone_does_not_prove_silence() {
    let mut fake = Fake::new(single(), usual());
    let at = fake.request(0, 1);
    fake.pass(700);
    assert_eq!(
        fake.cancels,
        [],
        "it was due after 650 ms, and may be large"
    );
    let cache = fake.sent[at].host.clone();
    let next = (2..40).find(|object| {
        fake.request(0, *object);
        fake.last_sent().host == cache
    });
    assert!(next.is_some());
    fake.pass(700);
    assert!(
        !fake.cancels.is_empty(),
        "two that are overdue with no answer between are enough"
    );
}

#[test]
fn no_parent_is_blamed_for_a_cache_that_was_cut_off_in_the_middle_of_fills() {
    let mut fake = Fake::new(terms(), usual());
    let one = fake.request(0, 1);
    let (cache, parent) = (fake.sent[one].host.clone(), fake.sent[one].source.clone());
    let answer_elsewhere = |fake: &mut Fake, from: usize| {
        let elsewhere = |at: &usize| fake.sent[*at].host != cache;
        let answered: Vec<usize> = (from..fake.sent.len()).filter(elsewhere).collect();
        for at in answered {
            fake.end(at, AttemptOutcome::Answered, FillOutcome::Hit, 0);
        }
        fake.sent.len()
    };
    for object in 2..20 {
        fake.request(0, object);
    }
    let through = |sent: &&Attempt| sent.host == cache && sent.source == parent;
    assert!(
        fake.sent.iter().filter(through).count() > 3,
        "enough to eject the parent, were it blamed"
    );
    let mut seen = answer_elsewhere(&mut fake, 1);
    fake.pass(5);
    fake.end(one, AttemptOutcome::Answered, FillOutcome::Hit, 0); // its last answer
    for _ in 0..1500 {
        fake.pass(1);
        seen = answer_elsewhere(&mut fake, seen);
    }
    let before = fake.sent.len();
    for object in 100..140 {
        fake.request(0, object);
        seen = answer_elsewhere(&mut fake, seen);
    }
    assert!(
        fake.sent[before..].iter().any(|sent| sent.source == parent),
        "the parent stays in use"
    );
    assert!(
        fake.sent[before..].iter().all(|sent| sent.host != cache),
        "the cache does not"
    );
}
