//! Everybody's samples of a host weighed into one picture, in memory that does not grow with the forwarders.

use flaxdeck::{Span, Time};

use crate::messages::{Epoch, LinkLoad, Rating, Sample, ceil_ms};

/// Half of a sample's weight is gone after this: some fills of a quiet forwarder.
const HALF: Span = Span::from_ms(5_000);
/// Forwarders that must have failed at a host since anybody succeeded before the others are told: one alone may
/// have lost its own network.
const WITNESSES: usize = 2;
/// How long a failure counts: longer than the spacing of trials, so that a host's trials keep the word up.
const FAILURES_LAST: Span = Span::from_ms(6_000);
/// Failures of how many forwarders are kept a host.
const KEPT: usize = 4;
/// The part of what all have out at a weak source that they are advised to have together.
const NARROWED: f64 = 0.8;
/// Attempts at a source that a forwarder's word of them counts for so long.
const IN_HAND_LASTS: Span = Span::from_ms(1_000);

/// Of what a sample may tell: outside, it is invalid_message.
const MAX_LATENCY: f32 = 600_000.0;
const MAX_BANDWIDTH: f32 = 1e7;
const MAX_FULL: f32 = 1e4;

/// A mean whose samples lose weight with their age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Fading {
    sum: f64,
    weight: f64,
    youngest: Time,
}

impl Fading {
    fn faded(span: Span) -> f64 {
        0.5f64.powf(span.ms() / HALF.ms())
    }

    fn add(&mut self, value: f64, at: Time) {
        let later = at.max(self.youngest);
        let (old, new) = (
            Self::faded(later.since(self.youngest)),
            Self::faded(later.since(at)),
        );
        self.sum = self.sum * old + value * new;
        self.weight = self.weight * old + new;
        self.youngest = later;
    }

    fn mean(&self) -> Option<f64> {
        (self.weight > 1e-6).then(|| self.sum / self.weight)
    }
}

/// What forwarders together know of one host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Health {
    measures: [Fading; 2],
    /// The latest failures of different forwarders, youngest first.
    failures: Vec<(Epoch, Time)>,
    good: Option<Time>,
    /// Forwarders with attempts out there.
    in_hand: Vec<(Epoch, u16, Time)>,
}

/// Whether a sample can be true.
pub fn sensible(sample: &Sample) -> bool {
    let within =
        |value: Option<f32>, most: f32| value.is_none_or(|value| (0.0..=most).contains(&value));
    within(sample.measures[0], MAX_LATENCY) && within(sample.measures[1], MAX_BANDWIDTH)
}

/// The same of a link.
pub fn sensible_link(link: &LinkLoad) -> bool {
    (0.0..=MAX_FULL).contains(&link.utilization)
}

/// The same of a rating.
pub fn sensible_rating(rating: &Rating) -> bool {
    let [latency, bandwidth] = rating.measures;
    let sample = Sample {
        host: String::new(),
        measures: [latency, bandwidth],
        measured_ago_ms: 0,
        last_success_ago_ms: None,
        last_failure_ago_ms: None,
        in_flight: 0,
    };
    sensible(&sample) && rating.window != Some(0)
}

impl Health {
    /// Takes in a sample written at `written` at the earliest; true if others would want to know.
    pub fn take(&mut self, now: Time, from: Epoch, written: Time, sample: &Sample) -> bool {
        let was_down = self.down(now).is_some();
        let ago = |ms: u32| written - Span::from_ms(u64::from(ms));
        let mut news = false;
        for (fading, value) in self.measures.iter_mut().zip(sample.measures) {
            let Some(value) = value else { continue };
            let old = fading.mean();
            fading.add(f64::from(value), ago(sample.measured_ago_ms));
            let new = fading.mean().unwrap_or(f64::from(value));
            news |= old.is_none_or(|old| (new - old).abs() > old * 0.05);
        }
        self.good = self.good.max(sample.last_success_ago_ms.map(ago));
        if let Some(bad) = sample.last_failure_ago_ms.map(ago) {
            let known = self.failures.iter().position(|(who, _)| *who == from);
            let bad = known.map_or(bad, |at| self.failures.remove(at).1.max(bad));
            let place = self.failures.partition_point(|(_, at)| *at > bad);
            self.failures.insert(place, (from, bad));
            self.failures.truncate(KEPT);
        }
        self.in_hand
            .retain(|(who, _, at)| *who != from && now.since(*at) < IN_HAND_LASTS);
        if sample.in_flight > 0 {
            self.in_hand.push((from, sample.in_flight, now));
        }
        news || was_down != self.down(now).is_some()
    }

    /// When the last of enough forwarders failed there, if nobody has succeeded since the first of them did.
    pub fn down(&self, now: Time) -> Option<Time> {
        let since = |(_, at): &&(Epoch, Time)| {
            self.good.is_none_or(|good| good < *at) && now.since(*at) < FAILURES_LAST
        };
        let failed: Vec<_> = self.failures.iter().filter(since).collect();
        (failed.len() >= WITNESSES).then(|| failed[0].1)
    }

    /// What is told of it, as it stands now.
    pub fn rating(&self, now: Time, host: &str) -> Rating {
        let ago = |at: Time| ceil_ms(now.since(at));
        let down = self.down(now);
        let measured = self
            .measures
            .iter()
            .filter(|fading| fading.mean().is_some());
        let together = self
            .in_hand
            .iter()
            .filter(|(.., at)| now.since(*at) < IN_HAND_LASTS);
        let (sum, count) = together.fold((0, 0), |(sum, count), (_, out, _)| {
            (sum + u32::from(*out), count + 1)
        });
        let advised = f64::from(sum) * NARROWED / f64::from(count.max(1));
        Rating {
            host: host.to_owned(),
            measures: self
                .measures
                .map(|fading| fading.mean().map(|mean| mean as f32)),
            measured_ago_ms: measured
                .map(|fading| ago(fading.youngest))
                .min()
                .unwrap_or(u32::MAX),
            down_ago_ms: down.map(ago),
            last_success_ago_ms: self.good.map(ago),
            window: down.map(|_| (advised as u16).max(1)),
        }
    }
}
