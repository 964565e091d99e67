//! How service comes back after a restart, judged against a twin: the same world, seed, load and faults at hosts with
//! no process of ours killed. Pure: counts go in, times and losses come out.

/// Milliseconds of a slice.
pub const SLICE_MS: f64 = 500.0;
/// Service counts as full once this many slices in a row are like the twin's: 5 s.
const FULL_SLICES: usize = 10;
/// By how much the fractions that were in time, and those that were rejected, may be worse than the twin's.
const FRACTION_TOLERANCE: f64 = 0.005;
/// The hit ratio that counts as full, as a fraction of the twin's.
const MIN_HIT_RATIO: f64 = 0.97;

/// One slice of time. Operations belong to the slice in which their first request was due.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Slice {
    /// Operations that began within the slice.
    pub operations: u64,
    /// Those of them that were served within the latency objective of their first request.
    pub in_time: u64,
    /// Those of them that were rejected in the end.
    pub rejected: u64,
    /// Answers of caches.
    pub cache_answers: u64,
    /// Answers from what caches held.
    pub cache_hits: u64,
    /// Connections that hosts closed as too many.
    pub refused_connections: u64,
}

impl Slice {
    /// The fraction of the operations that were in time.
    pub fn in_time_fraction(&self) -> f64 {
        self.in_time as f64 / self.operations.max(1) as f64
    }

    /// The fraction of the caches' answers that were hits.
    pub fn hit_ratio(&self) -> f64 {
        self.cache_hits as f64 / self.cache_answers.max(1) as f64
    }

    fn rejected_fraction(&self) -> f64 {
        self.rejected as f64 / self.operations.max(1) as f64
    }

    fn missed(&self) -> f64 {
        self.operations as f64 - self.in_time as f64
    }

    fn is_as_good_as(&self, twin: &Slice) -> bool {
        twin.in_time_fraction() - self.in_time_fraction() <= FRACTION_TOLERANCE
            && self.rejected_fraction() - twin.rejected_fraction() <= FRACTION_TOLERANCE
            && self.hit_ratio() >= MIN_HIT_RATIO * twin.hit_ratio()
            && self.refused_connections <= twin.refused_connections
    }
}

/// Milliseconds after `up_ms` (the moment from which all processes run again) until service was full; none if it never
/// was for long enough. The first slice begins at the moment that `up_ms` is counted from.
pub fn time_to_full_service(run: &[Slice], twin: &[Slice], up_ms: f64) -> Option<f64> {
    let first = (up_ms / SLICE_MS).ceil() as usize;
    let pairs = run.iter().zip(twin);
    let good: Vec<bool> = pairs.map(|(run, twin)| run.is_as_good_as(twin)).collect();
    let mut starts = first..good.len().saturating_sub(FULL_SLICES - 1);
    let full = starts.find(|start| good[*start..start + FULL_SLICES].iter().all(|good| *good))?;
    if full == first {
        // One that is as good as the twin from the first slice on counts from the moment itself.
        Some(0.0)
    } else {
        Some(full as f64 * SLICE_MS - up_ms)
    }
}

/// Operations that were not in time beyond the twin's, by when they began.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExcessLosses {
    /// Before the kill: in flight when it came.
    pub in_flight: f64,
    /// Between the kill and the moment from which all processes ran again.
    pub while_down: f64,
    /// From that moment on.
    pub after_restart: f64,
}

/// What was lost beyond the twin, for processes that were killed and ran again at these milliseconds of the first slice's
/// beginning.
pub fn excess_losses(run: &[Slice], twin: &[Slice], killed_ms: f64, up_ms: f64) -> ExcessLosses {
    let mut losses = ExcessLosses::default();
    for (index, (run, twin)) in run.iter().zip(twin).enumerate() {
        let begins_ms = index as f64 * SLICE_MS;
        let excess = run.missed() - twin.missed();
        // The slice that ends with the kill holds what was in flight then, as far as it was lost.
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

/// The median and the worst of some times; none stands for a time that never came, which is worse than any.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MedianAndWorst {
    /// The median, in the times' unit.
    pub median: Option<f64>,
    /// The worst.
    pub worst: Option<f64>,
}

/// The median and the worst of some times.
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
