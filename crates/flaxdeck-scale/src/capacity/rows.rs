//! The load of each role at the target size, compared with its budget.

mod dispatcher;
mod servers;

use super::estimate::{Estimate, Lines};
use crate::measurement::{Distribution, Metric};
use crate::target::Target;

/// Both distributions, in the order of their columns on the page.
pub const DISTRIBUTIONS: [Distribution; 2] = [Distribution::EachEvent, Distribution::Digest];

/// Bytes of all connections in both directions, including TCP and IP headers.
const BYTES: &[Metric] = &[
    Metric::BytesInPerS,
    Metric::BytesOutPerS,
    Metric::HeaderBytesPerS,
];
/// Messages of all connections in both directions.
const MESSAGES: &[Metric] = &[Metric::MessagesInPerS, Metric::MessagesOutPerS];

/// One figure of a role under both distributions.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// What the figure measures.
    pub what: String,
    /// The unit of the values and the budget.
    pub unit: &'static str,
    /// The most that the target allows; `None` if it sets no budget.
    pub budget: Option<f64>,
    /// One estimate for each distribution, in the order of [`DISTRIBUTIONS`].
    pub estimates: [Estimate; 2],
    /// The mechanism that causes the load.
    pub mechanism: &'static str,
}

impl Row {
    /// Returns the value divided by the budget, for each distribution. `None` without a value or a budget above zero.
    pub fn ratios(&self) -> [Option<f64>; 2] {
        let ratio = |estimate: &Estimate| {
            Some(estimate.value? / self.budget.filter(|budget| *budget > 0.0)?)
        };
        [ratio(&self.estimates[0]), ratio(&self.estimates[1])]
    }

    /// Whether the value of the distribution with index `at` is over the budget. With a budget of zero, any value above
    /// zero is.
    pub fn is_over(&self, at: usize) -> bool {
        let value = self.estimates[at].value.unwrap_or(0.0);
        self.budget.is_some_and(|budget| value > budget)
    }

    /// Returns the larger of the two ratios as a sort key; -1 if there is none.
    fn weight(&self) -> f64 {
        self.ratios().into_iter().flatten().fold(-1.0, f64::max)
    }
}

/// A role with its rows, the largest ratio to the budget first.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleRows {
    /// The role's name on the page.
    pub title: String,
    /// Its figures.
    pub rows: Vec<Row>,
}

/// The inputs from which rows are computed.
#[derive(Clone, Copy)]
pub struct Basis<'a> {
    /// The fitted lines.
    pub lines: Lines<'a>,
    /// The size for which the page is computed.
    pub target: &'a Target,
}

/// Returns the rows of all roles.
pub fn roles(basis: Basis) -> Vec<RoleRows> {
    let target = basis.target;
    let (fleet_size, planner_size) = (target.size(), target.size_per_planner());
    let roles = vec![
        RoleRows {
            title: "Dispatcher (forwarder)".into(),
            rows: dispatcher::rows(basis),
        },
        RoleRows {
            title: "Planner that hears every dispatcher".into(),
            rows: servers::planner(basis, &fleet_size),
        },
        RoleRows {
            title: "Planner where the fleet is divided between the machines".into(),
            rows: servers::planner(basis, &planner_size),
        },
        RoleRows {
            title: "Coordinator (a stand-in's figures)".into(),
            rows: servers::coordinator(basis),
        },
        RoleRows {
            title: "The machines set aside, together".into(),
            rows: servers::machines(basis),
        },
    ];
    roles.into_iter().map(sorted).collect()
}

/// Sorts the rows of a role by their ratio to the budget; rows without a ratio come last and keep their order.
fn sorted(mut role: RoleRows) -> RoleRows {
    role.rows
        .sort_by(|one, other| other.weight().total_cmp(&one.weight()));
    role
}

/// Computes an estimate for each of [`DISTRIBUTIONS`].
fn per_distribution(of: impl Fn(Distribution) -> Estimate) -> [Estimate; 2] {
    DISTRIBUTIONS.map(of)
}
