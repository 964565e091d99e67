//! Traffic with a stated law: Poisson arrivals, popularity that falls by a power of the rank (Breslau and others 1999
//! found 0.64 to 0.83 at web proxies), log-normal sizes within bounds.

use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;

/// KB of the smallest and the largest object.
const MIN_OBJECT_KB: f64 = 1.0;
const MAX_OBJECT_KB: f64 = 20_000.0;
/// Requests a second that a zone has at least, so that the next arrival is a number.
const MIN_REQUESTS_PER_S: f64 = 1e-6;

/// The law that one run's requests follow.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficLaw {
    /// Requests a second at each zone.
    pub requests_per_s: f64,
    /// Objects that are asked for.
    pub objects: u64,
    /// The power of the rank by which popularity falls.
    pub popularity_exponent: f64,
    /// The median size in KB.
    pub median_kb: f64,
    /// The standard deviation of the size's logarithm.
    pub size_log_deviation: f64,
    /// The fraction of requests that are at-most-once writes.
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

/// Traffic of one run: the law, with each object's popularity and size.
pub struct Traffic {
    law: TrafficLaw,
    /// Sums of the ranks' weights up to each rank.
    cumulative_weights: Vec<f64>,
    sizes_kb: Vec<f64>,
}

impl Traffic {
    /// Draws the sizes of a law's objects.
    ///
    /// # Panics
    ///
    /// If the deviation of the sizes is negative or not a number.
    pub fn new(law: TrafficLaw, rng: &mut Pcg64Mcg) -> Traffic {
        let mut sum = 0.0;
        let cumulative_weight = |rank: u64| {
            sum += (rank as f64).powf(-law.popularity_exponent);
            sum
        };
        let cumulative_weights = (1..=law.objects).map(cumulative_weight).collect();
        #[allow(clippy::expect_used, reason = "scenario files bound the deviation")]
        let sizes = LogNormal::new(law.median_kb.ln(), law.size_log_deviation)
            .expect("the deviation of sizes is finite and not negative");
        let size_kb = |_| sizes.sample(rng).clamp(MIN_OBJECT_KB, MAX_OBJECT_KB);
        let sizes_kb = (0..law.objects).map(size_kb).collect();
        Traffic {
            law,
            cumulative_weights,
            sizes_kb,
        }
    }

    /// Milliseconds to the next request of a zone whose load is so many times the usual.
    pub fn next_gap_ms(&self, load_factor: f64, rng: &mut Pcg64Mcg) -> f64 {
        let per_s = (self.law.requests_per_s * load_factor).max(MIN_REQUESTS_PER_S);
        -(1.0 - rng.random::<f64>()).ln() * 1000.0 / per_s
    }

    /// Draws an object by its popularity; its number is its rank, from 0.
    pub fn draw_object(&self, rng: &mut Pcg64Mcg) -> u64 {
        let weights = &self.cumulative_weights;
        let drawn = rng.random::<f64>() * weights.last().copied().unwrap_or(0.0);
        let rank = weights.partition_point(|weight| *weight < drawn);
        rank.min(weights.len().saturating_sub(1)) as u64
    }

    /// Draws whether the next request is a write.
    pub fn draw_write(&self, rng: &mut Pcg64Mcg) -> bool {
        self.law.write_fraction > 0.0 && rng.random_bool(self.law.write_fraction)
    }

    /// KB of an object; those past the law's are of a scan, and median.
    pub fn size_kb(&self, object: u64) -> f64 {
        let size_kb = self.sizes_kb.get(object as usize).copied();
        size_kb.unwrap_or(self.law.median_kb)
    }
}
