//! From what was read of the processes and noted by forwarders to rows of results.

use std::collections::BTreeMap;
use std::path::Path;

use crate::delays::Outcome;
use crate::measurement::{Distribution, Measurement, Metric, Role};
use crate::scenario::Point;
use crate::usage::{Counters, Usage};

/// Bytes of the IP and TCP headers (with time stamps) of a segment. Each message is taken to go in a segment of its
/// own and to be acknowledged by another: an estimate, and an upper bound while messages are shorter than a segment.
const HEADER_BYTES: f64 = 52.0;
const SEGMENTS_A_MESSAGE: f64 = 2.0;

/// The kinds of messages whose counters are read.
pub const KINDS: [&str; 6] = [
    "feed",
    "greetings",
    "reports",
    "guidance",
    "subscriptions",
    "deliveries",
];

/// What all rows of a run have in common.
#[derive(Clone, Debug)]
pub struct Run {
    pub name: String,
    pub seed: u64,
    pub distribution: Distribution,
    pub point: Point,
    pub fault: String,
}

/// Two looks at one process, at the beginning and the end of the window.
#[derive(Clone, Debug)]
pub struct Looks {
    pub role: Role,
    /// Hollow forwarders in it; 1 for any other process.
    pub instances: u32,
    pub seconds: f64,
    pub usage: [Usage; 2],
    pub counters: [Counters; 2],
}

/// Rows of one run.
pub struct Rows {
    run: Run,
    pub rows: Vec<Measurement>,
}

impl Rows {
    pub fn of(run: Run) -> Rows {
        Rows {
            run,
            rows: Vec::new(),
        }
    }

    pub fn add(&mut self, role: Role, metric: Metric, kind: &str, value: f64) {
        let Run {
            name,
            seed,
            distribution,
            point,
            fault,
        } = &self.run;
        self.rows.push(Measurement {
            run: name.clone(),
            seed: *seed,
            distribution: *distribution,
            hollow_forwarders: point.hollow,
            hosts: point.hosts,
            purges_per_s: point.purges_per_s,
            planners: point.planners,
            fault: fault.clone(),
            role,
            metric,
            kind: kind.to_owned(),
            value,
        });
    }

    /// What all processes of one role took and moved, as the mean of one instance.
    pub fn add_role(&mut self, role: Role, looks: &[Looks]) {
        let of_role: Vec<&Looks> = looks.iter().filter(|looks| looks.role == role).collect();
        let instances: f64 = of_role.iter().map(|looks| f64::from(looks.instances)).sum();
        if instances == 0.0 {
            return;
        }
        let mean = |of: &dyn Fn(&Looks) -> f64| {
            of_role.iter().map(|looks| of(looks)).sum::<f64>() / instances
        };
        let mut rates: BTreeMap<String, f64> = BTreeMap::new();
        for looks in &of_role {
            for (name, rate) in looks.counters[1].per_second_since(&looks.counters[0]) {
                *rates.entry(name).or_default() += rate / instances;
            }
        }
        let mut messages = 0.0;
        for kind in KINDS {
            for (metric, counted) in [
                (Metric::BytesInPerS, "bytes_in"),
                (Metric::BytesOutPerS, "bytes_out"),
                (Metric::MessagesInPerS, "messages_in"),
                (Metric::MessagesOutPerS, "messages_out"),
            ] {
                let rate = rates
                    .get(&format!("{kind}_{counted}"))
                    .copied()
                    .unwrap_or(0.0);
                let is_messages =
                    matches!(metric, Metric::MessagesInPerS | Metric::MessagesOutPerS);
                messages += if is_messages { rate } else { 0.0 };
                if rate > 0.0 {
                    self.add(role, metric, kind, rate);
                }
            }
        }
        self.add(
            role,
            Metric::HeaderBytesPerS,
            "",
            messages * SEGMENTS_A_MESSAGE * HEADER_BYTES,
        );
        let cores = mean(&|looks| (looks.usage[1].cpu_s - looks.usage[0].cpu_s) / looks.seconds);
        self.add(role, Metric::Cores, "", cores);
        if messages > 0.0 {
            self.add(role, Metric::MicrosPerMessage, "", cores * 1e6 / messages);
        }
        self.add(
            role,
            Metric::ResidentBytes,
            "",
            mean(&|looks| looks.usage[1].resident_bytes as f64),
        );
        self.add(
            role,
            Metric::Descriptors,
            "",
            mean(&|looks| looks.usage[1].descriptors as f64),
        );
    }

    /// What became of events at the forwarders of one role.
    pub fn add_outcome(&mut self, role: Role, outcome: &Outcome) {
        let ms = |us: u64| us as f64 / 1000.0;
        let delays = &outcome.delays;
        if !delays.is_empty() {
            self.add(
                role,
                Metric::DelayMedianMs,
                "",
                ms(delays.value_at_quantile(0.5)),
            );
            self.add(
                role,
                Metric::DelayP99Ms,
                "",
                ms(delays.value_at_quantile(0.99)),
            );
            self.add(role, Metric::DelayWorstMs, "", ms(delays.max()));
        }
        self.add(role, Metric::EventsExpected, "", outcome.expected as f64);
        self.add(role, Metric::EventsLost, "", outcome.lost as f64);
        self.add(role, Metric::EventsReplaced, "", outcome.replaced as f64);
        self.add(role, Metric::EventsDoubled, "", outcome.doubled as f64);
        self.add(
            role,
            Metric::EventsOutOfOrder,
            "",
            (outcome.out_of_order + outcome.unknown) as f64,
        );
    }

    /// The value of one metric over all its kinds; none if there is no such row.
    pub fn sum(&self, role: Role, metric: Metric) -> Option<f64> {
        let values = self
            .rows
            .iter()
            .filter(|row| row.role == role && row.metric == metric);
        values.map(|row| row.value).reduce(|sum, value| sum + value)
    }
}

/// Writes rows as CSV, with a head.
pub fn write(path: &Path, rows: &[Measurement]) -> Result<(), String> {
    let failed = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder).map_err(|error| failed(&error))?;
    }
    let mut writer = csv::Writer::from_path(path).map_err(|error| failed(&error))?;
    for row in rows {
        writer.serialize(row).map_err(|error| failed(&error))?;
    }
    writer.flush().map_err(|error| failed(&error))
}
