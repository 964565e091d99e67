//! The decision engine in blocking style, for callers that give each request a task of its own: `report` what became
//! known, `pick` a request's next step until it says wait, `tick` at the time that `due` names. It only keeps in order
//! what the decision engine returns; nothing here decides.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::decision::DecisionEngine;
use crate::{
    Attempt, AttemptEnded, AttemptIndex, AttemptOutcome, Clearance, Decisions, DeploymentTerms,
    Endpoint, Final, GroupId, ListKind, ObjectId, Observation, PeerHints, Request, RequestId,
    Sampled, Span, Time,
};

/// What became known.
#[derive(Debug)]
pub enum Input {
    EndpointList(ListKind, Vec<Endpoint>),
    Purged {
        object: Option<ObjectId>,
        group: GroupId,
        made: Time,
    },
    RequestArrived(Request),
    /// An answered attempt is its request's final answer.
    AttemptEnded(AttemptEnded),
    ClientLeft(RequestId),
    /// What other dispatchers tell.
    PeerHints(PeerHints),
    /// This process ends at that time.
    ShutdownAt(Time),
}

/// A request's next step.
#[derive(Debug, PartialEq)]
pub enum Step {
    Attempt(AttemptIndex, Attempt),
    Cancel(AttemptIndex),
    Reject(Option<Span>),
    Fail,
    /// Nothing now; ask again when the request is named by `report` or `tick`.
    Wait,
}

#[derive(Default)]
struct Line {
    steps: VecDeque<Step>,
    attempts: u32,
    over: bool,
}

/// One dispatcher's decisions, asked for request by request.
pub struct PolledEngine {
    engine: DecisionEngine,
    lines: BTreeMap<RequestId, Line>,
    /// All wishes of the decision engine that have not come: earlier ones stand beside later ones.
    due: BTreeSet<Time>,
}

impl PolledEngine {
    pub fn start(now: Time, seed: u64, terms: DeploymentTerms) -> PolledEngine {
        let (engine, decisions) = DecisionEngine::start(now, seed, terms);
        let mut engine = PolledEngine {
            engine,
            lines: BTreeMap::new(),
            due: BTreeSet::new(),
        };
        engine.sort(decisions);
        engine
    }

    /// Takes in what became known; gives the requests that have a step to pick.
    pub fn report(&mut self, now: Time, input: Input) -> Vec<RequestId> {
        let decisions = match input {
            Input::EndpointList(list_kind, lines) => self.engine.list(now, list_kind, lines),
            Input::Purged {
                object,
                group,
                made,
            } => self.engine.purge(now, object, group, made),
            Input::RequestArrived(request) => {
                self.lines.insert(request.id, Line::default());
                self.engine.request(now, request)
            }
            Input::AttemptEnded(ended) => {
                if ended.outcome == AttemptOutcome::Answered {
                    self.end(ended.request);
                }
                self.engine.attempt_ended(now, ended)
            }
            Input::PeerHints(guided) => self.engine.guided(now, guided),
            Input::ShutdownAt(ends) => self.engine.ends_at(now, ends),
            Input::ClientLeft(request) => {
                self.end(request);
                self.engine.client_left(now, request)
            }
        };
        self.sort(decisions)
    }

    /// To be called at the time that `due` names, or a little later.
    pub fn tick(&mut self, now: Time) -> Vec<RequestId> {
        if self.due().is_none_or(|due| due > now) {
            return Vec::new();
        }
        self.due.retain(|due| *due > now);
        let decisions = self.engine.wake(now);
        self.sort(decisions)
    }

    /// Whether an attempt that was picked may still be sent, and what it may ask for by now.
    pub fn clear(
        &mut self,
        now: Time,
        request: RequestId,
        index: AttemptIndex,
    ) -> Option<Clearance> {
        self.engine.clear(now, request, index)
    }

    /// What was seen of each host here, for others to hear.
    pub fn observations(&self, now: Time) -> Vec<Observation> {
        self.engine.observations(now)
    }

    /// How full the location's link was when last heard.
    pub fn link(&self) -> Option<Sampled<f64>> {
        self.engine.link
    }

    /// When a client may come back whose request was not even reported.
    pub fn retry_after(&self) -> Option<Span> {
        self.engine.retry_after
    }

    pub fn due(&self) -> Option<Time> {
        self.due.first().copied()
    }

    pub fn pick(&mut self, request: RequestId) -> Step {
        let Some(line) = self.lines.get_mut(&request) else {
            return Step::Wait;
        };
        let step = line.steps.pop_front().unwrap_or(Step::Wait);
        line.over |= matches!(step, Step::Reject(_) | Step::Fail);
        if line.over && step == Step::Wait {
            self.lines.remove(&request);
        }
        step
    }

    // The request is over by what the caller saw, so steps that were not picked yet have no use.
    fn end(&mut self, request: RequestId) {
        if let Some(line) = self.lines.get_mut(&request) {
            line.over = true;
            line.steps.retain(|step| matches!(step, Step::Cancel(_)));
        }
    }

    /// Puts each decision in its request's line; gives the requests that have a step to pick.
    fn sort(&mut self, decisions: Decisions) -> Vec<RequestId> {
        // On sockets the platform's protocol has no word for a look, so none is asked for there.
        let Decisions {
            cancels,
            attempts,
            finals,
            looks: _,
            wake,
        } = decisions;
        let mut named = Vec::new();
        for cancel in cancels {
            named.extend(self.add(cancel.request, |_| Step::Cancel(cancel.index)));
        }
        for attempt in attempts {
            named.extend(self.add(attempt.request, |line| {
                line.attempts += 1;
                Step::Attempt(AttemptIndex(line.attempts - 1), attempt)
            }));
        }
        for last in finals {
            named.extend(match last {
                Final::Rejected {
                    request,
                    retry_after,
                } => self.add(request, |_| Step::Reject(retry_after)),
                Final::Failed { request } => self.add(request, |_| Step::Fail),
            });
        }
        self.due.extend(wake);
        named.dedup();
        named
    }

    fn add(
        &mut self,
        request: RequestId,
        step: impl FnOnce(&mut Line) -> Step,
    ) -> Option<RequestId> {
        let line = self.lines.get_mut(&request)?;
        let step = step(line);
        line.steps.push_back(step);
        Some(request)
    }
}
