//! Overdue attempts: requests at silent hosts are hedged or sent elsewhere, those at slow hosts are left to finish.

mod fake;

use fake::{Fake, default_hosts, single_attempt_terms, terms};
use flaxdeck::{Attempt, AttemptIndex, AttemptOutcome, Cancel, FillOutcome, Span};

#[test]
fn an_attempt_at_a_silent_cache_is_hedged_and_one_at_a_slow_cache_is_not() {
    let mut fake = Fake::new(terms(), default_hosts());
    let position = fake.request(0, 1);
    let cache = fake.sent[position].host.clone();
    fake.advance(1500);
    assert_eq!(
        fake.sent.len(),
        2,
        "expected one hedged request beside the silent attempt"
    );
    assert_ne!(fake.sent[1].host, cache);
    fake.end(1, AttemptOutcome::Answered, FillOutcome::Hit, 0);
    assert_eq!(
        fake.cancels,
        vec![Cancel {
            request: fake.sent[0].request,
            index: AttemptIndex(0)
        }]
    );

    let mut fake = Fake::new(terms(), default_hosts());
    fake.request(0, 1);
    for _ in 0..15 {
        fake.advance(100);
        fake.request_and_answer(1, 100.0, FillOutcome::Filled, |_| 20);
    }
    assert_eq!(
        fake.sent.len(),
        16,
        "a request was hedged although its cache and its source go on answering others"
    );
}

#[test]
fn without_hedging_an_attempt_at_a_silent_cache_is_cancelled_and_one_at_a_slow_cache_is_not() {
    let mut fake = Fake::new(single_attempt_terms(), default_hosts());
    let position = fake.request(0, 1);
    let cache = fake.sent[position].host.clone();
    fake.advance(1500);
    assert_eq!(
        fake.sent.len(),
        1,
        "a second attempt was sent while the first is in flight"
    );
    assert_eq!(
        fake.cancels,
        vec![Cancel {
            request: fake.sent[position].request,
            index: AttemptIndex(0)
        }]
    );
    fake.end(position, AttemptOutcome::Cancelled, FillOutcome::Nothing, 0);
    assert_ne!(
        fake.sent[1].host, cache,
        "the request was sent to the silent cache again"
    );

    let mut fake = Fake::new(single_attempt_terms(), default_hosts());
    let position = fake.request(0, 1);
    assert!(
        fake.sent[position].allow >= Span::from_ms(3900),
        "the time allowed is short of the deadline, so a large answer could be cut off"
    );
    for _ in 0..30 {
        fake.advance(100);
        fake.request_and_answer(1, 100.0, FillOutcome::Filled, |_| 20);
    }
    assert_eq!(
        fake.cancels,
        [],
        "an attempt was cancelled although its cache and its source go on answering others"
    );
}

#[test]
fn a_single_overdue_attempt_does_not_prove_a_cache_silent() {
    let mut fake = Fake::new(single_attempt_terms(), default_hosts());
    let position = fake.request(0, 1);
    fake.advance(700);
    assert_eq!(
        fake.cancels,
        [],
        "a single attempt was cancelled when overdue after 650 ms, although it may be large"
    );
    let cache = fake.sent[position].host.clone();
    let next = (2..40).find(|object| {
        fake.request(0, *object);
        fake.last_sent().host == cache
    });
    assert!(next.is_some());
    fake.advance(700);
    assert!(
        !fake.cancels.is_empty(),
        "two overdue attempts without an answer in between did not prove the cache silent"
    );
}

#[test]
fn a_parent_is_not_blamed_for_a_cache_that_is_cut_off_during_fills() {
    let mut fake = Fake::new(terms(), default_hosts());
    let one = fake.request(0, 1);
    let (cache, parent) = (fake.sent[one].host.clone(), fake.sent[one].source.clone());
    let answer_elsewhere = |fake: &mut Fake, from: usize| {
        let elsewhere = |position: &usize| fake.sent[*position].host != cache;
        let answered: Vec<usize> = (from..fake.sent.len()).filter(elsewhere).collect();
        for position in answered {
            fake.end(position, AttemptOutcome::Answered, FillOutcome::Hit, 0);
        }
        fake.sent.len()
    };
    for object in 2..20 {
        fake.request(0, object);
    }
    let uses_both = |sent: &&Attempt| sent.host == cache && sent.source == parent;
    assert!(
        fake.sent.iter().filter(uses_both).count() > 3,
        "too few attempts to eject the parent if it were blamed"
    );
    let mut seen = answer_elsewhere(&mut fake, 1);
    fake.advance(5);
    fake.end(one, AttemptOutcome::Answered, FillOutcome::Hit, 0); // its last answer
    for _ in 0..1500 {
        fake.advance(1);
        seen = answer_elsewhere(&mut fake, seen);
    }
    let before = fake.sent.len();
    for object in 100..140 {
        fake.request(0, object);
        seen = answer_elsewhere(&mut fake, seen);
    }
    assert!(
        fake.sent[before..].iter().any(|sent| sent.source == parent),
        "the parent is no longer used"
    );
    assert!(
        fake.sent[before..].iter().all(|sent| sent.host != cache),
        "the silent cache is still used"
    );
}
