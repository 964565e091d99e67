//! Faults of the shape: what changes when one begins, and what is put back when it ends.

use std::collections::BTreeSet;

use flaxdeck_invariants::RecordedEvent;
use rand::Rng;

use super::coordinator::CoordinatorEvent;
use super::events::Event;
use super::{Model, Shape};
use crate::faults::FaultKind;
use crate::hosts::{FailureMode, Host, Kind};

/// Milliseconds until hosts have dropped by themselves what was purged; forwarders ask by age until then.
const SETTLES_MS: f64 = 5_000.0;
/// Milliseconds between the groups of hosts that a deploy starts again.
const DEPLOY_STEP_MS: f64 = 2_500.0;

/// What faults have changed for now.
pub(super) struct Conditions {
    /// Objects a second that a scan asks for.
    pub(super) scan_rate: f64,
    /// How many it has asked for.
    pub(super) scanned: u64,
    /// The part of all requests that goes to one object.
    pub(super) hot: f64,
    /// How many times the usual load there is.
    pub(super) load: f64,
    /// Milliseconds until the coordinator's events reach anybody.
    pub(super) coordinator_ms: f64,
    /// How many times the usual time the origin takes.
    pub(super) origin_times: f64,
    /// Planners answer no report.
    pub(super) planners_silent: bool,
    /// Each forwarder and planner reach only every other one of each other.
    pub(super) planners_split: bool,
    /// The hosts that each fault of the shape has struck.
    struck: Vec<Vec<usize>>,
}

impl Conditions {
    /// No fault has begun.
    pub(super) fn usual(shape: &Shape) -> Conditions {
        Conditions {
            scan_rate: 0.0,
            scanned: 0,
            hot: 0.0,
            load: 1.0,
            coordinator_ms: shape.coordinator_delay_ms,
            origin_times: 1.0,
            planners_silent: false,
            planners_split: false,
            struck: vec![Vec::new(); shape.faults.len()],
        }
    }
}

fn is_cache(host: &Host) -> bool {
    host.kind == Kind::Cache
}

impl Model<'_> {
    /// A fault of the shape begins.
    pub(super) fn fault_begins(&mut self, at: usize) {
        let kind = self.shape.faults[at].kind.clone();
        let struck = self.struck_by(&kind);
        match kind {
            FaultKind::Die { .. } | FaultKind::LostZone { .. } | FaultKind::LostHub => {
                struck.iter().for_each(|host| self.kill(*host));
            }
            FaultKind::Hang { .. } => self.set_failure_mode(&struck, FailureMode::Silent),
            FaultKind::Fail { .. } => self.set_failure_mode(&struck, FailureMode::Fail),
            FaultKind::Slow { times, .. } => {
                self.set_failure_mode(&struck, FailureMode::Slow(times))
            }
            FaultKind::Deploy { at_once } => self.deploy(at_once),
            FaultKind::LateRegister { ms } => self.conditions.coordinator_ms += ms,
            FaultKind::SlowOrigin { times } => self.conditions.origin_times = times,
            FaultKind::OriginRefuses => {
                self.set_failure_mode(&[self.hosts.len() - 1], FailureMode::Fail)
            }
            FaultKind::PurgeAll => self.purge_all(),
            FaultKind::Scan { rate } => {
                self.conditions.scan_rate = rate;
                self.after(0.0, Event::Scan);
            }
            FaultKind::Hot { part } => self.conditions.hot = part,
            FaultKind::Overload { times } => self.conditions.load = times,
            FaultKind::KillForwarders { part } => self.kill_forwarders(part),
            FaultKind::SilentPlanners => self.conditions.planners_silent = true,
            FaultKind::SplitPlanners => self.conditions.planners_split = true,
        }
        self.conditions.struck[at] = struck;
    }

    /// A fault of the shape ends.
    pub(super) fn fault_ends(&mut self, at: usize) {
        let struck = std::mem::take(&mut self.conditions.struck[at]);
        match self.shape.faults[at].kind {
            FaultKind::Die { .. } | FaultKind::LostZone { .. } | FaultKind::LostHub => {
                struck.into_iter().for_each(|host| self.restart(host));
            }
            FaultKind::Hang { .. } | FaultKind::Fail { .. } | FaultKind::Slow { .. } => {
                self.set_failure_mode(&struck, FailureMode::Serve);
            }
            FaultKind::LateRegister { ms } => {
                let before = self.conditions.coordinator_ms - ms;
                self.conditions.coordinator_ms = before.max(self.shape.coordinator_delay_ms);
            }
            FaultKind::SlowOrigin { .. } => self.conditions.origin_times = 1.0,
            FaultKind::OriginRefuses => {
                self.set_failure_mode(&[self.hosts.len() - 1], FailureMode::Serve)
            }
            FaultKind::Scan { .. } => self.conditions.scan_rate = 0.0,
            FaultKind::Hot { .. } => self.conditions.hot = 0.0,
            FaultKind::Overload { .. } => self.conditions.load = 1.0,
            FaultKind::SilentPlanners => self.conditions.planners_silent = false,
            FaultKind::SplitPlanners => self.conditions.planners_split = false,
            FaultKind::Deploy { .. } | FaultKind::PurgeAll | FaultKind::KillForwarders { .. } => {}
        }
    }

    /// The hosts that a kind strikes.
    fn struck_by(&mut self, kind: &FaultKind) -> Vec<usize> {
        match *kind {
            FaultKind::Die { part } => self.draw_hosts(part, |host| host.kind != Kind::Origin),
            FaultKind::LostZone { zone } => {
                self.draw_hosts(1.0, |host| is_cache(host) && host.zone == zone)
            }
            FaultKind::LostHub => {
                let mut parents = self.draw_hosts(1.0, |host| host.kind == Kind::Parent);
                parents.pop();
                parents
            }
            FaultKind::Hang { part } | FaultKind::Fail { part } | FaultKind::Slow { part, .. } => {
                self.draw_hosts(part, is_cache)
            }
            _ => Vec::new(),
        }
    }

    /// So large a part of the hosts that the choice allows, drawn.
    fn draw_hosts(&mut self, part: f64, choice: impl Fn(&Host) -> bool) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.hosts.len())
            .filter(|at| choice(&self.hosts[*at]))
            .collect();
        let count = ((all.len() as f64 * part).ceil() as usize).min(all.len());
        for at in 0..count {
            let with = self.chance.random_range(at..all.len());
            all.swap(at, with);
        }
        all.truncate(count);
        all
    }

    fn set_failure_mode(&mut self, hosts: &[usize], failure_mode: FailureMode) {
        hosts
            .iter()
            .for_each(|host| self.hosts[*host].failure_mode = failure_mode);
    }

    /// All caches are drained and started again, so many at a time.
    fn deploy(&mut self, at_once: usize) {
        let caches = self.draw_hosts(1.0, is_cache);
        for (turn, group) in caches.chunks(at_once.max(1)).enumerate() {
            let after = turn as f64 * DEPLOY_STEP_MS;
            group
                .iter()
                .for_each(|host| self.after(after, Event::Drain { host: *host }));
        }
    }

    /// Every object that was asked for is purged.
    fn purge_all(&mut self) {
        if self.shape.judged {
            let objects: BTreeSet<u64> = self.wants.iter().map(|want| want.object).collect();
            for object in objects {
                self.see(RecordedEvent::ObjectPurged {
                    object: object.to_string(),
                });
            }
        }
        self.publish(CoordinatorEvent::PurgeAll(self.now));
        self.after(SETTLES_MS, Event::PurgeSettles { made: self.now });
    }
}
