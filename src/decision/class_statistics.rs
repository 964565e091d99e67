//! What is known of a class of requests: its terms and the mean transfer time seen.

use crate::{Request, RequestClass};

use super::constants::{LARGE_OBJECT_KB, MAX_MEAN_SAMPLES};

/// The terms of a class with the mean transfer time of its requests.
pub(super) struct ClassStatistics {
    pub(super) terms: RequestClass,
    /// Mean milliseconds that a cache at full pace takes to send an answer.
    pub(super) mean_transfer_ms: f64,
    /// Samples in the mean, up to [`MAX_MEAN_SAMPLES`].
    pub(super) samples: f64,
}

impl ClassStatistics {
    /// A class without samples: its mean is the transfer time that makes up all of its objective.
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

    /// What a request counts for against a cold cache: the mean, or more until that is known.
    pub(super) fn warmup_cost(&self, transfer_ms: f64) -> f64 {
        if self.samples < MAX_MEAN_SAMPLES {
            self.mean_transfer_ms.max(transfer_ms)
        } else {
            self.mean_transfer_ms
        }
    }

    /// Whether bandwidth decides for a request; without a size, latency does.
    pub(super) fn is_large(&self, request: &Request) -> bool {
        request
            .size_kb
            .is_some_and(|kb| self.terms.parted || kb >= LARGE_OBJECT_KB)
    }
}
