//! Which endpoints of a full list that replaced the expected events may be used, and which copies may be served.

use std::collections::BTreeMap;

use flaxdeck::Health::{Draining, InService, Removed};
use flaxdeck::{CellId, Endpoint, Health, HostId, Role, Span, Time};
use flaxdeck_recovery::numbering::MissedPeriod;
use flaxdeck_recovery::unconfirmed::{AdoptedList, UnconfirmedEndpoints, copies_from};

fn at(ms: u64) -> Time {
    Time::at_ms(100_000.0 + ms as f64)
}

fn endpoint(name: &str, health: Health, started: Option<u64>) -> Endpoint {
    let started = started.map(|ms| Time::at_ms(ms as f64));
    let (host, cell) = (HostId(name.into()), CellId(0));
    Endpoint {
        host,
        weight: 1.0,
        zone: None,
        cell,
        role: Role::Cache,
        health,
        started,
    }
}

fn endpoints_by_host(endpoints: &[Endpoint]) -> BTreeMap<HostId, Endpoint> {
    endpoints
        .iter()
        .map(|endpoint| (endpoint.host.clone(), endpoint.clone()))
        .collect()
}

#[test]
fn a_restored_list_does_not_bring_a_withdrawn_host_into_service() {
    let before = endpoints_by_host(&[
        endpoint("a", Draining, None),
        endpoint("b", Removed, Some(5)),
        endpoint("c", InService, None),
    ]);
    let list = vec![
        endpoint("a", InService, None),
        endpoint("b", InService, Some(9)),
        endpoint("c", InService, None),
    ];
    let mut unconfirmed = UnconfirmedEndpoints::default();
    let AdoptedList {
        endpoints,
        held_back,
    } = unconfirmed.adopt(at(0), &before, list);
    let healths: Vec<Health> = endpoints.iter().map(|endpoint| endpoint.health).collect();
    assert_eq!(
        (healths, held_back),
        (vec![Draining, InService, InService], 1),
        "b has restarted since"
    );
}

#[test]
fn a_host_is_released_by_a_later_event_or_after_the_hold_back_period() {
    let before = endpoints_by_host(&[endpoint("a", Draining, None), endpoint("b", Draining, None)]);
    let list = || {
        vec![
            endpoint("a", InService, None),
            endpoint("b", InService, None),
        ]
    };
    let mut unconfirmed = UnconfirmedEndpoints::default();
    unconfirmed.adopt(at(0), &before, list());
    unconfirmed.confirm([&HostId("a".into())]);
    assert_eq!(unconfirmed.take_expired(at(59_999)).len(), 0);
    assert_eq!(unconfirmed.next_expiry(), Some(at(60_000)));
    let expired = unconfirmed.take_expired(at(60_000));
    assert_eq!(
        (&*expired[0].host.0, expired[0].health, expired.len()),
        ("b", InService, 1)
    );
    assert_eq!(unconfirmed.next_expiry(), None);
}

#[test]
fn copies_are_rejected_only_if_a_purge_may_have_been_missed() {
    let settle_time = Span::from_ms(6_000);
    let missed = |since, closed_cleanly| MissedPeriod {
        since,
        closed_cleanly,
    };
    assert_eq!(
        copies_from(at(100), missed(Some(at(0)), true), settle_time),
        None
    );
    assert_eq!(
        copies_from(at(100), missed(None, false), settle_time),
        None,
        "no events of the previous numbering were known"
    );
    assert_eq!(
        copies_from(at(100), missed(Some(at(0)), false), settle_time),
        Some(at(0))
    );
    // Hosts have dropped by themselves what was purged earlier.
    assert_eq!(
        copies_from(at(9_000), missed(Some(at(0)), false), settle_time),
        Some(at(3_000))
    );
}
