//! How many attempts may be in flight at a source, and what happens at a source that is full.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod fake;

use fake::{Fake, host, is_parent, terms, usual};
use flaxdeck::{AttemptOutcome, Endpoint, FillOutcome, Role};

#[test]
fn fills_at_a_parent_keep_to_a_window_and_past_it_only_hits_are_asked_for() {
    let wide = |line: Endpoint| Endpoint {
        weight: 500.0,
        ..line
    };
    let mut fake = Fake::new(terms(), usual().into_iter().map(wide).collect());
    for object in 0..200 {
        fake.request(0, object);
    }
    let fills = fake
        .sent
        .iter()
        .filter(|sent| is_parent(&sent.source))
        .count();
    assert!((20..100).contains(&fills), "{fills} of 200 may be filled");
    assert!(
        fake.sent.iter().any(|sent| sent.source == sent.host),
        "hits are still asked for"
    );
}

#[test]
fn a_fill_whose_parent_has_no_capacity_goes_to_an_origin_that_has() {
    let wide = |line: Endpoint| Endpoint {
        weight: 500.0,
        ..line
    };
    let hosts = usual().into_iter().filter(|line| line.host != host("q"));
    let mut fake = Fake::new(terms(), hosts.map(wide).collect());
    for object in 0..60 {
        fake.request(0, object);
    }
    let at = |name: &str| {
        fake.sent
            .iter()
            .filter(|sent| sent.source == host(name))
            .count()
    };
    assert_eq!(
        (at("p"), at("o")),
        (24, 24),
        "its window first, then the origin's, then only hits"
    );
}

#[test]
fn a_parent_that_refuses_fills_keeps_its_objects() {
    let no_origin: Vec<_> = usual()
        .into_iter()
        .filter(|line| line.role != Role::Origin)
        .collect();
    let mut fake = Fake::new(terms(), no_origin);
    let at = fake.request(0, 1);
    let full = fake.sent[at].source.clone();
    assert!(is_parent(&full));
    // Refused twice, the request waits each time and asks the same parent again, not the other one.
    for refusals in 1..3 {
        fake.end(
            at + refusals - 1,
            AttemptOutcome::Rejected,
            FillOutcome::SourceRefused,
            20,
        );
        assert_eq!(fake.sent.len(), at + refusals, "not at once");
        fake.pass(250);
        assert_eq!(fake.sent[at + refusals].source, full);
    }
    fake.end(at + 2, AttemptOutcome::Answered, FillOutcome::Filled, 20);
    let used = (2..40)
        .filter(|object| fake.fill(*object, 100.0, FillOutcome::Filled, |_| 20) == full)
        .count();
    assert!(used > 8, "{used} of 38: its other objects stay as well");
}

#[test]
fn a_request_refused_by_its_parent_goes_to_a_healthy_origin_and_the_parent_stays_in_use() {
    let mut fake = Fake::new(terms(), usual());
    let at = fake.request(0, 1);
    let full = fake.sent[at].source.clone();
    for object in 2..6 {
        fake.end(
            fake.sent.len() - 1,
            AttemptOutcome::Rejected,
            FillOutcome::SourceRefused,
            20,
        );
        fake.pass(250);
        assert_eq!(fake.last_sent().source, host("o"));
        fake.end(
            fake.sent.len() - 1,
            AttemptOutcome::Answered,
            FillOutcome::Filled,
            20,
        );
        let next = (object * 100..object * 100 + 40)
            .find(|object| fake.fill(*object, 100.0, FillOutcome::Filled, |_| 20) == full);
        fake.request(0, next.unwrap());
        assert_eq!(fake.last_sent().source, full);
    }
}

#[test]
fn refusals_narrow_a_parents_window() {
    let mut fake = Fake::new(
        terms(),
        usual()
            .into_iter()
            .filter(|line| line.host != host("q"))
            .collect(),
    );
    for object in 0..20 {
        let at = fake.request(0, object);
        fake.end(at, AttemptOutcome::Rejected, FillOutcome::SourceRefused, 20);
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
        "{fills} of 10 fills at a parent that refused them all"
    );
}

#[test]
fn slow_fills_narrow_the_origins_window_before_they_are_overdue() {
    let only_origin = usual()
        .into_iter()
        .filter(|line| line.role != Role::Parent)
        .collect::<Vec<_>>();
    let sent_at_once = |slow: u64| {
        let mut fake = Fake::new(terms(), only_origin.clone());
        for object in 0..30 {
            let at = fake.request(0, object);
            fake.pass(slow);
            fake.end(at, AttemptOutcome::Answered, FillOutcome::Filled, 20);
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
    // A request of 100 ms at an idle cache, with 20 ms to the first byte, is overdue after 390 ms.
    let (quick, slow) = (sent_at_once(100), sent_at_once(300));
    assert!(
        slow < 4 && quick > 12,
        "{quick} quick and {slow} slow fills at the origin"
    );
}

/// With hundreds of dispatchers an origin is asked for twice what it can do while each has one fill in flight there.
#[test]
fn fills_that_wait_long_behind_a_parent_leave_it_fewer_objects_to_fetch() {
    let mut fake = Fake::new(terms(), usual());
    let mut first = 0;
    let mut fetched_after = |waited: u64| {
        for n in first..first + 30 {
            fake.fill(n, 100.0, FillOutcome::FilledThroughOrigin, |_| waited);
        }
        let before = fake.sent.len();
        for object in first + 100..first + 120 {
            fake.request(0, object);
        }
        let fetched = fake.sent[before..]
            .iter()
            .filter(|sent| is_parent(&sent.source) && !sent.only_held)
            .count();
        for at in before..fake.sent.len() {
            fake.end(at, AttemptOutcome::Answered, FillOutcome::Hit, 20);
        }
        first += 1000;
        fetched
    };
    // 500 ms are promised.
    let prompt = fetched_after(400);
    let slow = fetched_after(900);
    let again = fetched_after(400);
    assert!(
        prompt >= 18 && slow <= 4 && again >= 18,
        "{prompt}, then {slow}, then {again} of 20 may be fetched"
    );
}
