//! Which lines of a list that came instead of what followed may be used, and which copies.

use std::collections::BTreeMap;

use flaxdeck::Health::{Draining, InService, Removed};
use flaxdeck::{CellId, Endpoint, Health, HostId, Role, Span, Time};
use flaxdeck_recovery::numbering::MissedPeriod;
use flaxdeck_recovery::unconfirmed::{UnconfirmedEndpoints, copies_from};

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
fn a_list_put_back_does_not_bring_a_withdrawn_host_into_service() {
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
    let mut doubted = UnconfirmedEndpoints::default();
    let (list, count) = doubted.adopt(at(0), &before, list);
    let healths: Vec<Health> = list.iter().map(|line| line.health).collect();
    assert_eq!(
        (healths, count),
        (vec![Draining, InService, InService], 1),
        "b has started since"
    );
}

#[test]
fn a_later_event_ends_the_doubt_and_so_does_time() {
    let before = known(&[line("a", Draining, None), line("b", Draining, None)]);
    let list = || vec![line("a", InService, None), line("b", InService, None)];
    let mut doubted = UnconfirmedEndpoints::default();
    doubted.adopt(at(0), &before, list());
    doubted.named([&HostId("a".into())]);
    assert_eq!(doubted.run_out(at(59_999)).len(), 0);
    assert_eq!(doubted.next(), Some(at(60_000)));
    let out = doubted.run_out(at(60_000));
    assert_eq!(
        (&*out[0].host.0, out[0].health, out.len()),
        ("b", InService, 1)
    );
    assert_eq!(doubted.next(), None);
}

#[test]
fn copies_are_doubted_only_for_what_may_have_been_missed() {
    let settles = Span::from_ms(6_000);
    let doubt = |since, heard_to_the_end| MissedPeriod {
        since,
        heard_to_the_end,
    };
    assert_eq!(
        copies_from(at(100), doubt(Some(at(0)), true), settles),
        None
    );
    assert_eq!(
        copies_from(at(100), doubt(None, false), settles),
        None,
        "nothing was known before"
    );
    assert_eq!(
        copies_from(at(100), doubt(Some(at(0)), false), settles),
        Some(at(0))
    );
    // What was purged earlier hosts have dropped by themselves.
    assert_eq!(
        copies_from(at(9_000), doubt(Some(at(0)), false), settles),
        Some(at(3_000))
    );
}
