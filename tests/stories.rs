//! Short stories: one for each failure met.

mod fake;

use fake::*;
use flaxdeck::polled::{Input, PolledEngine, Step};
use flaxdeck::{
    Attempt, AttemptEnded, AttemptIndex, AttemptOutcome, Cancel, ClassId, DeploymentTerms,
    Endpoint, FillOutcome, Final, GroupId, Health, HostId, ListKind, LoadReport, ObjectId, Request,
    RequestClass, RequestId, Role, Span, Time,
};

fn is_parent(id: &HostId) -> bool {
    [host("p"), host("q")].contains(id)
}

#[test]
fn an_object_goes_to_the_same_cache_and_parent_at_every_dispatcher() {
    let (mut one, mut other) = (Fake::new(terms(), usual()), Fake::new(terms(), usual()));
    for object in 1..40 {
        let (at, there) = (one.request(0, object), other.request(0, object));
        assert_eq!(one.sent[at].1.host, other.sent[there].1.host);
        assert_eq!(one.sent[at].1.source, other.sent[there].1.source);
        assert!(is_parent(&one.sent[at].1.source));
        one.end(at, AttemptOutcome::Answered, FillOutcome::Hit, 0);
        other.end(there, AttemptOutcome::Answered, FillOutcome::Hit, 0);
    }
}

#[test]
fn a_failing_parent_gets_trials_only_and_comes_back_by_one() {
    let mut fake = Fake::new(terms(), usual());
    for object in 0..40 {
        let at = fake.request(0, object);
        let bad = fake.sent[at].1.source == host("p");
        let outcome = if bad {
            AttemptOutcome::Rejected
        } else {
            AttemptOutcome::Answered
        };
        fake.end(
            at,
            outcome,
            if bad {
                FillOutcome::SourceUnreached
            } else {
                FillOutcome::Filled
            },
            20,
        );
    }
    fake.pass(200);
    let before = fake.sent.len();
    for object in 0..40 {
        fake.fill(object, 100.0, FillOutcome::Filled, |_| 20);
    }
    assert!(
        fake.sent[before..]
            .iter()
            .all(|(_, sent)| sent.source != host("p"))
    );
    fake.pass(6000);
    let used = |fake: &mut Fake| {
        (0..40)
            .filter(|o| fake.fill(*o, 100.0, FillOutcome::Filled, |_| 20) == host("p"))
            .count()
    };
    assert!(
        used(&mut fake) > 1,
        "one good trial lifts it over the floor"
    );
}

