//! The decision engine for callers that run each request in a task of its own.
//!
//! A caller reports events with `report`, takes a request's steps with `pick` until the step is to wait, and calls
//! `tick` at the time that `due` returns. This module only queues what the decision engine returns, and decides nothing
//! itself.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::decision::DecisionEngine;
use crate::{
    Attempt, AttemptEnded, AttemptIndex, AttemptOutcome, Clearance, CompleteAsOf, Decisions,
    DeploymentTerms, Endpoint, Final, GroupId, ListKind, ObjectId, Observation, PeerHints,
    PossibleRun, Request, RequestId, Sampled, Span, Time,
};

/// An event that the caller reports.
#[derive(Debug)]
pub enum Input {
    /// A full or delta endpoint list has arrived.
    EndpointList(ListKind, Vec<Endpoint>),
    /// A purge was made.
    Purged {
        /// The object; `None` for all objects of the group.
        object: Option<ObjectId>,
        /// The group; [`GroupId::ALL`] for all groups.
        group: GroupId,
        /// When the purge was made.
        made: Time,
    },
    /// A client's request has arrived.
    RequestArrived(Request),
    /// A client's request has arrived whose id is that of an earlier one that may have run.
    RequestRepeated(Request, PossibleRun),
    /// An attempt has ended; if it was answered, that is its request's final answer.
    AttemptEnded(AttemptEnded),
    /// The client of a request has disconnected.
    ClientLeft(RequestId),
    /// Hints of other dispatchers have arrived.
    PeerHints(PeerHints),
    /// All events are known that the coordinator had as of the given time.
    EventsConfirmed(CompleteAsOf),
    /// The process ends at the given time.
    ShutdownAt(Time),
}

/// A request's next step.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// Send an attempt.
    Attempt(AttemptIndex, Attempt),
    /// Cancel an attempt.
    Cancel(AttemptIndex),
    /// Reject the request, with a retry-after for the client if there is one.
    Reject(Option<Span>),
    /// Answer the request as failed.
    Fail,
    /// Nothing to do until `report` or `tick` returns the request again.
    Wait,
}

/// The steps of a request that have not been picked yet.
#[derive(Default)]
struct StepQueue {
    steps: VecDeque<Step>,
    /// Attempts so far, picked or not.
    attempts: u32,
    /// Whether the request has its final answer, or its client has disconnected.
    finished: bool,
}

/// A decision engine whose decisions are picked request by request.
pub struct PolledEngine {
    engine: DecisionEngine,
    queues: BTreeMap<RequestId, StepQueue>,
    /// The times still to come at which the decision engine has to be woken.
    wakes: BTreeSet<Time>,
}

impl PolledEngine {
    /// Creates an engine; the seed is its only source of randomness.
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

    /// Applies an event; returns the requests that have a step to pick.
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
            Input::RequestRepeated(request, earlier_run) => {
                self.queues.insert(request.id, StepQueue::default());
                self.engine.repeated_request(now, request, earlier_run)
            }
            Input::AttemptEnded(ended) => {
                if ended.outcome == AttemptOutcome::Answered {
                    self.finish(ended.request);
                }
                self.engine.attempt_ended(now, ended)
            }
            Input::PeerHints(hints) => self.engine.apply_peer_hints(now, hints),
            Input::EventsConfirmed(as_of) => self.engine.events_confirmed(now, as_of),
            Input::ShutdownAt(ends) => self.engine.shut_down_at(now, ends),
            Input::ClientLeft(request) => {
                self.finish(request);
                self.engine.client_left(now, request)
            }
        };
        self.enqueue_all(decisions)
    }

    /// Wakes the decision engine if that is due by now; returns the requests that have a step to pick. To be called at
    /// the time that `due` returns, or a little later.
    pub fn tick(&mut self, now: Time) -> Vec<RequestId> {
        if self.due().is_none_or(|due| due > now) {
            return Vec::new();
        }
        self.wakes.retain(|wake| *wake > now);
        let decisions = self.engine.wake(now);
        self.enqueue_all(decisions)
    }

    /// Decides whether an attempt that was picked may still be sent now that its connection is established, and on
    /// which terms.
    pub fn clear_attempt(
        &mut self,
        now: Time,
        request: RequestId,
        index: AttemptIndex,
    ) -> Option<Clearance> {
        self.engine.clear_attempt(now, request, index)
    }

    /// Returns what this dispatcher has observed of each host, to be reported to its peers. Resets the unmet demand.
    pub fn observations(&self, now: Time) -> Vec<Observation> {
        self.engine.observations(now)
    }

    /// Returns the last known load of the location's link: transfers over those that it carries at full speed.
    pub fn link(&self) -> Option<Sampled<f64>> {
        self.engine.link
    }

    /// Returns the retry-after for clients whose requests the caller rejects without reporting them.
    pub fn retry_after(&self) -> Option<Span> {
        self.engine.retry_after
    }

    /// Returns the time from which no new attempt is made unless the coordinator is heard before.
    pub fn list_valid_until(&self) -> Time {
        self.engine.list_valid_until()
    }

    /// Returns the shorter of the graces for drains and purges; `None` where the settings have none.
    pub fn shortest_event_grace(&self) -> Option<Span> {
        self.engine.shortest_event_grace()
    }

    /// Returns how long the endpoint list may be relied on after the coordinator was heard.
    pub fn list_lifetime(&self) -> Span {
        self.engine.list_lifetime()
    }

    /// Returns when `tick` is to be called next.
    pub fn due(&self) -> Option<Time> {
        self.wakes.first().copied()
    }

    /// Takes a request's next step from its queue; returns [`Step::Wait`] if there is none.
    pub fn pick(&mut self, request: RequestId) -> Step {
        let Some(queue) = self.queues.get_mut(&request) else {
            return Step::Wait;
        };
        let step = queue.steps.pop_front().unwrap_or(Step::Wait);
        queue.finished |= matches!(step, Step::Reject(_) | Step::Fail);
        if queue.finished && step == Step::Wait {
            self.queues.remove(&request);
        }
        step
    }

    /// Drops the steps not picked yet of a request that has ended on the caller's side, except for cancels.
    fn finish(&mut self, request: RequestId) {
        if let Some(queue) = self.queues.get_mut(&request) {
            queue.finished = true;
            queue.steps.retain(|step| matches!(step, Step::Cancel(_)));
        }
    }

    /// Adds each decision to its request's queue; returns the requests that have a step to pick.
    fn enqueue_all(&mut self, decisions: Decisions) -> Vec<RequestId> {
        // The wire protocol has no load poll, so the hosts to poll are ignored.
        let Decisions {
            cancels,
            attempts,
            finals,
            looks: _,
            wake,
        } = decisions;
        let mut ready = Vec::new();
        for cancel in cancels {
            ready.extend(self.enqueue(cancel.request, |_| Step::Cancel(cancel.index)));
        }
        for attempt in attempts {
            ready.extend(self.enqueue(attempt.request, |queue| {
                queue.attempts += 1;
                Step::Attempt(AttemptIndex(queue.attempts - 1), attempt)
            }));
        }
        for answer in finals {
            ready.extend(match answer {
                Final::Rejected {
                    request,
                    retry_after,
                } => self.enqueue(request, |_| Step::Reject(retry_after)),
                Final::Failed { request } => self.enqueue(request, |_| Step::Fail),
            });
        }
        self.wakes.extend(wake);
        ready.dedup();
        ready
    }

    /// Adds a step to a request's queue; returns `None` if the request has no queue any more.
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
