//! Host selection: which cache gets a request, and which source fills its miss.

mod fake;

use fake::{Fake, default_hosts, endpoint, host, is_parent, terms};
use flaxdeck::{AttemptOutcome, Endpoint, FillOutcome, Health, HostId, Role};

#[test]
fn every_dispatcher_selects_the_same_cache_and_parent_for_an_object() {
    let (mut one, mut other) = (
        Fake::new(terms(), default_hosts()),
        Fake::new(terms(), default_hosts()),
    );
    for object in 1..40 {
        let (at_one, at_other) = (one.request(0, object), other.request(0, object));
        assert_eq!(one.sent[at_one].host, other.sent[at_other].host);
        assert_eq!(one.sent[at_one].source, other.sent[at_other].source);
        assert!(is_parent(&one.sent[at_one].source));
        one.end(at_one, AttemptOutcome::Answered, FillOutcome::Hit, 0);
        other.end(at_other, AttemptOutcome::Answered, FillOutcome::Hit, 0);
    }
}

#[test]
fn parts_of_an_object_are_spread_over_the_caches() {
    let mut fake = Fake::new(terms(), default_hosts());
    let attempts = (0..20)
        .map(|part| fake.request_part(7, part))
        .collect::<Vec<_>>();
    let sent_to_a = attempts
        .iter()
        .filter(|attempt| fake.sent[**attempt].host == host("a"))
        .count();
    assert!(
        (4..17).contains(&sent_to_a),
        "{sent_to_a} of 20 parts at one of two caches, expected 4 to 16"
    );
}

#[test]
fn a_draining_host_gets_no_new_attempts_as_host_or_as_source() {
    let mut fake = Fake::new(terms(), default_hosts());
    let draining = |name, role| Endpoint {
        health: Health::Draining,
        ..endpoint(name, role)
    };
    fake.list(vec![
        draining("a", Role::Cache),
        draining("p", Role::Parent),
    ]);
    for object in 0..40 {
        fake.request_and_answer(object, 100.0, FillOutcome::Filled, |_| 20);
    }
    assert!(
        fake.sent
            .iter()
            .all(|sent| sent.host == host("bb") && sent.source != host("p"))
    );
}

#[test]
fn the_origin_gets_small_fills_only_if_it_clearly_beats_a_parent_in_several_fills() {
    for (origin_ms, is_better) in [(17, false), (5, true)] {
        let mut fake = Fake::new(terms(), default_hosts());
        let waited = |id: &HostId| if *id == host("o") { origin_ms } else { 20 };
        for object in 0..100 {
            fake.request_and_answer(object, 100.0, FillOutcome::Filled, waited);
            fake.advance(100);
        }
        let from_origin = (0..40)
            .filter(|o| {
                fake.request_and_answer(*o, 100.0, FillOutcome::Filled, waited) == host("o")
            })
            .count();
        assert_eq!(
            from_origin > 30,
            is_better,
            "{from_origin} of 40 fills from the origin at a latency of {origin_ms} ms there and 20 ms at the parents"
        );
        assert!(
            fake.sent.iter().any(|sent| sent.source == host("o")),
            "the origin got no trial"
        );
    }
}

#[test]
fn sources_are_compared_by_bandwidth_for_large_objects() {
    let mut fake = Fake::new(terms(), default_hosts());
    fake.answer_ms = 1100;
    // All fills take 1100 ms in total. The origin's wait is longer, so its transfer is the faster part.
    let waited = |id: &HostId| if *id == host("o") { 800 } else { 20 };
    for object in 0..100 {
        fake.request_and_answer(object, 1500.0, FillOutcome::Filled, waited);
        fake.advance(100);
    }
    let large = (0..40)
        .filter(|o| fake.request_and_answer(*o, 1500.0, FillOutcome::Filled, waited) == host("o"))
        .count();
    let small = (0..40)
        .filter(|o| fake.request_and_answer(*o, 100.0, FillOutcome::Filled, waited) == host("o"))
        .count();
    assert!(
        large > 30 && small < 3,
        "{large} of 40 large fills from the origin, expected more than 30; {small} of 40 small ones, expected less than 3"
    );
}

#[test]
fn without_caches_requests_go_to_the_parents_within_their_windows() {
    let hosts = default_hosts()
        .into_iter()
        .filter(|endpoint| endpoint.role != Role::Cache)
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
        "{} of 200 requests were sent at once, expected 10 to 99",
        fake.sent.len()
    );
    fake.advance(2000);
    assert!(
        fake.finals.len() > 100,
        "{} of the requests that were not sent got an answer within 2 s, expected more than 100",
        fake.finals.len()
    );
}
