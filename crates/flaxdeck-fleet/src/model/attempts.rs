//! Attempts: a request handed to one host, from the decision to the word of its end.

use flaxdeck::{
    AttemptEnded, AttemptIndex, AttemptOutcome, FillOutcome, HostId, LoadReport, RequestId, Span,
};
use flaxdeck_invariants::{FinalAnswer, RecordedEvent};

use super::events::Event;
use super::{Model, time};
use crate::hosts::{Job, Kind};

/// One request handed to one host.
#[derive(Clone)]
pub(super) struct OpenAttempt {
    pub(super) forwarder: usize,
    /// The forwarder's run.
    pub(super) run: u32,
    pub(super) request: RequestId,
    /// Which of the request's attempts it is.
    pub(super) index: u32,
    pub(super) want: u64,
    pub(super) host: usize,
    /// Where the host fills from if it holds no copy.
    pub(super) source: usize,
    /// When the oldest copy was made that may be handed out.
    pub(super) oldest: f64,
    /// The rank that a fill is kept with.
    pub(super) keep: u8,
    /// No fill: only a copy that is held.
    pub(super) only_held: bool,
    pub(super) sent: f64,
    pub(super) fill_begun: f64,
    /// Milliseconds that its fill took.
    pub(super) waited: Option<f64>,
    pub(super) fill: FillOutcome,
    pub(super) outcome: Option<AttemptOutcome>,
    /// When the copy that it answers with was made.
    pub(super) made: f64,
    /// The parent that asks the origin for it.
    pub(super) through: Option<usize>,
}

impl Model<'_> {
    /// Milliseconds between an attempt's forwarder and its host.
    pub(super) fn distance(&self, host: usize) -> f64 {
        if self.hosts[host].kind == Kind::Cache {
            self.shape.near_ms
        } else {
            self.shape.far_ms
        }
    }

    /// An attempt reaches its host.
    pub(super) fn at_host(&mut self, id: u64) {
        let Some(attempt) = self
            .attempts
            .get(&id)
            .filter(|attempt| attempt.outcome.is_none())
        else {
            return;
        };
        let (host, kb) = (attempt.host, self.wants[attempt.want as usize].kb);
        match self.admit(host, Job::Answer(id), kb) {
            None | Some(AttemptOutcome::TimedOut) => {}
            Some(outcome) => self.end(id, outcome, FillOutcome::Nothing),
        }
    }

    /// An attempt has ended where it was; word of it goes back.
    pub(super) fn end(&mut self, id: u64, outcome: AttemptOutcome, fill: FillOutcome) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if attempt.outcome.is_some() {
            return self.forget(id);
        }
        attempt.outcome = Some(outcome);
        if fill != FillOutcome::Nothing || outcome != AttemptOutcome::Answered {
            attempt.fill = fill;
        }
        let host = attempt.host;
        let near = if outcome == AttemptOutcome::TimedOut {
            0.0
        } else {
            self.distance(host)
        };
        self.after(near, Event::AttemptEnded { attempt: id });
    }

    /// Nobody waits for it any more, unless a place still works on it.
    pub(super) fn forget(&mut self, id: u64) {
        self.attempts.remove(&id);
    }

    /// Word of an attempt's end reaches its forwarder.
    pub(super) fn ended(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id).cloned() else {
            return;
        };
        let Some(outcome) = attempt.outcome else {
            return;
        };
        // A cancelled or timed out one may still be worked on where it is.
        if outcome != AttemptOutcome::TimedOut {
            self.forget(id);
        }
        if self.forwarders[attempt.forwarder].run != attempt.run {
            return;
        }
        if outcome == AttemptOutcome::Answered {
            self.hand_out(&attempt);
        }
        let ended = self.end_as_told(&attempt, outcome);
        let decisions = self.forwarders[attempt.forwarder]
            .engine
            .attempt_ended(time(self.now), ended);
        self.decide(attempt.forwarder, decisions);
    }

    /// A forwarder hands an attempt's answer to the client.
    fn hand_out(&mut self, attempt: &OpenAttempt) {
        self.outcome.hits += u64::from(attempt.fill == FillOutcome::Hit);
        let want = &self.wants[attempt.want as usize];
        if !want.write && want.out.is_some() {
            let object = want.object.to_string();
            self.see(RecordedEvent::CopyServed {
                object,
                sent_ms: attempt.sent,
                made_ms: attempt.made,
            });
        }
        self.answered(
            attempt.forwarder,
            attempt.request,
            FinalAnswer::Served,
            None,
        );
    }

    /// An attempt's end as its forwarder's decision engine learns of it.
    fn end_as_told(&self, attempt: &OpenAttempt, outcome: AttemptOutcome) -> AttemptEnded {
        let host = &self.hosts[attempt.host];
        let answered = outcome == AttemptOutcome::Answered;
        let over_link = answered && host.kind == Kind::Cache;
        AttemptEnded {
            request: attempt.request,
            index: AttemptIndex(attempt.index),
            host: HostId(host.id.as_str().into()),
            outcome,
            took: Span::of_ms(self.now - attempt.sent),
            closed: answered,
            fill: attempt.fill,
            waited: attempt
                .waited
                .filter(|_| attempt.source != attempt.host)
                .map(Span::of_ms),
            report: LoadReport {
                link: over_link.then(|| self.sites[host.zone].link_load),
                in_hand: answered.then_some(host.told),
                busy: None,
            },
        }
    }
}
