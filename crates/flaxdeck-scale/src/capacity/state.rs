//! What is kept by each role: entries at the size of the target, bytes each, how long, and the bound in the code.

use flaxdeck_control::messages::MAX_EVENTS;
use flaxdeck_control::planner::{FORWARDER_TIMEOUT, MAX_FORWARDERS, MAX_POOLS, MAX_RELAYED_EVENTS};
use flaxdeck_distribution::messages::{MAX_FULL_EVENTS, MAX_PURGES};
use flaxdeck_plan::{MAX_PLANNERS, Plan};
use flaxdeck_planner::MAX_CONNECTIONS;
use flaxdeck_recovery::EventPosition;
use flaxdeck_recovery::stored_state::{
    self, StateChange, StoredEndpoint, StoredPurge, StoredState,
};

use super::figures::{figure, span};
use super::rows::{Basis, DISTRIBUTIONS};
use crate::fit::line::Line;
use crate::fit::nature::Term;
use crate::measurement::{Metric, Role};

/// What is kept of one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct State {
    pub role: &'static str,
    pub what: &'static str,
    /// Entries that the target asks for.
    pub needed: f64,
    /// The most that the code keeps; none where it has no bound.
    pub bound: Option<Bound>,
    pub bytes_each: Bytes,
    pub kept: String,
}

/// A bound of the code, with where it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Bound {
    pub most: f64,
    pub name: &'static str,
}

/// Bytes of one entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Bytes {
    /// What each further one adds to resident memory, by the slope; one for each distribution.
    BySlope([Option<f64>; 2]),
    /// As it is written to a file: encoded when the page is computed.
    Encoded(f64),
    NotShown,
}

impl State {
    /// Entries needed over the bound.
    pub fn ratio(&self) -> Option<f64> {
        Some(self.needed / self.bound.as_ref()?.most)
    }
}

const DISPATCHER: &str = "dispatcher";
const PLANNER: &str = "planner";
const BATCH: &str = "a batch or snapshot (digest)";
const STORE: &str = "an operator's store (state folder of one dispatcher)";

/// What all roles keep, role by role, the fullest bound of a role first.
pub fn states(basis: Basis) -> Vec<State> {
    let mut states = dispatcher(basis);
    states.extend(planner(basis));
    states.extend(batches(basis));
    states.extend(store(basis));
    let order = [DISPATCHER, PLANNER, BATCH, STORE];
    let place = |state: &State| order.iter().position(|role| *role == state.role);
    let ratio = |state: &State| state.ratio().unwrap_or(-1.0);
    states.sort_by(|one, other| {
        place(one)
            .cmp(&place(other))
            .then(ratio(other).total_cmp(&ratio(one)))
    });
    states
}

/// How long a number of entries reaches at a rate.
fn reach(entries: usize, per_s: f64) -> String {
    span(entries as f64 / per_s)
}

/// A plan that says as little as it may, so that the rest has its defaults.
const LEAST_PLAN: &str =
    "(plan (key-file \"k\") (planners (planner (name p) (listen \"127.0.0.1:1\"))))";

/// The defaults of the operators' plan file.
pub fn default_plan() -> Option<Plan> {
    flaxdeck_plan::read("default", LEAST_PLAN).ok()
}

/// Reports a second by the plan file's default, each of which brings one message back.
fn reports_per_s() -> f64 {
    default_plan().map_or(f64::NAN, |plan| 1e3 / f64::from(plan.report_every_ms))
}

/// What each further unit of a driver adds to resident memory.
fn memory(basis: Basis, role: Role, term: Term) -> Bytes {
    let coefficient = |distribution| {
        let line: Option<&Line> = basis.lines.one(distribution, role, Metric::ResidentBytes);
        line.and_then(|line| line.coefficient(term))
    };
    match DISTRIBUTIONS.map(coefficient) {
        [None, None] => Bytes::NotShown,
        some => Bytes::BySlope(some),
    }
}

