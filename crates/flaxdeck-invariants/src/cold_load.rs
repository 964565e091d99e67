//! How far a host's capacity was used while it was cold.

use crate::{InvariantTerms, RecordEntry, RecordedEvent};

/// When a host's load is sampled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SamplingPeriod {
    /// The first sample, in milliseconds after the host's start.
    pub after_start_ms: f64,
    /// No sample is taken past this time of the record, in milliseconds.
    pub until_ms: f64,
    /// Milliseconds between samples.
    pub step_ms: f64,
}

/// The mean part of what a cold host could be asked for that was asked of it, after the last start within the period;
/// 0 if it never started or has no slow start.
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
        // The capacity at the window's start: less than at any later moment of it.
        let fraction = slow_start.capacity_fraction(at_ms - started_ms - window_ms);
        let bearable_ms = slow_start.overload_factor * fraction * slow_start.slots * window_ms;
        sum += requested_ms(record, host, at_ms - window_ms, at_ms) / bearable_ms;
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

/// Milliseconds of work that a host was asked for after `from_ms`, up to and with `to_ms`.
fn requested_ms(record: &[RecordEntry], host: &str, from_ms: f64, to_ms: f64) -> f64 {
    let cost = |entry: &RecordEntry| match &entry.event {
        RecordedEvent::WorkRequested {
            host: asked,
            cost_ms,
        } if asked == host => Some(*cost_ms),
        _ => None,
    };
    let within = |entry: &&RecordEntry| entry.at_ms > from_ms && entry.at_ms <= to_ms;
    record.iter().filter(within).filter_map(cost).sum()
}
