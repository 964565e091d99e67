//! Combines the samples of a host from all forwarders into one rating. The memory for measurements and failures does
//! not grow with the number of forwarders.

use flaxdeck::{Span, Time};

use crate::messages::{Epoch, LinkLoad, Measurements, Rating, Sample, ceil_ms};

/// Half-life of a sample's weight: the time of a few fills at a forwarder with little traffic.
const SAMPLE_HALF_LIFE: Span = Span::from_ms(5_000);
/// A mean with less total weight than this counts as absent.
const MIN_WEIGHT: f64 = 1e-6;
/// How many forwarders must have failed at a host since the last success of any forwarder before the host is rated as
/// down. A single forwarder may have lost its own network.
const FAILURE_QUORUM: usize = 2;
/// How long a failure counts. Longer than the interval between trials, so that failed trials keep a host rated as down.
const FAILURE_LIFETIME: Span = Span::from_ms(6_000);
/// Maximum number of forwarders whose latest failure is kept for each host.
const MAX_FAILURES: usize = 4;
/// Fraction of all forwarders' current attempts in flight at a host that is down to which they are advised to reduce
/// their total.
const DOWN_CONCURRENCY_FACTOR: f64 = 0.8;
/// How long a forwarder's reported number of attempts in flight counts.
const IN_FLIGHT_LIFETIME: Span = Span::from_ms(1_000);
/// A mean is published when it changes by more than this fraction of its old value.
const PUBLISHED_CHANGE: f64 = 0.05;

/// Maximum latency in a valid sample or rating.
const MAX_LATENCY_MS: f32 = 600_000.0;
/// Maximum bandwidth in a valid sample or rating, in KB per millisecond.
const MAX_BANDWIDTH: f32 = 1e7;
/// Maximum utilization of a link in a valid message.
const MAX_UTILIZATION: f32 = 1e4;

/// A mean of samples whose weight decays exponentially with age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct DecayingMean {
    sum: f64,
    weight: f64,
    /// Time of the newest sample, as of which `sum` and `weight` hold.
    newest: Time,
}

impl DecayingMean {
    fn decay(age: Span) -> f64 {
        0.5f64.powf(age.ms() / SAMPLE_HALF_LIFE.ms())
    }

    fn add(&mut self, value: f64, at: Time) {
        let newest = at.max(self.newest);
        let old_weight = Self::decay(newest.since(self.newest));
        let new_weight = Self::decay(newest.since(at));
        self.sum = self.sum * old_weight + value * new_weight;
        self.weight = self.weight * old_weight + new_weight;
        self.newest = newest;
    }

    fn mean(&self) -> Option<f64> {
        (self.weight > MIN_WEIGHT).then(|| self.sum / self.weight)
    }

    /// Adds a sample; returns true if the mean changed by enough to be published.
    fn record(&mut self, value: f32, at: Time) -> bool {
        let old = self.mean();
        self.add(f64::from(value), at);
        let new = self.mean().unwrap_or(f64::from(value));
        old.is_none_or(|old| (new - old).abs() > old * PUBLISHED_CHANGE)
    }
}

/// A forwarder's latest failure at a host.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Failure {
    forwarder: Epoch,
    at: Time,
}

/// A forwarder's attempts in flight at a host, as last reported.
#[derive(Clone, Copy, Debug, PartialEq)]
struct InFlight {
    forwarder: Epoch,
    attempts: u16,
    reported_at: Time,
}

/// Combined observations of one host by all forwarders.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostHealth {
    latency: DecayingMean,
    bandwidth: DecayingMean,
    /// The latest failures of different forwarders, newest first.
    failures: Vec<Failure>,
    last_success: Option<Time>,
    /// Attempts in flight of the forwarders that have any.
    in_flight: Vec<InFlight>,
}

fn are_valid_measurements(measurements: Measurements) -> bool {
    let within =
        |value: Option<f32>, most: f32| value.is_none_or(|value| (0.0..=most).contains(&value));
    within(measurements.latency_ms, MAX_LATENCY_MS) && within(measurements.bandwidth, MAX_BANDWIDTH)
}

/// Returns whether the measurements of a sample are within the valid range.
pub fn is_valid_sample(sample: &Sample) -> bool {
    are_valid_measurements(sample.measurements)
}