fn dispatcher(basis: Basis) -> Vec<State> {
    let target = basis.target;
    let (purges, events) = (target.purges_per_s, target.events_per_s());
    vec![
        State {
            role: DISPATCHER,
            what: "hosts listed",
            needed: target.hosts,
            bound: None,
            bytes_each: memory(basis, Role::HollowForwarder, Term::Hosts),
            kept: "while listed".into(),
        },
        State {
            role: DISPATCHER,
            what: "purges not settled",
            needed: purges * target.purge_within_s,
            bound: None,
            bytes_each: Bytes::NotShown,
            kept: format!(
                "{}, if they settle within what the target allows",
                span(target.purge_within_s)
            ),
        },
        State {
            role: DISPATCHER,
            what: "events told in messages between reports, each second",
            needed: events,
            bound: Some(Bound {
                most: MAX_EVENTS as f64 * reports_per_s(),
                name: "`MAX_EVENTS` in `crates/flaxdeck-control/src/messages.rs`, times reports a second",
            }),
            bytes_each: Bytes::NotShown,
            kept: "not kept".into(),
        },
        State {
            role: DISPATCHER,
            what: "planners of one plan file, if it named all machines",
            needed: target.machines,
            bound: Some(Bound {
                most: MAX_PLANNERS as f64,
                name: "`MAX_PLANNERS` in `crates/flaxdeck-plan/src/plan.rs`",
            }),
            bytes_each: Bytes::NotShown,
            kept: "while the plan names them".into(),
        },
    ]
}

fn planner(basis: Basis) -> Vec<State> {
    let target = basis.target;
    let forgotten = span(FORWARDER_TIMEOUT.ms() / 1e3);
    vec![
        State {
            role: PLANNER,
            what: "dispatchers heard, if it hears every one",
            needed: target.dispatchers,
            bound: Some(members()),
            bytes_each: memory(basis, Role::Planner, Term::Forwarders),
            kept: format!("{forgotten} after its last report"),
        },
        State {
            role: PLANNER,
            what: "dispatchers heard, where the fleet is divided",
            needed: target.dispatchers_a_planner(),
            bound: Some(members()),
            bytes_each: memory(basis, Role::Planner, Term::Forwarders),
            kept: format!("{forgotten} after its last report"),
        },
        State {
            role: PLANNER,
            what: "connections, if it hears every one",
            needed: target.dispatchers,
            bound: Some(Bound {
                most: MAX_CONNECTIONS as f64,
                name: "`MAX_CONNECTIONS` in `crates/flaxdeck-planner/src/lib.rs`",
            }),
            bytes_each: Bytes::NotShown,
            kept: "while open".into(),
        },
        State {
            role: PLANNER,
            what: "events to pass on, as far back as a purge may take",
            needed: target.events_per_s() * target.purge_within_s,
            bound: Some(events_kept()),
            bytes_each: Bytes::NotShown,
            kept: format!(
                "by their count, which reaches {} back",
                reach(MAX_RELAYED_EVENTS, target.events_per_s())
            ),
        },
        State {
            role: PLANNER,
            what: "events to pass on, as far back as a purge may take, in a purge storm",
            needed: (target.storm_per_s() + target.changes_per_s()) * target.purge_within_s,
            bound: Some(events_kept()),
            bytes_each: Bytes::NotShown,
            kept: format!(
                "by their count, which reaches {} back",
                reach(
                    MAX_RELAYED_EVENTS,
                    target.storm_per_s() + target.changes_per_s()
                )
            ),
        },
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
                most: MAX_POOLS as f64,
                name: "`MAX_POOLS` in `crates/flaxdeck-control/src/planner.rs`",
            }),
            bytes_each: Bytes::NotShown,
            kept: "until nothing of it is lent or out".into(),
        },
    ]
}

fn members() -> Bound {
    Bound {
        most: MAX_FORWARDERS as f64,
        name: "`MAX_FORWARDERS` in `crates/flaxdeck-control/src/planner.rs`",
    }
}

