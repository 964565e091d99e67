//! Resource usage of processes, as `/proc` reports it (processor time, resident memory, descriptors), and the counters
//! that each process writes to a file.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

/// Clock ticks per second, the unit of processor time in `/proc` on Linux.
const TICKS_PER_S: f64 = 100.0;

/// The resource usage of a process so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time since the start of the process, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Number of open file descriptors.
    pub descriptors: u64,
}

/// Reads the resource usage of a process; `None` once it has ended.
pub fn read_process_usage(process: u32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The name in brackets is the second field, so index 0 is the third; 11 and 12 are user and system time.
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

/// Processor time of the whole machine since its start, in clock ticks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineTime {
    /// Total time, idle time included.
    pub all: u64,
    /// Idle time, including time waiting for disks.
    pub idle: u64,
}

/// Reads the processor time of the machine; `None` where the system does not report it.
pub fn read_machine_time() -> Option<MachineTime> {
    let stat = fs::read_to_string("/proc/stat").ok()?;
    let fields = stat
        .lines()
        .next()?
        .strip_prefix("cpu ")?
        .split_whitespace();
    let ticks: Vec<u64> = fields.map_while(|field| field.parse().ok()).collect();
    // Idle time and time waiting for disks are the fourth and fifth fields; the last two, guest time, are left out of
    // the sum because the first two already include it.
    Some(MachineTime {
        all: ticks.iter().take(8).sum(),
        idle: ticks.get(3)? + ticks.get(4)?,
    })
}

/// One line of a counters file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counters {
    /// Microseconds since the process began to write its counters.
    pub elapsed_us: u64,
    /// The value of each counter, by name.
    pub values: BTreeMap<String, u64>,
}

/// Returns the last complete line of a process's counters file; `None` before the first line is complete.
pub fn last_counters(path: &Path) -> Option<Counters> {
    let text = fs::read_to_string(path).ok()?;
    let line = text[..text.rfind('\n')?].lines().next_back()?;
    let mut values: BTreeMap<String, u64> = serde_json::from_str(line).ok()?;
    let elapsed_us = values.remove("elapsed_us")?;
    Some(Counters { elapsed_us, values })
}

impl Counters {
    /// Returns the rate per second at which each counter has grown since an earlier line.
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
