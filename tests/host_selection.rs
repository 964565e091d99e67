//! Which cache gets a request, and which source fills its miss.

mod fake;

use fake::{Fake, host, is_parent, line, terms, usual};
use flaxdeck::{AttemptOutcome, Endpoint, FillOutcome, Health, HostId, Role};

#[test]
fn an_object_goes_to_the_same_cache_and_parent_at_every_dispatcher() {
    let (mut one, mut other) = (Fake::new(terms(), usual()), Fake::new(terms(), usual()));
    for object in 1..40 {
        let (at, there) = (one.request(0, object), other.request(0, object));
        assert_eq!(one.sent[at].host, other.sent[there].host);
        assert_eq!(one.sent[at].source, other.sent[there].source);
        assert!(is_parent(&one.sent[at].source));
        one.end(at, AttemptOutcome::Answered, FillOutcome::Hit, 0);
        other.end(there, AttemptOutcome::Answered, FillOutcome::Hit, 0);
    }
}

#[test]
fn parts_of_an_object_are_spread_over_the_caches() {
    let mut fake = Fake::new(terms(), usual());
    let at = (0..20).map(|part| fake.part(7, part)).collect::<Vec<_>>();
    let at_a = at
        .iter()
        .filter(|at| fake.sent[**at].host == host("a"))
        .count();
    assert!(
        (4..17).contains(&at_a),
        "{at_a} of 20 parts at one of two caches"
    );
}

#[test]
fn nothing_new_goes_to_a_draining_host_nor_names_it_as_source() {
    let mut fake = Fake::new(terms(), usual());
    let draining = |name, role| Endpoint {
        health: Health::Draining,
        ..line(name, role)
    };
    fake.list(vec![
        draining("a", Role::Cache),
        draining("p", Role::Parent),
    ]);
    for object in 0..40 {
        fake.fill(object, 100.0, FillOutcome::Filled, |_| 20);
    }
    assert!(
        fake.sent
            .iter()
            .all(|sent| sent.host == host("bb") && sent.source != host("p"))
    );
}

#[test]
fn the_origin_gets_small_fills_only_if_it_clearly_beats_a_parent_in_several() {
    for (origin_ms, bypassed) in [(17, false), (5, true)] {
        let mut fake = Fake::new(terms(), usual());
        let waited = |id: &HostId| if *id == host("o") { origin_ms } else { 20 };
        for object in 0..100 {
            fake.fill(object, 100.0, FillOutcome::Filled, waited);
            fake.pass(100);
        }
        let late = (0..40)
            .filter(|o| fake.fill(*o, 100.0, FillOutcome::Filled, waited) == host("o"))
            .count();
        assert_eq!(
            late > 30,
            bypassed,
            "{late} of 40 past the parents at {origin_ms} ms"
        );
        assert!(
            fake.sent.iter().any(|sent| sent.source == host("o")),
            "the origin has its trials"
        );
    }
}

#[test]
fn bandwidth_decides_for_large_objects() {
    let mut fake = Fake::new(terms(), usual());
    fake.took = 1100;
    // All take 1100 ms: the wait of the origin is long, so its transfers are the quicker.
    let waited = |id: &HostId| if *id == host("o") { 800 } else { 20 };
    for object in 0..100 {
        fake.fill(object, 1500.0, FillOutcome::Filled, waited);
        fake.pass(100);
    }
    let large = (0..40)
        .filter(|o| fake.fill(*o, 1500.0, FillOutcome::Filled, waited) == host("o"))
        .count();
    let small = (0..40)
        .filter(|o| fake.fill(*o, 100.0, FillOutcome::Filled, waited) == host("o"))
        .count();
    assert!(
        large > 30 && small < 3,
        "{large} large and {small} small fills past the parents"
    );
}

#[test]
fn without_caches_a_location_goes_to_its_parents_within_their_windows() {
    let hosts = usual()
        .into_iter()
        .filter(|line| line.role != Role::Cache)
        .collect();
    let mut fake = Fake::new(terms(), hosts);
    for object in 0..200 {
        fake.request(0, object);
    }
    assert!(
        fake.sent
            .iter()
            .all(|sent| is_parent(&sent.host) && sent.source == host("o"))
    );
    assert!(
        (10..100).contains(&fake.sent.len()),
        "{} sent at once",
        fake.sent.len()
    );
    fake.pass(2000);
    assert!(fake.finals.len() > 100, "the rest is answered in time");
}
