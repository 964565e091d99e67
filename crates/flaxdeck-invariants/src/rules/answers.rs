//! Rule 1: each request gets exactly one final answer, in time.

use std::collections::{BTreeMap, BTreeSet};

use crate::{FinalAnswer, Rule, Verdict};

/// Tracks each request from when it is sent until it ends.
pub(crate) struct AnswerChecker<'a> {
    slack_ms: f64,
    /// The deadlines of the requests that have not ended.
    open: BTreeMap<&'a str, f64>,
    /// Requests that were answered or whose client left.
    ended: BTreeSet<&'a str>,
}

impl<'a> AnswerChecker<'a> {
    pub(crate) fn new(slack_ms: f64) -> AnswerChecker<'a> {
        AnswerChecker {
            slack_ms,
            open: BTreeMap::new(),
            ended: BTreeSet::new(),
        }
    }

    pub(crate) fn sent(
        &mut self,
        at_ms: f64,
        request: &'a str,
        deadline_ms: f64,
        verdict: &mut Verdict,
    ) {
        verdict.requests += 1;
        let still_open = self.open.insert(request, deadline_ms).is_some();
        if still_open || self.ended.contains(request) {
            let description = format!("request id {request} was sent more than once");
            verdict.add_violation(Rule::OneAnswerInTime, at_ms, description);
        }
    }

    pub(crate) fn answered(
        &mut self,
        at_ms: f64,
        request: &'a str,
        answer: FinalAnswer,
        verdict: &mut Verdict,
    ) {
        let Some(deadline_ms) = self.open.remove(request) else {
            let description = format!(
                "unexpected answer {answer:?} to request {request}: it has already ended, or was never sent"
            );
            verdict.add_violation(Rule::OneAnswerInTime, at_ms, description);
            return;
        };
        if at_ms > deadline_ms + self.slack_ms {
            let late_ms = at_ms - deadline_ms;
            let description =
                format!("request {request} was answered {late_ms:.0} ms after its deadline");
            verdict.add_violation(Rule::OneAnswerInTime, at_ms, description);
        }
        self.ended.insert(request);
        match answer {
            FinalAnswer::Served => verdict.served += 1,
            FinalAnswer::Rejected => verdict.rejected += 1,
            FinalAnswer::Failed => verdict.failed += 1,
        }
    }

    /// Ends a request whose client left, which then needs no answer. Has no effect on a request that was answered
    /// before.
    pub(crate) fn client_left(&mut self, request: &'a str, verdict: &mut Verdict) {
        if self.open.remove(request).is_some() {
            self.ended.insert(request);
            verdict.left += 1;
        }
    }

    /// Reports the requests that are still open at the end of the record.
    pub(crate) fn finish(self, verdict: &mut Verdict) {
        for (request, deadline_ms) in self.open {
            let description = format!("request {request} was never answered");
            verdict.add_violation(Rule::OneAnswerInTime, deadline_ms, description);
        }
    }
}
