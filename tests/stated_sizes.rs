//! Sizes that clients state: wrong ones neither push over cold hosts nor move the means, honest ones count as stated.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod fake;

use fake::{Fake, endpoint, host};
use flaxdeck::{AttemptOutcome, DeploymentTerms, Endpoint, FillOutcome, Role, Span};

/// What a parent or cache bears in a window of 2 s while it is cold, in requests of 100 ms: capacity 5, cold fraction
/// 0.1 (parents) or 0.2 (caches), overload factor 2; and by how many chance may exceed that.
const PARENT_BEARS: f64 = 20.0;
const CACHE_BEARS: f64 = 40.0;

fn with_chance(requests: f64) -> usize {
    (requests + 2.0 * requests.sqrt() + 2.0) as usize
}

fn terms() -> DeploymentTerms {
    DeploymentTerms {
        sizes_are_claims: true,
        ..fake::terms()
    }
}

fn hosts() -> Vec<Endpoint> {
    [
        ("a", Role::Cache),
        ("bb", Role::Cache),
        ("p", Role::Parent),
        ("o", Role::Origin),
    ]
    .map(|(name, role)| endpoint(name, role))
    .to_vec()
}

/// Returns a location that has answered 60 requests of 100 KB, and whose host has then been restarted.
fn with_cold_host(name: &str, role: Role) -> Fake {
    let mut fake = Fake::new(terms(), hosts());
    for object in 0..60 {
        fake.request_and_answer(object, 100.0, FillOutcome::Filled, |_| 20);
    }
    fake.advance(3000);
    restart(&mut fake, name, role);
    fake
}

fn restart(fake: &mut Fake, name: &str, role: Role) {
    fake.list(vec![Endpoint {
        started: Some(fake.now),
        ..endpoint(name, role)
    }]);
}

/// Returns how many attempts from a position on have that host as their source, or are sent to it.
fn attempts_at(fake: &Fake, name: &str, from: usize) -> usize {
    fake.sent[from..]
        .iter()
        .filter(|sent| sent.source == host(name) || sent.host == host(name))
        .count()
}

// Guards against a cold parent that falls as its fills cost nothing by the sizes that clients state.
#[test]
fn a_burst_of_understated_sizes_keeps_to_a_cold_parents_share() {
    for stated_kb in [1e-3, 0.5, 10.0] {
        let mut fake = with_cold_host("p", Role::Parent);
        let before = fake.sent.len();
        for object in 1000..1200 {
            fake.request_of(0, object, stated_kb);
        }
        let count = attempts_at(&fake, "p", before);
        // Two dispatchers share the parent.
        assert!(
            (1..=with_chance(PARENT_BEARS) / 2).contains(&count),
            "{count} requests of {stated_kb} KB at the cold parent"
        );
    }
}

// Guards against requests that go on being charged by their stated size once an answer has shown another one.
#[test]
fn answers_larger_than_stated_are_charged_by_their_size() {
    let mut fake = with_cold_host("p", Role::Parent);
    let before = fake.sent.len();
    fake.actual_kb = Some(100.0);
    for object in 1000..1100 {
        fake.request_and_answer(object, 0.5, FillOutcome::Filled, |_| 20);
    }
    let count = attempts_at(&fake, "p", before);
    assert!(
        (1..=with_chance(PARENT_BEARS) / 2).contains(&count),
        "{count} requests at the cold parent"
    );
}

// Guards against honest small requests that are charged for more than they take.
#[test]
fn honest_small_sizes_are_charged_as_stated() {
    let mut fake = with_cold_host("p", Role::Parent);
    let before = fake.sent.len();
    for object in 1000..1060 {
        fake.request_and_answer(object, 10.0, FillOutcome::Filled, |_| 20);
    }
    // The share of 800 ms would take 80 of them.
    assert_eq!(attempts_at(&fake, "p", before), 60);
}

