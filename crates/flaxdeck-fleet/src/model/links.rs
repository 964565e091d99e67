//! The link of a zone, which carries the fills of its caches, and the sampling of load for load reports.

use std::collections::HashMap;
use std::ops::Range;

use rand::Rng;

use super::Model;
use super::events::Event;
use crate::link::{Link, TransferId};

/// The time between samples of load.
pub(super) const SAMPLE_INTERVAL_MS: f64 = 200.0;
/// The reported load of a host is its true load times a factor from this range, drawn for each sample.
const SAMPLE_ERROR_FACTOR: Range<f64> = 0.9..1.1;
/// Sampling continues for this long after the last arrival, because some clients are still waiting.
const SAMPLES_AFTER_END_MS: f64 = 10_000.0;
/// Added to the scheduled end of a transfer: more than the event queue's resolution of 1 microsecond, so that rounding
/// never schedules the event before the end.
const QUEUE_ROUNDING_MS: f64 = 0.002;

/// The link of a zone with its transfers.
pub(super) struct ZoneLink {
    link: Link,
    /// The load of the link as last sampled: its transfers over the number that it carries at the full rate of a slot.
    pub(super) load: f64,
    /// Incremented whenever a transfer has started or ended; a `TransferEnds` event of an earlier version is ignored.
    version: u64,
    /// The attempt of each transfer.
    attempts: HashMap<TransferId, u64>,
}

impl ZoneLink {
    /// Creates an idle link that carries `kb_per_ms` KB per millisecond.
    pub(super) fn new(kb_per_ms: f64) -> ZoneLink {
        ZoneLink {
            link: Link::new(kb_per_ms),
            load: 0.0,
            version: 0,
            attempts: HashMap::new(),
        }
    }

    /// Starts a transfer of `kb` KB for an attempt.
    pub(super) fn start_transfer(&mut self, now: f64, kb: f64, attempt: u64) {
        let transfer = self.link.start(now, kb);
        self.attempts.insert(transfer, attempt);
    }
}

impl Model<'_> {
    /// Schedules the end of the next transfer on a link again after a transfer has started or ended.
    pub(super) fn schedule_transfer_end(&mut self, zone: usize) {
        let zone_link = &mut self.zone_links[zone];
        zone_link.version += 1;
        let version = zone_link.version;
        if let Some(end) = zone_link.link.next_end() {
            self.schedule(
                end - self.now + QUEUE_ROUNDING_MS,
                Event::TransferEnds { zone, version },
            );
        }
    }

    /// Handles the end of transfers on a link.
    pub(super) fn transfer_ends(&mut self, zone: usize, version: u64) {
        if self.zone_links[zone].version != version {
            return;
        }
        for transfer in self.zone_links[zone].link.take_ended(self.now) {
            if let Some(attempt) = self.zone_links[zone].attempts.remove(&transfer) {
                self.cache_filled(attempt);
            }
        }
        self.schedule_transfer_end(zone);
    }

    /// Samples the load of hosts and links.
    pub(super) fn sample_load(&mut self) {
        for host in &mut self.hosts {
            let jobs = (host.busy + host.queue.len()) as f64;
            host.reported_load = jobs * self.rng.random_range(SAMPLE_ERROR_FACTOR);
        }
        let full_link_transfers =
            (self.scenario.link_kb_per_ms / self.scenario.slot_kb_per_ms).max(1.0);
        for zone_link in &mut self.zone_links {
            zone_link.load = zone_link.link.transfers() as f64 / full_link_transfers;
        }
        if self.now < self.scenario.duration_ms + SAMPLES_AFTER_END_MS {
            self.schedule(SAMPLE_INTERVAL_MS, Event::LoadSample);
        }
    }
}
