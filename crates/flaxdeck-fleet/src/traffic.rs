//! Synthetic traffic: Poisson arrivals, Zipf-like popularity that falls with a power of the rank (Breslau and others
//! 1999 found exponents of 0.64 to 0.83 at web proxies), and log-normal object sizes within bounds.

use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;

/// The size of the smallest object in KB.
const MIN_OBJECT_KB: f64 = 1.0;
/// The size of the largest object in KB.
const MAX_OBJECT_KB: f64 = 20_000.0;
/// The lower bound of a zone's request rate, so that the time to the next arrival is finite at a rate of 0.
const MIN_REQUESTS_PER_S: f64 = 1e-6;

/// The distributions that the requests of a run follow.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficLaw {
    /// Operations per second that begin in each zone.
    pub requests_per_s: f64,
    /// The number of objects.
    pub objects: u64,
    /// The exponent of popularity: an object of rank r has the weight r to the power of minus this.
    pub popularity_exponent: f64,
    /// The median object size in KB.
    pub median_kb: f64,
    /// The standard deviation of the natural logarithm of the object size.
    pub size_log_deviation: f64,
    /// The fraction of operations that are at-most-once writes.
    pub write_fraction: f64,
}

impl Default for TrafficLaw {
    fn default() -> TrafficLaw {
        TrafficLaw {
            requests_per_s: 150.0,
            objects: 3_000,
            popularity_exponent: 0.8,
            median_kb: 120.0,
            size_log_deviation: 0.8,
            write_fraction: 0.01,
        }
    }
}

/// The traffic of a run: its distributions, with the popularity and size of each object.
pub struct Traffic {
    law: TrafficLaw,
    /// For each rank, the sum of the popularity weights of all ranks up to it.
    cumulative_weights: Vec<f64>,
    sizes_kb: Vec<f64>,
}

impl Traffic {
    /// Creates the traffic and draws the size of each object.
    ///
    /// # Panics
    ///
    /// If `size_log_deviation` is not finite.
    pub fn new(law: TrafficLaw, rng: &mut Pcg64Mcg) -> Traffic {
        let mut sum = 0.0;
        let cumulative_weight = |rank: u64| {
            sum += (rank as f64).powf(-law.popularity_exponent);
            sum
        };
        let cumulative_weights = (1..=law.objects).map(cumulative_weight).collect();
        #[allow(clippy::expect_used, reason = "scenario files bound the deviation")]
        let sizes = LogNormal::new(law.median_kb.ln(), law.size_log_deviation)
            .expect("size_log_deviation must be finite");
        let size_kb = |_| sizes.sample(rng).clamp(MIN_OBJECT_KB, MAX_OBJECT_KB);
        let sizes_kb = (0..law.objects).map(size_kb).collect();
        Traffic {
            law,
            cumulative_weights,
            sizes_kb,
        }
    }

    /// Draws the time to the next operation of a zone in milliseconds; `load_factor` multiplies the usual rate.
    pub fn next_gap_ms(&self, load_factor: f64, rng: &mut Pcg64Mcg) -> f64 {
        let per_s = (self.law.requests_per_s * load_factor).max(MIN_REQUESTS_PER_S);
        -(1.0 - rng.random::<f64>()).ln() * 1000.0 / per_s
    }

    /// Draws an object by popularity; an object's number is its rank, starting at 0.
    pub fn draw_object(&self, rng: &mut Pcg64Mcg) -> u64 {
        let weights = &self.cumulative_weights;
        let drawn = rng.random::<f64>() * weights.last().copied().unwrap_or(0.0);
        let rank = weights.partition_point(|weight| *weight < drawn);
        rank.min(weights.len().saturating_sub(1)) as u64
    }

    /// Draws whether the next operation is a write.
    pub fn draw_write(&self, rng: &mut Pcg64Mcg) -> bool {
        self.law.write_fraction > 0.0 && rng.random_bool(self.law.write_fraction)
    }

    /// Returns the size of an object in KB. Objects of a scan have numbers past the last rank, and the median size.
    pub fn size_kb(&self, object: u64) -> f64 {
        let size_kb = self.sizes_kb.get(object as usize).copied();
        size_kb.unwrap_or(self.law.median_kb)
    }
}
