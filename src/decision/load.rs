//! The load of hosts, which is the requests of all dispatchers in flight there over those that the host serves at full
//! speed, and the slowdown of hosts.

use crate::{Role, Sampled, Time};

use super::DecisionEngine;
use super::constants::{
    FULL_LOAD, FULL_LOAD_WHEN_LATE, MAX_ADMITTED_LOAD, MIN_CAPACITY, MIN_UTILIZATION,
    PEERS_FOR_EQUAL_WEIGHT, REPORT_LIFETIME, SLOWDOWN_SAMPLE_WEIGHT,
};
use super::rendezvous::move_factor;
use super::state::{Host, RequestState};

/// Returns the value of a report, unless it has expired.
pub(super) fn unexpired(report: Option<Sampled<f64>>, now: Time) -> Option<f64> {
    report
        .filter(|report| now.since(report.at) < REPORT_LIFETIME)
        .map(|report| report.value)
}

impl Host {
    /// Returns the mean ratio of the host's answer times to their transfer times, at least 1.
    ///
    /// After the first [`REPORT_LIFETIME`] without a sample, the excess over 1 halves with each further one: a host
    /// whose objects have moved away yields no samples, and has to be tried again.
    pub(super) fn current_slowdown(&self, now: Time) -> f64 {
        let age = now.since(self.slowdown.at).saturating_sub(REPORT_LIFETIME);
        let decay = 0.5f64.powf(age.ms() / REPORT_LIFETIME.ms());
        1.0 + (self.slowdown.value - 1.0) * decay
    }

    /// Records the ratio of an answer's time to its transfer time.
    pub(super) fn record_slowdown(&mut self, now: Time, ratio: f64) {
        let current = self.current_slowdown(now);
        let sample = ratio.clamp(1.0, MAX_ADMITTED_LOAD);
        self.slowdown = Sampled {
            value: current + SLOWDOWN_SAMPLE_WEIGHT * (sample - current),
            at: now,
        };
    }
}

impl DecisionEngine {
    pub(super) fn is_local_cache(&self, host: &Host) -> bool {
        host.is(Role::Cache) && host.endpoint.zone == Some(self.terms.zone)
    }

    /// Returns the load of a host with one more request: the requests of all dispatchers in flight there over those
    /// that it serves at full speed.
    pub(super) fn load(&self, host: &Host) -> f64 {
        let fraction = self
            .slow_start(host)
            .capacity_fraction(host.endpoint.started, self.now);
        let in_flight = host.in_flight + self.others_in_flight(host) + 1.0;
        let load = in_flight / (host.endpoint.weight * fraction).max(MIN_CAPACITY);
        // Guards against counting requests that wait for a slow fill as work of the cache.
        let utilization = unexpired(host.utilization, self.now).unwrap_or(1.0);
        // Guards against a host that has become slow although it reports few requests.
        (load * utilization.clamp(MIN_UTILIZATION, 1.0)).max(host.current_slowdown(self.now))
    }

    /// Returns the number of requests that other dispatchers have in flight at a host, from the best source available.
    ///
    /// Without their own figures, every other dispatcher is assumed to have as many there as this one. Guards against
    /// the error of that estimate where many dispatchers have few requests each: the more dispatchers, the more weight
    /// the host's report gets.
    fn others_in_flight(&self, host: &Host) -> f64 {
        if let Some(known) = unexpired(host.others_in_flight, self.now) {
            return known;
        }
        let peers = self.zone_dispatchers - 1.0;
        let estimate = host.in_flight * peers;
        match unexpired(host.reported_others, self.now) {
            Some(reported) => {
                (estimate * PEERS_FOR_EQUAL_WEIGHT + reported * peers)
                    / (PEERS_FOR_EQUAL_WEIGHT + peers)
            }
            None => estimate,
        }
    }

    /// Decides whether a cache takes a request at its present load. `max_load` is the limit for a request that the
    /// cache can still answer within its objective.
    ///
    /// Guards against a loaded cache losing all its objects at once, and with them its hits: each object has its own
    /// threshold, the same at every dispatcher. A request that is already late gets only spare capacity.
    pub(super) fn admits(&self, cache: &Host, state: &RequestState, max_load: f64) -> bool {
        let load = self.load(cache);
        let left_ms = state.objective_left_ms(self.now);
        let threshold = if state.transfer_ms < left_ms {
            FULL_LOAD * move_factor(cache, &state.request)
        } else {
            FULL_LOAD_WHEN_LATE
        };
        load <= threshold || (load <= max_load && load * state.transfer_ms < left_ms)
    }
}
