//! Cold hosts get no more than this dispatcher's share of what they bear.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod fake;

use fake::{Fake, host, line, single, terms, usual};
use flaxdeck::{AttemptOutcome, Endpoint, FillOutcome, Role, Time};

#[test]
fn a_cold_cache_and_a_cold_parent_get_this_dispatchers_share_and_no_more() {
    let mut fake = Fake::new(terms(), usual());
    fake.pass(3000);
    let cold = |name, role| Endpoint {
        started: Some(Time::at_ms(103_000.0)),
        ..line(name, role)
    };
    fake.list(vec![cold("a", Role::Cache), cold("p", Role::Parent)]);
    for object in 0..400 {
        fake.fill(object, 100.0, FillOutcome::Filled, |_| 20);
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
    // 5 places x 0.2 cold x 2 times x 2 s hold 40 transfers of 100 ms; at the parent 20, for two dispatchers.
    assert!((10..40).contains(&at_cache), "{at_cache} to the cold cache");
    assert!(
        (3..10).contains(&at_parent),
        "{at_parent} to the cold parent"
    );
}

#[test]
fn a_restarted_dispatcher_takes_a_cold_hosts_share_as_used_up_for_a_window() {
    let cold = |l: Endpoint| Endpoint {
        started: Some(Time::at_ms(99_000.0)),
        ..l
    };
    let mut fake = Fake::new(terms(), usual().into_iter().map(cold).collect());
    fake.request(0, 1);
    assert!(fake.sent.is_empty());
    fake.pass(2100);
    fake.request(0, 2);
    assert!(!fake.sent.is_empty(), "the window has passed");
}

#[test]
fn small_requests_without_a_fill_count_for_the_mean_at_a_cold_cache() {
    let mut fake = Fake::new(terms(), usual());
    for object in 0..200 {
        fake.fill(object, 100.0, FillOutcome::Hit, |_| 0);
    }
    fake.pass(3000);
    fake.list(vec![Endpoint {
        started: Some(Time::at_ms(103_000.0)),
        ..line("a", Role::Cache)
    }]);
    let before = fake.sent.len();
    for object in 0..400 {
        let at = fake.request_of(0, object, 10.0);
        fake.end_with(
            at,
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
    assert!((10..60).contains(&at_cache), "{at_cache} to the cold cache");
}

#[test]
fn without_sizes_the_mean_transfer_time_is_learnt_from_hits() {
    let sent_at_once = |took: u64| {
        let wide = |line: Endpoint| Endpoint {
            weight: 20.0,
            ..line
        };
        let mut fake = Fake::new(single(), usual().into_iter().map(wide).collect());
        for object in 0..200 {
            let at = fake.request_without_size(object);
            fake.end_after(at, AttemptOutcome::Answered, FillOutcome::Hit, took);
        }
        fake.list(vec![Endpoint {
            started: Some(fake.now),
            ..wide(line("a", Role::Cache))
        }]);
        fake.pass(2100);
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
        "a cold cache gets {small} small or {large} large ones"
    );
}

/// An attempt is decided, its host dies and is back empty before the connection is up: its share has to be taken anew.
#[test]
fn a_host_that_is_back_cold_before_an_attempt_is_written_does_not_get_it() {
    let mut fake = Fake::new(terms(), usual());
    let at = fake.request(0, 1);
    let (index, sent) = (fake.index_of(at), fake.sent[at].clone());
    let now = fake.now;
    assert!(
        fake.engine.clear(now, sent.request, index).is_some(),
        "it stands as long as nothing has changed"
    );
    for id in [&sent.host, &sent.source] {
        let was = usual().into_iter().find(|line| line.host == *id).unwrap();
        fake.list(vec![Endpoint {
            started: Some(now),
            ..was.clone()
        }]);
        assert_eq!(
            fake.engine.clear(now, sent.request, index),
            None,
            "{id:?} is another process"
        );
        fake.list(vec![was]);
    }
}
