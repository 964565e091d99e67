//! Concurrency windows: how many attempts may be in flight at a source, and what happens when a source is full.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod fake;

use fake::{Fake, default_hosts, host, is_parent, terms};
use flaxdeck::{AttemptOutcome, Endpoint, FillOutcome, Role};

#[test]
fn fills_from_a_parent_stay_within_its_window_and_only_hits_are_requested_beyond_it() {
    let wide = |endpoint: Endpoint| Endpoint {
        weight: 500.0,
        ..endpoint
    };
    let mut fake = Fake::new(terms(), default_hosts().into_iter().map(wide).collect());
    for object in 0..200 {
        fake.request(0, object);
    }
    let fills = fake
        .sent
        .iter()
        .filter(|sent| is_parent(&sent.source))
        .count();
    assert!(
        (20..100).contains(&fills),
        "{fills} of 200 attempts may be filled by a parent, expected 20 to 99"
    );
    assert!(
        fake.sent.iter().any(|sent| sent.source == sent.host),
        "no hits were requested beyond the window"
    );
}

#[test]
fn a_fill_whose_parent_is_full_goes_to_an_origin_with_capacity() {
    let wide = |endpoint: Endpoint| Endpoint {
        weight: 500.0,
        ..endpoint
    };
    let hosts = default_hosts()
        .into_iter()
        .filter(|endpoint| endpoint.host != host("q"));
    let mut fake = Fake::new(terms(), hosts.map(wide).collect());
    for object in 0..60 {
        fake.request(0, object);
    }
    let attempts_with_source = |name: &str| {
        fake.sent
            .iter()
            .filter(|sent| sent.source == host(name))
            .count()
    };
    assert_eq!(
        (attempts_with_source("p"), attempts_with_source("o")),
        (24, 24),
        "expected fills up to the parent's window, then up to the origin's, then hits only"
    );
}

#[test]
fn a_parent_that_rejects_fills_keeps_its_objects() {
    let no_origin: Vec<_> = default_hosts()
        .into_iter()
        .filter(|endpoint| endpoint.role != Role::Origin)
        .collect();
    let mut fake = Fake::new(terms(), no_origin);
    let position = fake.request(0, 1);
    let full = fake.sent[position].source.clone();
    assert!(is_parent(&full));
    // After each of two rejections the request backs off and then uses the same parent again, not the other one.
    for refusals in 1..3 {
        fake.end(
            position + refusals - 1,
            AttemptOutcome::Rejected,
            FillOutcome::SourceRefused,
            20,
        );
        assert_eq!(
            fake.sent.len(),
            position + refusals,
            "the fill was retried without a backoff"
        );
        fake.advance(250);
        assert_eq!(fake.sent[position + refusals].source, full);
    }
    fake.end(
        position + 2,
        AttemptOutcome::Answered,
        FillOutcome::Filled,
        20,
    );
    let used = (2..40)
        .filter(|object| {
            fake.request_and_answer(*object, 100.0, FillOutcome::Filled, |_| 20) == full
        })
        .count();
    assert!(
        used > 8,
        "{used} of 38 objects are filled by the parent, expected more than 8"
    );
}

#[test]
fn a_fill_rejected_by_a_parent_goes_to_a_healthy_origin_and_the_parent_stays_usable() {
    let mut fake = Fake::new(terms(), default_hosts());
    let position = fake.request(0, 1);
    let full = fake.sent[position].source.clone();
    for object in 2..6 {
        fake.end(
            fake.sent.len() - 1,
            AttemptOutcome::Rejected,
            FillOutcome::SourceRefused,
            20,
        );
        fake.advance(250);
        assert_eq!(fake.last_sent().source, host("o"));
        fake.end(
            fake.sent.len() - 1,
            AttemptOutcome::Answered,
            FillOutcome::Filled,
            20,
        );
        let next = (object * 100..object * 100 + 40).find(|object| {
            fake.request_and_answer(*object, 100.0, FillOutcome::Filled, |_| 20) == full
        });
        fake.request(0, next.unwrap());
        assert_eq!(fake.last_sent().source, full);
    }
}

#[test]
fn rejected_fills_narrow_a_parents_window() {
    let mut fake = Fake::new(
        terms(),
        default_hosts()
            .into_iter()
            .filter(|endpoint| endpoint.host != host("q"))
            .collect(),
    );
    for object in 0..20 {
        let position = fake.request(0, object);
        fake.end(
            position,
            AttemptOutcome::Rejected,
            FillOutcome::SourceRefused,
            20,
        );
    }
    let before = fake.sent.len();
    for object in 100..110 {
        fake.request(0, object);
    }
    let fills = fake.sent[before..]
        .iter()
        .filter(|sent| is_parent(&sent.source))
        .count();
    assert!(
        (1..4).contains(&fills),
        "{fills} of 10 attempts at a parent that rejected 20 fills, expected 1 to 3"
    );
}

#[test]
fn slow_fills_narrow_the_origins_window_before_they_are_overdue() {
    let only_origin = default_hosts()
        .into_iter()
        .filter(|endpoint| endpoint.role != Role::Parent)
        .collect::<Vec<_>>();
    let sent_at_once = |slow: u64| {
        let mut fake = Fake::new(terms(), only_origin.clone());
        for object in 0..30 {
            let position = fake.request(0, object);
            fake.advance(slow);
            fake.end(position, AttemptOutcome::Answered, FillOutcome::Filled, 20);
        }
        let before = fake.sent.len();
        for object in 100..130 {
            fake.request(0, object);
        }
        fake.sent[before..]
            .iter()
            .filter(|sent| sent.source == host("o"))
            .count()
    };
    // A request with a transfer time of 100 ms at an idle cache, with 20 ms to the first byte, is overdue after 390 ms.
    let (quick, slow) = (sent_at_once(100), sent_at_once(300));
    assert!(
        slow < 4 && quick > 12,
        "{quick} of 30 attempts at the origin after quick fills, expected more than 12; {slow} after slow ones, expected less than 4"
    );
}

/// Guards against overload of the origin by many dispatchers: with hundreds of them, one fill in flight from each is
/// twice what the origin can serve, so their concurrency windows alone do not limit the load.
#[test]
fn slow_origin_fetches_through_parents_reduce_the_fraction_of_objects_that_may_be_fetched() {
    let mut fake = Fake::new(terms(), default_hosts());
    let mut first = 0;
    let mut fetched_after = |waited: u64| {
        for n in first..first + 30 {
            fake.request_and_answer(n, 100.0, FillOutcome::FilledThroughOrigin, |_| waited);
        }
        let before = fake.sent.len();
        for object in first + 100..first + 120 {
            fake.request(0, object);
        }
        let fetched = fake.sent[before..]
            .iter()
            .filter(|sent| is_parent(&sent.source) && !sent.only_held)
            .count();
        for position in before..fake.sent.len() {
            fake.end(position, AttemptOutcome::Answered, FillOutcome::Hit, 20);
        }
        first += 1000;
        fetched
    };
    // The latency objective is 500 ms.
    let prompt = fetched_after(400);
    let slow = fetched_after(900);
    let again = fetched_after(400);
    assert!(
        prompt >= 18 && slow <= 4 && again >= 18,
        "{prompt} of 20 may be fetched after prompt fills, {slow} after slow ones, {again} after prompt ones again"
    );
}
