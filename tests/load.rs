//! The load of caches: which requests are admitted, and which objects move.

mod fake;

use fake::{Fake, host, single, terms, usual};
use flaxdeck::{AttemptOutcome, DeploymentTerms, FillOutcome, HostId};

#[test]
fn full_caches_admit_large_requests_at_higher_loads_but_only_those_that_come_in_time() {
    let mut fake = Fake::new(terms(), usual());
    let sent =
        |fake: &mut Fake, object: u64, kb: f64| fake.request_of(0, object, kb) < fake.sent.len();
    let small = (0..200)
        .filter(|object| sent(&mut fake, *object, 10.0))
        .count();
    assert!(
        (20..60).contains(&small),
        "{small} small ones are in hand at 10 places"
    );
    assert!(
        !sent(&mut fake, 200, 10.0),
        "no cache has capacity for a small one"
    );
    assert!(
        !sent(&mut fake, 201, 2_000.0),
        "this one would come late behind so many"
    );
    let large = (300..400)
        .filter(|object| sent(&mut fake, *object, 100.0))
        .count();
    assert!(
        (1..=small).contains(&large),
        "{large} large ones beside {small} small ones"
    );
    assert!(
        !sent(&mut fake, 400, 100.0),
        "large ones are bounded as well"
    );
}

/// Where 60 objects go in a location of 17 dispatchers whose caches report so many requests.
fn hosts_under(at_a: f64, elsewhere: f64) -> Vec<HostId> {
    let mut fake = Fake::new(
        DeploymentTerms {
            zone_dispatchers: vec![17, 0],
            ..terms()
        },
        usual(),
    );
    (fake.at_a, fake.elsewhere, fake.took) = (at_a, elsewhere, 20);
    let mut host_of = |object| {
        fake.fill(object, 20.0, FillOutcome::Hit, |_| 0);
        fake.last_sent().host.clone()
    };
    for object in 0..10 {
        host_of(object);
    }
    (0..60).map(host_of).collect()
}

#[test]
fn the_same_objects_leave_a_loaded_cache_at_every_dispatcher() {
    let (idle, loaded) = (hosts_under(0.0, 0.0), hosts_under(14.0, 0.0));
    let moved = idle
        .iter()
        .zip(&loaded)
        .filter(|(idle, loaded)| idle != loaded)
        .count();
    assert_eq!(idle, hosts_under(3.0, 0.0));
    assert!((5..55).contains(&moved), "{moved} of 60 moved");
    assert_eq!(loaded, hosts_under(14.0, 0.0), "the hash tells which");
}

#[test]
fn no_object_moves_while_all_caches_are_evenly_loaded() {
    assert_eq!(hosts_under(0.0, 0.0), hosts_under(20.0, 19.0));
}

#[test]
fn requests_that_wait_for_slow_fills_do_not_count_as_work_of_a_cache() {
    let moved_with = |busy: f64| {
        let mut fake = Fake::new(
            DeploymentTerms {
                zone_dispatchers: vec![17, 0],
                ..single()
            },
            usual(),
        );
        (fake.at_a, fake.busy) = (14.0, Some(busy));
        let at = |fake: &mut Fake, object| {
            fake.fill(object, 100.0, FillOutcome::Hit, |_| 0);
            fake.last_sent().host == host("a")
        };
        for object in 0..60 {
            at(&mut fake, object);
        }
        (0..60).filter(|object| at(&mut fake, *object)).count()
    };
    let (busy, idle) = (moved_with(1.0), moved_with(0.1));
    assert!(
        busy < idle,
        "of 60 objects {busy} stay at a cache that is full, {idle} at one that waits"
    );
}

#[test]
fn a_cache_whose_hits_take_long_loses_a_part_of_its_objects_and_gets_them_back() {
    let mut fake = Fake::new(single(), usual());
    let at_a = |fake: &mut Fake, took: u64| {
        let mut there = 0;
        for object in 0..100 {
            let at = fake.request(0, object);
            let slow = fake.sent[at].host == host("a");
            there += u32::from(slow);
            fake.end_after(
                at,
                AttemptOutcome::Answered,
                FillOutcome::Hit,
                if slow { took } else { 100 },
            );
        }
        there
    };
    let usual = at_a(&mut fake, 100);
    for _ in 0..3 {
        at_a(&mut fake, 900);
    }
    let slow = at_a(&mut fake, 900);
    assert!(
        slow < usual / 3,
        "{usual} before, {slow} while its hits take nine times as long"
    );
    fake.pass(12_000);
    assert_eq!(
        at_a(&mut fake, 100),
        usual,
        "left alone for a while it is tried again"
    );
}

#[test]
fn caches_that_tell_their_load_only_when_polled_are_polled_in_turn() {
    let mut fake = Fake::new(
        DeploymentTerms {
            may_look: true,
            ..terms()
        },
        usual(),
    );
    fake.pass(2200);
    assert!((4..7).contains(&fake.looks.len()), "{:?}", fake.looks);
    assert!(
        fake.looks.windows(2).all(|pair| pair[0] != pair[1]),
        "each in its turn"
    );
    assert!(
        fake.looks
            .iter()
            .all(|id| [host("a"), host("bb")].contains(id)),
        "no parent, not the origin"
    );
    fake.seen("a", Some(30.0));
    let at = fake.request(0, 1);
    assert_eq!(
        fake.sent[at].source, fake.sent[at].host,
        "the link is full: only a hit is asked for"
    );
    fake.pass(2100);
    let at = fake.request(0, 2);
    assert_ne!(
        fake.sent[at].source, fake.sent[at].host,
        "an old report says nothing"
    );

    let mut fake = Fake::new(terms(), usual());
    fake.pass(2200);
    assert_eq!(fake.looks, [], "answers tell the load here");
}