// Guards against a cold cache that falls as many dispatchers start with requests of understated sizes: until answers
// have shown the mean, it is made of these.
#[test]
fn understated_sizes_of_the_first_requests_keep_to_a_cold_caches_share() {
    let dispatchers = 20;
    let many = DeploymentTerms {
        warm_within: Span::from_ms(100_000),
        zone_dispatchers: vec![dispatchers, 0],
        ..terms()
    };
    let mut fake = Fake::new(many, hosts());
    restart(&mut fake, "a", Role::Cache);
    fake.advance(2100); // a host that started as the dispatcher did counts as fully used before
    let before = fake.sent.len();
    fake.actual_kb = Some(100.0);
    for object in 0..400 {
        fake.request_and_answer(object, 0.5, FillOutcome::Hit, |_| 0);
    }
    let count = attempts_at(&fake, "a", before);
    assert!(
        (1..=with_chance(CACHE_BEARS) / dispatchers as usize).contains(&count),
        "{count} requests of each dispatcher at the cold cache"
    );
}

// Guards against a mean that follows stated sizes which no answer bears out: it is what cold caches are charged.
#[test]
fn stated_sizes_move_the_mean_only_as_far_as_answers_do() {
    let admitted = |stated_kb: Option<f64>| {
        let mut fake = Fake::new(terms(), hosts());
        for object in 0..200 {
            fake.request_and_answer(object, 100.0, FillOutcome::Hit, |_| 0);
        }
        for object in 1000..1400 {
            if let Some(kb) = stated_kb {
                let position = fake.request_of(0, object, kb);
                if position < fake.sent.len() {
                    fake.end(position, AttemptOutcome::Rejected, FillOutcome::Nothing, 0);
                }
            }
        }
        fake.advance(6000);
        restart(&mut fake, "a", Role::Cache);
        let before = fake.sent.len();
        for object in 2000..2400 {
            fake.request_and_answer(object, 100.0, FillOutcome::Hit, |_| 0);
        }
        fake.sent[before..]
            .iter()
            .filter(|sent| sent.host == host("a"))
            .count()
    };
    let usual = admitted(None);
    for kb in [0.5, 1e6] {
        let count = admitted(Some(kb));
        assert!(
            (usual / 2..=with_chance(CACHE_BEARS)).contains(&count),
            "{count} requests at the cold cache after statements of {kb} KB, {usual} without them"
        );
    }
}

// Guards against a mean that falls because clients hold copies of their own: such answers take no transfer.
#[test]
fn unchanged_answers_do_not_count_as_transfers() {
    let admitted = |unchanged: bool| {
        let wide = |endpoint: Endpoint| Endpoint {
            weight: 20.0,
            ..endpoint
        };
        let mut fake = Fake::new(
            DeploymentTerms {
                may_duplicate: false,
                ..terms()
            },
            hosts().into_iter().map(wide).collect(),
        );
        for object in 0..300 {
            let position = fake.request_without_size(object);
            fake.unchanged = unchanged && object >= 100;
            let took = if object < 100 || !unchanged { 400 } else { 2 };
            fake.end_after(position, AttemptOutcome::Answered, FillOutcome::Hit, took);
        }
        fake.list(vec![Endpoint {
            started: Some(fake.now),
            ..wide(endpoint("a", Role::Cache))
        }]);
        fake.advance(2100);
        let before = fake.sent.len();
        for object in 1000..1080 {
            fake.request_without_size(object);
        }
        attempts_at(&fake, "a", before)
    };
    assert_eq!(admitted(true), admitted(false));
}

// Guards against hosts that are blamed for the time that an answer takes because its client understates the size.
#[test]
fn hosts_are_not_blamed_for_understated_sizes() {
    let mut fake = Fake::new(terms(), hosts());
    for object in 0..60 {
        fake.request_and_answer(object, 400.0, FillOutcome::Hit, |_| 0);
    }
    fake.actual_kb = Some(400.0);
    fake.request_and_answer(1000, 0.5, FillOutcome::Hit, |_| 0);
    let before = fake.sent.len();
    fake.request_of(0, 1001, 0.5);
    fake.advance(500);
    assert_eq!(
        fake.sent.len() - before,
        1,
        "another attempt within 500 ms, an answer of the mean size takes 400 ms"
    );
}
