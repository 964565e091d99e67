//! What is kept by each role: entries at the size of the target, bytes each, how long, and the bound in the code.

mod encoded;
mod planner;

use flaxdeck_control::messages::MAX_EVENTS;
use flaxdeck_distribution::messages::{MAX_FULL_EVENTS, MAX_PURGES};
use flaxdeck_plan::{MAX_PLANNERS, Plan};
use flaxdeck_recovery::stored_state;

use super::figures::{figure, span};
use super::rows::{Basis, DISTRIBUTIONS};
use crate::fit::line::Line;
use crate::fit::nature::Term;
use crate::measurement::{Metric, Role};

/// What is kept of one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct State {
    /// Who keeps it.
    pub role: &'static str,
    /// What is kept.
    pub what: &'static str,
    /// Entries that the target asks for.
    pub needed: f64,
    /// The most that the code keeps; none where it has no bound.
    pub bound: Option<Bound>,
    /// How large an entry is.
    pub bytes_each: Bytes,
    /// For how long, in words.
    pub kept: String,
}

/// A bound of the code, with where it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Bound {
    /// Entries at most.
    pub most: f64,
    /// The constant, with its file.
    pub name: &'static str,
}

/// Bytes of one entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Bytes {
    /// What each further one adds to resident memory, by the slope; one for each distribution.
    BySlope([Option<f64>; 2]),
    /// As it is written to a file: encoded when the page is computed.
    Encoded(f64),
    /// No run shows it.
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
    states.extend(planner::planner(basis));
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
                name: "`MAX_PLANNERS` in `crates/flaxdeck-plan/src/lib.rs`",
            }),
            bytes_each: Bytes::NotShown,
            kept: "while the plan names them".into(),
        },
    ]
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
        bytes_each: Bytes::Encoded(encoded::per_purge()),
        kept: "until they have settled; past the bound copies from before count as purged".into(),
    };
    vec![
        State {
            role: STORE,
            what: "hosts listed",
            needed: target.hosts,
            bound: None,
            bytes_each: Bytes::Encoded(encoded::per_host()),
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
            bytes_each: Bytes::Encoded(encoded::per_record()),
            kept: format!(
                "until the next whole state; {} bytes a second",
                figure(target.events_per_s() * encoded::per_record())
            ),
        },
    ]
}
