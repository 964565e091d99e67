//! The load of caches: which requests are admitted, and which objects move to another cache.

mod fake;

use fake::{Fake, default_hosts, host, single_attempt_terms, terms};
use flaxdeck::{AttemptOutcome, DeploymentTerms, FillOutcome, HostId};

#[test]
fn large_requests_are_admitted_at_higher_loads_if_they_can_be_answered_in_time() {
    let mut fake = Fake::new(terms(), default_hosts());
    let is_sent =
        |fake: &mut Fake, object: u64, kb: f64| fake.request_of(0, object, kb) < fake.sent.len();
    let small = (0..200)
        .filter(|object| is_sent(&mut fake, *object, 10.0))
        .count();
    assert!(
        (20..60).contains(&small),
        "{small} of 200 small requests are in flight at caches with a total capacity of 10, expected 20 to 59"
    );
    assert!(
        !is_sent(&mut fake, 200, 10.0),
        "a small request was sent to a full cache"
    );
    assert!(
        !is_sent(&mut fake, 201, 2_000.0),
        "a large request was sent that could not be answered in time behind {small} others"
    );
    let large = (300..400)
        .filter(|object| is_sent(&mut fake, *object, 100.0))
        .count();
    assert!(
        (1..=small).contains(&large),
        "{large} large requests in flight beside {small} small ones, expected 1 to {small}"
    );
    assert!(
        !is_sent(&mut fake, 400, 100.0),
        "a large request was sent past the limit for large ones"
    );
}

/// Returns the hosts that 60 objects are sent to in a location of 17 dispatchers, whose caches report the given numbers
/// of requests in flight.
fn hosts_under(in_flight_at_a: f64, in_flight_elsewhere: f64) -> Vec<HostId> {
    let mut fake = Fake::new(
        DeploymentTerms {
            zone_dispatchers: vec![17, 0],
            ..terms()
        },
        default_hosts(),
    );
    (
        fake.in_flight_at_a,
        fake.in_flight_elsewhere,
        fake.answer_ms,
    ) = (in_flight_at_a, in_flight_elsewhere, 20);
    let mut host_of = |object| {
        fake.request_and_answer(object, 20.0, FillOutcome::Hit, |_| 0);
        fake.last_sent().host.clone()
    };
    for object in 0..10 {
        host_of(object);
    }
    (0..60).map(host_of).collect()
}

#[test]
fn every_dispatcher_moves_the_same_objects_off_a_loaded_cache() {
    let (idle, loaded) = (hosts_under(0.0, 0.0), hosts_under(14.0, 0.0));
    let moved = idle
        .iter()
        .zip(&loaded)
        .filter(|(idle, loaded)| idle != loaded)
        .count();
    assert_eq!(idle, hosts_under(3.0, 0.0));
    assert!(
        (5..55).contains(&moved),
        "{moved} of 60 objects moved off the loaded cache, expected 5 to 54"
    );
    assert_eq!(
        loaded,
        hosts_under(14.0, 0.0),
        "another dispatcher moved other objects"
    );
}

#[test]
fn no_object_moves_while_all_caches_are_evenly_loaded() {
    assert_eq!(hosts_under(0.0, 0.0), hosts_under(20.0, 19.0));
}

#[test]
fn requests_waiting_for_slow_fills_do_not_count_as_load_of_a_cache() {
    let stay_with = |utilization: f64| {
        let mut fake = Fake::new(
            DeploymentTerms {
                zone_dispatchers: vec![17, 0],
                ..single_attempt_terms()
            },
            default_hosts(),
        );
        (fake.in_flight_at_a, fake.utilization_of_a) = (14.0, Some(utilization));
        let is_sent_to_a = |fake: &mut Fake, object| {
            fake.request_and_answer(object, 100.0, FillOutcome::Hit, |_| 0);
            fake.last_sent().host == host("a")
        };
        for object in 0..60 {
            is_sent_to_a(&mut fake, object);
        }
        (0..60)
            .filter(|object| is_sent_to_a(&mut fake, *object))
            .count()
    };
    let (full, waiting) = (stay_with(1.0), stay_with(0.1));
    assert!(
        full < waiting,
        "{full} of 60 objects stay at a cache with full utilization, {waiting} at one whose requests wait for fills"
    );
}

#[test]
fn a_cache_with_slow_hits_loses_some_objects_and_regains_them() {
    let mut fake = Fake::new(single_attempt_terms(), default_hosts());
    let count_at_a = |fake: &mut Fake, took: u64| {
        let mut count = 0;
        for object in 0..100 {
            let position = fake.request(0, object);
            let slow = fake.sent[position].host == host("a");
            count += u32::from(slow);
            fake.end_after(
                position,
                AttemptOutcome::Answered,
                FillOutcome::Hit,
                if slow { took } else { 100 },
            );
        }
        count
    };
    let before = count_at_a(&mut fake, 100);
    for _ in 0..3 {
        count_at_a(&mut fake, 900);
    }
    let slow = count_at_a(&mut fake, 900);
    assert!(
        slow < before / 3,
        "{before} of 100 objects at the cache before, {slow} while its hits take nine times as long"
    );
    fake.advance(12_000);
    assert_eq!(
        count_at_a(&mut fake, 100),
        before,
        "the objects did not return after 12 s without slow hits"
    );
}

#[test]
fn caches_that_report_load_only_when_polled_are_polled_in_turn() {
    let mut fake = Fake::new(
        DeploymentTerms {
            may_poll_load: true,
            ..terms()
        },
        default_hosts(),
    );
    fake.advance(2200);
    assert!(
        (4..7).contains(&fake.load_polls.len()),
        "expected 4 to 6 load polls: {:?}",
        fake.load_polls
    );
    assert!(
        fake.load_polls.windows(2).all(|pair| pair[0] != pair[1]),
        "a cache was polled twice in a row: {:?}",
        fake.load_polls
    );
    assert!(
        fake.load_polls
            .iter()
            .all(|id| [host("a"), host("bb")].contains(id)),
        "a parent or the origin was polled: {:?}",
        fake.load_polls
    );
    fake.answer_load_poll("a", Some(30.0));
    let position = fake.request(0, 1);
    assert_eq!(
        fake.sent[position].source, fake.sent[position].host,
        "a fill was requested although the link is full"
    );
    fake.advance(2100);
    let position = fake.request(0, 2);
    assert_ne!(
        fake.sent[position].source, fake.sent[position].host,
        "an expired link report still prevents fills"
    );

    let mut fake = Fake::new(terms(), default_hosts());
    fake.advance(2200);
    assert_eq!(
        fake.load_polls,
        [],
        "hosts were polled although they report their load with their answers"
    );
}
