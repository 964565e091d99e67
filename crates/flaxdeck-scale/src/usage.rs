//! What the system tells of a process: processor time, resident memory, descriptors; and its own counters.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

/// Ticks of processor time a second, as `/proc` counts them on Linux.
const TICKS_PER_S: f64 = 100.0;

/// What a process has taken so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time since its start, in seconds.
    pub cpu_s: f64,
    /// Resident memory.
    pub resident_bytes: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

/// Reads what a process has taken; none once it has ended.
pub fn of(process: u32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // Fields after the name in brackets begin with the third.
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let resident_kb: u64 = resident.split_whitespace().next()?.parse().ok()?;
    let descriptors = fs::read_dir(format!("/proc/{process}/fd")).ok()?.count() as u64;
    Some(Usage {
        cpu_s: ticks / TICKS_PER_S,
        resident_bytes: resident_kb * 1024,
        descriptors,
    })
}

/// Processor time of the whole machine since its start, in ticks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineTime {
    /// Of all kinds.
    pub all: u64,
    /// What nobody used, or what was waited for disks.
    pub idle: u64,
}

/// Reads the processor time of the machine; none where the system does not tell.
pub fn machine() -> Option<MachineTime> {
    let stat = fs::read_to_string("/proc/stat").ok()?;
    let fields = stat
        .lines()
        .next()?
        .strip_prefix("cpu ")?
        .split_whitespace();
    let ticks: Vec<u64> = fields.map_while(|field| field.parse().ok()).collect();
    // Idle, and waiting for disks, stand fourth and fifth; guests, who come last, are counted in the first two.
    Some(MachineTime {
        all: ticks.iter().take(8).sum(),
        idle: ticks.get(3)? + ticks.get(4)?,
    })
}

/// One line of a file of counters.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counters {
    /// Microseconds since the process started.
    pub elapsed_us: u64,
    /// Each counter by its name.
    pub values: BTreeMap<String, u64>,
}

/// The last whole line of a file that a process writes its counters to; none before the first.
pub fn last_counters(path: &Path) -> Option<Counters> {
    let text = fs::read_to_string(path).ok()?;
    let line = text[..text.rfind('\n')?].lines().next_back()?;
    let mut values: BTreeMap<String, u64> = serde_json::from_str(line).ok()?;
    let elapsed_us = values.remove("elapsed_us")?;
    Some(Counters { elapsed_us, values })
}

impl Counters {
    /// How much each counter has grown a second since an earlier line.
    pub fn per_second_since(&self, earlier: &Counters) -> BTreeMap<String, f64> {
        let seconds = self.elapsed_us.saturating_sub(earlier.elapsed_us) as f64 / 1e6;
        let rate = |(name, value): (&String, &u64)| {
            let before = earlier.values.get(name).copied().unwrap_or(0);
            (
                name.clone(),
                value.saturating_sub(before) as f64 / seconds.max(1e-3),
            )
        };
        self.values.iter().map(rate).collect()
    }
}
