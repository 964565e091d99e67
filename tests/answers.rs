//! Every request gets exactly one final answer before its deadline.

mod fake;

use fake::{Fake, default_hosts, terms};
use flaxdeck::{Final, Role, Span};

#[test]
fn every_request_gets_one_answer_before_its_deadline_whichever_hosts_are_listed() {
    let no_hosts = Vec::new();
    let only_caches = default_hosts()
        .into_iter()
        .filter(|endpoint| endpoint.role == Role::Cache)
        .collect();
    for hosts in [no_hosts, only_caches, default_hosts()] {
        let mut fake = Fake::new(terms(), hosts);
        for class in [0, 1, 2] {
            fake.request(class, 9);
        }
        fake.advance(3995);
        assert_eq!(fake.finals.len(), 3);
        let sent = fake.sent.len();
        fake.advance(2000);
        assert_eq!((fake.finals.len(), fake.sent.len()), (3, sent));
    }
}

#[test]
fn overload_rejects_late_requests_and_still_admits_small_ones() {
    let mut fake = Fake::new(terms(), default_hosts());
    for object in 0..30 {
        fake.request_of(0, object, 3000.0);
    }
    assert!(
        fake.sent.len() < 30,
        "all 30 large requests were sent at once"
    );
    let small = fake.request_of(0, 99, 10.0);
    assert_eq!(fake.sent.len(), small + 1, "a small request was not sent");
    fake.advance(3500);
    assert!(fake.finals.iter().any(|answer| matches!(
        answer,
        Final::Rejected {
            retry_after: Some(_),
            ..
        }
    )));
}

#[test]
fn a_client_retry_keeps_the_objective_of_the_first_request() {
    let mut fake = Fake::new(terms(), Vec::new());
    fake.request(0, 1);
    fake.advance(700);
    assert_eq!(
        fake.finals.len(),
        1,
        "a request that no host could take in 700 ms was not answered"
    );
    fake.client_retry = true;
    fake.request(0, 1);
    assert_eq!(
        fake.finals.len(),
        2,
        "the retry was not answered at once although its objective has passed"
    );
    fake.request(0, 2);
    assert_eq!(
        fake.finals.len(),
        2,
        "a request for another object was answered at once"
    );
}

#[test]
fn a_request_without_a_route_is_rejected_once_a_fully_loaded_cache_could_not_answer_in_time() {
    let mut fake = Fake::new(terms(), Vec::new());
    fake.request(0, 1);
    fake.advance(450);
    assert!(
        fake.finals.is_empty(),
        "given up with 250 of 700 ms left, although a fully loaded cache takes 200 ms"
    );
    fake.advance(130);
    assert_eq!(fake.finals.len(), 1);
}

#[test]
fn requests_are_answered_before_the_announced_shutdown() {
    let mut fake = Fake::new(terms(), default_hosts());
    fake.request(0, 1);
    let now = fake.now;
    let decisions = fake.engine.shut_down_at(now, now + Span::from_ms(300));
    assert_eq!(decisions.finals, []);
    fake.request(0, 2);
    fake.advance(299);
    assert_eq!(
        fake.finals.len(),
        2,
        "a request was not answered before the shutdown"
    );
}