#[test]
fn the_origin_gets_small_fills_only_where_it_clearly_beats_a_parent_for_several() {
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
            fake.sent.iter().any(|(_, sent)| sent.source == host("o")),
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
fn a_silent_cache_is_passed_by_and_a_slow_one_is_not() {
    let mut fake = Fake::new(terms(), usual());
    let at = fake.request(0, 1);
    let cache = fake.sent[at].1.host.clone();
    fake.pass(1500);
    assert_eq!(fake.sent.len(), 2, "a second copy beside the silent one");
    assert_ne!(fake.sent[1].1.host, cache);
    fake.end(1, AttemptOutcome::Answered, FillOutcome::Hit, 0);
    assert_eq!(
        fake.cancels,
        vec![Cancel {
            request: fake.sent[0].1.request,
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
fn a_connection_that_died_while_idle_is_no_fault_of_its_host() {
    let mut fake = Fake::new(terms(), usual());
    for object in 0..6 {
        let at = fake.request(0, object);
        let cache = fake.sent[at].1.host.clone();
        fake.end(at, AttemptOutcome::Stale, FillOutcome::Nothing, 0);
        assert_eq!(
            fake.sent[at + 1].1.host,
            cache,
            "at once, to the same cache"
        );
        fake.end(at + 1, AttemptOutcome::Answered, FillOutcome::Hit, 0);
    }
    let at = fake.request(1, 1);
    assert!(fake.sent[at].1.fresh);
    fake.end(at, AttemptOutcome::Stale, FillOutcome::Nothing, 0);
    assert_eq!(
        fake.finals,
        vec![Final::Failed {
            request: RequestId(7)
        }],
        "it may have run all the same"
    );
}

#[test]
fn writes_that_the_origin_cannot_use_do_not_stop_the_fills_behind_it() {
    let mut fake = Fake::new(terms(), usual());
    for object in 0..4 {
        let at = fake.request(1, object);
        assert_eq!(fake.sent[at].1.host, host("o"));
        fake.end(at, AttemptOutcome::Errored, FillOutcome::Nothing, 0);
    }
    let at = fake.request(0, 9);
    assert!(!fake.sent[at].1.only_held, "the fault may be the client's");
}

#[test]
fn requests_that_every_cache_fails_put_no_cache_out_of_use() {
    let mut hosts = usual();
    hosts.push(line("cc", Role::Cache));
    let mut fake = Fake::new(terms(), hosts);
    let homes = |fake: &mut Fake| -> Vec<HostId> {
        let first = fake.sent.len();
        (0..40).for_each(|object| drop(fake.fill(object, 100.0, FillOutcome::Hit, |_| 20)));
        fake.sent[first..]
            .iter()
            .map(|(_, sent)| sent.host.clone())
            .collect()
    };
    let before = homes(&mut fake);
    for request in 0..6 {
        let mut at = fake.request(0, 1000 + request);
        let finals = fake.finals.len();
        while fake.finals.len() == finals {
            while at < fake.sent.len() {
                fake.end(at, AttemptOutcome::Errored, FillOutcome::Nothing, 0);
                at += 1;
            }
            fake.pass(1);
        }
        assert_eq!(homes(&mut fake), before, "the fault was the request's");
    }
}

#[test]
fn caches_that_fail_every_request_are_put_out_of_use() {
    let mut fake = Fake::new(terms(), usual());
    (0..40).for_each(|object| drop(fake.fill(object, 100.0, FillOutcome::Hit, |_| 20)));
    let mut at = fake.sent.len();
    for object in 0..10 {
        fake.request(0, object);
        for _ in 0..1000 {
            while at < fake.sent.len() {
                let cache = [host("a"), host("bb")].contains(&fake.sent[at].1.host);
                let outcome = if cache {
                    AttemptOutcome::Errored
                } else {
                    AttemptOutcome::Answered
                };
                fake.end(at, outcome, FillOutcome::Nothing, 0);
                at += 1;
            }
            fake.pass(1);
        }
    }
    let at_caches = fake.sent[40..]
        .iter()
        .filter(|(_, sent)| [host("a"), host("bb")].contains(&sent.host));
    let at_caches = at_caches.count();
    assert!(
        at_caches < 30,
        "{at_caches} attempts at caches that fail, of 60 were they never out"
    );
}

#[test]
fn an_at_most_once_request_that_may_have_run_is_never_sent_again_nor_rejected() {
    for outcome in [
        AttemptOutcome::TimedOut,
        AttemptOutcome::Errored,
        AttemptOutcome::Broken,
    ] {
        let mut fake = Fake::new(terms(), usual());
        let at = fake.request(1, 1);
        assert_eq!(fake.sent[at].1.host, host("o"));
        fake.pass(2000);
        fake.end(at, outcome, FillOutcome::Nothing, 0);
        fake.pass(3000);
        assert_eq!(fake.sent.len(), 1);
        assert_eq!(
            fake.finals,
            vec![Final::Failed {
                request: RequestId(1)
            }]
        );
    }
    let mut fake = Fake::new(terms(), usual());
    let at = fake.request(1, 1);
    fake.end(at, AttemptOutcome::Rejected, FillOutcome::Nothing, 0);
    fake.pass(200);
    assert_eq!(fake.sent.len(), 2, "a refusal proves that nothing ran");
}

#[test]
fn a_deduplicated_request_that_may_have_run_stays_in_its_cell_while_that_remembers() {
    let mut hosts = usual();
    hosts.extend([line("cc", Role::Cache), line("dd", Role::Cache)]);
    let mut fake = Fake::new(terms(), hosts);
    for object in 0..20 {
        let at = fake.request(2, object);
        let first = fake.sent[at].1.host.clone();
        fake.end(at, AttemptOutcome::Errored, FillOutcome::Nothing, 0);
        for (_, again) in &fake.sent[at + 1..] {
            assert_eq!(
                again.host.0.len(),
                first.0.len(),
                "the fake's cells go by the length of names"
            );
            assert_ne!(again.host, first);
        }
        fake.pass(4000);
    }
    assert!(
        fake.finals
            .iter()
            .all(|last| matches!(last, Final::Failed { .. }))
    );
    assert!(
        fake.sent.len() > 20,
        "some went to a second host of the cell"
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
            .all(|(_, s)| s.host == host("bb") && s.source != host("p"))
    );
}

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
        .filter(|(_, sent)| sent.host == host("a"))
        .count();
    let at_parent = fake
        .sent
        .iter()
        .filter(|(_, sent)| sent.source == host("p"))
        .count();
    // 5 places x 0.2 cold x 2 times x 2 s hold 40 transfers of 100 ms; at the parent 20, for two dispatchers.
    assert!((10..40).contains(&at_cache), "{at_cache} to the cold cache");
    assert!(
        (3..10).contains(&at_parent),
        "{at_parent} to the cold parent"
    );
}

#[test]
fn a_restarted_dispatcher_takes_the_cold_hosts_window_as_spent() {
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
fn no_copy_older_than_a_purge_will_do_until_it_has_settled() {
    let mut fake = Fake::new(terms(), usual());
    let made = fake.now;
    fake.pass(50);
    fake.engine
        .purge(fake.now, Some(ObjectId(1)), GroupId(1), made);
    fake.engine.purge(fake.now, None, GroupId(2), made);
    fake.pass(200);
    for (object, held_to) in [(1, true), (2, true), (6, true), (5, false)] {
        let at = fake.request(0, object);
        let oldest = fake.sent[at].1.oldest;
        assert_eq!(oldest.is_some(), held_to, "object {object}");
        assert!(oldest.is_none_or(|oldest| oldest < fake.now.since(made)));
        fake.end(at, AttemptOutcome::Answered, FillOutcome::Hit, 0);
    }
    fake.pass(8000);
    let at = fake.request(0, 1);
    assert_eq!(fake.sent[at].1.oldest, None);
}

#[test]
fn every_request_gets_one_answer_before_its_deadline_whatever_is_up() {
    let nothing = Vec::new();
    let only_caches = usual()
        .into_iter()
        .filter(|line| line.role == Role::Cache)
        .collect();
    for hosts in [nothing, only_caches, usual()] {
        let mut fake = Fake::new(terms(), hosts);
        for class in [0, 1, 2] {
            fake.request(class, 9);
        }
        fake.pass(3995);
        assert_eq!(fake.finals.len(), 3);
        let sent = fake.sent.len();
        fake.pass(2000);
        assert_eq!((fake.finals.len(), fake.sent.len()), (3, sent));
    }
}

#[test]
fn while_the_link_is_full_only_hits_are_asked_for_and_known_misses_are_rejected() {
    let mut fake = Fake::new(terms(), usual());
    let at = fake.request(0, 1);
    fake.end_with(
        at,
        AttemptOutcome::Answered,
        FillOutcome::Hit,
        0,
        Some(20.0),
    );
    let at = fake.request(0, 2);
    assert_eq!(fake.sent[at].1.source, fake.sent[at].1.host, "no fill");
    fake.end_with(
        at,
        AttemptOutcome::NoCopy,
        FillOutcome::Nothing,
        0,
        Some(20.0),
    );
    fake.pass(150);
    assert_eq!(fake.sent.len(), at + 1, "the known miss goes nowhere");
    assert!(
        matches!(
            fake.finals[..],
            [Final::Rejected {
                retry_after: Some(_),
                ..
            }]
        ),
        "its client is told at once"
    );
    let hit = fake.request(0, 3);
    fake.end_with(
        hit,
        AttemptOutcome::Answered,
        FillOutcome::Hit,
        0,
        Some(0.5),
    );
    fake.request(0, 2);
    assert!(
        is_parent(&fake.sent.last().unwrap().1.source),
        "there is room again"
    );
}

#[test]
fn behind_a_stopped_origin_parents_give_only_what_they_hold_and_the_rest_is_rejected() {
    let mut fake = Fake::new(terms(), usual());
    for object in 0..3 {
        let at = fake.request(0, object);
        fake.end(at, AttemptOutcome::Rejected, FillOutcome::OriginFailed, 900);
    }
    let at = fake.request(0, 9);
    assert!(
        fake.sent[at].1.only_held && is_parent(&fake.sent[at].1.source),
        "and no parent is blamed"
    );
    let request = fake.sent[at].1.request;
    fake.end(at, AttemptOutcome::NoCopy, FillOutcome::SourceLacks, 20);
    fake.pass(150);
    assert!(
        fake.sent[at + 1..]
            .iter()
            .all(|(_, sent)| sent.request != request),
        "no other parent is asked"
    );
    assert!(
        fake.finals
            .iter()
            .any(|last| matches!(last, Final::Rejected { request: id, .. } if *id == request))
    );
}

#[test]
fn under_overload_what_cannot_come_in_time_is_rejected_and_small_requests_go_on() {
    let mut fake = Fake::new(terms(), usual());
    for object in 0..30 {
        fake.request_of(0, object, 3000.0);
    }
    assert!(fake.sent.len() < 30, "the large ones are held back");
    let small = fake.request_of(0, 99, 10.0);
    assert_eq!(fake.sent.len(), small + 1, "a small one finds room");
    fake.pass(3500);
    assert!(fake.finals.iter().any(|last| matches!(
        last,
        Final::Rejected {
            retry_after: Some(_),
            ..
        }
    )));
}

#[test]
fn full_caches_admit_large_requests_further_than_small_ones_but_only_those_that_come_in_time() {
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
        "no cache has room for a small one"
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

#[test]
fn a_request_asked_again_is_not_promised_anew() {
    let mut fake = Fake::new(terms(), Vec::new());
    fake.request(0, 1);
    fake.pass(700);
    assert_eq!(fake.finals.len(), 1, "no host came up in time");
    fake.again = true;
    fake.request(0, 1);
    assert_eq!(
        fake.finals.len(),
        2,
        "its time has passed: the client is told at once"
    );
    fake.request(0, 2);
    assert_eq!(fake.finals.len(), 2, "another's has not");
}

#[test]
fn small_requests_without_a_fill_weigh_the_mean_at_a_cold_cache() {
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
        .filter(|(_, sent)| sent.host == host("a"))
        .count();
    assert!((10..60).contains(&at_cache), "{at_cache} to the cold cache");
}

#[test]
fn with_its_caches_lost_a_location_goes_straight_but_not_without_bound() {
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
            .all(|(_, s)| is_parent(&s.host) && s.source == host("o"))
    );
    assert!(
        (10..100).contains(&fake.sent.len()),
        "{} sent at once",
        fake.sent.len()
    );
    fake.pass(2000);
    assert!(fake.finals.len() > 100, "the rest is told in time");
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
        fake.sent.last().unwrap().1.host.clone()
    };
    (0..10).for_each(|object| _ = host_of(object));
    (0..60).map(host_of).collect()
}

#[test]
fn from_a_loaded_cache_the_same_part_of_the_objects_moves_at_every_dispatcher() {
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
fn where_all_caches_are_evenly_loaded_the_hash_is_kept_to() {
    assert_eq!(hosts_under(0.0, 0.0), hosts_under(20.0, 19.0));
}

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
        .filter(|(_, sent)| is_parent(&sent.source))
        .count();
    assert!((20..100).contains(&fills), "{fills} of 200 may be filled");
    assert!(
        fake.sent.iter().any(|(_, sent)| sent.source == sent.host),
        "hits are asked for on"
    );
}

#[test]
fn a_parent_that_cannot_be_reached_is_out_at_once_and_its_request_goes_on_to_the_origin() {
    let mut fake = Fake::new(terms(), usual());
    let at = fake.request(0, 1);
    let dead = fake.sent[at].1.source.clone();
    fake.end(
        at,
        AttemptOutcome::Rejected,
        FillOutcome::SourceUnreached,
        400,
    );
    assert_eq!(
        fake.sent[at + 1].1.source,
        host("o"),
        "at once, without a pause"
    );
    fake.end(at + 1, AttemptOutcome::Answered, FillOutcome::Filled, 20);
    let used = (2..40)
        .filter(|object| fake.fill(*object, 100.0, FillOutcome::Filled, |_| 20) == dead)
        .count();
    assert_eq!(used, 0, "one failure is enough");
}

#[test]
fn a_parent_that_refuses_is_full_and_its_objects_stay_with_it() {
    let no_origin: Vec<_> = usual()
        .into_iter()
        .filter(|line| line.role != Role::Origin)
        .collect();
    let mut fake = Fake::new(terms(), no_origin);
    let at = fake.request(0, 1);
    let full = fake.sent[at].1.source.clone();
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
        assert_eq!(fake.sent[at + refusals].1.source, full);
    }
    fake.end(at + 2, AttemptOutcome::Answered, FillOutcome::Filled, 20);
    let used = (2..40)
        .filter(|object| fake.fill(*object, 100.0, FillOutcome::Filled, |_| 20) == full)
        .count();
    assert!(used > 8, "{used} of 38: its other objects stay as well");
}

#[test]
fn a_full_parents_request_goes_on_to_an_origin_that_is_well_and_the_parent_stays_in_use() {
    let mut fake = Fake::new(terms(), usual());
    let at = fake.request(0, 1);
    let full = fake.sent[at].1.source.clone();
    for object in 2..6 {
        fake.end(
            fake.sent.len() - 1,
            AttemptOutcome::Rejected,
            FillOutcome::SourceRefused,
            20,
        );
        fake.pass(250);
        assert_eq!(fake.sent.last().unwrap().1.source, host("o"));
        fake.end(
            fake.sent.len() - 1,
            AttemptOutcome::Answered,
            FillOutcome::Filled,
            20,
        );
        let next = (object * 100..object * 100 + 40)
            .find(|object| fake.fill(*object, 100.0, FillOutcome::Filled, |_| 20) == full);
        fake.request(0, next.unwrap());
        assert_eq!(fake.sent.last().unwrap().1.source, full);
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
    (100..110).for_each(|object| _ = fake.request(0, object));
    let fills = fake.sent[before..]
        .iter()
        .filter(|(_, sent)| is_parent(&sent.source))
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
        (100..130).for_each(|object| _ = fake.request(0, object));
        fake.sent[before..]
            .iter()
            .filter(|(_, sent)| sent.source == host("o"))
            .count()
    };
    // A request of 100 ms at an idle cache, with 20 ms to the first byte, is overdue after 390 ms.
    let (quick, slow) = (sent_at_once(100), sent_at_once(300));
    assert!(
        slow < 4 && quick > 12,
        "{quick} quick and {slow} slow fills at the origin"
    );
}

// With hundreds of dispatchers an origin is asked for twice what it can do while each of them has one fill out there.
#[test]
fn fills_that_wait_long_behind_a_parent_leave_it_fewer_objects_to_fetch() {
    let mut fake = Fake::new(terms(), usual());
    let mut first = 0;
    let mut fetched_after = |waited: u64| {
        (first..first + 30)
            .for_each(|n| _ = fake.fill(n, 100.0, FillOutcome::FilledThroughOrigin, |_| waited));
        let before = fake.sent.len();
        (first + 100..first + 120).for_each(|object| _ = fake.request(0, object));
        let (leave, sent) = (fake.sent.len() - before, &fake.sent[before..]);
        let fetched = sent
            .iter()
            .filter(|(_, sent)| is_parent(&sent.source) && !sent.only_held)
            .count();
        (0..leave)
            .for_each(|n| fake.end(before + n, AttemptOutcome::Answered, FillOutcome::Hit, 20));
        first += 1000;
        fetched
    };
    // 500 ms are promised.
    let (prompt, slow, again) = (fetched_after(400), fetched_after(900), fetched_after(400));
    assert!(
        prompt >= 18 && slow <= 4 && again >= 18,
        "{prompt}, then {slow}, then {again} of 20 may be fetched"
    );
}

// An attempt is decided, its host dies and is back empty before the connection is up: its share has to be taken anew.
#[test]
fn a_host_that_is_back_cold_before_an_attempt_is_written_does_not_get_it() {
    let mut fake = Fake::new(terms(), usual());
    let at = fake.request(0, 1);
    let (index, sent) = fake.sent[at].clone();
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

#[test]
fn a_request_without_room_is_rejected_once_a_full_cache_could_not_answer_it_in_time() {
    let mut fake = Fake::new(terms(), Vec::new());
    fake.request(0, 1);
    fake.pass(450);
    assert!(
        fake.finals.is_empty(),
        "of 700 ms there are 250 left, at a full cache it takes 200"
    );
    fake.pass(130);
    assert_eq!(fake.finals.len(), 1);
}

#[test]
fn no_request_outlasts_the_end_of_the_process_it_was_told_of() {
    let mut fake = Fake::new(terms(), usual());
    fake.request(0, 1);
    let now = fake.now;
    let decisions = fake.engine.ends_at(now, now + Span::from_ms(300));
    assert_eq!(decisions.finals, []);
    fake.request(0, 2);
    fake.pass(299);
    assert_eq!(fake.finals.len(), 2, "each is answered before the end");
}

#[test]
fn no_parent_pays_for_a_cache_that_was_cut_off_midway() {
    let mut fake = Fake::new(terms(), usual());
    let one = fake.request(0, 1);
    let (cache, parent) = (
        fake.sent[one].1.host.clone(),
        fake.sent[one].1.source.clone(),
    );
    let answer_elsewhere = |fake: &mut Fake, from: usize| {
        let elsewhere = |at: &usize| fake.sent[*at].1.host != cache;
        let answered: Vec<usize> = (from..fake.sent.len()).filter(elsewhere).collect();
        answered
            .into_iter()
            .for_each(|at| fake.end(at, AttemptOutcome::Answered, FillOutcome::Hit, 0));
        fake.sent.len()
    };
    for object in 2..20 {
        fake.request(0, object);
    }
    let through =
        |(_, sent): &&(AttemptIndex, Attempt)| sent.host == cache && sent.source == parent;
    assert!(
        fake.sent.iter().filter(through).count() > 3,
        "enough to put the parent out, were it blamed"
    );
    let mut seen = answer_elsewhere(&mut fake, 1);
    fake.pass(5);
    fake.end(one, AttemptOutcome::Answered, FillOutcome::Hit, 0); // its last word
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
        fake.sent[before..]
            .iter()
            .any(|(_, sent)| sent.source == parent),
        "the parent stays in use"
    );
    assert!(
        fake.sent[before..]
            .iter()
            .all(|(_, sent)| sent.host != cache),
        "the cache does not"
    );
}

#[test]
fn what_was_decided_but_not_picked_has_no_use_once_a_request_is_answered_or_its_client_has_left() {
    for answered in [true, false] {
        let now = Time::at_ms(100_000.0);
        let mut engine = PolledEngine::start(now, 7, terms());
        engine.report(now, Input::EndpointList(ListKind::Full, usual()));
        let (request, deadline, group) = (RequestId(1), now + Span::from_ms(900), GroupId(1));
        let (class, object, size_kb) = (ClassId(0), ObjectId(1), Some(100.0));
        let asked = Request {
            id: request,
            class,
            object,
            part: 0,
            group,
            size_kb,
            deadline,
            again: false,
        };
        assert_eq!(engine.report(now, Input::RequestArrived(asked)), [request]);
        let Step::Attempt(index, sent) = engine.pick(request) else {
            panic!("it is handed off")
        };
        let late = now + Span::from_ms(899);
        assert_eq!(
            engine.tick(late),
            [request],
            "given up, but nobody has asked yet"
        );
        let (outcome, closed, fill, took) = (
            AttemptOutcome::Answered,
            true,
            FillOutcome::Hit,
            Span::from_ms(899),
        );
        let host = sent.host;
        let ended = AttemptEnded {
            request,
            index,
            host,
            outcome,
            took,
            closed,
            fill,
            waited: None,
            report: LoadReport::default(),
        };
        engine.report(
            late,
            if answered {
                Input::AttemptEnded(ended)
            } else {
                Input::ClientLeft(request)
            },
        );
        assert_eq!(
            (engine.pick(request), engine.pick(request)),
            (Step::Cancel(index), Step::Wait)
        );
    }
}

#[test]
fn a_report_just_before_a_late_tick_loses_no_later_one() {
    let now = Time::at_ms(100_000.0);
    let mut engine = PolledEngine::start(now, 7, terms());
    let first = engine.due().unwrap();
    let late = first + Span::from_ms(3);
    engine.report(
        late,
        Input::Purged {
            object: None,
            group: GroupId(1),
            made: late,
        },
    );
    engine.tick(late);
    assert!(
        engine.due().is_some_and(|due| due > late),
        "the engine has named its next time to the report"
    );
}

/// A location where no second copy may be out, and no request tells its size.
fn single() -> DeploymentTerms {
    DeploymentTerms {
        may_duplicate: false,
        ..terms()
    }
}

#[test]
fn without_second_copies_a_silent_cache_loses_its_request_and_a_slow_one_keeps_it() {
    let mut fake = Fake::new(single(), usual());
    let at = fake.request(0, 1);
    let cache = fake.sent[at].1.host.clone();
    fake.pass(1500);
    assert_eq!(fake.sent.len(), 1, "never two at once");
    assert_eq!(
        fake.cancels,
        vec![Cancel {
            request: fake.sent[at].1.request,
            index: AttemptIndex(0)
        }]
    );
    fake.end(at, AttemptOutcome::Cancelled, FillOutcome::Nothing, 0);
    assert_ne!(fake.sent[1].1.host, cache, "at once, elsewhere");

    let mut fake = Fake::new(single(), usual());
    let at = fake.request(0, 1);
    assert!(
        fake.sent[at].1.allow >= Span::from_ms(3900),
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
fn where_no_size_is_told_the_mean_is_learnt_from_hits() {
    let sent_at_once = |took: u64| {
        let wide = |line: Endpoint| Endpoint {
            weight: 20.0,
            ..line
        };
        let mut fake = Fake::new(single(), usual().into_iter().map(wide).collect());
        for object in 0..200 {
            let at = fake.untold(object);
            fake.end_after(at, AttemptOutcome::Answered, FillOutcome::Hit, took);
        }
        fake.list(vec![Endpoint {
            started: Some(fake.now),
            ..wide(line("a", Role::Cache))
        }]);
        fake.pass(2100);
        (0..80).for_each(|object| _ = fake.untold(object));
        fake.sent[200..]
            .iter()
            .filter(|(_, sent)| sent.host == host("a"))
            .count()
    };
    let (small, large) = (sent_at_once(50), sent_at_once(800));
    assert!(
        2 * small > 3 * large,
        "a cold cache gets {small} small or {large} large ones"
    );
}

#[test]
fn caches_that_tell_their_load_only_when_looked_at_are_looked_at_in_turn() {
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
        fake.sent[at].1.source, fake.sent[at].1.host,
        "the link is full: only a hit is asked for"
    );
    fake.pass(2100);
    let at = fake.request(0, 2);
    assert_ne!(
        fake.sent[at].1.source, fake.sent[at].1.host,
        "an old report says nothing"
    );

    let mut fake = Fake::new(terms(), usual());
    fake.pass(2200);
    assert_eq!(fake.looks, [], "answers tell the load here");
}

#[test]
fn a_cache_whose_hits_take_long_loses_a_part_of_its_objects_and_gets_them_back() {
    let mut fake = Fake::new(single(), usual());
    let at_a = |fake: &mut Fake, took: u64| {
        let mut there = 0;
        for object in 0..100 {
            let at = fake.request(0, object);
            let slow = fake.sent[at].1.host == host("a");
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
    (0..3).for_each(|_| _ = at_a(&mut fake, 900));
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
fn where_no_report_tells_of_the_link_slow_fills_do() {
    let fills_after = |took: u64| {
        let mut fake = Fake::new(
            DeploymentTerms {
                tells_link: false,
                ..single()
            },
            usual(),
        );
        for object in 0..20 {
            let at = fake.request(0, object);
            fake.end_after(at, AttemptOutcome::Answered, FillOutcome::Filled, took);
        }
        let before = fake.sent.len();
        (100..140).for_each(|object| _ = fake.request(0, object));
        fake.sent[before..]
            .iter()
            .filter(|(_, sent)| sent.source != sent.host)
            .count()
    };
    assert_eq!(
        fills_after(900),
        0,
        "fills take nine times the sending time: only hits are asked for"
    );
    assert!(
        fills_after(110) > 15,
        "fills that outrun their answers leave the link open"
    );
}

#[test]
fn parts_of_an_object_have_places_of_their_own() {
    let mut fake = Fake::new(terms(), usual());
    let at = (0..20).map(|part| fake.part(7, part)).collect::<Vec<_>>();
    let at_a = at
        .iter()
        .filter(|at| fake.sent[**at].1.host == host("a"))
        .count();
    assert!(
        (4..17).contains(&at_a),
        "{at_a} of 20 parts at one of two caches"
    );
}

#[test]
fn one_overdue_request_that_nobody_else_waits_behind_proves_no_silence() {
    let mut fake = Fake::new(single(), usual());
    let at = fake.request(0, 1);
    fake.pass(700);
    assert_eq!(
        fake.cancels,
        [],
        "it was due after 650 ms, and may be large"
    );
    let cache = fake.sent[at].1.host.clone();
    let next = (2..40).find(|object| {
        fake.request(0, *object);
        fake.sent.last().unwrap().1.host == cache
    });
    assert!(next.is_some());
    fake.pass(700);
    assert!(
        !fake.cancels.is_empty(),
        "two that are overdue with no answer between are enough"
    );
}

#[test]
fn where_only_a_hit_will_do_an_ageing_copy_is_taken_but_none_from_before_a_purge() {
    let (fresh, older) = (Span::from_ms(8000), Span::from_ms(20_000));
    let ageing = |of: &RequestClass| RequestClass {
        fresh: Some(fresh),
        older,
        ..of.clone()
    };
    let mut fake = Fake::new(
        DeploymentTerms {
            classes: terms().classes.iter().map(ageing).collect(),
            ..terms()
        },
        usual(),
    );
    let at = fake.request(0, 1);
    assert_eq!(
        fake.sent[at].1.oldest, None,
        "a miss would be filled: the class's fresh time"
    );
    fake.end_with(
        at,
        AttemptOutcome::Answered,
        FillOutcome::Hit,
        0,
        Some(30.0),
    );
    let at = fake.request(0, 2);
    assert_eq!(
        fake.sent[at].1.source, fake.sent[at].1.host,
        "the link is full"
    );
    assert_eq!(fake.sent[at].1.oldest, Some(Span::from_ms(28_000)));
    let made = fake.now - Span::from_ms(40);
    fake.engine
        .purge(fake.now, Some(ObjectId(3)), GroupId(3), made);
    let at = fake.request(0, 3);
    assert_eq!(fake.sent[at].1.oldest, Some(Span::from_ms(39)));
}

#[test]
fn a_fill_whose_parent_has_no_room_goes_to_an_origin_that_has() {
    let wide = |line: Endpoint| Endpoint {
        weight: 500.0,
        ..line
    };
    let hosts = usual().into_iter().filter(|line| line.host != host("q"));
    let mut fake = Fake::new(terms(), hosts.map(wide).collect());
    (0..60).for_each(|object| _ = fake.request(0, object));
    let at = |name: &str| {
        fake.sent
            .iter()
            .filter(|(_, sent)| sent.source == host(name))
            .count()
    };
    assert_eq!(
        (at("p"), at("o")),
        (24, 24),
        "its window first, then the origin's, then only hits"
    );
}

#[test]
fn requests_that_wait_for_slow_fills_are_not_taken_for_work_that_a_cache_does() {
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
            fake.sent.last().unwrap().1.host == host("a")
        };
        (0..60).for_each(|object| _ = at(&mut fake, object));
        (0..60).filter(|object| at(&mut fake, *object)).count()
    };
    let (busy, idle) = (moved_with(1.0), moved_with(0.1));
    assert!(
        busy < idle,
        "of 60 objects {busy} stay at a cache that is full, {idle} at one that waits"
    );
}
