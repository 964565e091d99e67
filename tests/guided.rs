//! Peer hints: how the reports of other dispatchers change the decisions, and the limits of their effect.

mod fake;

use fake::{endpoint, host, terms};
use flaxdeck::decision::DecisionEngine;
use flaxdeck::{
    Attempt, AttemptEnded, AttemptIndex, AttemptOutcome, ClassId, Endpoint, FillOutcome, Final,
    GroupId, HostId, ListKind, LoadReport, ObjectId, Observation, PeerHint, PeerHints, Request,
    RequestId, Role, Sampled, SourceMeasurements, Span, Time, WarmupQuota,
};

fn at(ms: u64) -> Time {
    Time::at_ms(100_000.0 + ms as f64)
}

fn hint(name: &str) -> PeerHint {
    PeerHint {
        host: host(name),
        quota: None,
        measurements: SourceMeasurements::default(),
        measured_at: None,
        down_at: None,
        last_success: None,
        window: None,
        others_in_flight: None,
    }
}

fn hints_of(hints: Vec<PeerHint>) -> PeerHints {
    PeerHints {
        hints,
        unhinted_share: 1.0,
        link: None,
        list_trusted: true,
    }
}

fn latency(ms: f64) -> SourceMeasurements {
    SourceMeasurements {
        latency: Some(ms),
        bandwidth: None,
    }
}

fn quota(started: Option<Time>, fraction: f64) -> WarmupQuota {
    WarmupQuota { started, fraction }
}

fn engine(endpoints: Vec<Endpoint>) -> DecisionEngine {
    let (mut engine, _) = DecisionEngine::start(at(0), 1, terms());
    engine.list(at(0), ListKind::Full, endpoints);
    engine
}

fn endpoints() -> Vec<Endpoint> {
    vec![
        endpoint("a", Role::Cache),
        endpoint("p", Role::Parent),
        endpoint("q", Role::Parent),
        endpoint("o", Role::Origin),
    ]
}

fn request(id: u64, now: Time, class: usize) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(class),
        object: ObjectId(id),
        part: 0,
        group: GroupId(1),
        size_kb: Some(50.0),
        deadline: now + Span::from_ms(2_000),
        is_retry: false,
    }
}

fn sources(engine: &mut DecisionEngine, now: Time, ids: std::ops::Range<u64>) -> Vec<HostId> {
    ids.flat_map(|id| engine.request(now, request(id, now, 0)).attempts)
        .map(|attempt| attempt.source)
        .collect()
}

fn ended(
    attempt: &Attempt,
    outcome: AttemptOutcome,
    fill: FillOutcome,
    waited: f64,
) -> AttemptEnded {
    AttemptEnded {
        request: attempt.request,
        index: AttemptIndex(0),
        host: attempt.host.clone(),
        outcome,
        took: Span::of_ms(waited + 5.0),
        closed: false,
        fill,
        waited: Some(Span::of_ms(waited)),
        actual_kb: None,
        unchanged: false,
        report: LoadReport::default(),
    }
}

#[test]
fn a_parent_that_peers_report_down_gets_no_fills_before_its_trial() {
    let mut engine = engine(endpoints());
    assert!(sources(&mut engine, at(10), 1..9).contains(&host("p")));
    engine.apply_peer_hints(
        at(20),
        hints_of(vec![PeerHint {
            down_at: Some(at(15)),
            ..hint("p")
        }]),
    );
    assert!(!sources(&mut engine, at(30), 10..20).contains(&host("p")));
}

