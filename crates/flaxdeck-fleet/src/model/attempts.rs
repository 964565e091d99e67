//! Attempts: from the arrival of a request at a host until its forwarder learns the outcome.

use flaxdeck::{
    AttemptEnded, AttemptIndex, AttemptOutcome, FillOutcome, HostId, LoadReport, RequestId, Span,
};
use flaxdeck_invariants::{FinalAnswer, RecordedEvent};

use super::events::Event;
use super::{Model, time};
use crate::host::{HostKind, Job};

/// An attempt: a request that a forwarder has sent to a host.
#[derive(Clone)]
pub(super) struct OpenAttempt {
    pub(super) forwarder: usize,
    /// The incarnation of the forwarder that sent the attempt.
    pub(super) incarnation: u32,
    pub(super) request: RequestId,
    /// The index of the attempt within its request.
    pub(super) index: u32,
    pub(super) operation: u64,
    pub(super) host: usize,
    /// The host that a miss is filled from; the host itself for no fill.
    pub(super) source: usize,
    /// Copies made before this time, in milliseconds of the run, may not be served.
    pub(super) oldest_ms: f64,
    /// The rank under which the cache stores the filled copy.
    pub(super) cache_rank: u8,
    /// The source serves only a copy that it has cached; it does not fetch the object from the origin.
    pub(super) only_cached: bool,
    /// When the forwarder sent the attempt, in milliseconds of the run.
    pub(super) sent_ms: f64,
    pub(super) fill_started_ms: f64,
    /// The time from the start of the fill to the source's first byte or to its failure, in milliseconds.
    pub(super) fill_took_ms: Option<f64>,
    pub(super) fill: FillOutcome,
    pub(super) outcome: Option<AttemptOutcome>,
    /// When the copy that the host serves was made, in milliseconds of the run.
    pub(super) made_ms: f64,
    /// The parent that fetches the object from the origin.
    pub(super) filling_parent: Option<usize>,
}

impl Model<'_> {
    /// Returns the one-way latency between a forwarder and a host, in milliseconds.
    pub(super) fn latency_ms(&self, host: usize) -> f64 {
        if self.hosts[host].kind == HostKind::Cache {
            self.scenario.near_latency_ms
        } else {
            self.scenario.far_latency_ms
        }
    }

    /// Handles the arrival of an attempt at its host.
    pub(super) fn attempt_reaches_host(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        if attempt.outcome.is_some() {
            return;
        }
        let host = attempt.host;
        let kb = self.operations[attempt.operation as usize].kb;
        match self.admit(host, Job::Answer(id), kb) {
            None | Some(AttemptOutcome::TimedOut) => {}
            Some(outcome) => self.end_attempt(id, outcome, FillOutcome::Nothing),
        }
    }

    /// Ends an attempt at its host. The forwarder learns the outcome after the latency of the way back, or immediately
    /// in the case of a time-out, which it detects itself.
    pub(super) fn end_attempt(&mut self, id: u64, outcome: AttemptOutcome, fill: FillOutcome) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if attempt.outcome.is_some() {
            return self.drop_attempt(id);
        }
        attempt.outcome = Some(outcome);
        if fill != FillOutcome::Nothing || outcome != AttemptOutcome::Answered {
            attempt.fill = fill;
        }
        let host = attempt.host;
        let way_back_ms = if outcome == AttemptOutcome::TimedOut {
            0.0
        } else {
            self.latency_ms(host)
        };
        self.schedule(way_back_ms, Event::AttemptEnded { attempt: id });
    }

    /// Removes an attempt. Later events for it have no effect on its request.
    pub(super) fn drop_attempt(&mut self, id: u64) {
        self.attempts.remove(&id);
    }

    /// Handles the outcome of an attempt at its forwarder.
    pub(super) fn attempt_ended(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id).cloned() else {
            return;
        };
        let Some(outcome) = attempt.outcome else {
            return;
        };
        // The host may still be working on an attempt that has timed out, so its entry stays until the host has
        // finished.
        if outcome != AttemptOutcome::TimedOut {
            self.drop_attempt(id);
        }
        if self.forwarders[attempt.forwarder].incarnation != attempt.incarnation {
            return;
        }
        if outcome == AttemptOutcome::Answered {
            self.deliver_answer(&attempt);
        }
        let ended = self.describe_ended_attempt(&attempt, outcome);
        let decisions = self.forwarders[attempt.forwarder]
            .engine
            .attempt_ended(time(self.now), ended);
        self.apply_decisions(attempt.forwarder, decisions);
    }

    /// Forwards the answer of an attempt to the client, and records the copy that was served.
    fn deliver_answer(&mut self, attempt: &OpenAttempt) {
        self.outcome.hits += u64::from(attempt.fill == FillOutcome::Hit);
        let operation = &self.operations[attempt.operation as usize];
        if !operation.write && operation.pending.is_some() {
            let object = operation.object.to_string();
            self.record_event(RecordedEvent::CopyServed {
                object,
                sent_ms: attempt.sent_ms,
                made_ms: attempt.made_ms,
            });
        }
        self.send_final_answer(
            attempt.forwarder,
            attempt.request,
            FinalAnswer::Served,
            None,
        );
    }

    /// Returns the end of an attempt in the form in which the forwarder's decision engine receives it.
    fn describe_ended_attempt(
        &self,
        attempt: &OpenAttempt,
        outcome: AttemptOutcome,
    ) -> AttemptEnded {
        let host = &self.hosts[attempt.host];
        let answered = outcome == AttemptOutcome::Answered;
        let over_link = answered && host.kind == HostKind::Cache;
        AttemptEnded {
            request: attempt.request,
            index: AttemptIndex(attempt.index),
            host: HostId(host.id.as_str().into()),
            outcome,
            took: Span::of_ms(self.now - attempt.sent_ms),
            closed: answered,
            fill: attempt.fill,
            waited: attempt
                .fill_took_ms
                .filter(|_| attempt.source != attempt.host)
                .map(Span::of_ms),
            actual_kb: None,
            unchanged: false,
            report: LoadReport {
                link: over_link.then(|| self.zone_links[host.zone].load),
                in_flight: answered.then_some(host.reported_load),
                utilization: None,
            },
        }
    }
}