fn events_kept() -> Bound {
    Bound {
        most: MAX_RELAYED_EVENTS as f64,
        name: "`MAX_RELAYED_EVENTS` in `crates/flaxdeck-control/src/planner/relay_log.rs`",
    }
}

/// What one message with a digest holds, if it reaches as far back as a purge may take.
fn batches(basis: Basis) -> Vec<State> {
    let target = basis.target;
    let row = |what, per_s: f64, bound| State {
        role: BATCH,
        what,
        needed: per_s * target.purge_within_s,
        bound: Some(bound),
        bytes_each: Bytes::NotShown,
        kept: "not kept".into(),
    };
    let purges = || Bound {
        most: f64::from(MAX_PURGES),
        name: "`MAX_PURGES` in `crates/flaxdeck-distribution/src/messages.rs`",
    };
    let others = Bound {
        most: MAX_FULL_EVENTS as f64,
        name: "`MAX_FULL_EVENTS` in `crates/flaxdeck-distribution/src/messages.rs`",
    };
    vec![
        row(
            "purges, as far back as one may take",
            target.purges_per_s,
            purges(),
        ),
        row(
            "purges, as far back as one may take, in a purge storm",
            target.storm_per_s(),
            purges(),
        ),
        row("other events, for as long", target.changes_per_s(), others),
    ]
}

fn store(basis: Basis) -> Vec<State> {
    let target = basis.target;
    let purges = |what, per_s: f64| State {
        role: STORE,
        what,
        needed: per_s * target.purge_within_s,
        bound: Some(Bound {
            most: stored_state::MAX_PURGES as f64,
            name: "`MAX_PURGES` in `crates/flaxdeck-recovery/src/stored_state.rs`",
        }),
        bytes_each: Bytes::Encoded(per_purge()),
        kept: "until they have settled; past the bound copies from before count as purged".into(),
    };
    vec![
        State {
            role: STORE,
            what: "hosts listed",
            needed: target.hosts,
            bound: None,
            bytes_each: Bytes::Encoded(per_host()),
            kept: "while listed".into(),
        },
        purges("purges, as far back as one may take", target.purges_per_s),
        purges(
            "purges, as far back as one may take, in a purge storm",
            target.storm_per_s(),
        ),
        State {
            role: STORE,
            what: "records in its log, each second",
            needed: target.events_per_s(),
            bound: None,
            bytes_each: Bytes::Encoded(per_record()),
            kept: format!(
                "until the next whole state; {} bytes a second",
                figure(target.events_per_s() * per_record())
            ),
        },
    ]
}

/// Numbers as large as those of real events, whose encoding is as long as theirs.
const LARGE: u64 = u64::MAX / 3;
/// Milliseconds of Unix time of these years.
const SOME_TIME: u64 = 1_900_000_000_000;

fn some_line() -> StoredEndpoint {
    StoredEndpoint {
        host: "s-00000000".into(),
        address: ([10, 0, 0, 1], 7_000).into(),
        weight: 1.0,
        zone: Some(0),
        cell: 0,
        role: 0,
        health: 0,
        started: SOME_TIME,
    }
}

fn some_purge() -> StoredPurge {
    StoredPurge {
        object: Some(LARGE),
        group: 0,
        made: SOME_TIME,
    }
}

fn encoded(state: &impl serde::Serialize) -> f64 {
    stored_state::encode(state).len() as f64
}

fn per_host() -> f64 {
    encoded(&StoredState {
        endpoints: vec![some_line()],
        ..StoredState::default()
    }) - encoded(&StoredState::default())
}

fn per_purge() -> f64 {
    encoded(&StoredState {
        purges: vec![some_purge()],
        ..StoredState::default()
    }) - encoded(&StoredState::default())
}

fn per_record() -> f64 {
    encoded(&StateChange::Purged(
        EventPosition {
            number: LARGE,
            hash: LARGE,
        },
        some_purge(),
    ))
}
