//! The load of clients: an open loop of requests, all drawn before the first is sent.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Multiplier that spreads ranks over object ids: 2^64 divided by the golden ratio.
const ID_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Which objects clients request, and at which rate.
#[derive(Clone, Debug)]
pub struct Load {
    /// The seed from which the requests are drawn.
    pub seed: u64,
    /// Requests per second at each dispatcher, in order; the last rate applies to all further dispatchers.
    pub requests_per_s: Vec<f64>,
    /// The number of objects that are requested.
    pub objects: u64,
    /// The Zipf exponent of their popularity by rank.
    pub popularity_exponent: f64,
    /// The fraction of requests that are at-most-once writes.
    pub write_fraction: f64,
    /// The time of the world from which requests are sent, in milliseconds.
    pub from_ms: f64,
    /// The time of the world before which the last request is sent, in milliseconds.
    pub to_ms: f64,
    /// How long a client waits for an answer, in milliseconds.
    pub timeout_ms: u64,
    /// The number of the first connection. Request ids contain the connection's number, so loads that run at the same
    /// time need separate ranges.
    pub first_connection: usize,
}

/// A request and the time at which it is to be sent.
pub(crate) struct PlannedRequest {
    pub(crate) at_ms: f64,
    pub(crate) object: String,
    pub(crate) write: bool,
}

/// Returns the id of the object at a rank of popularity, counted from 0.
pub fn object_of_rank(rank: u64) -> u64 {
    (rank + 1).wrapping_mul(ID_MULTIPLIER)
}

impl Load {
    /// Draws the requests for one dispatcher, ordered by time.
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

    /// Returns the cumulative weights of the ranks.
    fn cumulative_weights(&self) -> Vec<f64> {
        let mut sum = 0.0;
        let weight = |rank: u64| {
            sum += (rank as f64).powf(-self.popularity_exponent);
            sum
        };
        (1..=self.objects).map(weight).collect()
    }

    /// Draws the requests for one dispatcher and assigns them to its connections in turn.
    pub(crate) fn by_connection(
        &self,
        dispatcher: usize,
        connections: usize,
    ) -> Vec<Vec<PlannedRequest>> {
        let mut by_connection: Vec<Vec<PlannedRequest>> =
            (0..connections).map(|_| Vec::new()).collect();
        for (index, request) in self.requests(dispatcher).into_iter().enumerate() {
            by_connection[index % connections].push(request);
        }
        by_connection
    }
}
