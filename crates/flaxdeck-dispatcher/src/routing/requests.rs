//! Serves one request, from its arrival to its single answer.

use std::cell::Cell;
use std::rc::Rc;

use flaxdeck::polled::{Input, Step};
use flaxdeck::run_history::ClientUse;
use flaxdeck::{
    Attempt, AttemptEnded, AttemptIndex, AttemptOutcome, ClassId, HostId, PossibleRun, Request,
    RequestId, Time,
};
use flaxdeck_net::budget::Permit;
use flaxdeck_net::clock::to_duration;
use flaxdeck_net::metrics::{Counter, assert_invariant, count};
use flaxdeck_wire::{Answer, ClientRequest, HostReply};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;

use super::Router;
use super::attempt_task::{AttemptTask, EndedAttempt};
use super::request_table::OpenRequest;
use crate::protocol::client_connection::Responder;

/// An attempt that has not ended. Its task is aborted when the attempt is cancelled.
struct RunningAttempt {
    index: AttemptIndex,
    host: HostId,
    /// When the decision engine sent it.
    sent: Time,
    /// Set just before the first byte is written to the host.
    is_write_started: Rc<Cell<bool>>,
    task: AbortHandle,
}

/// Serves one request: executes the decision engine's steps until the request is answered, or its client has left, and
/// all attempts have ended. It owns the request's attempts.
struct RequestTask {
    router: Rc<Router>,
    id: RequestId,
    client_request: Rc<ClientRequest>,
    /// The memory that the request's body holds.
    _bytes: Permit,
    entry: Rc<OpenRequest>,
    /// None once the request is answered or its client has left.
    responder: Option<Responder>,
    /// The attempts that have not ended.
    running: Vec<RunningAttempt>,
    tasks: JoinSet<EndedAttempt>,
    /// The first attempt that may have run.
    possible_run: Option<PossibleRun>,
}

impl Router {
    /// Whether a client's request of that class may be sent: it could be remembered as one that has run, or need not be.
    pub(super) fn can_remember(&self, class: ClassId, client: &mut ClientUse) -> bool {
        let now = self.clock.now();
        self.run_history.borrow_mut().admit(now, class, client)
    }

    /// Returns the run of an earlier request with the same id, if there may have been one that must not be repeated.
    pub(super) fn earlier_run(&self, request: &ClientRequest) -> Option<PossibleRun> {
        let history = self.run_history.borrow();
        history.earlier_run(self.clock.now(), request.class, request.id_number())
    }

    /// Starts a request; its task gives the answer.
    pub(super) fn start_request(
        self: &Rc<Router>,
        client_request: Box<ClientRequest>,
        responder: Responder,
        bytes: Permit,
    ) -> RequestId {
        let id = self.requests.next_id();
        count(Counter::requests);
        let request = Request {
            id,
            class: client_request.class,
            object: client_request.object,
            part: client_request.part,
            group: client_request.group,
            size_kb: self.answer_sizes.limited(client_request.size_kb),
            deadline: self.clock.now() + client_request.timeout.min(self.longest_wait),
            is_retry: client_request.is_retry,
        };
        let entry = self
            .requests
            .open(id, client_request.id_number(), client_request.object);
        if let Some(client) = self.control_client.get() {
            client.report_purge_for_request(self, client_request.object);
        }
        self.report(match self.earlier_run(&client_request) {
            Some(run) => {
                count(Counter::requests_repeated);
                Input::RequestRepeated(request, run)
            }
            None => Input::RequestArrived(request),
        });
        let task = RequestTask {
            router: self.clone(),
            id,
            client_request: Rc::from(client_request),
            _bytes: bytes,
            entry,
            responder: Some(responder),
            running: Vec::new(),
            tasks: JoinSet::new(),
            possible_run: None,
        };
        self.requests.tasks.spawn(task.run());
        id
    }
}

impl RequestTask {
    async fn run(mut self) {
        loop {
            if self.entry.client_left.get() && self.responder.take().is_some() {
                self.handle_client_left();
            }
            self.run_steps();
            if self.responder.is_none() && self.running.is_empty() {
                break;
            }
            tokio::select! {
                () = self.entry.notify.notified() => {}
                Some(ended) = self.tasks.join_next() => {
                    // An error means that the task was aborted; its attempt is already removed from `running`.
                    if let Ok(ended) = ended {
                        self.handle_attempt_end(ended);
                    }
                }
            }
        }
        self.remember_run();
        self.router
            .requests
            .release_client_id(self.client_request.id_number());
        assert_invariant(
            self.router.pick(self.id) == Step::Wait,
            "the decision engine has no step left for a request that ends",
        );
    }

    /// Remembers the request if it may have run, so that its id does not run a second time.
    fn remember_run(&mut self) {
        if let Some(run) = self.possible_run.take() {
            let request = &self.client_request;
            let mut history = self.router.run_history.borrow_mut();
            history.record(request.class, request.id_number(), run);
        }
    }

    /// Notes that an attempt may have run.
    fn note_possible_run(&mut self, attempt: &RunningAttempt) {
        self.possible_run.get_or_insert_with(|| PossibleRun {
            sent: attempt.sent,
            host: attempt.host.clone(),
        });
    }

    fn handle_client_left(&mut self) {
        count(Counter::left);
        log::debug!("left: request {}", self.id.0);
        self.router.requests.close(self.id);
        self.abort_unsent();
        self.router.report(Input::ClientLeft(self.id));
    }

