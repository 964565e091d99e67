//! What runs with a fault came to, beside the runs without it.

use std::collections::BTreeSet;

use super::figures::figure;
use crate::fit::line::Line;
use crate::fit::nature::Size;
use crate::measurement::{Distribution, Metric, Role};

/// A run's fault under one distribution.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultRun {
    /// The fault, as the scale file names it.
    pub fault: String,
    /// How events reached the forwarders.
    pub distribution: Distribution,
    /// The largest size at which it was measured.
    pub at: Size,
    /// What was measured.
    pub figures: Vec<FaultFigure>,
}

/// A figure of the forwarders, and that of the twin without the fault.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultFigure {
    /// What it is.
    pub name: &'static str,
    /// With the fault.
    pub value: f64,
    /// Without the fault, where that was measured.
    pub twin: Option<f64>,
}

/// What is told of a run with a fault.
const TOLD: [(Metric, Role, &str); 9] = [
    (Metric::EventsLost, Role::HollowForwarder, "events lost"),
    (
        Metric::EventsReplaced,
        Role::HollowForwarder,
        "covered by a whole list",
    ),
    (Metric::EventsDoubled, Role::HollowForwarder, "doubled"),
    (
        Metric::EventsOutOfOrder,
        Role::HollowForwarder,
        "out of order",
    ),
    (
        Metric::DelayMedianMs,
        Role::HollowForwarder,
        "median delay, ms",
    ),
    (
        Metric::DelayWorstMs,
        Role::HollowForwarder,
        "worst delay, ms",
    ),
    (Metric::ServedShare, Role::RealForwarder, "share served"),
    (
        Metric::ServiceP99Ms,
        Role::RealForwarder,
        "service at the 99th percentile, ms",
    ),
    (Metric::RulesBroken, Role::RealForwarder, "rules broken"),
];

/// Each fault under each distribution, as it was measured at the largest size.
pub fn fault_runs<'a>(lines: impl Iterator<Item = &'a Line> + Clone) -> Vec<FaultRun> {
    let names: BTreeSet<(String, Distribution)> = lines
        .clone()
        .map(|line| (line.series.fault.clone(), line.series.distribution))
        .collect();
    let run = |(fault, distribution): (String, Distribution)| {
        let own = lines
            .clone()
            .filter(|line| line.series.fault == fault && line.series.distribution == distribution);
        fault_run(fault.clone(), distribution, &own.collect::<Vec<_>>())
    };
    names.into_iter().map(run).collect()
}

fn fault_run(fault: String, distribution: Distribution, lines: &[&Line]) -> FaultRun {
    let told = TOLD.iter().filter_map(|(metric, role, name)| {
        let of_metric = |line: &&&Line| line.series.metric == *metric && line.series.role == *role;
        let kinds: Vec<&Line> = lines.iter().filter(of_metric).copied().collect();
        let twins: Option<Vec<f64>> = kinds.iter().map(|line| line.twin).collect();
        let value = kinds.iter().map(|line| line.value).sum();
        let twin = twins.map(|twins| twins.iter().sum());
        (!kinds.is_empty()).then_some(FaultFigure { name, value, twin })
    });
    let figures = told.collect();
    let at = lines
        .iter()
        .map(|line| line.at)
        .max_by(Size::order)
        .unwrap_or_default();
    FaultRun {
        fault,
        distribution,
        at,
        figures,
    }
}

impl FaultRun {
    /// All figures in one line, each with its twin's.
    pub fn told(&self) -> String {
        let one = |told: &FaultFigure| {
            let twin = told.twin.map_or("twin not shown".to_owned(), |twin| {
                format!("twin {}", figure(twin))
            });
            format!("{} {} ({twin})", told.name, figure(told.value))
        };
        let all: Vec<String> = self.figures.iter().map(one).collect();
        all.join("; ")
    }
}
