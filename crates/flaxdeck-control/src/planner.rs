//! The planner's side of its sessions with forwarders: takes in their reports and the coordinator's events, and returns
//! guidance.
//!
//! A planner takes no part in decisions about single requests. If a planner is lost, no other process has to wait for
//! it.

mod guidance;
mod relay_log;
mod reports;
mod zone_links;

use std::collections::BTreeMap;

use flaxdeck::{CoordinatorKnowledge, Span, Time};
use flaxdeck_recovery::EventPosition;

use crate::instance_slots::InstanceSlots;
use crate::messages::{Epoch, Incarnation, RelayedEvent, Stamp};
use crate::quota_pool::QuotaPool;
use crate::ratings::HostHealth;
use crate::{LeaseTerms, QuotaFraction};
use relay_log::RelayLog;
use zone_links::ZoneLinks;

pub use relay_log::MAX_RELAYED_EVENTS;

/// A forwarder that sends no report for this long is forgotten; its deposits expire on their own.
pub const FORWARDER_TIMEOUT: Span = Span::from_ms(10_000);
/// Maximum number of forwarders that a planner tracks.
pub const MAX_FORWARDERS: usize = 4_096;
/// Maximum number of incarnations of warming hosts that a planner tracks.
pub const MAX_POOLS: usize = 16_384;
/// Maximum size of the events in one guidance, in bytes: several delta endpoint lists, or one full list of 5,000 hosts.
pub const MAX_EVENT_BYTES: usize = 192 * 1024;
/// A rating is published again after this time if there was any new sample, even if it changed little.
const REPUBLISH_AFTER: Span = Span::from_ms(2_000);
/// Interval at which expired state is removed.
const PRUNE_INTERVAL: Span = Span::from_ms(1_000);

/// A planner's state about one forwarder.
struct Forwarder {
    /// Number of its last report.
    last_number: u64,
    /// Stamp of its last report.
    last_stamp: Stamp,
    last_heard: Time,
    /// Number of messages sent to it.
    messages_sent: u64,
    last_event: EventPosition,
    /// Whether it receives events by a subscription instead of by guidance.
    subscribes: bool,
    /// The version of this planner's ratings that it has.
    version: u64,
    zone: u32,
}

/// A planner's state about one host of the endpoint list.
struct Host {
    started: u64,
    health: HostHealth,
    /// Version of the last published change of its rating; 0 if there was none.
    version: u64,
    published: Time,
}

/// Counters since the start of the planner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Reports accepted.
    pub reports: u64,
    /// Reports whose number is not higher than that of the last one accepted from the forwarder.
    pub out_of_order: u64,
    /// Reports that were addressed to another run of this planner. All of their content is accepted except what depends
    /// on this run's stamps.
    pub not_for_us: u64,
    /// Reports from runs of a forwarder that have been superseded by a later run.
    pub ended: u64,
    /// Reports with invalid content, and invalid samples or link loads in reports.
    pub invalid_message: u64,
    /// Samples and lease reports of hosts that are not in the endpoint list, and lease reports beyond [`MAX_POOLS`].
    pub unlisted: u64,
    /// Grants issued.
    pub grants: u64,
    /// Guidance sent without a report that it answers.
    pub pushes: u64,
}

/// How much state and quota a planner holds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlannerLoad {
    /// Number of forwarders heard from recently.
    pub forwarders: usize,
    /// Number of incarnations with deposits, reservations or attempts in flight.
    pub pools: usize,
    /// Total quota held over all incarnations, as a multiple of one host's full quota.
    pub held: f64,
    /// Total quota reserved for grants, in the same unit.
    pub reserved: f64,
}

/// State of a planner.
pub struct Planner {
    epoch: Epoch,
    lease_terms: LeaseTerms,
    /// The planner's own part of each incarnation's quota.
    own_quota: QuotaFraction,
    own_quota_from: Time,
    forwarders: BTreeMap<Epoch, Forwarder>,
    pools: BTreeMap<Incarnation, QuotaPool>,
    instance_slots: InstanceSlots,
    hosts: BTreeMap<String, Host>,
    /// Names of hosts by the version of the last change of their rating, the latest last.
    changes: BTreeMap<u64, String>,
    version: u64,
    links: ZoneLinks,
    relay_log: RelayLog,
    /// When the coordinator was last heard from.
    coordinator_heard: Option<Time>,
    /// What was known of its events then.
    coordinator_knowledge: CoordinatorKnowledge,
    next_prune: Time,
    /// Counters since the start.
    pub counters: Counters,
}

impl Planner {
    /// Creates a planner that starts at `now` and may grant `own_quota` of each incarnation in addition to what is lent
    /// to it.
    pub fn start(
        now: Time,
        epoch: Epoch,
        lease_terms: LeaseTerms,
        own_quota: QuotaFraction,
    ) -> Planner {
        Planner {
            epoch,
            lease_terms,
            own_quota,
            own_quota_from: now + lease_terms.planner_startup_wait(),
            forwarders: BTreeMap::new(),
            pools: BTreeMap::new(),
            instance_slots: InstanceSlots::new(now, lease_terms),
            hosts: BTreeMap::new(),
            changes: BTreeMap::new(),
            version: 0,
            links: ZoneLinks::default(),
            relay_log: RelayLog::default(),
            coordinator_heard: None,
            coordinator_knowledge: CoordinatorKnowledge::default(),
            next_prune: now,
            counters: Counters::default(),
        }
    }

    /// Adds or updates a host of the endpoint list, with its start in milliseconds of Unix time, 0 if that is long
    /// past. `None` removes the host.
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
            // Another process serves under this name now, so measurements of the old one do not apply.
            self.changes.remove(&known.version);
            *known = new();
        }
    }

    /// Returns the names of all hosts in the endpoint list.
    pub fn hosts(&self) -> impl Iterator<Item = &String> {
        self.hosts.keys()
    }

    /// Records a message of the coordinator and what is known of its events since, and appends its event, if any, to the
    /// log of events to relay.
    pub fn coordinator_heard(
        &mut self,
        now: Time,
        event: Option<RelayedEvent>,
        knowledge: CoordinatorKnowledge,
    ) {
        self.coordinator_heard = Some(now);
        self.coordinator_knowledge = knowledge;
        if let Some(event) = event {
            self.relay_log.append(event);
        }
    }

    /// Empties the log of events to relay and lets it start after `position`. Called at the start, and when the
    /// coordinator turns out to have a new numbering, to which the events relayed earlier do not belong.
    pub fn restart_log_at(&mut self, position: EventPosition) {
        self.relay_log = RelayLog::starting_at(position);
    }

    fn prune(&mut self, now: Time) {
        if now >= self.next_prune {
            self.next_prune = now + PRUNE_INTERVAL;
            self.forwarders
                .retain(|_, forwarder| now.since(forwarder.last_heard) < FORWARDER_TIMEOUT);
            self.pools.retain(|_, pool| !pool.prune(now));
        }
    }

    /// Returns how much the planner holds at `now`, for the log.
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
