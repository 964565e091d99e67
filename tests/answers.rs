//! Every request gets one answer, and in time.

mod fake;

use fake::{Fake, terms, usual};
use flaxdeck::{Final, Role, Span};

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
fn under_overload_what_cannot_come_in_time_is_rejected_and_small_requests_go_on() {
    let mut fake = Fake::new(terms(), usual());
    for object in 0..30 {
        fake.request_of(0, object, 3000.0);
    }
    assert!(fake.sent.len() < 30, "the large ones are held back");
    let small = fake.request_of(0, 99, 10.0);
    assert_eq!(fake.sent.len(), small + 1, "a small one finds capacity");
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
fn a_retry_by_the_client_keeps_the_objective_of_its_first_request() {
    let mut fake = Fake::new(terms(), Vec::new());
    fake.request(0, 1);
    fake.pass(700);
    assert_eq!(fake.finals.len(), 1, "no host came up in time");
    fake.again = true;
    fake.request(0, 1);
    assert_eq!(
        fake.finals.len(),
        2,
        "its time has passed: the client is answered at once"
    );
    fake.request(0, 2);
    assert_eq!(fake.finals.len(), 2, "another's has not");
}

#[test]
fn a_request_that_finds_no_capacity_is_rejected_once_a_full_cache_could_not_answer_it_in_time() {
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
fn no_request_outlasts_the_announced_end_of_the_process() {
    let mut fake = Fake::new(terms(), usual());
    fake.request(0, 1);
    let now = fake.now;
    let decisions = fake.engine.ends_at(now, now + Span::from_ms(300));
    assert_eq!(decisions.finals, []);
    fake.request(0, 2);
    fake.pass(299);
    assert_eq!(fake.finals.len(), 2, "each is answered before the end");
}
