//! The target: the fleet size and load for which the control plane is designed, read from an operator's file in
//! S-expressions (`docs/capacity/target.plan`), and the averages computed from it.

use flaxdeck_plan::Fault;
use flaxdeck_plan::form::{Faults, Form, root, take_single};

use crate::fit::nature::Size;

const SECONDS_PER_DAY: f64 = 86_400.0;
const BYTES_PER_MB: f64 = 1e6;

/// The contents of the target file. Every field is required: a default would put a figure on the page that nobody
/// specified.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Target {
    /// Number of dispatchers in the fleet.
    pub dispatchers: f64,
    /// Number of sites with dispatchers.
    pub sites: f64,
    /// Number of cache hosts.
    pub hosts: f64,
    /// Number of regions.
    pub regions: f64,
    /// Number of zones.
    pub zones: f64,
    /// Requests a second of the whole fleet at the peak.
    pub requests_per_s: f64,
    /// Terabits a second to clients at the peak.
    pub tbit_per_s: f64,
    /// Number of different objects requested.
    pub objects: f64,
    /// Purges a second on an ordinary day.
    pub purges_per_s: f64,
    /// Seconds within which a purge has to be complete on all hosts.
    pub purge_within_s: f64,
    /// Changes of configuration a day.
    pub changes_per_day: f64,
    /// Seconds within which a change of configuration has to be in force at all dispatchers.
    pub change_within_s: f64,
    /// Budget of one dispatcher for all control: processor time, in cores.
    pub budget_cores: f64,
    /// Budget of one dispatcher for all control: memory, in megabytes.
    pub budget_memory_mb: f64,
    /// Budget of one dispatcher for all control: bytes a second in both directions together.
    pub budget_bytes_per_s: f64,
    /// Number of machines reserved for control.
    pub machines: f64,
    /// Number of planners that each dispatcher is connected to if the fleet is divided between the machines.
    pub planners_per_dispatcher: f64,
    /// Machines that fail in a day.
    pub failures_per_day: f64,
    /// Dispatchers that are restarted in a day.
    pub restarts_per_day: f64,
    /// Racks that fail in a week.
    pub racks_per_week: f64,
    /// Zones that fail in a month.
    pub zones_per_month: f64,
    /// Number of dispatchers in a rack.
    pub rack_dispatchers: f64,
    /// Seconds within which a rolling restart performs a day's restarts.
    pub rolling_within_s: f64,
    /// Seconds for which a region is cut off.
    pub cut_off_s: f64,
    /// Rate of purges in a purge storm, as a multiple of the ordinary rate.
    pub storm_factor: f64,
    /// Duration of a purge storm in seconds.
    pub storm_s: f64,
}

/// A number in the file: the path of its enclosing forms, its keyword, its bounds, and the field of [`Target`] that it
/// sets.
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
        |target, value| target.planners_per_dispatcher = value,
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
        |target, value| target.storm_factor = value,
    ),
    field(
        &["events", "purge-storm"],
        "for-s",
        SECONDS,
        |target, value| target.storm_s = value,
    ),
];

/// Parses the text of a target file; `file` is the file name used in fault messages.
///
/// # Errors
///
/// Returns all faults of the file, each with its position.
pub fn read(file: &str, text: &str) -> Result<Target, Vec<Fault>> {
    let mut faults = Faults::of(file);
    let mut target = Target::default();
    root(text, "target", &mut faults, |form, faults| {
        fill(&mut target, form, &[], faults)
    });
    faults.into_result(target)
}

/// Reads the fields and nested forms of the form at `path` into `target`.
fn fill(target: &mut Target, form: &Form, path: &[&'static str], faults: &mut Faults) {
    let inner = nested_forms(path);
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
            None => report_missing(form, field.word, faults),
        }
    }
    for word in inner {
        let within: Vec<&'static str> = path.iter().copied().chain([word]).collect();
        match take_single(&mut forms, word, faults) {
            Some(form) => fill(target, &form, &within, faults),
            None => report_missing(form, word, faults),
        }
    }
}

/// Returns the keywords of the forms nested directly in the form at `path`, each once.
fn nested_forms(path: &[&'static str]) -> Vec<&'static str> {
    let within = FIELDS.iter().filter(|field| field.form.starts_with(path));
    let mut words: Vec<&'static str> = within
        .filter_map(|field| field.form.get(path.len()).copied())
        .collect();
    words.dedup();
    words
}

fn report_missing(form: &Form, word: &str, faults: &mut Faults) {
    let what = format!("{word} is missing in ({} ...)", form.word);
    faults.add(
        form.place,
        what,
        "every field of the target file is required; there are no defaults",
        format!("add ({word} ...)"),
    );
}

/// Figures computed from the file.
impl Target {
    /// Returns the events a second: purges and changes of configuration, which share the coordinator's numbering.
    pub fn events_per_s(&self) -> f64 {
        self.purges_per_s + self.changes_per_s()
    }

    /// Returns the changes of configuration a second.
    pub fn changes_per_s(&self) -> f64 {
        self.changes_per_day / SECONDS_PER_DAY
    }

    /// Returns the mean number of seconds between two changes of configuration.
    pub fn change_interval_s(&self) -> f64 {
        SECONDS_PER_DAY / self.changes_per_day
    }

    /// Returns the mean number of requests a second of one dispatcher at the peak.
    pub fn mean_requests_per_s(&self) -> f64 {
        self.requests_per_s / self.dispatchers
    }

    /// Returns the mean number of dispatchers in a site.
    pub fn dispatchers_per_site(&self) -> f64 {
        self.dispatchers / self.sites
    }

    /// Returns the mean number of dispatchers in a region.
    pub fn dispatchers_per_region(&self) -> f64 {
        self.dispatchers / self.regions
    }

    /// Returns the mean number of dispatchers in a zone.
    pub fn dispatchers_per_zone(&self) -> f64 {
        self.dispatchers / self.zones
    }

    /// Returns the mean number of cache hosts in a region.
    pub fn hosts_per_region(&self) -> f64 {
        self.hosts / self.regions
    }

    /// Returns the mean number of cache hosts in a zone.
    pub fn hosts_per_zone(&self) -> f64 {
        self.hosts / self.zones
    }

    /// Returns the purges a second in a purge storm.
    pub fn storm_per_s(&self) -> f64 {
        self.purges_per_s * self.storm_factor
    }

    /// Returns the restarts a second in a rolling restart.
    pub fn rolling_per_s(&self) -> f64 {
        self.restarts_per_day / self.rolling_within_s
    }

    /// Returns the memory budget of one dispatcher for all control, in bytes.
    pub fn budget_memory_bytes(&self) -> f64 {
        self.budget_memory_mb * BYTES_PER_MB
    }

    /// Returns the number of dispatchers connected to one planner if the fleet is divided between the machines.
    pub fn dispatchers_per_planner(&self) -> f64 {
        (self.dispatchers * self.planners_per_dispatcher / self.machines).ceil()
    }

    /// Returns the size at which lines are evaluated if every dispatcher reports to every planner.
    pub fn size(&self) -> Size {
        Size {
            forwarders: self.dispatchers,
            hosts: self.hosts,
            purges: self.purges_per_s,
        }
    }

    /// Returns the size as seen by one planner if the fleet is divided between the machines.
    pub fn size_per_planner(&self) -> Size {
        Size {
            forwarders: self.dispatchers_per_planner(),
            ..self.size()
        }
    }
}
