//! Results of runs with a fault, each next to the result of its twin, the runs without the fault.

use std::collections::BTreeSet;

use super::figures::figure;
use crate::fit::line::Line;
use crate::fit::nature::Size;
use crate::measurement::{Distribution, Metric, Role};

/// The results for one fault under one distribution.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultRun {
    /// The fault, as named in the scale file.
    pub fault: String,
    /// How events were distributed to the forwarders.
    pub distribution: Distribution,
    /// The largest size at which the fault was measured.
    pub at: Size,
    /// The measured figures.
    pub figures: Vec<FaultFigure>,
}

/// A figure of the forwarders, with that of the twin without the fault.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultFigure {
    /// The figure's name on the page.
    pub name: &'static str,
    /// The value with the fault.
    pub value: f64,
    /// The value without the fault, if it was measured.
    pub twin: Option<f64>,
}

/// Which metric of which role the page lists for runs with a fault, and under which name.
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

/// Returns the results of each fault under each distribution, measured at the largest size.
pub fn fault_runs<'a>(lines: impl Iterator<Item = &'a Line> + Clone) -> Vec<FaultRun> {
    let names: BTreeSet<(String, Distribution)> = lines
        .clone()
        .map(|line| (line.series.fault.clone(), line.series.distribution))
        .collect();
    let run = |(fault, distribution): (String, Distribution)| {
        let matching = lines
            .clone()
            .filter(|line| line.series.fault == fault && line.series.distribution == distribution);
        fault_run(fault.clone(), distribution, &matching.collect::<Vec<_>>())
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
    /// Returns all figures as one line of text, each with its twin's.
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
