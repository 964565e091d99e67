//! The planner's side as a whole: forwarders' reports and the coordinator's events go in, guidance comes out.
//!
//! A planner decides no request. When it is lost, nothing is left behind that anybody waits for.

mod guidance;
mod relay_log;
mod reports;
mod zone_links;

use std::collections::BTreeMap;

use flaxdeck::{Span, Time};
use flaxdeck_recovery::EventPosition;

use crate::instance_slots::InstanceSlots;
use crate::messages::{Epoch, Incarnation, RelayedEvent, Stamp};
use crate::quota_pool::QuotaPool;
use crate::ratings::HostHealth;
use crate::{LeaseTerms, QuotaFraction};
use relay_log::RelayLog;
use zone_links::ZoneLinks;

pub use relay_log::MAX_RELAYED_EVENTS;

/// A forwarder that says nothing for so long is forgotten; what it lent ends by itself.
pub const FORWARDER_TIMEOUT: Span = Span::from_ms(10_000);
/// The most forwarders that are kept.
pub const MAX_FORWARDERS: usize = 4_096;
/// The most incarnations of warming hosts that are kept.
pub const MAX_POOLS: usize = 16_384;
/// The most bytes of events in one guidance: some lists of changes, or one whole list of 5,000 hosts.
pub const MAX_EVENT_BYTES: usize = 192 * 1024;
/// A rating is published again after so long if there was any sample since.
const REPUBLISH_AFTER: Span = Span::from_ms(2_000);
/// How often what has ended is forgotten.
const PRUNE_EVERY: Span = Span::from_ms(1_000);

/// What a planner knows of a forwarder.
struct Forwarder {
    /// Number and stamp of its last report.
    last_number: u64,
    last_stamp: Stamp,
    last_heard: Time,
    /// Messages sent to it.
    messages_sent: u64,
    last_event: EventPosition,
    /// Events reach it by a subscription.
    subscribes: bool,
    /// The version of the ratings that it has.
    version: u64,
    zone: u32,
}

/// What a planner knows of a listed host.
struct Host {
    started: u64,
    health: HostHealth,
    /// The version of its last published change; 0 if there was none.
    version: u64,
    published: Time,
}

/// Counts since the start of the planner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Reports taken.
    pub reports: u64,
    /// Reports that did not come after the last one taken.
    pub out_of_order: u64,
    /// Reports that were meant for another run of this planner; what does not rest on its stamps is taken.
    pub not_for_us: u64,
    /// Reports of runs that a later one has followed.
    pub ended: u64,
    /// Messages, and samples or link loads in them, that say what can't be.
    pub invalid_message: u64,
    /// Samples and lease reports of hosts that are not listed.
    pub unlisted: u64,
    /// Grants given.
    pub grants: u64,
    /// Guidance sent between reports.
    pub pushes: u64,
}

/// How much a planner holds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlannerLoad {
    /// Forwarders heard from lately.
    pub forwarders: usize,
    /// Incarnations of which something is lent or reserved.
    pub pools: usize,
    /// What is held of them together, as multiples of one host's whole.
    pub held: f64,
    /// What is reserved for grants.
    pub reserved: f64,
}

/// A planner.
pub struct Planner {
    epoch: Epoch,
    lease_terms: LeaseTerms,
    own: QuotaFraction,
    own_from: Time,
    forwarders: BTreeMap<Epoch, Forwarder>,
    pools: BTreeMap<Incarnation, QuotaPool>,
    instance_slots: InstanceSlots,
    hosts: BTreeMap<String, Host>,
    /// Hosts by the version of their last change, the youngest last.
    changes: BTreeMap<u64, String>,
    version: u64,
    links: ZoneLinks,
    relay_log: RelayLog,
    /// When the coordinator was last heard.
    coordinator_heard: Option<Time>,
    /// Whether all is known here that the coordinator had to tell then.
    is_current: bool,
    next_prune: Time,
    /// Counts since the start.
    pub counters: Counters,
}

impl Planner {
    /// A planner that has just started, with `own` of each incarnation to grant besides what is lent to it.
    pub fn start(now: Time, epoch: Epoch, lease_terms: LeaseTerms, own: QuotaFraction) -> Planner {
        Planner {
            epoch,
            lease_terms,
            own,
            own_from: now + lease_terms.planner_startup_wait(),
            forwarders: BTreeMap::new(),
            pools: BTreeMap::new(),
            instance_slots: InstanceSlots::new(now, lease_terms),
            hosts: BTreeMap::new(),
            changes: BTreeMap::new(),
            version: 0,
            links: ZoneLinks::default(),
            relay_log: RelayLog::default(),
            coordinator_heard: None,
            is_current: false,
            next_prune: now,
            counters: Counters::default(),
        }
    }

    /// A host is listed with its start in milliseconds of Unix time, 0 if that is long past; none if it was removed.
    pub fn update_host(&mut self, now: Time, host: &str, started: Option<u64>) {
        let Some(started) = started else {
            if let Some(removed) = self.hosts.remove(host) {
                self.changes.remove(&removed.version);
            }
            return;
        };
        let new = || Host {
            started,
            health: HostHealth::default(),
            version: 0,
            published: now,
        };
        let known = self.hosts.entry(host.to_owned()).or_insert_with(new);
        if known.started != started {
            // Another process: what was measured of the old one says nothing of it.
            self.changes.remove(&known.version);
            *known = new();
        }
    }

    /// The names of all listed hosts.
    pub fn hosts(&self) -> impl Iterator<Item = &String> {
        self.hosts.keys()
    }

    /// The coordinator was heard; an event is kept to be relayed. `is_current` if all is known here that it had to tell.
    pub fn coordinator_heard(&mut self, now: Time, event: Option<RelayedEvent>, is_current: bool) {
        self.coordinator_heard = Some(now);
        self.is_current = is_current;
        if let Some(event) = event {
            self.relay_log.append(event);
        }
    }

    /// All that is known here of the coordinator's events ends with that one: at the start, and where its numbering
    /// turned out to be another. What was relayed before follows from nothing any more.
    pub fn restart_log_at(&mut self, position: EventPosition) {
        self.relay_log = RelayLog::starting_at(position);
    }

    fn prune(&mut self, now: Time) {
        if now >= self.next_prune {
            self.next_prune = now + PRUNE_EVERY;
            self.forwarders
                .retain(|_, forwarder| now.since(forwarder.last_heard) < FORWARDER_TIMEOUT);
            self.pools.retain(|_, pool| !pool.prune(now));
        }
    }

    /// How much is held now, for the log.
    pub fn load(&self, now: Time) -> PlannerLoad {
        let mut load = PlannerLoad {
            forwarders: self.forwarders.len(),
            pools: self.pools.len(),
            ..PlannerLoad::default()
        };
        for pool in self.pools.values() {
            let totals = pool.totals(now);
            load.held += totals.held.as_f64();
            load.reserved += totals.reserved.as_f64();
        }
        load
    }
}
