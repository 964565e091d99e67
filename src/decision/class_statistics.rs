//! A class of requests: its terms and the mean transfer time of its requests.

use crate::{Request, RequestClass};

use super::constants::{LARGE_OBJECT_KB, MAX_MEAN_SAMPLES};

/// The terms of a class with the mean transfer time of its requests.
pub(super) struct ClassStatistics {
    pub(super) terms: RequestClass,
    /// Mean time in ms that a cache takes to send an answer at full speed.
    pub(super) mean_transfer_ms: f64,
    /// Samples in the mean, up to [`MAX_MEAN_SAMPLES`].
    pub(super) samples: f64,
}

impl ClassStatistics {
    /// Creates a class without samples. Its initial mean is the transfer time that would use up the whole objective.
    pub(super) fn new(terms: RequestClass) -> ClassStatistics {
        ClassStatistics {
            mean_transfer_ms: terms.objective.ms() / (1.0 + terms.stretch),
            samples: 0.0,
            terms,
        }
    }

    pub(super) fn record_sample(&mut self, transfer_ms: f64) {
        self.samples = (self.samples + 1.0).min(MAX_MEAN_SAMPLES);
        self.mean_transfer_ms += (transfer_ms - self.mean_transfer_ms) / self.samples;
    }

    /// Returns the cost in ms that a request is charged against the slow start of a cache: the class's mean, or the
    /// request's own time if that is longer and the mean is not trusted yet.
    pub(super) fn warmup_cost(&self, transfer_ms: f64) -> f64 {
        if self.samples < MAX_MEAN_SAMPLES {
            self.mean_transfer_ms.max(transfer_ms)
        } else {
            self.mean_transfer_ms
        }
    }

    /// Whether the sources for a request are compared by bandwidth; they are compared by latency if its size is
    /// unknown.
    pub(super) fn is_large(&self, request: &Request) -> bool {
        request
            .size_kb
            .is_some_and(|kb| self.terms.parted || kb >= LARGE_OBJECT_KB)
    }
}
