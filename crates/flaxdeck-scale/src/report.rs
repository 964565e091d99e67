//! Turns the resource usage and counters of processes, and the deliveries logged by forwarders, into rows of results.

use std::collections::BTreeMap;
use std::path::Path;

use crate::delivery::DeliveryOutcome;
use crate::error::RunError;
use crate::measurement::{Distribution, Measurement, Metric, Role};
use crate::scenario::Point;
use crate::usage::{Counters, Usage};

/// Bytes of the IP and TCP headers (with time stamps) of a segment. The estimate assumes that each message takes one
/// segment and one more for the acknowledgement, which is an upper bound while messages are shorter than a segment.
const HEADER_BYTES: f64 = 52.0;
const SEGMENTS_PER_MESSAGE: f64 = 2.0;

/// The kinds of messages whose counters are read.
pub const MESSAGE_KINDS: [&str; 6] = [
    "feed",
    "greetings",
    "reports",
    "guidance",
    "subscriptions",
    "deliveries",
];

/// The metrics of each kind of message, with the suffix of the counter's name.
const TRAFFIC_COUNTERS: [(Metric, &str); 4] = [
    (Metric::BytesInPerS, "bytes_in"),
    (Metric::BytesOutPerS, "bytes_out"),
    (Metric::MessagesInPerS, "messages_in"),
    (Metric::MessagesOutPerS, "messages_out"),
];

/// The fields that all rows of a run have in common.
#[derive(Clone, Debug)]
pub struct RunHeader {
    /// Name of the run: the scale file's name and the seed.
    pub name: String,
    /// Seed of the run's random numbers.
    pub seed: u64,
    /// How events were distributed to the forwarders.
    pub distribution: Distribution,
    /// Size and rates of the run.
    pub point: Point,
    /// `none`, or the fault as named in the scale file.
    pub fault: String,
}

/// Usage and counters of one process over the measurement window.
#[derive(Clone, Debug)]
pub struct ProcessWindow {
    /// Role of the process.
    pub role: Role,
    /// Number of hollow forwarders in the process; 1 for any other process.
    pub instances: u32,
    /// Length of the window.
    pub seconds: f64,
    /// Resource usage at the start of the window.
    pub usage_before: Usage,
    /// Resource usage at the end of the window.
    pub usage_after: Usage,
    /// Counters at the start of the window.
    pub counters_before: Counters,
    /// Counters at the end of the window.
    pub counters_after: Counters,
}

/// Collects the rows of one run.
pub struct RunRows {
    header: RunHeader,
    /// The rows so far.
    pub rows: Vec<Measurement>,
}

impl RunRows {
    /// Creates an empty collection.
    pub fn new(header: RunHeader) -> RunRows {
        RunRows {
            header,
            rows: Vec::new(),
        }
    }

    /// Adds a row; `kind` names the kind of message if the metric has kinds, and is empty otherwise.
    pub fn add(&mut self, role: Role, metric: Metric, kind: &str, value: f64) {
        let header = &self.header;
        self.rows.push(Measurement {
            run: header.name.clone(),
            seed: header.seed,
            distribution: header.distribution,
            hollow_forwarders: header.point.hollow,
            hosts: header.point.hosts,
            purges_per_s: header.point.purges_per_s,
            planners: header.point.planners,
            fault: header.fault.clone(),
            role,
            metric,
            kind: kind.to_owned(),
            value,
        });
    }

