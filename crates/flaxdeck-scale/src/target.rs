//! The size that the control plane is designed for, read from an operator's file in S-expressions
//! (`docs/capacity/target.plan`), with the means that follow from it.

use flaxdeck_plan::Fault;
use flaxdeck_plan::form::{Faults, Form, root, take_single};

use crate::fit::nature::Size;

const SECONDS_A_DAY: f64 = 86_400.0;
const BYTES_A_MB: f64 = 1e6;

/// What the file says. All of it has to be there: a default would be a figure that nobody wrote down.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Target {
    /// Dispatchers of the whole fleet.
    pub dispatchers: f64,
    /// Sites that they stand in.
    pub sites: f64,
    /// Cache hosts.
    pub hosts: f64,
    /// Regions.
    pub regions: f64,
    /// Zones.
    pub zones: f64,
    /// Requests a second over the whole fleet at the peak.
    pub requests_per_s: f64,
    /// Terabits a second to clients at the peak.
    pub tbit_per_s: f64,
    /// Objects that are asked for.
    pub objects: f64,
    /// Purges a second on an ordinary day.
    pub purges_per_s: f64,
    /// Seconds within which a purge is done everywhere.
    pub purge_within_s: f64,
    /// Changes of configuration.
    pub changes_per_day: f64,
    /// Seconds within which a change is in force everywhere.
    pub change_within_s: f64,
    /// The fraction of a core of one dispatcher for all control.
    pub budget_cores: f64,
    /// Megabytes of one dispatcher for all control.
    pub budget_memory_mb: f64,
    /// Bytes a second of one dispatcher for all control, both ways.
    pub budget_bytes_per_s: f64,
    /// Machines set aside for control.
    pub machines: f64,
    /// Planners that each dispatcher converses with where the fleet is divided between the machines.
    pub planners_each: f64,
    /// Machines that fail.
    pub failures_per_day: f64,
    /// Dispatchers that are restarted.
    pub restarts_per_day: f64,
    /// Racks that are lost.
    pub racks_per_week: f64,
    /// Zones that are lost.
    pub zones_per_month: f64,
    /// Dispatchers of a rack.
    pub rack_dispatchers: f64,
    /// Seconds in which a day's restarts come in a rolling restart.
    pub rolling_within_s: f64,
    /// Seconds for which a region is cut off.
    pub cut_off_s: f64,
    /// Times the usual rate of purges in a storm.
    pub storm_times: f64,
    /// Seconds that a storm lasts.
    pub storm_s: f64,
}

/// A number of the file: the form it stands in, its word, its bounds and its place.
struct Field {
    form: &'static [&'static str],
    word: &'static str,
    min: f64,
    max: f64,
    set: fn(&mut Target, f64),
}

const fn field(
    form: &'static [&'static str],
    word: &'static str,
    bounds: (f64, f64),
    set: fn(&mut Target, f64),
) -> Field {
    Field {
        form,
        word,
        min: bounds.0,
        max: bounds.1,
        set,
    }
}

const COUNT: (f64, f64) = (1.0, 1e12);
const RATE: (f64, f64) = (0.0, 1e12);
const SECONDS: (f64, f64) = (0.001, 1e6);

const FIELDS: &[Field] = &[
    field(&["fleet"], "dispatchers", COUNT, |target, value| {
        target.dispatchers = value
    }),
    field(&["fleet"], "sites", COUNT, |target, value| {
        target.sites = value
    }),
    field(&["fleet"], "hosts", COUNT, |target, value| {
        target.hosts = value
    }),
    field(&["fleet"], "regions", COUNT, |target, value| {
        target.regions = value
    }),
    field(&["fleet"], "zones", COUNT, |target, value| {
        target.zones = value
    }),
    field(&["load"], "requests-per-s", RATE, |target, value| {
        target.requests_per_s = value
    }),
    field(&["load"], "tbit-per-s", RATE, |target, value| {
        target.tbit_per_s = value
    }),
    field(&["load"], "objects", COUNT, |target, value| {
        target.objects = value
    }),
    field(&["purges"], "per-s", RATE, |target, value| {
        target.purges_per_s = value
    }),
    field(&["purges"], "within-s", SECONDS, |target, value| {
        target.purge_within_s = value
    }),
    field(&["changes"], "per-day", COUNT, |target, value| {
        target.changes_per_day = value
    }),
    field(&["changes"], "within-s", SECONDS, |target, value| {
        target.change_within_s = value
    }),
    field(&["budget"], "core-share", (0.0001, 1.0), |target, value| {
        target.budget_cores = value
    }),
    field(&["budget"], "memory-mb", COUNT, |target, value| {
        target.budget_memory_mb = value
    }),
    field(&["budget"], "bytes-per-s", COUNT, |target, value| {
        target.budget_bytes_per_s = value
    }),
    field(&["budget"], "machines", COUNT, |target, value| {
        target.machines = value
    }),
    field(
        &["planners"],
        "each-dispatcher",
        (1.0, 64.0),
        |target, value| target.planners_each = value,
    ),
    field(&["failures"], "machines-per-day", RATE, |target, value| {
        target.failures_per_day = value
    }),
    field(&["failures"], "restarts-per-day", RATE, |target, value| {
        target.restarts_per_day = value
    }),
    field(&["failures"], "racks-per-week", RATE, |target, value| {
        target.racks_per_week = value
    }),
    field(&["failures"], "zones-per-month", RATE, |target, value| {
        target.zones_per_month = value
    }),
    field(
        &["events", "rack"],
        "dispatchers",
        COUNT,
        |target, value| target.rack_dispatchers = value,
    ),
    field(
        &["events", "rolling-restart"],
        "within-s",
        SECONDS,
        |target, value| target.rolling_within_s = value,
    ),
    field(
        &["events", "region-cut-off"],
        "for-s",
        SECONDS,
        |target, value| target.cut_off_s = value,
    ),
    field(
        &["events", "purge-storm"],
        "times",
        (1.0, 1e6),
        |target, value| target.storm_times = value,
    ),
    field(
        &["events", "purge-storm"],
        "for-s",
        SECONDS,
        |target, value| target.storm_s = value,
    ),
];

