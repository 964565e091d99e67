//! Outliers: hosts that fail are ejected, get trials and recover; hosts that are not at fault stay usable.

mod fake;

use fake::{Fake, default_hosts, endpoint, host, is_parent, terms};
use flaxdeck::{AttemptOutcome, FillOutcome, Final, HostId, RequestId, Role};

#[test]
fn a_failing_parent_gets_only_trials_and_is_usable_again_after_a_successful_one() {
    let mut fake = Fake::new(terms(), default_hosts());
    for object in 0..40 {
        let position = fake.request(0, object);
        let bad = fake.sent[position].source == host("p");
        let outcome = if bad {
            AttemptOutcome::Rejected
        } else {
            AttemptOutcome::Answered
        };
        fake.end(
            position,
            outcome,
            if bad {
                FillOutcome::SourceUnreached
            } else {
                FillOutcome::Filled
            },
            20,
        );
    }
    fake.advance(200);
    let before = fake.sent.len();
    for object in 0..40 {
        fake.request_and_answer(object, 100.0, FillOutcome::Filled, |_| 20);
    }
    assert!(
        fake.sent[before..]
            .iter()
            .all(|sent| sent.source != host("p"))
    );
    fake.advance(6000);
    let used = |fake: &mut Fake| {
        (0..40)
            .filter(|o| {
                fake.request_and_answer(*o, 100.0, FillOutcome::Filled, |_| 20) == host("p")
            })
            .count()
    };
    assert!(
        used(&mut fake) > 1,
        "a successful trial did not make the parent usable again"
    );
}

#[test]
fn an_unreachable_parent_is_ejected_at_once_and_its_request_goes_to_the_origin() {
    let mut fake = Fake::new(terms(), default_hosts());
    let position = fake.request(0, 1);
    let dead = fake.sent[position].source.clone();
    fake.end(
        position,
        AttemptOutcome::Rejected,
        FillOutcome::SourceUnreached,
        400,
    );
    assert_eq!(
        fake.sent[position + 1].source,
        host("o"),
        "the request was not sent to the origin at once"
    );
    fake.end(
        position + 1,
        AttemptOutcome::Answered,
        FillOutcome::Filled,
        20,
    );
    let used = (2..40)
        .filter(|object| {
            fake.request_and_answer(*object, 100.0, FillOutcome::Filled, |_| 20) == dead
        })
        .count();
    assert_eq!(
        used, 0,
        "the parent was used after a failed connection to it"
    );
}

#[test]
fn caches_that_fail_every_request_are_ejected() {
    let mut fake = Fake::new(terms(), default_hosts());
    for object in 0..40 {
        fake.request_and_answer(object, 100.0, FillOutcome::Hit, |_| 20);
    }
    let mut position = fake.sent.len();
    for object in 0..10 {
        fake.request(0, object);
        for _ in 0..1000 {
            while position < fake.sent.len() {
                let cache = [host("a"), host("bb")].contains(&fake.sent[position].host);
                let outcome = if cache {
                    AttemptOutcome::Errored
                } else {
                    AttemptOutcome::Answered
                };
                fake.end(position, outcome, FillOutcome::Nothing, 0);
                position += 1;
            }
            fake.advance(1);
        }
    }
    let at_caches = fake.sent[40..]
        .iter()
        .filter(|sent| [host("a"), host("bb")].contains(&sent.host));
    let at_caches = at_caches.count();
    assert!(
        at_caches < 30,
        "{at_caches} attempts at failing caches, expected less than 30 of the 60 without ejection"
    );
}

#[test]
fn a_request_that_fails_at_every_cache_ejects_none_of_them() {
    let mut hosts = default_hosts();
    hosts.push(endpoint("cc", Role::Cache));
    let mut fake = Fake::new(terms(), hosts);
    let hosts_of_objects = |fake: &mut Fake| -> Vec<HostId> {
        let first = fake.sent.len();
        for object in 0..40 {
            fake.request_and_answer(object, 100.0, FillOutcome::Hit, |_| 20);
        }
        fake.sent[first..]
            .iter()
            .map(|sent| sent.host.clone())
            .collect()
    };
    let before = hosts_of_objects(&mut fake);
    for request in 0..6 {
        let mut position = fake.request(0, 1000 + request);
        let finals = fake.finals.len();
        while fake.finals.len() == finals {
            while position < fake.sent.len() {
                fake.end(position, AttemptOutcome::Errored, FillOutcome::Nothing, 0);
                position += 1;
            }
            fake.advance(1);
        }
        assert_eq!(
            hosts_of_objects(&mut fake),
            before,
            "objects moved off caches because of a request that fails everywhere"
        );
    }
}

#[test]
fn a_connection_closed_while_idle_is_not_held_against_its_host() {
    let mut fake = Fake::new(terms(), default_hosts());
    for object in 0..6 {
        let position = fake.request(0, object);
        let cache = fake.sent[position].host.clone();
        fake.end(position, AttemptOutcome::Stale, FillOutcome::Nothing, 0);
        assert_eq!(
            fake.sent[position + 1].host,
            cache,
            "the request was not sent to the same cache at once"
        );
        fake.end(position + 1, AttemptOutcome::Answered, FillOutcome::Hit, 0);
    }
    let position = fake.request(1, 1);
    assert!(fake.sent[position].fresh);
    fake.end(position, AttemptOutcome::Stale, FillOutcome::Nothing, 0);
    assert_eq!(
        fake.finals,
        vec![Final::Failed {
            request: RequestId(7)
        }],
        "a write on a connection that closed may have run, so it has to fail"
    );
}

#[test]
fn failed_writes_at_the_origin_do_not_stop_fills_from_it() {
    let mut fake = Fake::new(terms(), default_hosts());
    for object in 0..4 {
        let position = fake.request(1, object);
        assert_eq!(fake.sent[position].host, host("o"));
        fake.end(position, AttemptOutcome::Errored, FillOutcome::Nothing, 0);
    }
    let position = fake.request(0, 9);
    assert!(
        !fake.sent[position].only_held,
        "the origin was ejected for failed writes, which may be the clients' fault"
    );
}

#[test]
fn while_the_origin_is_ejected_parents_serve_only_cached_objects_and_other_requests_are_rejected() {
    let mut fake = Fake::new(terms(), default_hosts());
    for object in 0..3 {
        let position = fake.request(0, object);
        fake.end(
            position,
            AttemptOutcome::Rejected,
            FillOutcome::OriginFailed,
            900,
        );
    }
    let position = fake.request(0, 9);
    assert!(
        fake.sent[position].only_held && is_parent(&fake.sent[position].source),
        "expected a fill from the cache of a parent, as no parent failed"
    );
    let request = fake.sent[position].request;
    fake.end(
        position,
        AttemptOutcome::NoCopy,
        FillOutcome::SourceLacks,
        20,
    );
    fake.advance(150);
    assert!(
        fake.sent[position + 1..]
            .iter()
            .all(|sent| sent.request != request),
        "the request was sent to another parent"
    );
    assert!(
        fake.finals
            .iter()
            .any(|answer| matches!(answer, Final::Rejected { request: id, .. } if *id == request))
    );
}
