//! How much of a cold host's overload limit was used on average.

use crate::{InvariantTerms, RecordEntry, RecordedEvent};

/// The times at which a host's load is sampled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SamplingPeriod {
    /// The time of the first sample, in milliseconds after the host's start.
    pub after_start_ms: f64,
    /// The time of the record after which no sample is taken, in milliseconds.
    pub until_ms: f64,
    /// The interval between samples, in milliseconds.
    pub step_ms: f64,
}

/// Returns the mean, over the period, of the work requested from a host within a window relative to its overload limit,
/// after its last start up to the end of the period; 0 if the host never started in that time or has no slow start.
pub fn mean_cold_load(
    terms: &InvariantTerms,
    record: &[RecordEntry],
    host: &str,
    period: SamplingPeriod,
) -> f64 {
    let (Some(started_ms), Some(slow_start)) = (
        last_start(record, host, period.until_ms),
        terms.slow_starts.get(host),
    ) else {
        return 0.0;
    };
    let window_ms = terms.load_window_ms;
    let mut sum = 0.0;
    let mut samples = 0u32;
    let mut at_ms = started_ms + period.after_start_ms;
    while at_ms <= period.until_ms {
        // The capacity at the start of the window, which is the lowest within it.
        let fraction = slow_start.capacity_fraction(at_ms - started_ms - window_ms);
        let overload_limit_ms =
            slow_start.overload_factor * fraction * slow_start.slots * window_ms;
        sum += requested_ms(record, host, at_ms - window_ms, at_ms) / overload_limit_ms;
        samples += 1;
        at_ms += period.step_ms;
    }
    sum / f64::from(samples.max(1))
}

fn last_start(record: &[RecordEntry], host: &str, until_ms: f64) -> Option<f64> {
    let of_host = |entry: &&RecordEntry| matches!(&entry.event, RecordedEvent::HostStarted { host: started } if started == host);
    let mut starts = record.iter().filter(of_host).map(|entry| entry.at_ms);
    starts.rfind(|at_ms| *at_ms <= until_ms)
}

/// Returns the work requested from a host after `from_ms` up to and including `to_ms`, in milliseconds of a slot.
fn requested_ms(record: &[RecordEntry], host: &str, from_ms: f64, to_ms: f64) -> f64 {
    let cost = |entry: &RecordEntry| match &entry.event {
        RecordedEvent::WorkRequested {
            host: requested_from,
            cost_ms,
        } if requested_from == host => Some(*cost_ms),
        _ => None,
    };
    let within = |entry: &&RecordEntry| entry.at_ms > from_ms && entry.at_ms <= to_ms;
    record.iter().filter(within).filter_map(cost).sum()
}