/// Reads a file's text; `file` is the name that faults bear.
///
/// # Errors
///
/// All faults of the file, each with its place.
pub fn read(file: &str, text: &str) -> Result<Target, Vec<Fault>> {
    let mut faults = Faults::of(file);
    let mut target = Target::default();
    root(text, "target", &mut faults, |form, faults| {
        fill(&mut target, form, &[], faults)
    });
    faults.into_result(target)
}

/// Fills in what stands in a form that is reached by `path`.
fn fill(target: &mut Target, form: &Form, path: &[&'static str], faults: &mut Faults) {
    let inner = inner_forms(path);
    let fields: Vec<&Field> = FIELDS.iter().filter(|field| field.form == path).collect();
    let words: Vec<&str> = inner
        .iter()
        .copied()
        .chain(fields.iter().map(|field| field.word))
        .collect();
    let mut forms = form.forms(&words, faults);
    for field in fields {
        match take_single(&mut forms, field.word, faults) {
            Some(form) => {
                let value = form.number(field.min, field.max, faults);
                if let Some(value) = value {
                    (field.set)(target, value);
                }
            }
            None => missing(form, field.word, faults),
        }
    }
    for word in inner {
        let within: Vec<&'static str> = path.iter().copied().chain([word]).collect();
        match take_single(&mut forms, word, faults) {
            Some(form) => fill(target, &form, &within, faults),
            None => missing(form, word, faults),
        }
    }
}

/// The words of forms that stand directly within a path, each once.
fn inner_forms(path: &[&'static str]) -> Vec<&'static str> {
    let within = FIELDS.iter().filter(|field| field.form.starts_with(path));
    let mut words: Vec<&'static str> = within
        .filter_map(|field| field.form.get(path.len()).copied())
        .collect();
    words.dedup();
    words
}

fn missing(form: &Form, word: &str, faults: &mut Faults) {
    let what = format!("{word} is missing in ({} ...)", form.word);
    faults.add(
        form.place,
        what,
        "the page would have no figure for it",
        format!("add ({word} ...)"),
    );
}

/// What follows from the file.
impl Target {
    /// Changes and purges together, which share the coordinator's numbering.
    pub fn events_per_s(&self) -> f64 {
        self.purges_per_s + self.changes_per_s()
    }

    /// Changes of configuration a second.
    pub fn changes_per_s(&self) -> f64 {
        self.changes_per_day / SECONDS_A_DAY
    }

    /// Seconds between two changes of configuration.
    pub fn change_each_s(&self) -> f64 {
        SECONDS_A_DAY / self.changes_per_day
    }

    /// Requests a second of one dispatcher, on average at the peak.
    pub fn requests_each_per_s(&self) -> f64 {
        self.requests_per_s / self.dispatchers
    }

    /// Dispatchers of one site.
    pub fn dispatchers_a_site(&self) -> f64 {
        self.dispatchers / self.sites
    }

    /// Dispatchers of one region.
    pub fn dispatchers_a_region(&self) -> f64 {
        self.dispatchers / self.regions
    }

    /// Dispatchers of one zone.
    pub fn dispatchers_a_zone(&self) -> f64 {
        self.dispatchers / self.zones
    }

    /// Cache hosts of one region.
    pub fn hosts_a_region(&self) -> f64 {
        self.hosts / self.regions
    }

    /// Cache hosts of one zone.
    pub fn hosts_a_zone(&self) -> f64 {
        self.hosts / self.zones
    }

    /// Purges a second in a storm.
    pub fn storm_per_s(&self) -> f64 {
        self.purges_per_s * self.storm_times
    }

    /// Restarts a second in a rolling restart.
    pub fn rolling_per_s(&self) -> f64 {
        self.restarts_per_day / self.rolling_within_s
    }

    /// Bytes of memory of one dispatcher for all control.
    pub fn budget_memory_bytes(&self) -> f64 {
        self.budget_memory_mb * BYTES_A_MB
    }

    /// Dispatchers that converse with one planner where the fleet is divided between the machines.
    pub fn dispatchers_a_planner(&self) -> f64 {
        (self.dispatchers * self.planners_each / self.machines).ceil()
    }

    /// The size at which a line is read off where every planner hears every dispatcher.
    pub fn size(&self) -> Size {
        Size {
            forwarders: self.dispatchers,
            hosts: self.hosts,
            purges: self.purges_per_s,
        }
    }

    /// The same where the fleet is divided between the machines.
    pub fn size_of_a_group(&self) -> Size {
        Size {
            forwarders: self.dispatchers_a_planner(),
            ..self.size()
        }
    }
}
