//! How service comes back after a restart, judged against a twin: the same world, seed, load and faults at hosts with
//! no process of ours killed. Pure: wants and counts go in, times and losses come out.

/// One slice of time, of wants by when they were first asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Slice {
    /// Wants that were first asked for within the slice.
    pub wants: u64,
    /// Served within the latency objective of their first try.
    pub in_time: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Answers of caches.
    pub answers: u64,
    /// Answers from what caches held.
    pub hits: u64,
    /// Connections that hosts closed as too many.
    pub turned_away: u64,
}

/// Milliseconds of a slice.
pub const SLICE: f64 = 500.0;
/// Service counts as full once this many slices in a row are like the twin's: 5 s.
const LASTING: usize = 10;
/// By how much the shares of what came in time and of what was rejected may differ, and the least of the twin's hits.
const WITHIN: f64 = 0.005;
const HITS: f64 = 0.97;

impl Slice {
    fn share(self, of: u64) -> f64 {
        of as f64 / (self.wants.max(1)) as f64
    }

    fn like(self, twin: Slice) -> bool {
        let in_time = twin.share(twin.in_time) - self.share(self.in_time);
        let rejected = self.share(self.rejected) - twin.share(twin.rejected);
        let hits = |slice: Slice| slice.hits as f64 / slice.answers.max(1) as f64;
        in_time <= WITHIN
            && rejected <= WITHIN
            && hits(self) >= HITS * hits(twin)
            && self.turned_away <= twin.turned_away
    }
}

/// How long after `up` (the moment from which all processes run again) service was full; none if it never was for
/// long enough. The slices begin at the same moment as `up` is counted from.
pub fn full_service(played: &[Slice], twin: &[Slice], up: f64) -> Option<f64> {
    let first = (up / SLICE).ceil() as usize;
    let both: Vec<bool> = played
        .iter()
        .zip(twin)
        .map(|(played, twin)| played.like(*twin))
        .collect();
    let starts = first..both.len().saturating_sub(LASTING - 1);
    let full = starts
        .into_iter()
        .find(|from| both[*from..from + LASTING].iter().all(|like| *like))?;
    // One that is like the twin from the first slice on counts from the moment itself.
    Some(if full == first {
        0.0
    } else {
        full as f64 * SLICE - up
    })
}

/// Wants that did not come in time beyond the twin's, by when they were first asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Lost {
    /// Before the kill: in hand when it came.
    pub in_hand: f64,
    /// Between the kill and the moment from which all processes ran again.
    pub while_down: f64,
    /// From that moment on.
    pub after: f64,
}

/// Wants lost beyond the twin's, for processes killed at one moment that all ran again at another.
pub fn lost(played: &[Slice], twin: &[Slice], killed: f64, up: f64) -> Lost {
    let mut lost = Lost::default();
    for (at, (played, twin)) in played.iter().zip(twin).enumerate() {
        let begins = at as f64 * SLICE;
        let missed = |slice: &Slice| slice.wants as f64 - slice.in_time as f64;
        let beyond = missed(played) - missed(twin);
        // The slice that ends with the kill holds what was in hand then, as far as it was lost.
        *if begins + SLICE <= killed {
            &mut lost.in_hand
        } else if begins < up {
            &mut lost.while_down
        } else {
            &mut lost.after
        } += beyond;
    }
    lost
}

/// The median and the worst of some figures; what never came counts as worse than any.
pub fn median_and_worst(figures: &[Option<f64>]) -> [Option<f64>; 2] {
    let mut sorted: Vec<f64> = figures
        .iter()
        .map(|figure| figure.unwrap_or(f64::INFINITY))
        .collect();
    sorted.sort_by(f64::total_cmp);
    let told = |at: usize| sorted.get(at).copied().filter(|figure| figure.is_finite());
    [told(sorted.len() / 2), told(sorted.len().saturating_sub(1))]
}
