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

/// A figure of a run with a fault that the page names.
struct FigureDefinition {
    metric: Metric,
    role: Role,
    name: &'static str,
}

const fn figure_of(metric: Metric, role: Role, name: &'static str) -> FigureDefinition {
    FigureDefinition { metric, role, name }
}

const FIGURES: [FigureDefinition; 9] = [
    figure_of(Metric::EventsLost, Role::HollowForwarder, "events lost"),
    figure_of(
        Metric::EventsReplaced,
        Role::HollowForwarder,
        "covered by a whole list",
    ),
    figure_of(Metric::EventsDoubled, Role::HollowForwarder, "doubled"),
    figure_of(
        Metric::EventsOutOfOrder,
        Role::HollowForwarder,
        "out of order",
    ),
    figure_of(
        Metric::DelayMedianMs,
        Role::HollowForwarder,
        "median delay, ms",
    ),
    figure_of(
        Metric::DelayWorstMs,
        Role::HollowForwarder,
        "worst delay, ms",
    ),
    figure_of(Metric::ServedShare, Role::RealForwarder, "share served"),
    figure_of(
        Metric::ServiceP99Ms,
        Role::RealForwarder,
        "service at the 99th percentile, ms",
    ),
    figure_of(Metric::RulesBroken, Role::RealForwarder, "rules broken"),
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
    let figures = FIGURES.iter().filter_map(|definition| {
        let FigureDefinition { metric, role, name } = *definition;
        let of_metric = |line: &&&Line| line.series.metric == metric && line.series.role == role;
        let kinds: Vec<&Line> = lines.iter().filter(of_metric).copied().collect();
        let twins: Option<Vec<f64>> = kinds.iter().map(|line| line.twin).collect();
        let value = kinds.iter().map(|line| line.value).sum();
        let twin = twins.map(|twins| twins.iter().sum());
        (!kinds.is_empty()).then_some(FaultFigure { name, value, twin })
    });
    let at = lines
        .iter()
        .map(|line| line.at)
        .max_by(Size::order)
        .unwrap_or_default();
    FaultRun {
        fault,
        distribution,
        at,
        figures: figures.collect(),
    }
}

impl FaultRun {
    /// All figures in one line, each with its twin's.
    pub fn summary(&self) -> String {
        let one = |measured: &FaultFigure| {
            let twin = measured.twin.map_or("twin not shown".to_owned(), |twin| {
                format!("twin {}", figure(twin))
            });
            format!("{} {} ({twin})", measured.name, figure(measured.value))
        };
        let all: Vec<String> = self.figures.iter().map(one).collect();
        all.join("; ")
    }
}