#[test]
fn a_later_success_outweighs_failures_reported_by_peers() {
    let mut engine = engine(endpoints());
    let attempts: Vec<Attempt> = (1..9)
        .flat_map(|id| engine.request(at(10), request(id, at(10), 0)).attempts)
        .collect();
    let attempt = attempts
        .iter()
        .find(|attempt| attempt.source == host("p"))
        .unwrap();
    engine.attempt_ended(
        at(100),
        ended(attempt, AttemptOutcome::Answered, FillOutcome::Filled, 5.0),
    );
    engine.apply_peer_hints(
        at(110),
        hints_of(vec![PeerHint {
            down_at: Some(at(90)),
            ..hint("p")
        }]),
    );
    assert!(sources(&mut engine, at(120), 20..30).contains(&host("p")));
    engine.apply_peer_hints(
        at(130),
        hints_of(vec![PeerHint {
            down_at: Some(at(125)),
            last_success: Some(at(128)),
            ..hint("p")
        }]),
    );
    assert!(
        sources(&mut engine, at(140), 30..40).contains(&host("p")),
        "the parent is unused although a peer has succeeded there since the failure"
    );
}

#[test]
fn an_ejected_parent_gets_a_trial_at_once_when_peers_reach_it_again() {
    let mut engine = engine(endpoints());
    engine.apply_peer_hints(
        at(20),
        hints_of(vec![PeerHint {
            down_at: Some(at(15)),
            ..hint("p")
        }]),
    );
    assert!(!sources(&mut engine, at(30), 1..20).contains(&host("p")));
    engine.apply_peer_hints(
        at(40),
        hints_of(vec![PeerHint {
            last_success: Some(at(35)),
            ..hint("p")
        }]),
    );
    let tried = sources(&mut engine, at(50), 20..60)
        .into_iter()
        .filter(|source| *source == host("p"))
        .count();
    assert_eq!(
        tried, 1,
        "expected a single trial until its outcome is known"
    );
}

#[test]
fn latency_measured_by_peers_changes_the_source_and_is_not_reported_as_an_own_sample() {
    let mut engine = engine(endpoints());
    let slow = |now| PeerHint {
        measurements: latency(900.0),
        measured_at: Some(now),
        ..hint("p")
    };
    let quick = |now| PeerHint {
        measurements: latency(5.0),
        measured_at: Some(now),
        ..hint("o")
    };
    for n in 0..6 {
        engine.apply_peer_hints(
            at(20 + n),
            hints_of(vec![quick(at(10 + n)), slow(at(10 + n))]),
        );
    }
    let before = sources(&mut engine, at(40), 1..40);
    assert!(
        !before.contains(&host("p")) && before.contains(&host("q")),
        "expected fills from q and none from the slow parent p: {before:?}"
    );
    let own = Observation {
        ..engine
            .observations(at(41))
            .into_iter()
            .find(|observation| observation.host == host("p"))
            .unwrap()
    };
    assert_eq!(
        (own.measurements, own.measured_at),
        (SourceMeasurements::default(), None),
        "measurements of peers were reported as own samples"
    );
}

#[test]
fn a_quota_granted_by_peers_applies_to_the_present_start_of_a_cold_cache_only() {
    let mut cold = endpoint("a", Role::Cache);
    cold.started = Some(at(0));
    let endpoints = vec![
        cold,
        endpoint("p", Role::Parent),
        endpoint("o", Role::Origin),
    ];
    let count = |quota: Option<WarmupQuota>, unhinted_share: f64| {
        let mut engine = engine(endpoints.clone());
        let now = at(2_500);
        let hints = vec![PeerHint { quota, ..hint("a") }];
        engine.apply_peer_hints(
            now,
            PeerHints {
                hints,
                unhinted_share,
                link: None,
                list_trusted: true,
            },
        );
        let attempts = (1..200).flat_map(|id| engine.request(now, request(id, now, 0)).attempts);
        attempts.filter(|attempt| attempt.host == host("a")).count()
    };
    let equal = count(None, 1.0);
    let none = count(Some(quota(Some(at(0)), 0.0)), 1.0);
    let whole = count(Some(quota(Some(at(0)), 1.0)), 1.0);
    assert!(
        none == 0 && equal > 0,
        "{none} attempts with a quota of 0, expected none; {equal} without a quota, expected some"
    );
    assert!(
        whole >= equal,
        "{whole} attempts with the whole quota, {equal} with the equal share"
    );
    assert_eq!(
        count(Some(quota(Some(at(7)), 0.0)), 1.0),
        equal,
        "a quota for another start of the host was applied"
    );
    assert_eq!(
        count(None, 0.0),
        0,
        "attempts were sent without a quota and with an unhinted share of 0"
    );
}

