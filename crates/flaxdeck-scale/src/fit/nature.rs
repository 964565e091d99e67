//! What each metric goes with, by its nature: the terms of the line that is fitted to it, or how its points are summed up
//! where a line would say nothing.

use serde::{Deserialize, Serialize};

use crate::measurement::{Measurement, Metric, Role};

/// The sizes at which something is measured or foretold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Size {
    /// Hollow forwarders, or dispatchers.
    pub forwarders: f64,
    /// Hosts listed.
    pub hosts: f64,
    /// Purges a second.
    pub purges: f64,
}

impl Size {
    /// The size at which a row was measured.
    pub fn of(row: &Measurement) -> Size {
        Size {
            forwarders: f64::from(row.hollow_forwarders),
            hosts: f64::from(row.hosts),
            purges: row.purges_per_s,
        }
    }

    /// Orders sizes by what they ask of a control plane: purges told to forwarders, then forwarders, then hosts.
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
    /// What there is without any driver.
    Constant,
    /// For each forwarder.
    Forwarders,
    /// For each host listed.
    Hosts,
    /// For each purge a second.
    Purges,
    /// For each purge a second told to each forwarder.
    ForwarderPurges,
}

impl Term {
    /// The term's driver at a size.
    pub fn driver(self, size: &Size) -> f64 {
        match self {
            Term::Constant => 1.0,
            Term::Forwarders => size.forwarders,
            Term::Hosts => size.hosts,
            Term::Purges => size.purges,
            Term::ForwarderPurges => size.forwarders * size.purges,
        }
    }

    /// The driver's name on the page and in charts.
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

/// How the points of a metric are summed up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Nature {
    /// A line over these terms beside a constant, the main one first.
    Line(&'static [Term]),
    /// The mean at the largest size.
    Mean,
    /// The largest at the largest size.
    Max,
    /// The least at the largest size.
    Min,
}

/// What a metric of a role goes with.
pub fn nature(role: Role, metric: Metric) -> Nature {
    match metric {
        Metric::DelayMedianMs
        | Metric::MicrosPerMessage
        | Metric::DecisionMicros
        | Metric::EventsExpected => Nature::Mean,
        Metric::DelayP99Ms | Metric::DelayWorstMs | Metric::ServiceP99Ms => Nature::Max,
        Metric::EventsLost
        | Metric::EventsDoubled
        | Metric::EventsOutOfOrder
        | Metric::EventsReplaced
        | Metric::RulesBroken => Nature::Max,
        Metric::ServedShare | Metric::MachineIdleShare => Nature::Min,
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

fn rate(role: Role) -> Nature {
    match role {
        Role::Coordinator | Role::Planner => {
            Nature::Line(&[Term::ForwarderPurges, Term::Forwarders])
        }
        Role::RealForwarder | Role::HollowForwarder => Nature::Line(&[Term::Purges, Term::Hosts]),
        Role::Dispatcher => Nature::Mean,
    }
}

fn memory(role: Role) -> Nature {
    match role {
        Role::Coordinator | Role::Planner => Nature::Line(&[Term::Forwarders, Term::Hosts]),
        Role::RealForwarder | Role::HollowForwarder => Nature::Line(&[Term::Hosts, Term::Purges]),
        Role::Dispatcher => Nature::Mean,
    }
}

fn descriptors(role: Role) -> Nature {
    match role {
        Role::Coordinator | Role::Planner => Nature::Line(&[Term::Forwarders]),
        Role::RealForwarder | Role::HollowForwarder | Role::Dispatcher => Nature::Max,
    }
}
