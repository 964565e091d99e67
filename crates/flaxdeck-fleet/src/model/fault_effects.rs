//! The effects of faults: what changes when one begins, and what is restored when it ends.

use std::collections::BTreeSet;

use flaxdeck_invariants::RecordedEvent;
use rand::Rng;

use super::Model;
use super::coordinator::CoordinatorEvent;
use super::events::Event;
use crate::faults::FaultKind;
use crate::host::{FailureMode, Host, HostKind};
use crate::scenario::Scenario;

/// The time until hosts have dropped purged copies by themselves. Until then forwarders bound the age of copies in
/// their attempts.
const PURGE_SETTLES_MS: f64 = 5_000.0;
/// The time between the batches of a rolling restart.
const BATCH_INTERVAL_MS: f64 = 2_500.0;

/// The conditions of the run that faults change, other than the state of hosts.
pub(super) struct Conditions {
    /// The rate of a scan, in requests per second; 0 without a scan.
    pub(super) scan_per_s: f64,
    /// The number of objects scanned so far.
    pub(super) scanned: u64,
    /// The fraction of operations that is directed to the hot object.
    pub(super) hot_fraction: f64,
    /// The factor by which the request rate of all zones is multiplied.
    pub(super) load_factor: f64,
    /// The delay until the coordinator's events reach forwarders and planners, in milliseconds.
    pub(super) coordinator_delay_ms: f64,
    /// The factor by which the origin's times are multiplied.
    pub(super) origin_factor: f64,
    /// Planners ignore reports.
    pub(super) planners_silent: bool,
    /// Forwarders and planners reach each other only if their indices are both even or both odd.
    pub(super) planners_partitioned: bool,
    /// The hosts that each fault of the scenario affects, by the index of the fault; empty before the fault begins.
    affected: Vec<Vec<usize>>,
}

impl Conditions {
    /// Returns the conditions before any fault has begun.
    pub(super) fn without_faults(scenario: &Scenario) -> Conditions {
        Conditions {
            scan_per_s: 0.0,
            scanned: 0,
            hot_fraction: 0.0,
            load_factor: 1.0,
            coordinator_delay_ms: scenario.coordinator_delay_ms,
            origin_factor: 1.0,
            planners_silent: false,
            planners_partitioned: false,
            affected: vec![Vec::new(); scenario.faults.len()],
        }
    }
}

fn is_cache(host: &Host) -> bool {
    host.kind == HostKind::Cache
}

