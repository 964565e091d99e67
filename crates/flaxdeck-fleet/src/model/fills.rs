//! Fills: what a host that lacks a copy does about it, until the copy has come or the fill has failed.

use flaxdeck::{AttemptOutcome, FillOutcome};

use super::Model;
use super::events::Event;
use crate::hosts::{Job, Kind};

/// Milliseconds that a filling host waits for a source that says nothing.
const SOURCE_SILENT_MS: f64 = 1_500.0;
/// The rank that parents keep copies with.
const PARENT_RANK: u8 = 1;

impl Model<'_> {
    /// A host lacks what it was asked for: it fills, or says so.
    pub(super) fn lacks(&mut self, at: usize, job: Job) {
        let id = job.attempt();
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let kind = self.hosts[at].kind;
        match job {
            // A cache that lacks it has its place wait for the fill.
            Job::Answer(_) if attempt.source != at && kind == Kind::Cache => self.fill(id),
            // A parent asked straight, past the caches, fetches it behind.
            Job::Answer(_) if kind == Kind::Parent && !attempt.only_held => {
                self.fill_behind(id, at)
            }
            Job::Answer(_) => {
                self.leave(at, job);
                self.end(id, AttemptOutcome::NoCopy, FillOutcome::Nothing);
            }
            Job::Fill(_) if !attempt.only_held => self.fill_behind(id, at),
            Job::Fill(_) | Job::Behind(_) => {
                self.leave(at, job);
                self.fill_failed(id, FillOutcome::SourceLacks);
            }
        }
    }

    /// A cache asks the attempt's source.
    fn fill(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.fill_begun = self.now;
        attempt.fill = FillOutcome::Filled;
        let source = attempt.source;
        match self.hosts[source].kind {
            Kind::Origin => self.outcome.origin_fills += 1,
            Kind::Cache | Kind::Parent => self.outcome.parent_fills += 1,
        }
        self.after(
            self.shape.far_ms,
            Event::FillAt {
                attempt: id,
                source,
                behind: false,
            },
        );
    }

    /// A parent asks the origin.
    fn fill_behind(&mut self, id: u64, parent: usize) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.through = Some(parent);
        attempt.fill = FillOutcome::FilledThroughOrigin;
        let source = self.hosts.len() - 1;
        self.after(
            self.shape.far_ms,
            Event::FillAt {
                attempt: id,
                source,
                behind: true,
            },
        );
    }

    /// A fill reaches its source.
    pub(super) fn fill_at(&mut self, id: u64, source: usize, job: Job) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let kb = self.wants[attempt.want as usize].kb;
        if self.hosts[source].kind == Kind::Origin && source != attempt.source {
            self.outcome.origin_fills += 1;
        }
        match self.admit(source, job, kb) {
            None => {}
            Some(AttemptOutcome::TimedOut) => {
                self.after(SOURCE_SILENT_MS, Event::SourceSilent { attempt: id })
            }
            Some(AttemptOutcome::NotConnected | AttemptOutcome::Broken) => {
                self.fill_failed(id, FillOutcome::SourceUnreached)
            }
            Some(_) => self.fill_failed(id, FillOutcome::SourceRefused),
        }
    }

    /// The origin has answered a parent, which keeps it and goes on.
    pub(super) fn filled_parent(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let Some(parent) = attempt.through else {
            return;
        };
        attempt.made = self.now;
        let straight = attempt.host == parent;
        let want = &self.wants[attempt.want as usize];
        let (object, kb) = (want.object, want.kb);
        let host = &mut self.hosts[parent];
        let run = host.run;
        if host.up {
            host.copies.keep(object, PARENT_RANK, self.now, kb);
        }
        let job = if straight {
            Job::Answer(id)
        } else {
            Job::Fill(id)
        };
        let wait = self.shape.far_ms + self.work(parent, kb);
        self.after(
            wait,
            Event::Served {
                host: parent,
                run,
                job,
            },
        );
    }

    /// A source has sent its first byte, and the rest goes over the link of the cache's location.
    pub(super) fn fill_sent(&mut self, id: u64) {
        let now = self.now;
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.waited = Some(now - attempt.fill_begun);
        let (zone, kb) = (
            self.hosts[attempt.host].zone,
            self.wants[attempt.want as usize].kb,
        );
        self.sites[zone].begin(now, kb, id);
        self.plan_transfer_end(zone);
    }

    /// The whole object has come to the cache, which keeps it and answers.
    pub(super) fn filled(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let (at, keep, made) = (attempt.host, attempt.keep, attempt.made);
        let want = &self.wants[attempt.want as usize];
        let (object, kb) = (want.object, want.kb);
        let host = &mut self.hosts[at];
        if !host.served.contains(&Job::Answer(id)) {
            return self.forget(id);
        }
        host.copies.keep(object, keep, made, kb);
        let run = host.run;
        let wait = self.work(at, kb);
        self.after(
            wait,
            Event::Served {
                host: at,
                run,
                job: Job::Answer(id),
            },
        );
    }

    /// A fill came to nothing: its places are free, and its attempt has ended.
    pub(super) fn fill_failed(&mut self, id: u64, fill: FillOutcome) {
        let now = self.now;
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let (at, parent) = (attempt.host, attempt.through.take());
        attempt.waited = Some(now - attempt.fill_begun);
        // A parent that the origin failed has its own place back, and says whose fault it is.
        if let Some(parent) = parent.filter(|parent| *parent != at) {
            self.leave(parent, Job::Fill(id));
            self.start(parent);
        }
        let fill = if parent.is_some() {
            FillOutcome::OriginFailed
        } else {
            fill
        };
        self.leave(at, Job::Answer(id));
        let outcome = if fill == FillOutcome::OriginFailed {
            AttemptOutcome::Errored
        } else {
            AttemptOutcome::Rejected
        };
        self.end(id, outcome, fill);
        self.start(at);
    }
}
