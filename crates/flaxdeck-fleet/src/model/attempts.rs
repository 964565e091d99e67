//! Attempts: a request sent to one host, from its arrival there to the report of its end.

use flaxdeck::{
    AttemptEnded, AttemptIndex, AttemptOutcome, FillOutcome, HostId, LoadReport, RequestId, Span,
};
use flaxdeck_invariants::{FinalAnswer, RecordedEvent};

use super::events::Event;
use super::{Model, time};
use crate::host::{HostKind, Job};

/// One request sent to one host.
#[derive(Clone)]
pub(super) struct OpenAttempt {
    pub(super) forwarder: usize,
    /// The forwarder's incarnation that sent it.
    pub(super) incarnation: u32,
    pub(super) request: RequestId,
    /// Which of the request's attempts it is.
    pub(super) index: u32,
    pub(super) operation: u64,
    pub(super) host: usize,
    /// Where the host fills from if it holds no copy.
    pub(super) source: usize,
    /// When the oldest copy was made that may be handed out, in milliseconds.
    pub(super) oldest_ms: f64,
    /// The rank that a fill is cached with.
    pub(super) cache_rank: u8,
    /// No fill: only a copy that is cached.
    pub(super) only_cached: bool,
    /// Milliseconds of the run.
    pub(super) sent_ms: f64,
    pub(super) fill_started_ms: f64,
    /// Milliseconds that its fill took.
    pub(super) fill_took_ms: Option<f64>,
    pub(super) fill: FillOutcome,
    pub(super) outcome: Option<AttemptOutcome>,
    /// When the copy that it answers with was made, in milliseconds.
    pub(super) made_ms: f64,
    /// The parent that asks the origin for it.
    pub(super) filling_parent: Option<usize>,
}

impl Model<'_> {
    /// Milliseconds between an attempt's forwarder and its host.
    pub(super) fn latency_ms(&self, host: usize) -> f64 {
        if self.hosts[host].kind == HostKind::Cache {
            self.scenario.near_latency_ms
        } else {
            self.scenario.far_latency_ms
        }
    }

    /// An attempt reaches its host.
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

    /// An attempt has ended at its host; its forwarder learns of it after the way back.
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

    /// Nobody waits for it any more, unless a slot still works on it.
    pub(super) fn drop_attempt(&mut self, id: u64) {
        self.attempts.remove(&id);
    }

    /// The end of an attempt reaches its forwarder.
    pub(super) fn attempt_ended(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id).cloned() else {
            return;
        };
        let Some(outcome) = attempt.outcome else {
            return;
        };
        // A cancelled or timed out one may still be worked on where it is.
        if outcome != AttemptOutcome::TimedOut {
            self.drop_attempt(id);
        }
        if self.forwarders[attempt.forwarder].incarnation != attempt.incarnation {
            return;
        }
        if outcome == AttemptOutcome::Answered {
            self.deliver_answer(&attempt);
        }
        let ended = self.attempt_report(&attempt, outcome);
        let decisions = self.forwarders[attempt.forwarder]
            .engine
            .attempt_ended(time(self.now), ended);
        self.decide(attempt.forwarder, decisions);
    }

    /// A forwarder hands an attempt's answer to the client.
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
        self.answer(
            attempt.forwarder,
            attempt.request,
            FinalAnswer::Served,
            None,
        );
    }

    /// An attempt's end as its forwarder's decision engine learns of it.
    fn attempt_report(&self, attempt: &OpenAttempt, outcome: AttemptOutcome) -> AttemptEnded {
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
            report: LoadReport {
                link: over_link.then(|| self.zone_links[host.zone].load),
                in_flight: answered.then_some(host.reported_load),
                utilization: None,
            },
        }
    }
}
