//! Exchange of knowledge about hosts with other dispatchers: hints of peers are applied, own observations are reported.

use crate::{Decisions, Observation, PeerHint, PeerHints, Role, Sampled, Time, WarmupUsage};

use super::DecisionEngine;
use super::constants::UNREACHABLE_PENALTY;
use super::state::Host;

impl DecisionEngine {
    /// Applies the hints of other dispatchers. The quotas, the unhinted share and the trust in the endpoint list
    /// replace those of the call before. Measurements count only if they are newer than what is known here.
    pub fn apply_peer_hints(&mut self, now: Time, peer_hints: PeerHints) -> Decisions {
        self.now = now;
        self.list_trusted = peer_hints.list_trusted;
        self.unhinted_fraction = peer_hints.unhinted_share.clamp(0.0, 1.0);
        self.link = later_sample(self.link, peer_hints.link);
        for host in self.hosts.values_mut() {
            host.warmup_quota = None;
        }
        for hint in &peer_hints.hints {
            self.apply_hint(hint);
        }
        self.ready.extend(self.requests.keys().copied());
        self.wake(now)
    }

    /// Applies the hint about a host; a hint about a host that is not listed has no effect.
    fn apply_hint(&mut self, hint: &PeerHint) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&hint.host) else {
            return;
        };
        if let Some(quota) = hint.quota
            && quota.started == host.endpoint.started
        {
            host.warmup_quota = Some(quota.fraction.clamp(0.0, 1.0));
        }
        if hint.others_in_flight.is_some() {
            host.others_in_flight = hint.others_in_flight;
        }
        if let Some(most) = hint.window {
            host.window = host.window.min(most.max(1.0));
        }
        let ejected = !host.usable();
        // A host that others have reached again gets a trial at once, whose outcome decides about its reputation.
        if ejected && hint.last_success > host.last_failure {
            host.next_trial = now;
        }
        let own_contact = host.last_success.max(host.last_failure);
        let down = hint.down_at > hint.last_success && hint.down_at > own_contact;
        if hint.measured_at > host.own_measured_at.max(host.peer_measured_at) {
            host.peer_measured_at = hint.measured_at;
            self.record_measurements(&hint.host, hint.measurements);
        }
        if down && !ejected {
            self.penalize(&hint.host, UNREACHABLE_PENALTY);
        }
    }

    /// Returns what this dispatcher has observed of each host, to be reported to its peers. Resets the unmet demand.
    pub fn observations(&self, now: Time) -> Vec<Observation> {
        self.hosts
            .values()
            .map(|host| Observation {
                host: host.id().clone(),
                started: host.endpoint.started,
                measurements: host.latest_samples,
                measured_at: host.own_measured_at,
                last_success: host.last_success,
                last_failure: host.last_failure,
                in_flight: host.in_flight,
                warmup: self.warmup_usage(host, now),
            })
            .collect()
    }

    /// Returns this dispatcher's use of a cold host and its unmet demand there since the last call; `None` for a warm
    /// host.
    fn warmup_usage(&self, host: &Host, now: Time) -> Option<WarmupUsage> {
        let unmet_ms = host.unmet_demand.take();
        let fraction = self.capacity_over_window(host, now);
        if fraction >= 1.0 || host.is(Role::Origin) {
            return None;
        }
        let slow_start = self.slow_start(host);
        let capacity_ms =
            slow_start.total * fraction * host.endpoint.weight * slow_start.window.ms();
        let capacity_ms = capacity_ms.max(1.0);
        Some(WarmupUsage {
            equal_share: slow_start.equal_share / slow_start.total,
            used: self.charged_over_window(host, now) / capacity_ms,
            unmet: unmet_ms / capacity_ms,
        })
    }
}

/// Returns the later of two samples; the second if both were taken at the same time.
fn later_sample(first: Option<Sampled<f64>>, second: Option<Sampled<f64>>) -> Option<Sampled<f64>> {
    match (first, second) {
        (Some(first), Some(second)) if first.at > second.at => Some(first),
        (first, second) => second.or(first),
    }
}
