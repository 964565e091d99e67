//! Load polls, for hosts that report their load only when polled.

use rand::Rng;

use crate::{Decisions, HostId, LoadReport, Time};

use super::DecisionEngine;
use super::constants::{JITTER, LOAD_POLL_INTERVAL};

impl DecisionEngine {
    /// Polls the cache of this location whose last poll is the longest ago.
    pub(super) fn poll_load(&mut self) {
        self.next_load_poll = self.now + LOAD_POLL_INTERVAL * self.rng.random_range(JITTER);
        let next = self
            .hosts
            .values()
            .filter(|host| self.is_local_cache(host) && host.in_service())
            .min_by_key(|host| (host.last_polled, host.hash))
            .map(|host| host.id().clone());
        if let Some(host) = next.as_ref().and_then(|id| self.hosts.get_mut(id)) {
            host.last_polled = Some(self.now);
        }
        self.decisions.looks.extend(next);
    }

    /// Applies the answer of a host to a load poll; its report may be empty.
    pub fn load_polled(&mut self, now: Time, host: &HostId, report: LoadReport) -> Decisions {
        self.now = now;
        self.record_link_report(report.link);
        if let Some(host) = self.hosts.get_mut(host) {
            host.record_report(now, report);
        }
        self.wake(now)
    }
}
