//! What clients ask for: an open loop of requests, all settled before the first is sent.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Spreads ranks over object ids: 2 to the 64th over the golden ratio.
const ID_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// What is asked for, and how often.
#[derive(Clone, Debug)]
pub struct Load {
    /// What the requests are drawn from.
    pub seed: u64,
    /// Requests a second at each dispatcher, in order; dispatchers past the list get the last.
    pub requests_per_s: Vec<f64>,
    /// Objects that are asked for.
    pub objects: u64,
    /// The power of the rank by which their popularity falls.
    pub popularity_exponent: f64,
    /// The fraction of requests that are at-most-once writes.
    pub write_fraction: f64,
    /// The first request comes after that time of the world, in milliseconds, ...
    pub from_ms: f64,
    /// ... the last before that.
    pub to_ms: f64,
    /// Milliseconds that a client waits for an answer.
    pub timeout_ms: u64,
    /// The number of the first connection, where several loads run at once: requests are named after it.
    pub first_connection: usize,
}

/// One request with its time.
pub(crate) struct PlannedRequest {
    pub(crate) at_ms: f64,
    pub(crate) object: String,
    pub(crate) write: bool,
}

/// The id of the object of that popularity, counted from 0.
pub fn object_of_rank(rank: u64) -> u64 {
    (rank + 1).wrapping_mul(ID_MULTIPLIER)
}

impl Load {
    /// The requests at one dispatcher, in the order of their times.
    fn requests(&self, dispatcher: usize) -> Vec<PlannedRequest> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ (dispatcher as u64) << 32);
        let rates = &self.requests_per_s;
        let rate = rates.get(dispatcher).or(rates.last()).copied();
        let rate = rate.unwrap_or(0.0);
        let mut requests = Vec::new();
        if rate <= 0.0 {
            return requests;
        }
        let weights = self.cumulative_weights();
        let sum = weights.last().copied().unwrap_or(0.0);
        let mut at_ms = self.from_ms;
        loop {
            at_ms += -(1.0 - rng.random::<f64>()).ln() * 1000.0 / rate;
            if at_ms >= self.to_ms {
                return requests;
            }
            let rank = weights.partition_point(|weight| *weight < rng.random::<f64>() * sum);
            let write = rng.random_bool(self.write_fraction);
            requests.push(PlannedRequest {
                at_ms,
                object: format!("{:016x}", object_of_rank(rank as u64)),
                write,
            });
        }
    }

    /// Sums of the ranks' weights up to each rank.
    fn cumulative_weights(&self) -> Vec<f64> {
        let mut sum = 0.0;
        let weight = |rank: u64| {
            sum += (rank as f64).powf(-self.popularity_exponent);
            sum
        };
        (1..=self.objects).map(weight).collect()
    }

    /// The requests at one dispatcher, dealt in turn to so many connections.
    pub(crate) fn by_connection(
        &self,
        dispatcher: usize,
        connections: usize,
    ) -> Vec<Vec<PlannedRequest>> {
        let mut dealt: Vec<Vec<PlannedRequest>> = (0..connections).map(|_| Vec::new()).collect();
        for (index, request) in self.requests(dispatcher).into_iter().enumerate() {
            dealt[index % connections].push(request);
        }
        dealt
    }
}
