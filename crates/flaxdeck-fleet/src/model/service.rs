//! The handling of jobs at hosts: they are admitted or rejected, get a slot, and finish.

use flaxdeck::{AttemptOutcome, FillOutcome};
use flaxdeck_invariants::RecordedEvent;

use super::Model;
use super::events::Event;
use crate::host::{FailureMode, HostKind, Job};

/// The part of a job's cost that does not depend on its size, in milliseconds of one slot.
const FIXED_COST_MS: f64 = 0.5;
/// The number of jobs that may be queued for each slot; further jobs are rejected.
const QUEUED_JOBS_PER_SLOT: usize = 4;
/// The time until a host that crashed by overload restarts.
const RESTART_AFTER_OVERLOAD_MS: f64 = 5_000.0;

impl Model<'_> {
    /// Returns the cost of a job of `kb` KB, in milliseconds of one slot at full speed.
    fn cost_ms(&self, kb: f64) -> f64 {
        kb / self.scenario.slot_kb_per_ms + FIXED_COST_MS
    }

    /// Returns the time in milliseconds that a slot of this host takes for a job of `kb` KB.
    pub(super) fn service_ms(&self, host: usize, kb: f64) -> f64 {
        let factor = match self.hosts[host].failure_mode {
            FailureMode::Slow(factor) => factor,
            _ if self.hosts[host].kind == HostKind::Origin => self.conditions.origin_factor,
            _ => 1.0,
        };
        self.cost_ms(kb) * factor
    }

    /// Returns the fraction of its full capacity that a host has; less than 1 during slow start.
    fn capacity_fraction(&self, host: usize) -> f64 {
        let scenario = self.scenario;
        self.hosts[host].capacity_fraction(
            self.now,
            scenario.slow_start_initial,
            scenario.slow_start_ms,
        )
    }

    /// Returns the number of slots that a host has now; fewer during slow start, but at least one.
    fn available_slots(&self, host: usize) -> usize {
        let slots = self.hosts[host].slots * self.capacity_fraction(host);
        (slots.round() as usize).max(1)
    }

    /// Handles the arrival of a job at a host. Returns the outcome of the attempt if the host does not admit the job.
    pub(super) fn admit(&mut self, host: usize, job: Job, kb: f64) -> Option<AttemptOutcome> {
        if !self.hosts[host].up {
            return Some(AttemptOutcome::NotConnected);
        }
        self.record_event(RecordedEvent::WorkArrived {
            host: self.hosts[host].id.clone(),
        });
        match self.hosts[host].failure_mode {
            FailureMode::Silent => return Some(AttemptOutcome::TimedOut),
            FailureMode::Failing => return Some(AttemptOutcome::Errored),
            FailureMode::Healthy | FailureMode::Slow(_) => {}
        }
        if self.hosts[host].queue.len() >= self.available_slots(host) * QUEUED_JOBS_PER_SLOT {
            return Some(AttemptOutcome::Rejected);
        }
        if self.add_work_and_check_overload(host, self.cost_ms(kb)) {
            self.outcome.overloaded_hosts += 1;
            self.crash_host(host);
            self.schedule(RESTART_AFTER_OVERLOAD_MS, Event::Restart { host });
            return Some(AttemptOutcome::Broken);
        }
        self.hosts[host].queue.push_back(job);
        self.start_queued_jobs(host);
        None
    }

    /// Adds work to a host's load window. Returns whether the host is in slow start and the work within the window
    /// exceeds its overload limit.
    fn add_work_and_check_overload(&mut self, host: usize, cost_ms: f64) -> bool {
        let scenario = self.scenario;
        let requested_ms = self.hosts[host].add_work(self.now, cost_ms, scenario.load_window_ms);
        self.record_event(RecordedEvent::WorkRequested {
            host: self.hosts[host].id.clone(),
            cost_ms,
        });
        let fraction = self.capacity_fraction(host);
        let state = &self.hosts[host];
        let limit_ms = scenario.overload_factor * fraction * state.slots * scenario.load_window_ms;
        fraction < 1.0 && state.kind != HostKind::Origin && requested_ms > limit_ms
    }

    /// Starts queued jobs while slots are free.
    pub(super) fn start_queued_jobs(&mut self, host: usize) {
        while self.hosts[host].up && self.hosts[host].busy < self.available_slots(host) {
            let Some(job) = self.hosts[host].queue.pop_front() else {
                return;
            };
            self.start_job(host, job);
        }
    }

    fn start_job(&mut self, host: usize, job: Job) {
        let id = job.attempt();
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        if attempt.outcome.is_some() && matches!(job, Job::Answer(_)) {
            return self.drop_attempt(id);
        }
        let object = self.operations[attempt.operation as usize].object;
        let oldest_ms = attempt.oldest_ms;
        let state = &mut self.hosts[host];
        state.busy += 1;
        state.running.push(job);
        let made_ms = match state.kind {
            HostKind::Origin => Some(self.now),
            HostKind::Cache | HostKind::Parent => state.cache.lookup(object, oldest_ms),
        };
        match made_ms {
            Some(made_ms) => self.serve(host, job, made_ms),
            None => self.cache_miss(host, job),
        }
    }

    /// Serves a job from a copy made at `made_ms`, and schedules its end.
    fn serve(&mut self, host: usize, job: Job, made_ms: f64) {
        let Some(attempt) = self.attempts.get_mut(&job.attempt()) else {
            return;
        };
        attempt.made_ms = made_ms;
        let is_origin = self.hosts[host].kind == HostKind::Origin;
        let incarnation = self.hosts[host].incarnation;
        let operation = &self.operations[attempt.operation as usize];
        let kb = operation.kb;
        if matches!(job, Job::Answer(_)) {
            attempt.fill = if is_origin {
                FillOutcome::Filled
            } else {
                FillOutcome::Hit
            };
            if operation.write {
                let effect = attempt.request.0.to_string();
                self.record_event(RecordedEvent::EffectApplied { effect });
            }
        }
        let mut wait_ms = self.service_ms(host, kb);
        if is_origin {
            wait_ms += self.scenario.origin_latency_ms * self.conditions.origin_factor;
        }
        let done = Event::JobDone {
            host,
            incarnation,
            job,
        };
        self.schedule(wait_ms, done);
    }

    /// Frees the slot of a job, if it has one.
    pub(super) fn free_slot(&mut self, host: usize, job: Job) {
        let state = &mut self.hosts[host];
        if let Some(index) = state.running.iter().position(|other| *other == job) {
            state.running.swap_remove(index);
            state.busy = state.busy.saturating_sub(1);
        }
    }

    /// Handles the end of a job at a host: frees its slot and continues with what the job was for.
    pub(super) fn job_done(&mut self, host: usize, job: Job) {
        self.free_slot(host, job);
        match job {
            Job::Answer(id) => self.end_attempt(id, AttemptOutcome::Answered, FillOutcome::Nothing),
            Job::FillParent(id) => self.parent_filled(id),
            Job::FillCache(id) => self.send_fill(id),
        }
        self.start_queued_jobs(host);
    }
}
