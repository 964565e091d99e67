//! The link that fills of a zone's caches share, and the samples that load reports are made of.

use std::collections::HashMap;
use std::ops::Range;

use rand::Rng;

use super::Model;
use super::events::Event;
use crate::link::{Link, TransferId};

/// Milliseconds between samples of load.
pub(super) const SAMPLE_MS: f64 = 200.0;
/// The part of its true load that a host reports, drawn for each sample.
const SAMPLE_ERROR: Range<f64> = 0.9..1.1;
/// Samples are taken for so many milliseconds past the last arrival, for clients that still wait.
const SAMPLES_AFTER_END_MS: f64 = 10_000.0;
/// Added to a transfer's end: the event queue's microsecond and some, so that it has ended then.
const QUEUE_ROUNDING_MS: f64 = 0.002;

/// A zone's link with its transfers.
pub(super) struct ZoneLink {
    link: Link,
    /// How full the link was when last sampled; one is as many transfers as it carries at the pace of a slot.
    pub(super) load: f64,
    /// Counts the changes of the next transfer's end: an event of an earlier version is out of date.
    version: u64,
    /// The attempt of each transfer.
    attempts: HashMap<TransferId, u64>,
}

impl ZoneLink {
    /// A link that carries so many KB a millisecond.
    pub(super) fn new(kb_per_ms: f64) -> ZoneLink {
        ZoneLink {
            link: Link::new(kb_per_ms),
            load: 0.0,
            version: 0,
            attempts: HashMap::new(),
        }
    }

    /// Starts a transfer of so many KB for an attempt.
    pub(super) fn start_transfer(&mut self, now: f64, kb: f64, attempt: u64) {
        let transfer = self.link.start(now, kb);
        self.attempts.insert(transfer, attempt);
    }
}

impl Model<'_> {
    /// Schedules the end of the next transfer of a link anew, after a transfer came or went.
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

    /// Transfers of a link have ended.
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

    /// Hosts and links are sampled.
    pub(super) fn sample_load(&mut self) {
        for host in &mut self.hosts {
            let jobs = (host.busy + host.queue.len()) as f64;
            host.reported_load = jobs * self.rng.random_range(SAMPLE_ERROR);
        }
        let full_link = (self.scenario.link_kb_per_ms / self.scenario.slot_kb_per_ms).max(1.0);
        for zone_link in &mut self.zone_links {
            zone_link.load = zone_link.link.transfers() as f64 / full_link;
        }
        if self.now < self.scenario.duration_ms + SAMPLES_AFTER_END_MS {
            self.schedule(SAMPLE_MS, Event::LoadSample);
        }
    }
}
