//! The state of a planner.

use flaxdeck_control::planner::{FORWARDER_TIMEOUT, MAX_FORWARDERS, MAX_POOLS, MAX_RELAYED_EVENTS};
use flaxdeck_planner::MAX_CONNECTIONS;

use super::{Bound, Bytes, PLANNER, State, memory, time_covered};
use crate::capacity::figures::duration;
use crate::capacity::rows::Basis;
use crate::fit::nature::Term;
use crate::measurement::Role;

/// Returns all state of a planner.
pub(super) fn planner(basis: Basis) -> Vec<State> {
    let mut states = connected_dispatchers(basis);
    states.extend(relayed_events(basis));
    states.extend(hosts(basis));
    states
}

fn connected_dispatchers(basis: Basis) -> Vec<State> {
    let target = basis.target;
    let retention = duration(FORWARDER_TIMEOUT.ms() / 1e3);
    vec![
        State {
            role: PLANNER,
            what: "dispatchers heard, if it hears every one",
            needed: target.dispatchers,
            bound: Some(forwarder_bound()),
            bytes_each: memory(basis, Role::Planner, Term::Forwarders),
            kept: format!("{retention} after its last report"),
        },
        State {
            role: PLANNER,
            what: "dispatchers heard, where the fleet is divided",
            needed: target.dispatchers_per_planner(),
            bound: Some(forwarder_bound()),
            bytes_each: memory(basis, Role::Planner, Term::Forwarders),
            kept: format!("{retention} after its last report"),
        },
        State {
            role: PLANNER,
            what: "connections, if it hears every one",
            needed: target.dispatchers,
            bound: Some(Bound {
                max: MAX_CONNECTIONS as f64,
                name: "`MAX_CONNECTIONS` in `crates/flaxdeck-planner/src/lib.rs`",
            }),
            bytes_each: Bytes::NotShown,
            kept: "while open".into(),
        },
    ]
}

/// Returns the relayed events that cover the time in which a purge has to complete.
fn relayed_events(basis: Basis) -> Vec<State> {
    let target = basis.target;
    let state = |what, events_per_s: f64| State {
        role: PLANNER,
        what,
        needed: events_per_s * target.purge_within_s,
        bound: Some(relay_log_bound()),
        bytes_each: Bytes::NotShown,
        kept: format!(
            "by their count, which reaches {} back",
            time_covered(MAX_RELAYED_EVENTS, events_per_s)
        ),
    };
    vec![
        state(
            "events to pass on, as far back as a purge may take",
            target.events_per_s(),
        ),
        state(
            "events to pass on, as far back as a purge may take, in a purge storm",
            target.storm_per_s() + target.changes_per_s(),
        ),
    ]
}

fn hosts(basis: Basis) -> Vec<State> {
    let target = basis.target;
    vec![
        State {
            role: PLANNER,
            what: "hosts listed",
            needed: target.hosts,
            bound: None,
            bytes_each: memory(basis, Role::Planner, Term::Hosts),
            kept: "while listed".into(),
        },
        State {
            role: PLANNER,
            what: "lives of cold hosts, if all were cold",
            needed: target.hosts,
            bound: Some(Bound {
                max: MAX_POOLS as f64,
                name: "`MAX_POOLS` in `crates/flaxdeck-control/src/planner.rs`",
            }),
            bytes_each: Bytes::NotShown,
            kept: "until nothing of it is lent or out".into(),
        },
    ]
}

fn forwarder_bound() -> Bound {
    Bound {
        max: MAX_FORWARDERS as f64,
        name: "`MAX_FORWARDERS` in `crates/flaxdeck-control/src/planner.rs`",
    }
}

fn relay_log_bound() -> Bound {
    Bound {
        max: MAX_RELAYED_EVENTS as f64,
        name: "`MAX_RELAYED_EVENTS` in `crates/flaxdeck-control/src/planner/relay_log.rs`",
    }
}
