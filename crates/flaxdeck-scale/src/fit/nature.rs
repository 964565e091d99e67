//! The model of each metric: the terms of the line that is fitted to it, or how its points are aggregated if no line is
//! meaningful.

use serde::{Deserialize, Serialize};

use crate::measurement::{Measurement, Metric, Role};

/// The size at which a metric is measured or predicted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Size {
    /// Number of hollow forwarders or dispatchers.
    pub forwarders: f64,
    /// Number of hosts in the endpoint list.
    pub hosts: f64,
    /// Purges a second.
    pub purges: f64,
}

impl Size {
    /// Returns the size at which a row was measured.
    pub fn of(row: &Measurement) -> Size {
        Size {
            forwarders: f64::from(row.hollow_forwarders),
            hosts: f64::from(row.hosts),
            purges: row.purges_per_s,
        }
    }

    /// Orders sizes by their load on the control plane: purges delivered to forwarders, then forwarders, then hosts.
    pub fn order(&self, other: &Size) -> std::cmp::Ordering {
        let key = |size: &Size| [size.forwarders * size.purges, size.forwarders, size.hosts];
        key(self)
            .partial_cmp(&key(other))
            .unwrap_or(std::cmp::Ordering::Equal)
    }
}

/// A term of a fitted line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Term {
    /// The part that depends on no driver.
    Constant,
    /// Proportional to the number of forwarders.
    Forwarders,
    /// Proportional to the number of hosts in the endpoint list.
    Hosts,
    /// Proportional to the purges a second.
    Purges,
    /// Proportional to the purges a second times the number of forwarders that receive them.
    ForwarderPurges,
}

impl Term {
    /// Returns the value of the term's driver at a size.
    pub fn driver(self, size: &Size) -> f64 {
        match self {
            Term::Constant => 1.0,
            Term::Forwarders => size.forwarders,
            Term::Hosts => size.hosts,
            Term::Purges => size.purges,
            Term::ForwarderPurges => size.forwarders * size.purges,
        }
    }

    /// Returns the driver's name on the page and in charts.
    pub fn name(self) -> &'static str {
        match self {
            Term::Constant => "constant",
            Term::Forwarders => "forwarders",
            Term::Hosts => "hosts",
            Term::Purges => "purges a second",
            Term::ForwarderPurges => "forwarders x purges a second",
        }
    }
}

/// How the points of a metric are fitted or aggregated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Model {
    /// A line over a constant and these terms, the main term first.
    Line(&'static [Term]),
    /// The mean of the points at the largest size.
    Mean,
    /// The maximum of the points at the largest size.
    Max,
    /// The minimum of the points at the largest size.
    Min,
}

/// Returns the model of a metric of a role.
pub fn model(role: Role, metric: Metric) -> Model {
    match metric {
        Metric::DelayMedianMs
        | Metric::MicrosPerMessage
        | Metric::DecisionMicros
        | Metric::EventsExpected => Model::Mean,
        Metric::DelayP99Ms | Metric::DelayWorstMs | Metric::ServiceP99Ms => Model::Max,
        Metric::EventsLost
        | Metric::EventsDoubled
        | Metric::EventsOutOfOrder
        | Metric::EventsReplaced
        | Metric::RulesBroken => Model::Max,
        Metric::ServedShare | Metric::MachineIdleShare => Model::Min,
        Metric::BytesInPerS
        | Metric::BytesOutPerS
        | Metric::MessagesInPerS
        | Metric::MessagesOutPerS
        | Metric::HeaderBytesPerS
        | Metric::Cores => rate(role),
        Metric::ResidentBytes => memory(role),
        Metric::Descriptors => descriptors(role),
    }
}

fn rate(role: Role) -> Model {
    match role {
        Role::Coordinator | Role::Planner => {
            Model::Line(&[Term::ForwarderPurges, Term::Forwarders])
        }
        Role::RealForwarder | Role::HollowForwarder => Model::Line(&[Term::Purges, Term::Hosts]),
        Role::Dispatcher => Model::Mean,
    }
}

fn memory(role: Role) -> Model {
    match role {
        Role::Coordinator | Role::Planner => Model::Line(&[Term::Forwarders, Term::Hosts]),
        Role::RealForwarder | Role::HollowForwarder => Model::Line(&[Term::Hosts, Term::Purges]),
        Role::Dispatcher => Model::Mean,
    }
}

fn descriptors(role: Role) -> Model {
    match role {
        Role::Coordinator | Role::Planner => Model::Line(&[Term::Forwarders]),
        Role::RealForwarder | Role::HollowForwarder | Role::Dispatcher => Model::Max,
    }
}
