//! Which lines of a list that came instead of what followed may be used, and which copies.

use std::collections::BTreeMap;

use flaxdeck::Health::{Draining, InService, Removed};
use flaxdeck::{CellId, Endpoint, Health, HostId, Role, Span, Time};
use flaxdeck_recovery::numbering::MissedPeriod;
use flaxdeck_recovery::unconfirmed::{AdoptedList, UnconfirmedEndpoints, copies_from};

fn at(ms: u64) -> Time {
    Time::at_ms(100_000.0 + ms as f64)
}

fn line(name: &str, health: Health, started: Option<u64>) -> Endpoint {
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

fn known(lines: &[Endpoint]) -> BTreeMap<HostId, Endpoint> {
    lines
        .iter()
        .map(|line| (line.host.clone(), line.clone()))
        .collect()
}

#[test]
fn a_restored_list_does_not_bring_a_withdrawn_host_into_service() {
    let before = known(&[
        line("a", Draining, None),
        line("b", Removed, Some(5)),
        line("c", InService, None),
    ]);
    let list = vec![
        line("a", InService, None),
        line("b", InService, Some(9)),
        line("c", InService, None),
    ];
    let mut unconfirmed = UnconfirmedEndpoints::default();
    let AdoptedList {
        endpoints,
        held_back,
    } = unconfirmed.adopt(at(0), &before, list);
    let healths: Vec<Health> = endpoints.iter().map(|line| line.health).collect();
    assert_eq!(
        (healths, held_back),
        (vec![Draining, InService, InService], 1),
        "b has started since"
    );
}

#[test]
fn a_later_event_confirms_a_host_and_so_does_time() {
    let before = known(&[line("a", Draining, None), line("b", Draining, None)]);
    let list = || vec![line("a", InService, None), line("b", InService, None)];
    let mut unconfirmed = UnconfirmedEndpoints::default();
    unconfirmed.adopt(at(0), &before, list());
    unconfirmed.confirm([&HostId("a".into())]);
    assert_eq!(unconfirmed.take_expired(at(59_999)).len(), 0);
    assert_eq!(unconfirmed.next_expiry(), Some(at(60_000)));
    let out = unconfirmed.take_expired(at(60_000));
    assert_eq!(
        (&*out[0].host.0, out[0].health, out.len()),
        ("b", InService, 1)
    );
    assert_eq!(unconfirmed.next_expiry(), None);
}

#[test]
fn copies_are_refused_only_for_what_may_have_been_missed() {
    let settles = Span::from_ms(6_000);
    let missed = |since, heard_to_the_end| MissedPeriod {
        since,
        closed_cleanly: heard_to_the_end,
    };
    assert_eq!(
        copies_from(at(100), missed(Some(at(0)), true), settles),
        None
    );
    assert_eq!(
        copies_from(at(100), missed(None, false), settles),
        None,
        "nothing was known before"
    );
    assert_eq!(
        copies_from(at(100), missed(Some(at(0)), false), settles),
        Some(at(0))
    );
    // What was purged earlier hosts have dropped by themselves.
    assert_eq!(
        copies_from(at(9_000), missed(Some(at(0)), false), settles),
        Some(at(3_000))
    );
}
