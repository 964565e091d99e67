//! Reads scale files: sizes, rates, times, the distribution of events and a fault to inject, in S-expressions. An
//! invalid file is rejected as a whole, so that it starts no run.

use flaxdeck_plan::form::{Faults, Form, root, take_single};
use flaxdeck_plan::{Fault as FileFault, Place};

use crate::measurement::Distribution;

/// The size and the rates of one run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The number of hollow forwarders.
    pub hollow: u32,
    /// The number of processes that the hollow forwarders are divided between.
    pub processes: u32,
    /// The number of generated hosts in the coordinator's endpoint list.
    pub hosts: u32,
    /// The number of planners.
    pub planners: u32,
    /// The number of real forwarders, which serve load.
    pub real: u32,
    /// Purges per second.
    pub purges_per_s: f64,
    /// Host changes per second: a host begins to drain or is back in service.
    pub host_changes_per_s: f64,
}

/// The kinds of faults that a run can inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The first planner is killed, and restarted at the end of the fault.
    PlannerKilled,
    /// The first planner is stopped by a signal, with its connections open.
    PlannerHung,
    /// All hollow forwarders of the first process are killed, and as many are started at once.
    RegionRestarted,
    /// The coordinator starts a new numbering, from 1 on.
    CoordinatorForgets,
    /// The coordinator sends nothing, with its connections open.
    CoordinatorSilent,
    /// All connections between the hollow forwarders of the first process and the first planner are cut, and new ones
    /// are refused.
    LinkCut,
    /// The hollow forwarders of the first process run for only a fifth of each second.
    SlowReaders,
    /// The rate of purges is ten times as high.
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

    /// Returns its name in a scale file.
    pub fn word(self) -> &'static str {
        FaultKind::ALL
            .iter()
            .find(|(kind, _)| *kind == self)
            .map_or("", |(_, word)| word)
    }
}

/// A fault to inject, with times in seconds from the start of the window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// When it begins.
    pub at_s: f64,
    /// How long it lasts.
    pub lasts_s: f64,
}

/// How long the parts of a run last, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// Time with events and load, before the measurement.
    pub settle_s: f64,
    /// The measurement window.
    pub window_s: f64,
    /// Time without new events, in which late ones arrive.
    pub drain_s: f64,
}

/// The content of a scale file, with defaults for what it leaves out.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// The name in the result rows.
    pub name: String,
    /// The seed of the first run.
    pub seed: u64,
    /// The number of runs of each point, each with a seed of its own.
    pub runs: u32,
    /// The points, that is sizes and rates, each with runs of its own.
    pub points: Vec<Point>,
    /// How long the parts of a run last.
    pub times: Times,
    /// Milliseconds between the reports of a forwarder.
    pub report_every_ms: u32,
    /// How events reach the forwarders.
    pub distribution: Distribution,
    /// The fault of the runs with a fault; `None` if there are no such runs.
    pub fault: Option<Fault>,
}

/// The forms of a scale file.
const SCENARIO_FORMS: &[&str] = &[
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
/// The forms of `sizes`.
const SIZE_FORMS: &[&str] = &["hollow", "processes", "hosts", "planners", "real"];
/// The forms of `rates`.
const RATE_FORMS: &[&str] = &["purges", "host-changes"];
/// Number of hollow forwarders per process, unless the file sets the number of processes.
const FORWARDERS_PER_PROCESS: u32 = 100;

/// Parses the text of a scale file; `file` is the name to report in faults.
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
        read_scenario(&mut scenario, form, faults)
    });
    faults.into_result(scenario)
}

/// Takes the form of that word from `forms` and returns its number; `None` if there is no such form. A number out of
/// bounds is a fault.
fn take_number(
    forms: &mut Vec<Form>,
    word: &str,
    bounds: [f64; 2],
    faults: &mut Faults,
) -> Option<f64> {
    take_single(forms, word, faults)?.number(bounds[0], bounds[1], faults)
}

