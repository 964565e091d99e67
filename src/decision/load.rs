//! The load of hosts: requests in flight per place at full pace, over all dispatchers, and how slow a host has become.

use crate::{Role, Sampled, Time};

use super::DecisionEngine;
use super::constants::{
    FULL_LOAD, FULL_LOAD_WHEN_LATE, MAX_ADMITTED_LOAD, MIN_CAPACITY, MIN_UTILIZATION,
    PEERS_FOR_EQUAL_WEIGHT, REPORT_LIFETIME, SLOWDOWN_SAMPLE_WEIGHT,
};
use super::rendezvous::move_factor;
use super::state::{Host, RequestState};

/// The value of a report that still counts.
pub(super) fn current(report: Option<Sampled<f64>>, now: Time) -> Option<f64> {
    report
        .filter(|report| now.since(report.at) < REPORT_LIFETIME)
        .map(|report| report.value)
}

impl Host {
    /// Times its transfer time that the host's answers take, 1 and up.
    ///
    /// The excess halves with each [`REPORT_LIFETIME`] without a sample past the first: a host that lost its objects
    /// gives no samples, and has to be tried again.
    pub(super) fn current_slowdown(&self, now: Time) -> f64 {
        let age = now.since(self.slowdown.at).less(REPORT_LIFETIME);
        let decay = 0.5f64.powf(age.ms() / REPORT_LIFETIME.ms());
        1.0 + (self.slowdown.value - 1.0) * decay
    }

    /// Takes in how many times its transfer time an answer took.
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

    /// Requests in flight at a host, of all dispatchers and with one more, over its places at full pace.
    pub(super) fn load(&self, host: &Host) -> f64 {
        let fraction = self
            .slow_start(host)
            .capacity_fraction(host.endpoint.started, self.now);
        let in_flight = host.in_flight + self.others_in_flight(host) + 1.0;
        let load = in_flight / (host.endpoint.weight * fraction).max(MIN_CAPACITY);
        // Guards against requests that wait for a slow fill being taken for work that the cache does.
        let utilization = current(host.utilization, self.now).unwrap_or(1.0);
        // Guards against a host that has grown slow while it reports few requests.
        (load * utilization.clamp(MIN_UTILIZATION, 1.0)).max(host.current_slowdown(self.now))
    }

    /// Requests that other dispatchers have in flight at a host, by the best that is known.
    ///
    /// Guards against many dispatchers each taking one request of their own for one of every other's: the more
    /// dispatchers, the more the host's report counts against that estimate.
    fn others_in_flight(&self, host: &Host) -> f64 {
        if let Some(known) = current(host.others_in_flight, self.now) {
            return known;
        }
        let peers = self.zone_dispatchers - 1.0;
        let estimate = host.in_flight * peers;
        match current(host.reported_others, self.now) {
            Some(reported) => {
                (estimate * PEERS_FOR_EQUAL_WEIGHT + reported * peers)
                    / (PEERS_FOR_EQUAL_WEIGHT + peers)
            }
            None => estimate,
        }
    }

    /// Decides whether a cache takes a request at its present load, `max_load` being the most for one in time.
    ///
    /// Guards against a loaded cache losing all its objects at once, and with them its hits: each object has its own
    /// threshold, the same at every dispatcher. A request that is already late gets only capacity that is left over.
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
