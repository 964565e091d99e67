//! What hosts do: they take work in or refuse it, give it places, and are done with it.

use flaxdeck::{AttemptOutcome, FillOutcome};
use flaxdeck_invariants::RecordedEvent;

use super::Model;
use super::events::Event;
use crate::hosts::{FailureMode, Job, Kind};

/// Milliseconds of a place for any work, besides those by size.
const WORK_MS: f64 = 0.5;
/// So many jobs wait for each place.
const WAITING_A_PLACE: usize = 4;
/// Milliseconds until a host that fell over starts again.
const FALLEN_MS: f64 = 5_000.0;

impl Model<'_> {
    /// Milliseconds of an unhurried place for so many KB.
    fn cost(&self, kb: f64) -> f64 {
        kb / self.shape.place_pace + WORK_MS
    }

    /// Milliseconds that a place of this host takes for so many KB.
    pub(super) fn work(&self, at: usize, kb: f64) -> f64 {
        let times = match self.hosts[at].failure_mode {
            FailureMode::Slow(times) => times,
            _ if self.hosts[at].kind == Kind::Origin => self.conditions.origin_times,
            _ => 1.0,
        };
        self.cost(kb) * times
    }

    /// Places that a host has: fewer during slow start.
    fn capacity(&self, at: usize) -> usize {
        let host = &self.hosts[at];
        let part = host.part(self.now, self.shape.cold_from, self.shape.warm_within_ms);
        ((host.places * part).round() as usize).max(1)
    }

    /// A host takes in work; what it says to it at once, if it does not take it.
    pub(super) fn admit(&mut self, at: usize, job: Job, kb: f64) -> Option<AttemptOutcome> {
        if !self.hosts[at].up {
            return Some(AttemptOutcome::NotConnected);
        }
        self.see(RecordedEvent::WorkArrived {
            host: self.hosts[at].id.clone(),
        });
        match self.hosts[at].failure_mode {
            FailureMode::Silent => return Some(AttemptOutcome::TimedOut),
            FailureMode::Fail => return Some(AttemptOutcome::Errored),
            FailureMode::Serve | FailureMode::Slow(_) => {}
        }
        if self.hosts[at].waiting.len() >= self.capacity(at) * WAITING_A_PLACE {
            return Some(AttemptOutcome::Rejected);
        }
        if self.falls_over(at, self.cost(kb)) {
            self.outcome.fell_over += 1;
            self.kill(at);
            self.after(FALLEN_MS, Event::Restart { host: at });
            return Some(AttemptOutcome::Broken);
        }
        self.hosts[at].waiting.push_back(job);
        self.start(at);
        None
    }

    /// Books work at a host; whether that is more than it can bear during slow start.
    fn falls_over(&mut self, at: usize, cost: f64) -> bool {
        let shape = self.shape;
        let asked = self.hosts[at].book(self.now, cost, shape.window_ms);
        self.see(RecordedEvent::WorkRequested {
            host: self.hosts[at].id.clone(),
            cost_ms: cost,
        });
        let host = &self.hosts[at];
        let part = host.part(self.now, shape.cold_from, shape.warm_within_ms);
        let bearable = shape.factor * part * host.places * shape.window_ms;
        part < 1.0 && host.kind != Kind::Origin && asked > bearable
    }

    /// Gives free places to what waits.
    pub(super) fn start(&mut self, at: usize) {
        while self.hosts[at].up && self.hosts[at].busy < self.capacity(at) {
            let Some(job) = self.hosts[at].waiting.pop_front() else {
                return;
            };
            self.start_job(at, job);
        }
    }

    fn start_job(&mut self, at: usize, job: Job) {
        let id = job.attempt();
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        if attempt.outcome.is_some() && matches!(job, Job::Answer(_)) {
            return self.forget(id);
        }
        let (want, oldest) = (attempt.want, attempt.oldest);
        let host = &mut self.hosts[at];
        host.busy += 1;
        host.served.push(job);
        let held = match host.kind {
            Kind::Origin => Some(self.now),
            Kind::Cache | Kind::Parent => {
                host.copies.look(self.wants[want as usize].object, oldest)
            }
        };
        match held {
            Some(made) => self.serve(at, job, made),
            None => self.lacks(at, job),
        }
    }

    /// A host has what was asked for, made then, and works on it.
    fn serve(&mut self, at: usize, job: Job, made: f64) {
        let Some(attempt) = self.attempts.get_mut(&job.attempt()) else {
            return;
        };
        let (is_origin, run) = (self.hosts[at].kind == Kind::Origin, self.hosts[at].run);
        attempt.made = made;
        let want = &self.wants[attempt.want as usize];
        let kb = want.kb;
        if matches!(job, Job::Answer(_)) {
            attempt.fill = if is_origin {
                FillOutcome::Filled
            } else {
                FillOutcome::Hit
            };
            if want.write {
                let effect = attempt.request.0.to_string();
                self.see(RecordedEvent::EffectApplied { effect });
            }
        }
        let mut wait = self.work(at, kb);
        if is_origin {
            wait += self.shape.origin_ms * self.conditions.origin_times;
        }
        self.after(wait, Event::Served { host: at, run, job });
    }

    /// A host gives a job's place free.
    pub(super) fn leave(&mut self, at: usize, job: Job) {
        let host = &mut self.hosts[at];
        if let Some(place) = host.served.iter().position(|other| *other == job) {
            host.served.swap_remove(place);
            host.busy = host.busy.saturating_sub(1);
        }
    }

    /// A host is done with a job.
    pub(super) fn served(&mut self, at: usize, job: Job) {
        self.leave(at, job);
        match job {
            Job::Answer(id) => self.end(id, AttemptOutcome::Answered, FillOutcome::Nothing),
            Job::Behind(id) => self.filled_parent(id),
            Job::Fill(id) => self.fill_sent(id),
        }
        self.start(at);
    }
}