/// Returns whether the utilization of a link is within the valid range.
pub fn is_valid_link(link: &LinkLoad) -> bool {
    (0.0..=MAX_UTILIZATION).contains(&link.utilization)
}

/// Returns whether the measurements and window of a rating are within the valid range.
pub fn is_valid_rating(rating: &Rating) -> bool {
    are_valid_measurements(rating.measurements) && rating.window != Some(0)
}

impl HostHealth {
    /// Adds a forwarder's sample from a report created at `created` or later. Returns true if the rating changed by
    /// enough to be published.
    pub fn record_sample(
        &mut self,
        now: Time,
        from: Epoch,
        created: Time,
        sample: &Sample,
    ) -> bool {
        let was_down = self.down_since(now).is_some();
        let ago = |ms: u32| created - Span::from_ms(u64::from(ms));
        let measured = ago(sample.measured_ago_ms);
        let mut changed = false;
        if let Some(latency) = sample.measurements.latency_ms {
            changed |= self.latency.record(latency, measured);
        }
        if let Some(bandwidth) = sample.measurements.bandwidth {
            changed |= self.bandwidth.record(bandwidth, measured);
        }
        self.last_success = self.last_success.max(sample.last_success_ago_ms.map(ago));
        if let Some(failed) = sample.last_failure_ago_ms.map(ago) {
            self.record_failure(from, failed);
        }
        self.record_in_flight(now, from, sample.in_flight);
        changed || was_down != self.down_since(now).is_some()
    }

    fn record_failure(&mut self, from: Epoch, at: Time) {
        let known = self
            .failures
            .iter()
            .position(|failure| failure.forwarder == from);
        let at = known.map_or(at, |index| self.failures.remove(index).at.max(at));
        let index = self.failures.partition_point(|failure| failure.at > at);
        self.failures.insert(
            index,
            Failure {
                forwarder: from,
                at,
            },
        );
        self.failures.truncate(MAX_FAILURES);
    }

    fn record_in_flight(&mut self, now: Time, from: Epoch, attempts: u16) {
        self.in_flight.retain(|known| {
            known.forwarder != from && now.since(known.reported_at) < IN_FLIGHT_LIFETIME
        });
        if attempts > 0 {
            self.in_flight.push(InFlight {
                forwarder: from,
                attempts,
                reported_at: now,
            });
        }
    }

    /// Returns the time of the latest failure if the host counts as down: enough forwarders failed at it recently, and
    /// after the last success of any forwarder.
    pub fn down_since(&self, now: Time) -> Option<Time> {
        let counts = |failure: &&Failure| {
            self.last_success.is_none_or(|success| success < failure.at)
                && now.since(failure.at) < FAILURE_LIFETIME
        };
        let failed: Vec<&Failure> = self.failures.iter().filter(counts).collect();
        (failed.len() >= FAILURE_QUORUM).then(|| failed[0].at)
    }

    /// Returns the rating to publish, as of `now`.
    pub fn rating(&self, now: Time, host: &str) -> Rating {
        let ago = |at: Time| ceil_ms(now.since(at));
        let down = self.down_since(now);
        let measured = [&self.latency, &self.bandwidth]
            .into_iter()
            .filter(|mean| mean.mean().is_some());
        Rating {
            host: host.to_owned(),
            measurements: Measurements {
                latency_ms: self.latency.mean().map(|mean| mean as f32),
                bandwidth: self.bandwidth.mean().map(|mean| mean as f32),
            },
            measured_ago_ms: measured
                .map(|mean| ago(mean.newest))
                .min()
                .unwrap_or(u32::MAX),
            down_ago_ms: down.map(ago),
            last_success_ago_ms: self.last_success.map(ago),
            window: down.map(|_| self.advised_window(now)),
        }
    }

    /// Returns how many attempts each forwarder should have in flight while the host is down: an equal part of the
    /// current total reduced by [`DOWN_CONCURRENCY_FACTOR`], and at least 1.
    fn advised_window(&self, now: Time) -> u16 {
        let recent = self
            .in_flight
            .iter()
            .filter(|known| now.since(known.reported_at) < IN_FLIGHT_LIFETIME);
        let (sum, count) = recent.fold((0, 0), |(sum, count), known| {
            (sum + u32::from(known.attempts), count + 1)
        });
        let advised = f64::from(sum) * DOWN_CONCURRENCY_FACTOR / f64::from(count.max(1));
        (advised as u16).max(1)
    }
}
