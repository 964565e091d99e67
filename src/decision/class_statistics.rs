//! A class of requests: its terms and the mean transfer time of its requests.

use crate::{Request, RequestClass, Role, Time};

use super::constants::{
    LARGE_OBJECT_KB, MAX_MEAN_SAMPLES, MAX_OVERSTATEMENT, MAX_UNDERSTATEMENT, MIN_VERIFIED_SAMPLES,
    SIZE_DOUBT,
};
use super::state::WarmupCost;

/// A mean of transfer times at full speed, in which late samples count more once there are many.
#[derive(Clone, Copy)]
struct TransferMean {
    ms: f64,
    /// Samples in the mean, up to [`MAX_MEAN_SAMPLES`].
    samples: f64,
}

impl TransferMean {
    fn record(&mut self, transfer_ms: f64) {
        self.samples = (self.samples + 1.0).min(MAX_MEAN_SAMPLES);
        self.ms += (transfer_ms - self.ms) / self.samples;
    }
}

/// The terms of a class with the mean transfer time of its requests.
pub(super) struct ClassStatistics {
    pub(super) terms: RequestClass,
    /// By the sizes that clients state with their requests, or by answers where they state none.
    requested: TransferMean,
    /// By the sizes of answers.
    delivered: TransferMean,
    /// Whether sizes are what clients state, which may be wrong.
    sizes_are_claims: bool,
    /// Until when stated sizes under the mean are doubted; `None` if no client has stated a wrong one.
    doubted_until: Option<Time>,
}

impl ClassStatistics {
    /// Creates a class without samples. Its initial mean is the transfer time that would use up the whole objective.
    pub(super) fn new(terms: RequestClass, sizes_are_claims: bool) -> ClassStatistics {
        let initial = TransferMean {
            ms: terms.objective.ms() / (1.0 + terms.stretch),
            samples: 0.0,
        };
        ClassStatistics {
            requested: initial,
            delivered: initial,
            sizes_are_claims,
            doubted_until: None,
            terms,
        }
    }

    /// Returns the mean time in ms that a cache takes to send an answer at full speed.
    ///
    /// Guards against clients that state wrong sizes: the mean follows what they state only as far as answers bear it
    /// out.
    pub(super) fn mean_transfer_ms(&self) -> f64 {
        let delivered = self.delivered;
        if !self.sizes_are_claims || !self.mean_is_verified() {
            return self.requested.ms;
        }
        self.requested.ms.clamp(
            delivered.ms / MAX_UNDERSTATEMENT,
            delivered.ms * MAX_OVERSTATEMENT,
        )
    }

    /// Whether enough answers have shown their sizes to bound the mean, or none need to.
    fn mean_is_verified(&self) -> bool {
        !self.sizes_are_claims || self.delivered.samples >= MIN_VERIFIED_SAMPLES
    }

    /// Returns the samples in the mean, up to [`MAX_MEAN_SAMPLES`].
    pub(super) fn samples(&self) -> f64 {
        self.requested.samples
    }

    /// Adds the transfer time of a request by its stated size.
    pub(super) fn record_requested(&mut self, transfer_ms: f64) {
        self.requested.record(transfer_ms);
    }

    /// Adds the transfer time of an answer to a request without a stated size.
    pub(super) fn record_unstated(&mut self, transfer_ms: f64) {
        self.requested.record(transfer_ms);
        self.delivered.record(transfer_ms);
    }

    /// Adds the transfer time of an answer to a request with a stated size.
    pub(super) fn record_delivered(&mut self, transfer_ms: f64) {
        self.delivered.record(transfer_ms);
    }

    /// Notes that a client has stated another size than that of its answer.
    pub(super) fn doubt_sizes(&mut self, now: Time) {
        self.doubted_until = Some(now + SIZE_DOUBT);
    }

    /// Whether a client has lately stated another size than that of its answer.
    pub(super) fn doubts_sizes(&self, now: Time) -> bool {
        self.doubted_until.is_some_and(|until| now < until)
    }

    /// Returns the time in ms that an answer is expected to take at full speed where a host is blamed for taking
    /// longer: by its stated size, but not less than the mean while stated sizes are doubted.
    ///
    /// Guards against hosts that are taken for silent or slow because clients state sizes that are too small.
    pub(super) fn expected_ms(&self, transfer_ms: f64, now: Time) -> f64 {
        if self.doubts_sizes(now) {
            self.mean_transfer_ms().max(transfer_ms)
        } else {
            transfer_ms
        }
    }

    /// Returns the cost that a request is charged against the slow start of a host. A cache is charged the class's
    /// mean, or the request's own time if that is longer and the mean is not trusted yet. A parent is charged the
    /// request's own time. Both are claims: that of a cache until answers have verified the mean, that of a parent until
    /// its answer has shown it.
    pub(super) fn warmup_cost(&self, role: Role, transfer_ms: f64) -> WarmupCost {
        let mean = self.mean_transfer_ms();
        match role {
            Role::Cache if self.mean_is_verified() && self.samples() >= MAX_MEAN_SAMPLES => {
                WarmupCost::verified(mean)
            }
            Role::Cache if self.mean_is_verified() => WarmupCost::verified(mean.max(transfer_ms)),
            Role::Cache => self.claimed_cost(mean.max(transfer_ms)),
            _ if self.terms.goes_through || !self.sizes_are_claims => {
                WarmupCost::verified(transfer_ms)
            }
            _ => self.claimed_cost(transfer_ms),
        }
    }

    /// Returns the cost of a request that may turn out to be of the mean size.
    fn claimed_cost(&self, ms: f64) -> WarmupCost {
        let mean = self.mean_transfer_ms().max(self.delivered.ms);
        WarmupCost {
            stated: ms,
            unverified: mean.max(ms),
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
