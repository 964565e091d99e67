//! Fills: how a host that lacks a copy gets it from its source, until the copy has arrived or the fill has failed.

use flaxdeck::{AttemptOutcome, FillOutcome};

use super::Model;
use super::events::Event;
use crate::host::{HostKind, Job};

/// The time until a fill fails because its source does not answer.
const SOURCE_TIMEOUT_MS: f64 = 1_500.0;
/// The rank under which parents cache copies.
const PARENT_RANK: u8 = 1;

impl Model<'_> {
    /// Handles a miss at a host: starts a fill, or ends the job without a copy.
    pub(super) fn cache_miss(&mut self, host: usize, job: Job) {
        let id = job.attempt();
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let kind = self.hosts[host].kind;
        match job {
            // The attempt keeps its slot at the cache during the fill.
            Job::Answer(_) if attempt.source != host && kind == HostKind::Cache => {
                self.fill_cache(id);
            }
            // The attempt bypassed the caches: the parent fetches the object from the origin.
            Job::Answer(_) if kind == HostKind::Parent && !attempt.only_cached => {
                self.fill_parent(id, host);
            }
            Job::Answer(_) => {
                self.free_slot(host, job);
                self.end_attempt(id, AttemptOutcome::NoCopy, FillOutcome::Nothing);
            }
            Job::FillCache(_) if !attempt.only_cached => self.fill_parent(id, host),
            Job::FillCache(_) | Job::FillParent(_) => {
                self.free_slot(host, job);
                self.fill_failed(id, FillOutcome::SourceLacks);
            }
        }
    }

    /// Starts a fill of a cache from the attempt's source.
    fn fill_cache(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.fill_started_ms = self.now;
        attempt.fill = FillOutcome::Filled;
        let source = attempt.source;
        match self.hosts[source].kind {
            HostKind::Origin => self.outcome.origin_fills += 1,
            HostKind::Cache | HostKind::Parent => self.outcome.parent_fills += 1,
        }
        self.send_fill_request(source, Job::FillCache(id));
    }

    /// Starts a fill of a parent from the origin.
    fn fill_parent(&mut self, id: u64, parent: usize) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.filling_parent = Some(parent);
        attempt.fill = FillOutcome::FilledThroughOrigin;
        self.send_fill_request(self.origin(), Job::FillParent(id));
    }

    fn send_fill_request(&mut self, source: usize, job: Job) {
        let arrival = Event::FillReachesSource { source, job };
        self.schedule(self.scenario.far_latency_ms, arrival);
    }

    /// Handles the arrival of a fill request at its source.
    pub(super) fn fill_reaches_source(&mut self, source: usize, job: Job) {
        let id = job.attempt();
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let kb = self.operations[attempt.operation as usize].kb;
        if self.hosts[source].kind == HostKind::Origin && source != attempt.source {
            self.outcome.origin_fills += 1;
        }
        match self.admit(source, job, kb) {
            None => {}
            Some(AttemptOutcome::TimedOut) => {
                self.schedule(SOURCE_TIMEOUT_MS, Event::SourceTimeout { attempt: id });
            }
            Some(AttemptOutcome::NotConnected | AttemptOutcome::Broken) => {
                self.fill_failed(id, FillOutcome::SourceUnreached);
            }
            Some(_) => self.fill_failed(id, FillOutcome::SourceRefused),
        }
    }

    /// Handles the origin's answer to a parent, which caches the copy and continues with its own job.
    pub(super) fn parent_filled(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let Some(parent) = attempt.filling_parent else {
            return;
        };
        attempt.made_ms = self.now;
        let job = if attempt.host == parent {
            Job::Answer(id)
        } else {
            Job::FillCache(id)
        };
        let operation = &self.operations[attempt.operation as usize];
        let (object, kb) = (operation.object, operation.kb);
        let host = &mut self.hosts[parent];
        let incarnation = host.incarnation;
        if host.up {
            host.cache.insert(object, PARENT_RANK, self.now, kb);
        }
        let wait_ms = self.scenario.far_latency_ms + self.service_ms(parent, kb);
        let done = Event::JobDone {
            host: parent,
            incarnation,
            job,
        };
        self.schedule(wait_ms, done);
    }

    /// Handles a source's first byte: the fill is transferred to the cache over the link of the cache's zone.
    pub(super) fn send_fill(&mut self, id: u64) {
        let now = self.now;
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.fill_took_ms = Some(now - attempt.fill_started_ms);
        let zone = self.hosts[attempt.host].zone;
        let kb = self.operations[attempt.operation as usize].kb;
        self.zone_links[zone].start_transfer(now, kb, id);
        self.schedule_transfer_end(zone);
    }

    /// Handles the end of a transfer to a cache, which caches the object and answers the attempt.
    pub(super) fn cache_filled(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let index = attempt.host;
        let operation = &self.operations[attempt.operation as usize];
        let (object, kb) = (operation.object, operation.kb);
        let host = &mut self.hosts[index];
        if !host.running.contains(&Job::Answer(id)) {
            return self.drop_attempt(id);
        }
        host.cache
            .insert(object, attempt.cache_rank, attempt.made_ms, kb);
        let done = Event::JobDone {
            host: index,
            incarnation: host.incarnation,
            job: Job::Answer(id),
        };
        self.schedule(self.service_ms(index, kb), done);
    }

    /// Handles a failed fill: frees its slots and ends its attempt.
    pub(super) fn fill_failed(&mut self, id: u64, fill: FillOutcome) {
        let now = self.now;
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let host = attempt.host;
        let filling_parent = attempt.filling_parent.take();
        attempt.fill_took_ms = Some(now - attempt.fill_started_ms);
        // A parent that was filling from the origin frees its slot, and the failure is attributed to the origin.
        if let Some(parent) = filling_parent.filter(|parent| *parent != host) {
            self.free_slot(parent, Job::FillCache(id));
            self.start_queued_jobs(parent);
        }
        let (outcome, fill) = if filling_parent.is_some() || fill == FillOutcome::OriginFailed {
            (AttemptOutcome::Errored, FillOutcome::OriginFailed)
        } else {
            (AttemptOutcome::Rejected, fill)
        };
        self.free_slot(host, Job::Answer(id));
        self.end_attempt(id, outcome, fill);
        self.start_queued_jobs(host);
    }
}