    /// Aborts the attempts of which nothing has been written: they only wait for a connection. That is safe even where
    /// an attempt must not be cancelled once it is sent.
    fn abort_unsent(&mut self) {
        self.running.retain(|attempt| {
            let is_write_started = attempt.is_write_started.get();
            if !is_write_started {
                attempt.task.abort();
            }
            is_write_started
        });
        if self.running.is_empty() {
            count(Counter::left_unsent);
        }
    }

    /// Answers the request. No other place does, so that each request is answered at most once.
    fn answer(&mut self, answer: Answer, bytes: Option<Permit>) {
        let Some(responder) = self.responder.take() else {
            return assert_invariant(false, "a request is answered only once");
        };
        count(match &answer {
            Answer::Served(_) => Counter::served,
            Answer::Unchanged => Counter::unchanged,
            Answer::Rejected(_) => Counter::rejected,
            Answer::Failed => Counter::failed,
        });
        responder.send(answer, bytes);
        self.router.requests.close(self.id);
    }

    fn run_steps(&mut self) {
        loop {
            match self.router.pick(self.id) {
                Step::Attempt(index, attempt) => self.start_attempt(index, attempt),
                Step::Cancel(index) => self.cancel_attempt(index),
                Step::Reject(retry_after) => self.answer(Answer::Rejected(retry_after), None),
                Step::Fail => self.answer(Answer::Failed, None),
                Step::Wait => return,
            }
        }
    }

    fn start_attempt(&mut self, index: AttemptIndex, attempt: Attempt) {
        assert_invariant(
            self.responder.is_some(),
            "no attempt starts for a request that is answered or whose client has left",
        );
        count(Counter::attempts);
        log::debug!(
            "request {} attempt {} to {}, fill source {}, timeout {} ms",
            self.id.0,
            index.0,
            attempt.host.0,
            attempt.source.0,
            attempt.allow.ms()
        );
        let host = attempt.host.clone();
        let is_write_started = Rc::new(Cell::new(false));
        let attempt_task = AttemptTask {
            router: self.router.clone(),
            request: self.id,
            index,
            client_request: self.client_request.clone(),
            until: Instant::now() + to_duration(attempt.allow),
            attempt,
            is_write_started: is_write_started.clone(),
        };
        let task = self.tasks.spawn_local(attempt_task.run());
        self.running.push(RunningAttempt {
            index,
            host,
            sent: self.router.clock.now(),
            is_write_started,
            task,
        });
    }

    fn remove_running(&mut self, index: AttemptIndex) -> Option<RunningAttempt> {
        let at = self
            .running
            .iter()
            .position(|attempt| attempt.index == index)?;
        Some(self.running.remove(at))
    }

    fn cancel_attempt(&mut self, index: AttemptIndex) {
        let Some(attempt) = self.remove_running(index) else {
            return;
        };
        count(Counter::taken_back);
        attempt.task.abort();
        if attempt.is_write_started.get() {
            self.note_possible_run(&attempt);
        }
        // The aborted task returns no result, so the end of the attempt is reported here. Otherwise an open request
        // would wait for it for ever.
        if self.responder.is_some() {
            self.report_attempt_end(attempt, HostReply::without_body(AttemptOutcome::Cancelled));
        }
    }

    fn handle_attempt_end(&mut self, ended: EndedAttempt) {
        let Some(attempt) = self.remove_running(ended.index) else {
            return;
        };
        let mut reply = ended.reply;
        if !reply.outcome.never_ran() {
            self.note_possible_run(&attempt);
        }
        // Guards against a client that goes on using an outdated copy: a host that reports another tag as unchanged has
        // not confirmed the client's copy. The attempt counts as failed, and later ones request the whole object.
        if reply.is_of_another_copy(&self.client_request) {
            count(Counter::unchanged_of_another);
            reply.outcome = AttemptOutcome::Errored;
            self.client_request = Rc::new(ClientRequest {
                cached_tag: None,
                ..(*self.client_request).clone()
            });
        }
        if reply.outcome == AttemptOutcome::Answered && self.responder.is_some() {
            let answer = if reply.unchanged {
                Answer::Unchanged
            } else {
                Answer::Served(reply.body.clone())
            };
            self.answer(answer, ended.bytes);
        }
        self.report_attempt_end(attempt, reply);
    }

    /// Returns the size of an answer in KB if it contradicts the one that the client stated.
    fn contradicting_size(&self, reply: &HostReply) -> Option<f64> {
        if reply.outcome != AttemptOutcome::Answered || reply.unchanged {
            return None;
        }
        let request = &self.client_request;
        let actual_kb = self.router.answer_sizes.contradiction(
            request.class,
            request.size_kb,
            reply.body.len(),
        )?;
        count(Counter::sizes_contradicted);
        log::debug!(
            "request {} has an answer of {actual_kb:.1} KB, stated were {:?}",
            self.id.0,
            request.size_kb
        );
        Some(actual_kb)
    }

    fn report_attempt_end(&self, attempt: RunningAttempt, reply: HostReply) {
        let (outcome, fill, link) = (&reply.outcome, &reply.fill, &reply.report.link);
        log::debug!(
            "request {} attempt {} at {} ended: outcome {outcome:?}, fill {fill:?}, link load {link:?}",
            self.id.0,
            attempt.index.0,
            attempt.host.0
        );
        let actual_kb = self.contradicting_size(&reply);
        self.router.report(Input::AttemptEnded(AttemptEnded {
            request: self.id,
            index: attempt.index,
            host: attempt.host,
            outcome: reply.outcome,
            took: self.router.clock.now().since(attempt.sent),
            closed: self.responder.is_none(),
            fill: reply.fill,
            waited: reply.waited,
            actual_kb,
            unchanged: reply.unchanged,
            report: reply.report,
        }));
    }
}
