//! Slow start: cold hosts get no more than this dispatcher's share of the work that they can take.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod fake;

use fake::{Fake, default_hosts, endpoint, host, single_attempt_terms, terms};
use flaxdeck::{AttemptOutcome, Endpoint, FillOutcome, Role, Time};

#[test]
fn cold_hosts_get_no_more_than_this_dispatchers_share() {
    let mut fake = Fake::new(terms(), default_hosts());
    fake.advance(3000);
    let cold = |name, role| Endpoint {
        started: Some(Time::at_ms(103_000.0)),
        ..endpoint(name, role)
    };
    fake.list(vec![cold("a", Role::Cache), cold("p", Role::Parent)]);
    for object in 0..400 {
        fake.request_and_answer(object, 100.0, FillOutcome::Filled, |_| 20);
    }
    let at_cache = fake
        .sent
        .iter()
        .filter(|sent| sent.host == host("a"))
        .count();
    let at_parent = fake
        .sent
        .iter()
        .filter(|sent| sent.source == host("p"))
        .count();
    // Capacity 5 x cold fraction 0.2 x overload factor 2 x window 2 s allow 40 transfers of 100 ms at the cache; at the
    // parent, with a cold fraction of 0.1, they allow 20, which two dispatchers share.
    assert!(
        (10..40).contains(&at_cache),
        "{at_cache} attempts at the cold cache, expected 10 to 39"
    );
    assert!(
        (3..10).contains(&at_parent),
        "{at_parent} attempts with the cold parent as source, expected 3 to 9"
    );
}

#[test]
fn a_restarted_dispatcher_sends_nothing_to_cold_hosts_for_a_window() {
    let cold = |l: Endpoint| Endpoint {
        started: Some(Time::at_ms(99_000.0)),
        ..l
    };
    let mut fake = Fake::new(terms(), default_hosts().into_iter().map(cold).collect());
    fake.request(0, 1);
    assert!(fake.sent.is_empty());
    fake.advance(2100);
    fake.request(0, 2);
    assert!(
        !fake.sent.is_empty(),
        "nothing was sent after the window of 2 s had passed"
    );
}

#[test]
fn small_hit_only_requests_are_charged_the_mean_at_a_cold_cache() {
    let mut fake = Fake::new(terms(), default_hosts());
    for object in 0..200 {
        fake.request_and_answer(object, 100.0, FillOutcome::Hit, |_| 0);
    }
    fake.advance(3000);
    fake.list(vec![Endpoint {
        started: Some(Time::at_ms(103_000.0)),
        ..endpoint("a", Role::Cache)
    }]);
    let before = fake.sent.len();
    for object in 0..400 {
        let position = fake.request_of(0, object, 10.0);
        fake.end_with(
            position,
            AttemptOutcome::Answered,
            FillOutcome::Hit,
            0,
            Some(20.0),
        );
    }
    let at_cache = fake.sent[before..]
        .iter()
        .filter(|sent| sent.host == host("a"))
        .count();
    assert!(
        (10..60).contains(&at_cache),
        "{at_cache} of 400 small requests at the cold cache, expected 10 to 59"
    );
}

#[test]
fn without_sizes_the_mean_transfer_time_is_measured_from_hits() {
    let sent_at_once = |took: u64| {
        let wide = |endpoint: Endpoint| Endpoint {
            weight: 20.0,
            ..endpoint
        };
        let mut fake = Fake::new(
            single_attempt_terms(),
            default_hosts().into_iter().map(wide).collect(),
        );
        for object in 0..200 {
            let position = fake.request_without_size(object);
            fake.end_after(position, AttemptOutcome::Answered, FillOutcome::Hit, took);
        }
        fake.list(vec![Endpoint {
            started: Some(fake.now),
            ..wide(endpoint("a", Role::Cache))
        }]);
        fake.advance(2100);
        for object in 0..80 {
            fake.request_without_size(object);
        }
        fake.sent[200..]
            .iter()
            .filter(|sent| sent.host == host("a"))
            .count()
    };
    let (small, large) = (sent_at_once(50), sent_at_once(800));
    assert!(
        2 * small > 3 * large,
        "a cold cache gets {small} small or {large} large requests, expected more than 1.5 times as many small ones"
    );
}

/// Guards against overload of a host that restarts between the decision of an attempt and the moment its connection is
/// established: the new process is cold, and the quota was taken from the earlier one.
#[test]
fn an_attempt_is_not_cleared_if_its_host_or_source_has_restarted() {
    let mut fake = Fake::new(terms(), default_hosts());
    let position = fake.request(0, 1);
    let (index, sent) = (fake.index_of(position), fake.sent[position].clone());
    let now = fake.now;
    assert!(
        fake.engine
            .clear_attempt(now, sent.request, index)
            .is_some(),
        "the attempt was not cleared although nothing has changed"
    );
    for id in [&sent.host, &sent.source] {
        let was = default_hosts()
            .into_iter()
            .find(|endpoint| endpoint.host == *id)
            .unwrap();
        fake.list(vec![Endpoint {
            started: Some(now),
            ..was.clone()
        }]);
        assert_eq!(
            fake.engine.clear_attempt(now, sent.request, index),
            None,
            "the attempt was cleared although {id:?} has restarted"
        );
        fake.list(vec![was]);
    }
}
