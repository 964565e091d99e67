//! Rule 1: each request gets exactly one final answer, in time.

use std::collections::{BTreeMap, BTreeSet};

use crate::{FinalAnswer, Rule, Verdict};

/// Follows each request from its sending to its end.
pub(crate) struct AnswerChecker<'a> {
    slack_ms: f64,
    /// The deadlines of requests without an answer.
    open: BTreeMap<&'a str, f64>,
    /// Requests that have ended.
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
            let description = format!("{request} was asked twice under one name");
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
            let description = format!("{request} was answered again, or never asked: {answer:?}");
            verdict.add_violation(Rule::OneAnswerInTime, at_ms, description);
            return;
        };
        if at_ms > deadline_ms + self.slack_ms {
            let late_ms = at_ms - deadline_ms;
            let description = format!("{request} was answered {late_ms:.0} ms too late");
            verdict.add_violation(Rule::OneAnswerInTime, at_ms, description);
        }
        self.ended.insert(request);
        match answer {
            FinalAnswer::Served => verdict.served += 1,
            FinalAnswer::Rejected => verdict.rejected += 1,
            FinalAnswer::Failed => verdict.failed += 1,
        }
    }

    /// A client that left owes and is owed nothing; one that had its answer leaves without a trace.
    pub(crate) fn client_left(&mut self, request: &'a str, verdict: &mut Verdict) {
        if self.open.remove(request).is_some() {
            self.ended.insert(request);
            verdict.left += 1;
        }
    }

    /// The record is over: what is still open was never answered.
    pub(crate) fn finish(self, verdict: &mut Verdict) {
        for (request, deadline_ms) in self.open {
            let description = format!("{request} was never answered");
            verdict.add_violation(Rule::OneAnswerInTime, deadline_ms, description);
        }
    }
}
