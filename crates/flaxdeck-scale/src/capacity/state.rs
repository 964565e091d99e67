//! The state that each role keeps: entries at the target size, bytes per entry, retention, and the limit in the code.

mod encoded;
mod planner;

use flaxdeck_control::messages::MAX_EVENTS;
use flaxdeck_distribution::messages::{MAX_FULL_EVENTS, MAX_PURGES};
use flaxdeck_plan::{MAX_PLANNERS, Plan};
use flaxdeck_recovery::stored_state;

use super::figures::{duration, figure};
use super::rows::{Basis, DISTRIBUTIONS};
use crate::fit::line::Line;
use crate::fit::nature::Term;
use crate::measurement::{Metric, Role};

/// One kind of state.
#[derive(Clone, Debug, PartialEq)]
pub struct State {
    /// The role that keeps it.
    pub role: &'static str,
    /// What an entry is.
    pub what: &'static str,
    /// Number of entries at the target size.
    pub needed: f64,
    /// The limit in the code; `None` if there is none.
    pub bound: Option<Bound>,
    /// Size of an entry.
    pub bytes_each: Bytes,
    /// For how long an entry is kept, as text.
    pub kept: String,
}

/// A limit in the code, with the place of its definition.
#[derive(Clone, Debug, PartialEq)]
pub struct Bound {
    /// The largest number of entries.
    pub max: f64,
    /// The name of the constant and its file.
    pub name: &'static str,
}

/// Bytes of one entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Bytes {
    /// The growth of resident memory per entry, from the fitted slope; one value for each of [`DISTRIBUTIONS`].
    BySlope([Option<f64>; 2]),
    /// The length of an entry as written to a file, measured by encoding one while the page is computed.
    Encoded(f64),
    /// No run measured it.
    NotShown,
}

impl State {
    /// Returns the needed entries divided by the limit.
    pub fn ratio(&self) -> Option<f64> {
        Some(self.needed / self.bound.as_ref()?.max)
    }
}

const DISPATCHER: &str = "dispatcher";
const PLANNER: &str = "planner";
const BATCH: &str = "a batch or snapshot (digest)";
const STORE: &str = "an operator's store (state folder of one dispatcher)";

/// Returns the state of all roles, grouped by role, the largest part of a limit first.
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

/// Formats the time that a number of entries covers at a rate of `per_s` entries a second.
fn time_covered(entries: usize, per_s: f64) -> String {
    duration(entries as f64 / per_s)
}

/// The smallest valid plan file, so that all optional settings have their defaults.
const MINIMAL_PLAN: &str =
    "(plan (key-file \"k\") (planners (planner (name p) (listen \"127.0.0.1:1\"))))";

/// Returns a plan with the defaults of the operators' plan file.
pub fn default_plan() -> Option<Plan> {
    flaxdeck_plan::read("default", MINIMAL_PLAN).ok()
}

/// Returns the reports a second by the plan file's default. Each report is answered with one message.
fn reports_per_s() -> f64 {
    default_plan().map_or(f64::NAN, |plan| 1e3 / f64::from(plan.report_every_ms))
}

/// Returns the growth of resident memory per unit of a driver.
fn memory(basis: Basis, role: Role, term: Term) -> Bytes {
    let coefficient = |distribution| {
        let line: Option<&Line> = basis
            .lines
            .single(distribution, role, Metric::ResidentBytes);
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
                duration(target.purge_within_s)
            ),
        },
        State {
            role: DISPATCHER,
            what: "events told in messages between reports, each second",
            needed: events,
            bound: Some(Bound {
                max: MAX_EVENTS as f64 * reports_per_s(),
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
                max: MAX_PLANNERS as f64,
                name: "`MAX_PLANNERS` in `crates/flaxdeck-plan/src/lib.rs`",
            }),
            bytes_each: Bytes::NotShown,
            kept: "while the plan names them".into(),
        },
    ]
}

/// Returns the events in one batch or snapshot that covers the time in which a purge has to complete.
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
        max: f64::from(MAX_PURGES),
        name: "`MAX_PURGES` in `crates/flaxdeck-distribution/src/messages.rs`",
    };
    let others = Bound {
        max: MAX_FULL_EVENTS as f64,
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
            max: stored_state::MAX_PURGES as f64,
            name: "`MAX_PURGES` in `crates/flaxdeck-recovery/src/stored_state.rs`",
        }),
        bytes_each: Bytes::Encoded(encoded::bytes_per_purge()),
        kept: "until they have settled; past the bound copies from before count as purged".into(),
    };
    vec![
        State {
            role: STORE,
            what: "hosts listed",
            needed: target.hosts,
            bound: None,
            bytes_each: Bytes::Encoded(encoded::bytes_per_host()),
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
            bytes_each: Bytes::Encoded(encoded::bytes_per_log_record()),
            kept: format!(
                "until the next whole state; {} bytes a second",
                figure(target.events_per_s() * encoded::bytes_per_log_record())
            ),
        },
    ]
}