fn read_scenario(scenario: &mut Scenario, root: &Form, faults: &mut Faults) {
    let mut forms = root.forms(SCENARIO_FORMS, faults);
    match take_single(&mut forms, "name", faults) {
        Some(form) => scenario.name = form.text(faults).map(|(text, _)| text).unwrap_or_default(),
        None => add_missing(
            root.place,
            "name",
            "result rows contain it",
            "add (name \"hollow\")",
            faults,
        ),
    }
    if let Some(seed) = take_number(&mut forms, "seed", [0.0, 1e9], faults) {
        scenario.seed = seed as u64;
    }
    if let Some(runs) = take_number(&mut forms, "runs", [1.0, 20.0], faults) {
        scenario.runs = runs as u32;
    }
    if let Some(every) = take_number(&mut forms, "reports-ms", [20.0, 5_000.0], faults) {
        scenario.report_every_ms = every as u32;
    }
    if let Some(form) = take_single(&mut forms, "distribution", faults) {
        scenario.distribution = read_distribution(&form, faults);
    }
    if let Some(form) = take_single(&mut forms, "times", faults) {
        read_times(&mut scenario.times, &form, faults);
    }
    let base = read_base_point(&mut forms, faults);
    scenario.fault = take_single(&mut forms, "fault", faults)
        .and_then(|form| read_fault(scenario.times, &form, faults));
    scenario.points = read_points(base, &forms, faults);
}

fn read_distribution(form: &Form, faults: &mut Faults) -> Distribution {
    match form.choice(&["each-event", "digest"], faults) {
        Some("digest") => Distribution::Digest,
        _ => Distribution::EachEvent,
    }
}

/// Reads the sizes and rates of all points that don't set their own.
fn read_base_point(forms: &mut Vec<Form>, faults: &mut Faults) -> Point {
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
        read_sizes(&mut base, &mut form.forms(SIZE_FORMS, faults), faults);
    }
    if let Some(form) = take_single(forms, "rates", faults) {
        read_rates(&mut base, &mut form.forms(RATE_FORMS, faults), faults);
    }
    base
}

/// Reads the points of the file; without any, the base is the only point.
fn read_points(base: Point, forms: &[Form], faults: &mut Faults) -> Vec<Point> {
    let mut points = Vec::new();
    let known: Vec<&str> = [SIZE_FORMS, RATE_FORMS].concat();
    for form in forms.iter().filter(|form| form.word == "point") {
        let mut inner = form.forms(&known, faults);
        let mut point = base;
        read_sizes(&mut point, &mut inner, faults);
        read_rates(&mut point, &mut inner, faults);
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

fn add_missing(place: Place, word: &str, why: &str, remedy: &str, faults: &mut Faults) {
    faults.add(place, format!("{word} is missing"), why, remedy);
}

fn read_sizes(point: &mut Point, forms: &mut Vec<Form>, faults: &mut Faults) {
    let mut take = |word: &str, max: f64, into: &mut u32, min: f64| {
        if let Some(value) = take_number(forms, word, [min, max], faults) {
            *into = value as u32;
        }
    };
    // Whether the machine can hold a size is checked by `bounds`, which names the bound.
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

fn read_rates(point: &mut Point, forms: &mut Vec<Form>, faults: &mut Faults) {
    let mut take = |word: &str, into: &mut f64| {
        if let Some(value) = take_number(forms, word, [0.0, 10_000.0], faults) {
            *into = value;
        }
    };
    take("purges", &mut point.purges_per_s);
    take("host-changes", &mut point.host_changes_per_s);
}

fn read_times(times: &mut Times, form: &Form, faults: &mut Faults) {
    let mut inner = form.forms(&["settle-s", "window-s", "drain-s"], faults);
    let mut take = |word: &str, min: f64, into: &mut f64| {
        if let Some(value) = take_number(&mut inner, word, [min, 120.0], faults) {
            *into = value;
        }
    };
    take("settle-s", 0.5, &mut times.settle_s);
    take("window-s", 1.0, &mut times.window_s);
    take("drain-s", 1.0, &mut times.drain_s);
}

fn read_fault(times: Times, form: &Form, faults: &mut Faults) -> Option<Fault> {
    let mut inner = form.forms(&["kind", "at-s", "lasts-s"], faults);
    let words = FaultKind::ALL.map(|(_, word)| word);
    let Some(kind) = take_single(&mut inner, "kind", faults) else {
        add_missing(
            form.place,
            "kind",
            "no fault would be injected",
            "add (kind planner-killed)",
            faults,
        );
        return None;
    };
    let word = kind.choice(&words, faults);
    let at_s =
        take_number(&mut inner, "at-s", [0.0, 120.0], faults).unwrap_or(times.window_s / 3.0);
    let lasts_s =
        take_number(&mut inner, "lasts-s", [0.0, 120.0], faults).unwrap_or(times.window_s / 3.0);
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
