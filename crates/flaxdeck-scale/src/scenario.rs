//! The scale file: sizes, rates, times, the way of distribution and a fault, in S-expressions. A file with a fault in
//! its words starts nothing.

use flaxdeck_plan::form::{Faults, Form, root, take_single};
use flaxdeck_plan::{Fault as FileFault, Place};

use crate::measurement::Distribution;

/// The size and the rates of one run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Hollow forwarders.
    pub hollow: u32,
    /// The processes that they are divided between.
    pub processes: u32,
    /// Lines of the coordinator's list.
    pub hosts: u32,
    /// Planners.
    pub planners: u32,
    /// Real forwarders under load.
    pub real: u32,
    /// Purges a second.
    pub purges_per_s: f64,
    /// Hosts a second that begin to drain or are back in service.
    pub host_changes_per_s: f64,
}

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The first planner is killed, and started again when the fault is over.
    PlannerKilled,
    /// The first planner stands still with its connections open.
    PlannerHung,
    /// All hollow forwarders of one process are killed and started again at once.
    RegionRestarted,
    /// The coordinator starts anew and numbers from 1.
    CoordinatorForgets,
    /// The coordinator says nothing, with its connections open.
    CoordinatorSilent,
    /// All connections between the hollow forwarders of one process and the first planner are cut, and refused.
    LinkCut,
    /// The hollow forwarders of one process run for a fifth of each second only.
    SlowReaders,
    /// Purges come ten times as often.
    PurgeStorm,
}

impl FaultKind {
    const ALL: [(FaultKind, &'static str); 8] = [
        (FaultKind::PlannerKilled, "planner-killed"),
        (FaultKind::PlannerHung, "planner-hung"),
        (FaultKind::RegionRestarted, "region-restarted"),
        (FaultKind::CoordinatorForgets, "coordinator-forgets"),
        (FaultKind::CoordinatorSilent, "coordinator-silent"),
        (FaultKind::LinkCut, "link-cut"),
        (FaultKind::SlowReaders, "slow-readers"),
        (FaultKind::PurgeStorm, "purge-storm"),
    ];

    /// Its word in a scale file.
    pub fn word(self) -> &'static str {
        FaultKind::ALL
            .iter()
            .find(|(kind, _)| *kind == self)
            .map_or("", |(_, word)| word)
    }
}

/// When something goes wrong, in seconds from the start of the window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// When it begins.
    pub at_s: f64,
    /// How long it lasts.
    pub lasts_s: f64,
}

/// How long the parts of a run last, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// Events happen and nothing is measured yet.
    pub settle_s: f64,
    /// Figures are taken.
    pub window_s: f64,
    /// No event happens any more, and late ones may come.
    pub drain_s: f64,
}

/// What a scale file says, with the defaults where it says nothing.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// What rows of results bear.
    pub name: String,
    /// The first run's seed.
    pub seed: u64,
    /// Runs of each point, each with a seed of its own.
    pub runs: u32,
    /// Sizes and rates, each with runs of its own.
    pub points: Vec<Point>,
    /// How long the parts of a run last.
    pub times: Times,
    /// Milliseconds between the reports of a forwarder.
    pub report_every_ms: u32,
    /// How events reach the forwarders.
    pub distribution: Distribution,
    /// What goes wrong in the runs with a fault; none if there are none.
    pub fault: Option<Fault>,
}

const TOP: &[&str] = &[
    "name",
    "seed",
    "runs",
    "sizes",
    "rates",
    "point",
    "times",
    "reports-ms",
    "distribution",
    "fault",
];
const SIZES: &[&str] = &["hollow", "processes", "hosts", "planners", "real"];
const RATES: &[&str] = &["purges", "host-changes"];
/// Hollow forwarders of a process, unless the file says how many processes there are.
const FORWARDERS_PER_PROCESS: u32 = 100;

/// Reads a file's text; `file` is the name that faults bear.
///
/// # Errors
///
/// All faults of the file, each with its place.
pub fn read(file: &str, text: &str) -> Result<Scenario, Vec<FileFault>> {
    let mut faults = Faults::of(file);
    let mut scenario = Scenario {
        name: String::new(),
        seed: 1,
        runs: 1,
        points: Vec::new(),
        times: Times {
            settle_s: 2.0,
            window_s: 15.0,
            drain_s: 4.0,
        },
        report_every_ms: 200,
        distribution: Distribution::EachEvent,
        fault: None,
    };
    root(text, "scale", &mut faults, |form, faults| {
        fill(&mut scenario, form, faults)
    });
    faults.into_result(scenario)
}

/// Takes a form that has one number within bounds; what stands already if there is none.
fn number(forms: &mut Vec<Form>, word: &str, bounds: [f64; 2], faults: &mut Faults) -> Option<f64> {
    take_single(forms, word, faults)?.number(bounds[0], bounds[1], faults)
}