    /// Adds the traffic and resource usage of all processes of one role, as the mean of one instance.
    pub fn add_role(&mut self, role: Role, processes: &[ProcessWindow]) {
        let processes: Vec<&ProcessWindow> = processes
            .iter()
            .filter(|process| process.role == role)
            .collect();
        let instances = processes.iter().map(|process| f64::from(process.instances));
        let instances: f64 = instances.sum();
        if instances == 0.0 {
            return;
        }
        let messages = self.add_traffic(role, &counter_rates(&processes, instances));
        let header_bytes = messages * SEGMENTS_PER_MESSAGE * HEADER_BYTES;
        self.add(role, Metric::HeaderBytesPerS, "", header_bytes);
        let mean = |value: fn(&ProcessWindow) -> f64| {
            let sum: f64 = processes.iter().map(|process| value(process)).sum();
            sum / instances
        };
        let cores = mean(|process| {
            (process.usage_after.cpu_s - process.usage_before.cpu_s) / process.seconds
        });
        self.add(role, Metric::Cores, "", cores);
        if messages > 0.0 {
            self.add(role, Metric::MicrosPerMessage, "", cores * 1e6 / messages);
        }
        let resident = mean(|process| process.usage_after.resident_bytes as f64);
        self.add(role, Metric::ResidentBytes, "", resident);
        let descriptors = mean(|process| process.usage_after.descriptors as f64);
        self.add(role, Metric::Descriptors, "", descriptors);
    }

    /// Adds the bytes and messages of each kind, and returns the messages a second of all kinds together.
    fn add_traffic(&mut self, role: Role, rates: &BTreeMap<String, f64>) -> f64 {
        let mut messages = 0.0;
        for kind in MESSAGE_KINDS {
            for (metric, counter) in TRAFFIC_COUNTERS {
                let rate = rates.get(&format!("{kind}_{counter}")).copied();
                let rate = rate.unwrap_or(0.0);
                if matches!(metric, Metric::MessagesInPerS | Metric::MessagesOutPerS) {
                    messages += rate;
                }
                if rate > 0.0 {
                    self.add(role, metric, kind, rate);
                }
            }
        }
        messages
    }

    /// Adds the delays of events at the forwarders of one role, and the numbers of events lost, replaced, duplicated
    /// and out of order.
    pub fn add_delivery(&mut self, role: Role, outcome: &DeliveryOutcome) {
        let ms = |us: u64| us as f64 / 1000.0;
        let delays = &outcome.delays;
        if !delays.is_empty() {
            let median = ms(delays.value_at_quantile(0.5));
            self.add(role, Metric::DelayMedianMs, "", median);
            let p99 = ms(delays.value_at_quantile(0.99));
            self.add(role, Metric::DelayP99Ms, "", p99);
            self.add(role, Metric::DelayWorstMs, "", ms(delays.max()));
        }
        let counts = [
            (Metric::EventsExpected, outcome.expected),
            (Metric::EventsLost, outcome.lost),
            (Metric::EventsReplaced, outcome.replaced),
            (Metric::EventsDoubled, outcome.doubled),
            (
                Metric::EventsOutOfOrder,
                outcome.out_of_order + outcome.unknown,
            ),
        ];
        for (metric, count) in counts {
            self.add(role, metric, "", count as f64);
        }
    }

    /// Returns the sum of one metric over all its kinds; `None` if there is no such row.
    pub fn sum(&self, role: Role, metric: Metric) -> Option<f64> {
        let values = self
            .rows
            .iter()
            .filter(|row| row.role == role && row.metric == metric);
        values.map(|row| row.value).reduce(|sum, value| sum + value)
    }
}

/// Returns the rate of each counter a second, as the mean of one instance.
fn counter_rates(processes: &[&ProcessWindow], instances: f64) -> BTreeMap<String, f64> {
    let mut rates: BTreeMap<String, f64> = BTreeMap::new();
    for process in processes {
        let after = &process.counters_after;
        for (name, rate) in after.per_second_since(&process.counters_before) {
            *rates.entry(name).or_default() += rate / instances;
        }
    }
    rates
}

/// Writes rows as CSV, with the names of the columns first.
///
/// # Errors
///
/// [`RunError::File`] if the folder can't be created or the file can't be written, [`RunError::Csv`] if a row can't be
/// written as CSV.
pub fn write(path: &Path, rows: &[Measurement]) -> Result<(), RunError> {
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder).map_err(RunError::file(path))?;
    }
    let mut writer = csv::Writer::from_path(path).map_err(RunError::csv(path))?;
    for row in rows {
        writer.serialize(row).map_err(RunError::csv(path))?;
    }
    writer.flush().map_err(RunError::file(path))
}
