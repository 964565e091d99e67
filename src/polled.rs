//! The decision engine for callers that give each request a task of its own: `report` what became known, `pick` a
//! request's next step until that is to wait, `tick` at the time that `due` names. It only keeps in order what the
//! decision engine returns; nothing here decides.

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
    /// Lines of the list of hosts.
    EndpointList(ListKind, Vec<Endpoint>),
    /// A purge was made.
    Purged {
        /// The object; none for all objects of the group.
        object: Option<ObjectId>,
        /// The group; [`GroupId::ALL`] for all groups.
        group: GroupId,
        /// When it was made.
        made: Time,
    },
    /// A client's request has come.
    RequestArrived(Request),
    /// An attempt has ended; if it was answered, that is its request's final answer.
    AttemptEnded(AttemptEnded),
    /// The client of a request has left.
    ClientLeft(RequestId),
    /// What other dispatchers tell.
    PeerHints(PeerHints),
    /// This process ends at that time.
    ShutdownAt(Time),
}

/// A request's next step.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// Send an attempt.
    Attempt(AttemptIndex, Attempt),
    /// Cancel an attempt.
    Cancel(AttemptIndex),
    /// Reject the request, and name the time after which the client may retry.
    Reject(Option<Span>),
    /// Answer the request as failed.
    Fail,
    /// Nothing now; ask again when the request is named by `report` or `tick`.
    Wait,
}

/// The steps of a request that were not picked yet.
#[derive(Default)]
struct StepQueue {
    steps: VecDeque<Step>,
    /// Attempts so far, picked or not.
    attempts: u32,
    /// The request has its final answer, or its client has left.
    over: bool,
}

/// One dispatcher's decisions, asked for request by request.
pub struct PolledEngine {
    engine: DecisionEngine,
    queues: BTreeMap<RequestId, StepQueue>,
    /// All times at which the decision engine asked to be woken, and that have not come.
    wakes: BTreeSet<Time>,
}

impl PolledEngine {
    /// A new instance; the seed is its only source of chance.
    pub fn start(now: Time, seed: u64, terms: DeploymentTerms) -> PolledEngine {
        let (engine, decisions) = DecisionEngine::start(now, seed, terms);
        let mut engine = PolledEngine {
            engine,
            queues: BTreeMap::new(),
            wakes: BTreeSet::new(),
        };
        engine.enqueue_all(decisions);
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
                self.queues.insert(request.id, StepQueue::default());
                self.engine.request(now, request)
            }
            Input::AttemptEnded(ended) => {
                if ended.outcome == AttemptOutcome::Answered {
                    self.end(ended.request);
                }
                self.engine.attempt_ended(now, ended)
            }
            Input::PeerHints(hints) => self.engine.guided(now, hints),
            Input::ShutdownAt(ends) => self.engine.ends_at(now, ends),
            Input::ClientLeft(request) => {
                self.end(request);
                self.engine.client_left(now, request)
            }
        };
        self.enqueue_all(decisions)
    }

    /// To be called at the time that `due` names, or a little later; gives the requests that have a step to pick.
    pub fn tick(&mut self, now: Time) -> Vec<RequestId> {
        if self.due().is_none_or(|due| due > now) {
            return Vec::new();
        }
        self.wakes.retain(|wake| *wake > now);
        let decisions = self.engine.wake(now);
        self.enqueue_all(decisions)
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

    /// Load of the location's link by its last report: transfers over those that fit at full pace.
    pub fn link(&self) -> Option<Sampled<f64>> {
        self.engine.link
    }

    /// The time after which a client may retry whose request was not even reported.
    pub fn retry_after(&self) -> Option<Span> {
        self.engine.retry_after
    }

    /// When `tick` is to be called next.
    pub fn due(&self) -> Option<Time> {
        self.wakes.first().copied()
    }

    /// Takes a request's next step; [`Step::Wait`] if it has none.
    pub fn pick(&mut self, request: RequestId) -> Step {
        let Some(queue) = self.queues.get_mut(&request) else {
            return Step::Wait;
        };
        let step = queue.steps.pop_front().unwrap_or(Step::Wait);
        queue.over |= matches!(step, Step::Reject(_) | Step::Fail);
        if queue.over && step == Step::Wait {
            self.queues.remove(&request);
        }
        step
    }

    /// Drops what was not picked yet of a request that is over by what the caller saw; cancels stay.
    fn end(&mut self, request: RequestId) {
        if let Some(queue) = self.queues.get_mut(&request) {
            queue.over = true;
            queue.steps.retain(|step| matches!(step, Step::Cancel(_)));
        }
    }

    /// Puts each decision in its request's queue; gives the requests that have a step to pick.
    fn enqueue_all(&mut self, decisions: Decisions) -> Vec<RequestId> {
        // The platform's protocol has no load poll on sockets, so none is passed on.
        let Decisions {
            cancels,
            attempts,
            finals,
            looks: _,
            wake,
        } = decisions;
        let mut named = Vec::new();
        for cancel in cancels {
            named.extend(self.enqueue(cancel.request, |_| Step::Cancel(cancel.index)));
        }
        for attempt in attempts {
            named.extend(self.enqueue(attempt.request, |queue| {
                queue.attempts += 1;
                Step::Attempt(AttemptIndex(queue.attempts - 1), attempt)
            }));
        }
        for answer in finals {
            named.extend(match answer {
                Final::Rejected {
                    request,
                    retry_after,
                } => self.enqueue(request, |_| Step::Reject(retry_after)),
                Final::Failed { request } => self.enqueue(request, |_| Step::Fail),
            });
        }
        self.wakes.extend(wake);
        named.dedup();
        named
    }

    /// Adds a step to a request's queue, if that is still kept.
    fn enqueue(
        &mut self,
        request: RequestId,
        step: impl FnOnce(&mut StepQueue) -> Step,
    ) -> Option<RequestId> {
        let queue = self.queues.get_mut(&request)?;
        let step = step(queue);
        queue.steps.push_back(step);
        Some(request)
    }
}
