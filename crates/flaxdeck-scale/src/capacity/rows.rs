//! What each role carries at the size of the target, beside its budget.

mod dispatcher;
mod servers;

use super::estimate::{Estimate, Lines};
use crate::measurement::{Distribution, Metric};
use crate::target::Target;

/// Both distributions, in the order in which they stand side by side.
pub const DISTRIBUTIONS: [Distribution; 2] = [Distribution::EachEvent, Distribution::Digest];

/// The bytes of all connections both ways, with the headers below them.
const BYTES: &[Metric] = &[
    Metric::BytesInPerS,
    Metric::BytesOutPerS,
    Metric::HeaderBytesPerS,
];
/// Messages of all connections both ways.
const MESSAGES: &[Metric] = &[Metric::MessagesInPerS, Metric::MessagesOutPerS];

/// One figure of a role under both distributions.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// What it is a figure of.
    pub what: String,
    /// The unit of the values and the budget.
    pub unit: &'static str,
    /// What the target allows; none where it says nothing.
    pub budget: Option<f64>,
    /// In the order of [`DISTRIBUTIONS`].
    pub estimates: [Estimate; 2],
    /// What brings the figure about.
    pub mechanism: &'static str,
}

impl Row {
    /// Value over budget, one for each distribution.
    pub fn ratios(&self) -> [Option<f64>; 2] {
        let ratio = |estimate: &Estimate| {
            Some(estimate.value? / self.budget.filter(|budget| *budget > 0.0)?)
        };
        [ratio(&self.estimates[0]), ratio(&self.estimates[1])]
    }

    /// Whether a distribution's value is over the budget; where the budget is none at all, whether there is any.
    pub fn is_over(&self, at: usize) -> bool {
        let value = self.estimates[at].value.unwrap_or(0.0);
        self.budget.is_some_and(|budget| value > budget)
    }

    /// The worse of the two ratios; below all ratios where there is none.
    fn weight(&self) -> f64 {
        self.ratios().into_iter().flatten().fold(-1.0, f64::max)
    }
}

/// A role with its rows, the one over its budget by most first.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleRows {
    /// The role's name on the page.
    pub title: String,
    /// Its figures.
    pub rows: Vec<Row>,
}

/// Everything that rows are computed from.
#[derive(Clone, Copy)]
pub struct Basis<'a> {
    /// The fitted lines.
    pub lines: Lines<'a>,
    /// The size that the page is for.
    pub target: &'a Target,
}

/// The rows of all roles.
pub fn roles(basis: Basis) -> Vec<RoleRows> {
    let target = basis.target;
    let (whole, group) = (target.size(), target.size_of_a_group());
    let roles = vec![
        RoleRows {
            title: "Dispatcher (forwarder)".into(),
            rows: dispatcher::rows(basis),
        },
        RoleRows {
            title: "Planner that hears every dispatcher".into(),
            rows: servers::planner(basis, &whole),
        },
        RoleRows {
            title: "Planner where the fleet is divided between the machines".into(),
            rows: servers::planner(basis, &group),
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

/// Rows without a ratio keep their order, behind all others.
fn sorted(mut role: RoleRows) -> RoleRows {
    role.rows
        .sort_by(|one, other| other.weight().total_cmp(&one.weight()));
    role
}

/// An estimate under each distribution.
fn both(of: impl Fn(Distribution) -> Estimate) -> [Estimate; 2] {
    DISTRIBUTIONS.map(of)
}