#[test]
fn demand_unmet_for_lack_of_quota_is_reported_once() {
    let mut cold = endpoint("a", Role::Cache);
    cold.started = Some(at(0));
    let mut engine = engine(vec![
        cold,
        endpoint("p", Role::Parent),
        endpoint("o", Role::Origin),
    ]);
    engine.apply_peer_hints(
        at(2_500),
        hints_of(vec![PeerHint {
            quota: Some(quota(Some(at(0)), 0.0)),
            ..hint("a")
        }]),
    );
    sources(&mut engine, at(2_500), 1..5);
    let used = |engine: &DecisionEngine| {
        let observations = engine.observations(at(2_500));
        observations
            .into_iter()
            .find(|observation| observation.host == host("a"))
            .unwrap()
            .warmup
            .unwrap()
    };
    let first = used(&engine);
    assert!(
        first.unmet > 0.0 && first.used == 0.0,
        "expected unmet demand and no use: {first:?}"
    );
    assert_eq!(
        used(&engine).unmet,
        0.0,
        "the unmet demand was reported twice"
    );
}

#[test]
fn an_untrusted_endpoint_list_rejects_new_requests_at_once_and_keeps_attempts_in_flight() {
    let mut engine = engine(endpoints());
    let out = engine
        .request(at(10), request(1, at(10), 0))
        .attempts
        .remove(0);
    engine.apply_peer_hints(
        at(20),
        PeerHints {
            list_trusted: false,
            ..hints_of(vec![])
        },
    );
    let decisions = engine.request(at(30), request(2, at(30), 0));
    assert!(decisions.attempts.is_empty());
    assert!(matches!(
        decisions.finals[..],
        [Final::Rejected {
            request: RequestId(2),
            retry_after: Some(_)
        }]
    ));
    let decisions = engine.attempt_ended(
        at(40),
        ended(&out, AttemptOutcome::Answered, FillOutcome::Hit, 1.0),
    );
    assert!(
        decisions.finals.is_empty(),
        "a request that its host answered got a second answer: {:?}",
        decisions.finals
    );
    engine.apply_peer_hints(at(50), hints_of(vec![]));
    assert_eq!(
        engine.request(at(60), request(3, at(60), 0)).attempts.len(),
        1
    );
}

#[test]
fn hints_about_unlisted_hosts_change_nothing() {
    let mut engine = engine(endpoints());
    engine.apply_peer_hints(
        at(10),
        hints_of(vec![PeerHint {
            quota: Some(quota(None, 1.0)),
            window: Some(1.0),
            ..hint("nobody")
        }]),
    );
    assert_eq!(engine.observations(at(10)).len(), 4);
}

#[test]
fn a_full_link_reported_by_peers_stops_fills_until_the_report_expires() {
    let mut engine = engine(endpoints());
    let now = at(100);
    engine.apply_peer_hints(
        now,
        PeerHints {
            link: Some(Sampled {
                value: 50.0,
                at: at(90),
            }),
            ..hints_of(vec![])
        },
    );
    let attempt = engine.request(now, request(1, now, 0)).attempts.remove(0);
    assert_eq!(
        attempt.source, attempt.host,
        "a fill was requested over a full link"
    );
    engine.apply_peer_hints(
        at(110),
        PeerHints {
            link: Some(Sampled {
                value: 0.1,
                at: at(20),
            }),
            ..hints_of(vec![])
        },
    );
    let attempt = engine
        .request(at(110), request(2, at(110), 0))
        .attempts
        .remove(0);
    assert_eq!(
        attempt.source, attempt.host,
        "an older report replaced a newer one"
    );
    let later = at(5_000);
    let attempt = engine
        .request(later, request(3, later, 0))
        .attempts
        .remove(0);
    assert_ne!(
        attempt.source, attempt.host,
        "an expired report still prevents fills"
    );
}
