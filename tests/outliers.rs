//! Hosts that fail are ejected, get trials, and come back; hosts that are not at fault stay in use.

mod fake;

use fake::{Fake, host, is_parent, line, terms, usual};
use flaxdeck::{AttemptOutcome, FillOutcome, Final, HostId, RequestId, Role};

#[test]
fn a_failing_parent_gets_only_trials_and_comes_back_after_a_good_one() {
    let mut fake = Fake::new(terms(), usual());
    for object in 0..40 {
        let at = fake.request(0, object);
        let bad = fake.sent[at].source == host("p");
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
            .all(|sent| sent.source != host("p"))
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
fn a_parent_that_cannot_be_reached_is_ejected_at_once_and_its_request_goes_to_the_origin() {
    let mut fake = Fake::new(terms(), usual());
    let at = fake.request(0, 1);
    let dead = fake.sent[at].source.clone();
    fake.end(
        at,
        AttemptOutcome::Rejected,
        FillOutcome::SourceUnreached,
        400,
    );
    assert_eq!(
        fake.sent[at + 1].source,
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
fn caches_that_fail_every_request_are_ejected() {
    let mut fake = Fake::new(terms(), usual());
    for object in 0..40 {
        fake.fill(object, 100.0, FillOutcome::Hit, |_| 20);
    }
    let mut at = fake.sent.len();
    for object in 0..10 {
        fake.request(0, object);
        for _ in 0..1000 {
            while at < fake.sent.len() {
                let cache = [host("a"), host("bb")].contains(&fake.sent[at].host);
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
        .filter(|sent| [host("a"), host("bb")].contains(&sent.host));
    let at_caches = at_caches.count();
    assert!(
        at_caches < 30,
        "{at_caches} attempts at caches that fail, of 60 were they never out"
    );
}

#[test]
fn requests_that_every_cache_fails_eject_no_cache() {
    let mut hosts = usual();
    hosts.push(line("cc", Role::Cache));
    let mut fake = Fake::new(terms(), hosts);
    let homes = |fake: &mut Fake| -> Vec<HostId> {
        let first = fake.sent.len();
        for object in 0..40 {
            fake.fill(object, 100.0, FillOutcome::Hit, |_| 20);
        }
        fake.sent[first..]
            .iter()
            .map(|sent| sent.host.clone())
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
fn a_connection_that_died_while_idle_is_no_fault_of_its_host() {
    let mut fake = Fake::new(terms(), usual());
    for object in 0..6 {
        let at = fake.request(0, object);
        let cache = fake.sent[at].host.clone();
        fake.end(at, AttemptOutcome::Stale, FillOutcome::Nothing, 0);
        assert_eq!(fake.sent[at + 1].host, cache, "at once, to the same cache");
        fake.end(at + 1, AttemptOutcome::Answered, FillOutcome::Hit, 0);
    }
    let at = fake.request(1, 1);
    assert!(fake.sent[at].fresh);
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
fn writes_that_the_origin_fails_do_not_stop_the_fills_behind_it() {
    let mut fake = Fake::new(terms(), usual());
    for object in 0..4 {
        let at = fake.request(1, object);
        assert_eq!(fake.sent[at].host, host("o"));
        fake.end(at, AttemptOutcome::Errored, FillOutcome::Nothing, 0);
    }
    let at = fake.request(0, 9);
    assert!(!fake.sent[at].only_held, "the fault may be the client's");
}

#[test]
fn behind_an_ejected_origin_parents_give_only_what_they_hold_and_the_rest_is_rejected() {
    let mut fake = Fake::new(terms(), usual());
    for object in 0..3 {
        let at = fake.request(0, object);
        fake.end(at, AttemptOutcome::Rejected, FillOutcome::OriginFailed, 900);
    }
    let at = fake.request(0, 9);
    assert!(
        fake.sent[at].only_held && is_parent(&fake.sent[at].source),
        "and no parent is blamed"
    );
    let request = fake.sent[at].request;
    fake.end(at, AttemptOutcome::NoCopy, FillOutcome::SourceLacks, 20);
    fake.pass(150);
    assert!(
        fake.sent[at + 1..]
            .iter()
            .all(|sent| sent.request != request),
        "no other parent is asked"
    );
    assert!(
        fake.finals
            .iter()
            .any(|last| matches!(last, Final::Rejected { request: id, .. } if *id == request))
    );
}
