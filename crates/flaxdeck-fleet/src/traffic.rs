//! Traffic with a stated law: Poisson arrivals, popularity that falls by a power of the rank (Breslau and others 1999
//! found 0.64 to 0.83 at web proxies), log-normal sizes within bounds.

use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;

/// The law that one run's requests follow.
#[derive(Clone, Debug, PartialEq)]
pub struct Law {
    /// Requests a second at each place.
    pub rate: f64,
    /// Objects that are asked for.
    pub objects: u64,
    /// The power of the rank by which popularity falls.
    pub power: f64,
    /// The median size in KB.
    pub median_kb: f64,
    /// The standard deviation of the size's logarithm.
    pub spread: f64,
    /// The part of requests that are at-most-once writes.
    pub writes: f64,
}

/// Traffic of one run: the law, with each object's popularity and size.
pub struct Traffic {
    law: Law,
    /// Rising sums of the ranks' weights.
    sums: Vec<f64>,
    sizes: Vec<f64>,
}

impl Traffic {
    /// Draws the sizes of a law's objects.
    pub fn new(law: Law, chance: &mut Pcg64Mcg) -> Traffic {
        let mut sum = 0.0;
        let weight = |rank: u64| {
            sum += (rank as f64).powf(-law.power);
            sum
        };
        let sums = (1..=law.objects).map(weight).collect();
        let sizes = LogNormal::new(law.median_kb.ln(), law.spread).expect("a spread is finite");
        let sizes = (0..law.objects)
            .map(|_| sizes.sample(chance).clamp(1.0, 20_000.0))
            .collect();
        Traffic { law, sums, sizes }
    }

    /// Milliseconds to the next request of a place whose load is so many times the usual.
    pub fn gap(&self, times: f64, chance: &mut Pcg64Mcg) -> f64 {
        -(1.0 - chance.random::<f64>()).ln() * 1000.0 / (self.law.rate * times).max(1e-6)
    }

    /// An object by its popularity, as its rank from 0.
    pub fn object(&self, chance: &mut Pcg64Mcg) -> u64 {
        let draw = chance.random::<f64>() * self.sums.last().copied().unwrap_or(0.0);
        self.sums
            .partition_point(|sum| *sum < draw)
            .min(self.sums.len().saturating_sub(1)) as u64
    }

    /// Whether the next request is a write.
    pub fn writes(&self, chance: &mut Pcg64Mcg) -> bool {
        self.law.writes > 0.0 && chance.random_bool(self.law.writes)
    }

    /// KB of an object; those past the law's are of a scan, and median.
    pub fn kb(&self, object: u64) -> f64 {
        self.sizes
            .get(object as usize)
            .copied()
            .unwrap_or(self.law.median_kb)
    }
}
