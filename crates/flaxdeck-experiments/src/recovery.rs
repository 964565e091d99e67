//! How service recovers after a restart, compared with a twin: a run with the same world, seed, load and faults at
//! hosts in which none of the fleet's own processes is killed. Pure functions from counts to times and losses.

/// The length of a slice in milliseconds.
pub const SLICE_MS: f64 = 500.0;
/// Service counts as full from the first of this many consecutive slices (5 s) that are as good as the twin's.
const MIN_GOOD_SLICES: usize = 10;
/// How much worse than the twin's the in-time fraction and the rejected fraction of a good slice may be.
const FRACTION_TOLERANCE: f64 = 0.005;
/// The minimum hit ratio of a good slice, as a fraction of the twin's hit ratio.
const MIN_HIT_RATIO: f64 = 0.97;

/// The counts of one slice of time. An operation belongs to the slice in which its first request was due.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Slice {
    /// Operations that began in the slice.
    pub operations: u64,
    /// Operations of the slice that were served within the latency objective of their first request.
    pub in_time: u64,
    /// Operations of the slice whose final result was a rejection.
    pub rejected: u64,
    /// Answers that caches sent.
    pub cache_answers: u64,
    /// Answers that caches served from a cached copy.
    pub cache_hits: u64,
    /// Connections that hosts closed because they had too many.
    pub refused_connections: u64,
}

impl Slice {
    /// Returns the fraction of the operations that were in time.
    pub fn in_time_fraction(&self) -> f64 {
        self.in_time as f64 / self.operations.max(1) as f64
    }

    /// Returns the fraction of the caches' answers that were hits.
    pub fn hit_ratio(&self) -> f64 {
        self.cache_hits as f64 / self.cache_answers.max(1) as f64
    }

    fn rejected_fraction(&self) -> f64 {
        self.rejected as f64 / self.operations.max(1) as f64
    }

    fn not_in_time(&self) -> f64 {
        self.operations as f64 - self.in_time as f64
    }

    fn is_as_good_as(&self, twin: &Slice) -> bool {
        twin.in_time_fraction() - self.in_time_fraction() <= FRACTION_TOLERANCE
            && self.rejected_fraction() - twin.rejected_fraction() <= FRACTION_TOLERANCE
            && self.hit_ratio() >= MIN_HIT_RATIO * twin.hit_ratio()
            && self.refused_connections <= twin.refused_connections
    }
}

/// Returns the time from `up_ms`, when all processes were running again, until service was full, in milliseconds;
/// `None` if it never was for long enough. `up_ms` is counted from the beginning of the first slice.
pub fn time_to_full_service(run: &[Slice], twin: &[Slice], up_ms: f64) -> Option<f64> {
    let first = (up_ms / SLICE_MS).ceil() as usize;
    let pairs = run.iter().zip(twin);
    let good: Vec<bool> = pairs.map(|(run, twin)| run.is_as_good_as(twin)).collect();
    let mut starts = first..good.len().saturating_sub(MIN_GOOD_SLICES - 1);
    let full_from = starts.find(|start| {
        good[*start..start + MIN_GOOD_SLICES]
            .iter()
            .all(|good| *good)
    })?;
    if full_from == first {
        // Slices have been as good as the twin's since the first one after `up_ms`: no time was lost.
        Some(0.0)
    } else {
        Some(full_from as f64 * SLICE_MS - up_ms)
    }
}

/// The number of operations that were not in time, in excess of the twin's, by when they began.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExcessLosses {
    /// Operations that began before the processes were killed, and were in flight then.
    pub in_flight: f64,
    /// Operations that began between the kill and the time at which all processes were running again.
    pub while_down: f64,
    /// Operations that began after that.
    pub after_restart: f64,
}

/// Returns the losses in excess of the twin's. `killed_ms` and `up_ms` are the times at which processes were killed and
/// at which all were running again, in milliseconds from the beginning of the first slice.
pub fn excess_losses(run: &[Slice], twin: &[Slice], killed_ms: f64, up_ms: f64) -> ExcessLosses {
    let mut losses = ExcessLosses::default();
    for (index, (run, twin)) in run.iter().zip(twin).enumerate() {
        let begins_ms = index as f64 * SLICE_MS;
        let excess = run.not_in_time() - twin.not_in_time();
        // Excess losses in slices that end by the kill are operations that were in flight when it came.
        if begins_ms + SLICE_MS <= killed_ms {
            losses.in_flight += excess;
        } else if begins_ms < up_ms {
            losses.while_down += excess;
        } else {
            losses.after_restart += excess;
        }
    }
    losses
}

/// The median and the worst of several times. `None` stands for an event that never happened, which is worse than any
/// time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MedianAndWorst {
    /// The median, in the unit of the times.
    pub median: Option<f64>,
    /// The largest time, in the unit of the times.
    pub worst: Option<f64>,
}

/// Returns the median and the worst of several times.
pub fn median_and_worst(times: &[Option<f64>]) -> MedianAndWorst {
    let times = times.iter().map(|time| time.unwrap_or(f64::INFINITY));
    let mut sorted: Vec<f64> = times.collect();
    sorted.sort_by(f64::total_cmp);
    let time_at = |index: usize| sorted.get(index).copied().filter(|time| time.is_finite());
    MedianAndWorst {
        median: time_at(sorted.len() / 2),
        worst: time_at(sorted.len().saturating_sub(1)),
    }
}