fn fill(scenario: &mut Scenario, root: &Form, faults: &mut Faults) {
    let mut forms = root.forms(TOP, faults);
    match take_single(&mut forms, "name", faults) {
        Some(form) => scenario.name = form.text(faults).map(|(text, _)| text).unwrap_or_default(),
        None => missing(
            root.place,
            "name",
            "rows of results bear it",
            "add (name \"hollow\")",
            faults,
        ),
    }
    if let Some(seed) = number(&mut forms, "seed", [0.0, 1e9], faults) {
        scenario.seed = seed as u64;
    }
    if let Some(runs) = number(&mut forms, "runs", [1.0, 20.0], faults) {
        scenario.runs = runs as u32;
    }
    if let Some(every) = number(&mut forms, "reports-ms", [20.0, 5_000.0], faults) {
        scenario.report_every_ms = every as u32;
    }
    if let Some(form) = take_single(&mut forms, "distribution", faults) {
        scenario.distribution = distribution(&form, faults);
    }
    if let Some(form) = take_single(&mut forms, "times", faults) {
        times(&mut scenario.times, &form, faults);
    }
    let base = base_point(&mut forms, faults);
    scenario.fault = take_single(&mut forms, "fault", faults)
        .and_then(|form| fault(scenario.times, &form, faults));
    scenario.points = points(base, &forms, faults);
}

fn distribution(form: &Form, faults: &mut Faults) -> Distribution {
    match form.choice(&["each-event", "digest"], faults) {
        Some("digest") => Distribution::Digest,
        _ => Distribution::EachEvent,
    }
}

/// The sizes and rates that all points have where they say nothing themselves.
fn base_point(forms: &mut Vec<Form>, faults: &mut Faults) -> Point {
    let mut base = Point {
        hollow: 100,
        processes: 0,
        hosts: 100,
        planners: 2,
        real: 0,
        purges_per_s: 33.0,
        host_changes_per_s: 1.0,
    };
    if let Some(form) = take_single(forms, "sizes", faults) {
        sizes(&mut base, &mut form.forms(SIZES, faults), faults);
    }
    if let Some(form) = take_single(forms, "rates", faults) {
        rates(&mut base, &mut form.forms(RATES, faults), faults);
    }
    base
}

/// The points of the file; the base itself if it has none.
fn points(base: Point, forms: &[Form], faults: &mut Faults) -> Vec<Point> {
    let mut points = Vec::new();
    let known: Vec<&str> = [SIZES, RATES].concat();
    for form in forms.iter().filter(|form| form.word == "point") {
        let mut inner = form.forms(&known, faults);
        let mut point = base;
        sizes(&mut point, &mut inner, faults);
        rates(&mut point, &mut inner, faults);
        points.push(point);
    }
    if points.is_empty() {
        points.push(base);
    }
    for point in &mut points {
        if point.processes == 0 {
            point.processes = point.hollow.div_ceil(FORWARDERS_PER_PROCESS).max(1);
        }
    }
    points
}

fn missing(place: Place, word: &str, why: &str, mend: &str, faults: &mut Faults) {
    faults.add(place, format!("{word} is missing"), why, mend);
}

fn sizes(point: &mut Point, forms: &mut Vec<Form>, faults: &mut Faults) {
    let mut take = |word: &str, max: f64, into: &mut u32, min: f64| {
        if let Some(value) = number(forms, word, [min, max], faults) {
            *into = value as u32;
        }
    };
    // Whether a size fits is told by `bounds`, with the bound named.
    take("hollow", 1e6, &mut point.hollow, 1.0);
    take("processes", 1e6, &mut point.processes, 1.0);
    take("hosts", 30_000.0, &mut point.hosts, 1.0);
    take(
        "planners",
        flaxdeck_plan::MAX_PLANNERS as f64,
        &mut point.planners,
        1.0,
    );
    take("real", 100.0, &mut point.real, 0.0);
}

fn rates(point: &mut Point, forms: &mut Vec<Form>, faults: &mut Faults) {
    let mut take = |word: &str, into: &mut f64| {
        if let Some(value) = number(forms, word, [0.0, 10_000.0], faults) {
            *into = value;
        }
    };
    take("purges", &mut point.purges_per_s);
    take("host-changes", &mut point.host_changes_per_s);
}

fn times(times: &mut Times, form: &Form, faults: &mut Faults) {
    let mut inner = form.forms(&["settle-s", "window-s", "drain-s"], faults);
    let mut take = |word: &str, min: f64, into: &mut f64| {
        if let Some(value) = number(&mut inner, word, [min, 120.0], faults) {
            *into = value;
        }
    };
    take("settle-s", 0.5, &mut times.settle_s);
    take("window-s", 1.0, &mut times.window_s);
    take("drain-s", 1.0, &mut times.drain_s);
}

fn fault(times: Times, form: &Form, faults: &mut Faults) -> Option<Fault> {
    let mut inner = form.forms(&["kind", "at-s", "lasts-s"], faults);
    let words = FaultKind::ALL.map(|(_, word)| word);
    let Some(kind) = take_single(&mut inner, "kind", faults) else {
        missing(
            form.place,
            "kind",
            "nothing would go wrong",
            "add (kind planner-killed)",
            faults,
        );
        return None;
    };
    let word = kind.choice(&words, faults);
    let at_s = number(&mut inner, "at-s", [0.0, 120.0], faults).unwrap_or(times.window_s / 3.0);
    let lasts_s =
        number(&mut inner, "lasts-s", [0.0, 120.0], faults).unwrap_or(times.window_s / 3.0);
    if at_s + lasts_s > times.window_s {
        let what = format!(
            "a fault from {at_s} s for {lasts_s} s in a window of {} s",
            times.window_s
        );
        faults.add(
            form.place,
            what,
            "its end would not be measured",
            "lengthen window-s or shorten lasts-s",
        );
    }
    let kind = FaultKind::ALL
        .iter()
        .find(|(_, other)| Some(*other) == word)?
        .0;
    Some(Fault {
        kind,
        at_s,
        lasts_s,
    })
}
