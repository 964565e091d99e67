//! Locations: the link that fills of a location's caches share, and what is sampled for reports of load.

use std::collections::HashMap;

use rand::Rng;

use super::Model;
use super::events::Event;
use crate::links::Link;

/// Milliseconds between samples of load.
pub(super) const SAMPLE_MS: f64 = 200.0;
/// Samples are taken for so many milliseconds past the day, for those who still wait.
const SAMPLED_AFTER_MS: f64 = 10_000.0;
/// Past a transfer's end, the grain of the queue and some: it has ended then.
const GRAIN_MS: f64 = 0.002;

/// A location.
pub(super) struct Site {
    link: Link,
    /// How full the link was when last sampled; one is as many transfers as it bears at a place's pace.
    pub(super) link_load: f64,
    /// Counts the changes of the next transfer's end.
    turn: u64,
    /// Attempts by the numbers of their transfers.
    transfers: HashMap<u64, u64>,
}

impl Site {
    /// A location whose link carries so many KB a millisecond.
    pub(super) fn new(pace: f64) -> Site {
        Site {
            link: Link::new(pace),
            link_load: 0.0,
            turn: 0,
            transfers: HashMap::new(),
        }
    }

    /// A transfer of so many KB begins, for that attempt.
    pub(super) fn begin(&mut self, now: f64, kb: f64, attempt: u64) {
        let number = self.link.begin(now, kb);
        self.transfers.insert(number, attempt);
    }
}

impl Model<'_> {
    /// When the next transfer of a link ends has changed.
    pub(super) fn plan_transfer_end(&mut self, zone: usize) {
        let site = &mut self.sites[zone];
        site.turn += 1;
        let turn = site.turn;
        if let Some(end) = site.link.next_end() {
            // Rounded up to the queue's grain, so that it has ended then.
            self.after(
                end - self.now + GRAIN_MS,
                Event::TransferEnds { zone, turn },
            );
        }
    }

    /// Transfers of a link have ended.
    pub(super) fn transfer_ends(&mut self, zone: usize, turn: u64) {
        if self.sites[zone].turn != turn {
            return;
        }
        for number in self.sites[zone].link.ended(self.now) {
            if let Some(attempt) = self.sites[zone].transfers.remove(&number) {
                self.filled(attempt);
            }
        }
        self.plan_transfer_end(zone);
    }

    /// Hosts and links are sampled.
    pub(super) fn sample(&mut self) {
        for host in &mut self.hosts {
            host.told =
                (host.busy + host.waiting.len()) as f64 * self.chance.random_range(0.9..1.1);
        }
        let fits = (self.shape.link_pace / self.shape.place_pace).max(1.0);
        for site in &mut self.sites {
            site.link_load = site.link.transfers() as f64 / fits;
        }
        if self.now < self.shape.day_ms + SAMPLED_AFTER_MS {
            self.after(SAMPLE_MS, Event::Samples);
        }
    }
}