impl Model<'_> {
    /// Returns the index of the origin, which is the last host.
    pub(super) fn origin(&self) -> usize {
        self.hosts.len() - 1
    }

    /// Applies the effects of a fault that begins.
    pub(super) fn start_fault(&mut self, fault: usize) {
        let kind = self.scenario.faults[fault].kind.clone();
        let affected = self.draw_affected_hosts(&kind);
        match kind {
            FaultKind::HostCrash { .. } | FaultKind::ZoneLoss { .. } | FaultKind::ParentLoss => {
                for host in &affected {
                    self.crash_host(*host);
                }
            }
            FaultKind::SilentCaches { .. } => self.set_failure_mode(&affected, FailureMode::Silent),
            FaultKind::FailingCaches { .. } => {
                self.set_failure_mode(&affected, FailureMode::Failing);
            }
            FaultKind::SlowCaches { factor, .. } => {
                self.set_failure_mode(&affected, FailureMode::Slow(factor));
            }
            FaultKind::FailingOrigin => {
                self.set_failure_mode(&[self.origin()], FailureMode::Failing);
            }
            FaultKind::RollingRestart { batch } => self.rolling_restart(batch),
            FaultKind::PurgeAll => self.purge_all(),
            FaultKind::ForwarderCrash { fraction } => self.crash_forwarders(fraction),
            FaultKind::Scan { requests_per_s } => {
                self.conditions.scan_per_s = requests_per_s;
                self.schedule(0.0, Event::Scan);
            }
            FaultKind::CoordinatorDelay { added_ms } => {
                self.conditions.coordinator_delay_ms += added_ms;
            }
            FaultKind::SlowOrigin { factor } => self.conditions.origin_factor = factor,
            FaultKind::HotObject { fraction } => self.conditions.hot_fraction = fraction,
            FaultKind::Overload { factor } => self.conditions.load_factor = factor,
            FaultKind::SilentPlanners => self.conditions.planners_silent = true,
            FaultKind::PartitionedPlanners => self.conditions.planners_partitioned = true,
        }
        self.conditions.affected[fault] = affected;
    }

    /// Restores what a fault changed when it ends.
    pub(super) fn end_fault(&mut self, fault: usize) {
        let affected = std::mem::take(&mut self.conditions.affected[fault]);
        match self.scenario.faults[fault].kind {
            FaultKind::HostCrash { .. } | FaultKind::ZoneLoss { .. } | FaultKind::ParentLoss => {
                for host in affected {
                    self.restart_host(host);
                }
            }
            FaultKind::SilentCaches { .. }
            | FaultKind::FailingCaches { .. }
            | FaultKind::SlowCaches { .. } => {
                self.set_failure_mode(&affected, FailureMode::Healthy);
            }
            FaultKind::FailingOrigin => {
                self.set_failure_mode(&[self.origin()], FailureMode::Healthy);
            }
            FaultKind::CoordinatorDelay { added_ms } => {
                let delay_ms = self.conditions.coordinator_delay_ms - added_ms;
                let min_delay_ms = self.scenario.coordinator_delay_ms;
                self.conditions.coordinator_delay_ms = delay_ms.max(min_delay_ms);
            }
            FaultKind::SlowOrigin { .. } => self.conditions.origin_factor = 1.0,
            FaultKind::Scan { .. } => self.conditions.scan_per_s = 0.0,
            FaultKind::HotObject { .. } => self.conditions.hot_fraction = 0.0,
            FaultKind::Overload { .. } => self.conditions.load_factor = 1.0,
            FaultKind::SilentPlanners => self.conditions.planners_silent = false,
            FaultKind::PartitionedPlanners => self.conditions.planners_partitioned = false,
            FaultKind::RollingRestart { .. }
            | FaultKind::PurgeAll
            | FaultKind::ForwarderCrash { .. } => {}
        }
    }

    /// Draws the hosts that a fault affects; empty for kinds that affect no particular hosts.
    fn draw_affected_hosts(&mut self, kind: &FaultKind) -> Vec<usize> {
        match *kind {
            FaultKind::HostCrash { fraction } => {
                self.draw_hosts(fraction, |host| host.kind != HostKind::Origin)
            }
            FaultKind::ZoneLoss { zone } => {
                self.draw_hosts(1.0, |host| is_cache(host) && host.zone == zone)
            }
            FaultKind::ParentLoss => {
                let mut parents = self.draw_hosts(1.0, |host| host.kind == HostKind::Parent);
                parents.pop();
                parents
            }
            FaultKind::SilentCaches { fraction }
            | FaultKind::FailingCaches { fraction }
            | FaultKind::SlowCaches { fraction, .. } => self.draw_hosts(fraction, is_cache),
            _ => Vec::new(),
        }
    }

    /// Draws a fraction of the eligible hosts; the number is rounded up.
    fn draw_hosts(&mut self, fraction: f64, is_eligible: impl Fn(&Host) -> bool) -> Vec<usize> {
        let mut hosts: Vec<usize> = (0..self.hosts.len())
            .filter(|host| is_eligible(&self.hosts[*host]))
            .collect();
        let count = ((hosts.len() as f64 * fraction).ceil() as usize).min(hosts.len());
        for index in 0..count {
            let other = self.rng.random_range(index..hosts.len());
            hosts.swap(index, other);
        }
        hosts.truncate(count);
        hosts
    }

    fn set_failure_mode(&mut self, hosts: &[usize], failure_mode: FailureMode) {
        for host in hosts {
            self.hosts[*host].failure_mode = failure_mode;
        }
    }

    /// Schedules the drain of all caches in batches; each cache restarts after its drain.
    fn rolling_restart(&mut self, batch: usize) {
        let caches = self.draw_hosts(1.0, is_cache);
        for (index, batch) in caches.chunks(batch.max(1)).enumerate() {
            for host in batch {
                let after_ms = index as f64 * BATCH_INTERVAL_MS;
                self.schedule(after_ms, Event::Drain { host: *host });
            }
        }
    }

    /// Purges all objects, and records a purge of each object requested so far.
    fn purge_all(&mut self) {
        if self.scenario.check_invariants {
            let objects: BTreeSet<u64> = self
                .operations
                .iter()
                .map(|operation| operation.object)
                .collect();
            for object in objects {
                self.record_event(RecordedEvent::ObjectPurged {
                    object: object.to_string(),
                });
            }
        }
        let made_before_ms = self.now;
        self.publish(CoordinatorEvent::PurgeAll { made_before_ms });
        self.schedule(PURGE_SETTLES_MS, Event::PurgeSettles { made_before_ms });
    }
}
