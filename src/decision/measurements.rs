//! Measures the latency and bandwidth of each source of fills, and whether the origin beats a parent (Tuxedo paper,
//! section 3.2, table 1).

use crate::{FillOutcome, HostId, Request, Role, SourceMeasurements};

use super::DecisionEngine;
use super::class_statistics::ClassStatistics;
use super::completed_attempt::CompletedAttempt;
use super::constants::{ORIGIN_MARGIN, ORIGIN_WINS_TO_LEAVE, SAMPLE_WEIGHT};
use super::state::{Host, OriginWins};

/// A measure by which sources are compared.
#[derive(Clone, Copy)]
pub(super) enum Measure {
    /// Milliseconds to a fill's first byte; used for small objects.
    Latency,
    /// Kilobytes per millisecond; used for large objects.
    Bandwidth,
}

impl Measure {
    /// Returns the measure by which the sources for a request are compared.
    pub(super) fn for_request(class: &ClassStatistics, request: &Request) -> Measure {
        if class.is_large(request) {
            Measure::Bandwidth
        } else {
            Measure::Latency
        }
    }

    fn of(self, measurements: &SourceMeasurements) -> Option<f64> {
        match self {
            Measure::Latency => measurements.latency,
            Measure::Bandwidth => measurements.bandwidth,
        }
    }

    fn of_mut(self, measurements: &mut SourceMeasurements) -> &mut Option<f64> {
        match self {
            Measure::Latency => &mut measurements.latency,
            Measure::Bandwidth => &mut measurements.bandwidth,
        }
    }

    fn wins(self, wins: &OriginWins) -> u32 {
        match self {
            Measure::Latency => wins.latency,
            Measure::Bandwidth => wins.bandwidth,
        }
    }

    fn wins_mut(self, wins: &mut OriginWins) -> &mut u32 {
        match self {
            Measure::Latency => &mut wins.latency,
            Measure::Bandwidth => &mut wins.bandwidth,
        }
    }

    /// Whether the origin's average is better than a source's by more than [`ORIGIN_MARGIN`].
    fn origin_beats(self, origin: f64, source: f64) -> bool {
        match self {
            Measure::Latency => origin < source * (1.0 - ORIGIN_MARGIN),
            Measure::Bandwidth => origin > source * (1.0 + ORIGIN_MARGIN),
        }
    }
}

impl Host {
    /// Whether the origin has beaten this source in [`ORIGIN_WINS_TO_LEAVE`] consecutive fills.
    ///
    /// A source without samples counts as average and is never beaten.
    pub(super) fn beaten_by_origin(&self, measure: Measure) -> bool {
        measure.wins(&self.origin_wins) >= ORIGIN_WINS_TO_LEAVE
    }
}

impl DecisionEngine {
    /// Records the latency and the bandwidth of a completed fill.
    pub(super) fn measure_fill(&mut self, completed: &CompletedAttempt) {
        let Some(waited) = completed.ended.waited else {
            return;
        };
        let Some(source) = self.hosts.get_mut(&completed.attempt.source) else {
            return;
        };
        // A fill that a parent fetched from the origin says nothing about the parent's own latency.
        let own = source.is(Role::Origin) || completed.ended.fill == FillOutcome::Filled;
        let transfer_ms = completed.ended.took.saturating_sub(waited).ms().max(1.0);
        let samples = SourceMeasurements {
            latency: own.then_some(waited.ms()),
            bandwidth: completed
                .large_kb
                .filter(|_| !completed.ended.unchanged)
                .map(|kb| kb / transfer_ms),
        };
        source.latest_samples = samples;
        source.own_measured_at = Some(self.now);
        self.record_measurements(&completed.attempt.source, samples);
    }

    /// Adds samples of a source to its averages, and compares these with the origin's.
    pub(super) fn record_measurements(&mut self, id: &HostId, samples: SourceMeasurements) {
        for measure in [Measure::Latency, Measure::Bandwidth] {
            if let Some(sample) = measure.of(&samples) {
                self.record_measurement(id, measure, sample);
            }
        }
    }

    fn record_measurement(&mut self, id: &HostId, measure: Measure, sample: f64) {
        let of_origin = self
            .origin()
            .and_then(|origin| measure.of(&origin.measurements));
        let Some(source) = self.hosts.get_mut(id) else {
            return;
        };
        let average = match measure.of(&source.measurements) {
            Some(old) => old + SAMPLE_WEIGHT * (sample - old),
            None => sample,
        };
        *measure.of_mut(&mut source.measurements) = Some(average);
        let beaten = of_origin.is_some_and(|origin| measure.origin_beats(origin, average));
        let wins = measure.wins_mut(&mut source.origin_wins);
        *wins = if beaten {
            (*wins + 1).min(ORIGIN_WINS_TO_LEAVE)
        } else {
            0
        };
    }

    /// Records how much longer than its transfer time a cache's answer took: as a slowdown of the cache for a hit, of
    /// the source for a fill, or of the origin if the source fetched the object there.
    pub(super) fn record_slowdowns(&mut self, completed: &CompletedAttempt) {
        let ended = &completed.ended;
        if !completed.through_cache || !completed.shows_transfer() {
            return;
        }
        let filled_by = match ended.fill {
            FillOutcome::Filled => Some(completed.attempt.source.clone()),
            FillOutcome::FilledThroughOrigin => self.origin().map(|origin| origin.id().clone()),
            _ => None,
        };
        let Some(cache) = self.hosts.get_mut(&completed.attempt.host) else {
            return;
        };
        let expected_ms = completed.transfer_ms.max(1.0);
        let cache_slowdown = cache.current_slowdown(self.now);
        if ended.fill == FillOutcome::Hit {
            cache.record_slowdown(self.now, ended.took.ms() / expected_ms);
            let uncrowded = cache.in_flight <= cache.endpoint.weight;
            if uncrowded && !completed.size_known {
                self.classes[completed.class.0].record_unstated(ended.took.ms());
            }
        }
        let source = filled_by.and_then(|id| self.hosts.get_mut(&id));
        if let (Some(source), Some(waited)) = (source, ended.waited) {
            let ratio = ended.took.saturating_sub(waited).ms() / expected_ms / cache_slowdown;
            source.record_slowdown(self.now, ratio);
            if completed.size_known {
                self.estimate_link(ratio);
            }
        }
    }
}
