//! One request, from its arrival to its only answer.

use std::cell::Cell;
use std::rc::Rc;

use flaxdeck::polled::{Input, Step};
use flaxdeck::{
    Attempt, AttemptEnded, AttemptIndex, AttemptOutcome, Clearance, HostId, Request, RequestId,
    Span,
};
use flaxdeck_net::budget::Permit;
use flaxdeck_net::clock::to_duration;
use flaxdeck_net::metrics::{Counter, assert_invariant, count};
use flaxdeck_wire::{Answer, AttemptOptions, ClientRequest, HostReply};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;

use super::Router;
use super::request_table::OpenRequest;
use crate::protocol::attempt::ClearedAttempt;
use crate::protocol::client_connection::Responder;

/// An attempt that is not over. Its task is aborted when the attempt is cancelled.
struct RunningAttempt {
    index: AttemptIndex,
    host: HostId,
    sent: Instant,
    /// Something of it may have been written.
    may_be_sent: Rc<Cell<bool>>,
    task: AbortHandle,
}

/// What the task of an attempt gives.
struct EndedAttempt {
    index: AttemptIndex,
    reply: HostReply,
    /// Budget for the bytes of the answer.
    bytes: Option<Permit>,
}

/// Serves one request: takes the steps that the decision engine picks until none is left. It owns the request's attempts.
struct RequestTask {
    router: Rc<Router>,
    id: RequestId,
    asked: Rc<ClientRequest>,
    /// Budget for the bytes of what was asked.
    _bytes: Permit,
    entry: Rc<OpenRequest>,
    /// Until the request has its answer.
    reply: Option<Responder>,
    /// The attempts that are not over.
    running: Vec<RunningAttempt>,
    tasks: JoinSet<EndedAttempt>,
}

impl Router {
    /// Takes a request in; its task gives the answer.
    pub(super) fn start_request(
        self: &Rc<Router>,
        asked: Box<ClientRequest>,
        reply: Responder,
        bytes: Permit,
    ) -> RequestId {
        let id = self.requests.next_id();
        count(Counter::requests);
        let request = Request {
            id,
            class: asked.class,
            object: asked.object,
            part: asked.part,
            group: asked.group,
            size_kb: asked.size_kb,
            deadline: self.clock.now() + asked.timeout,
            is_retry: asked.is_retry,
        };
        let entry = self.requests.open(id, asked.id.clone(), asked.object);
        if let Some(client) = self.control_client.get() {
            client.report_purge_of(self, asked.object);
        }
        self.report(Input::RequestArrived(request));
        let task = RequestTask {
            router: self.clone(),
            id,
            asked: Rc::from(asked),
            _bytes: bytes,
            entry,
            reply: Some(reply),
            running: Vec::new(),
            tasks: JoinSet::new(),
        };
        self.requests.tasks.spawn(task.run());
        id
    }
}

impl RequestTask {
    async fn run(mut self) {
        loop {
            if self.entry.left.get() && self.reply.take().is_some() {
                self.client_left();
            }
            self.take_steps();
            if self.reply.is_none() && self.running.is_empty() {
                break;
            }
            tokio::select! {
                () = self.entry.notify.notified() => {}
                Some(ended) = self.tasks.join_next() => {
                    // An attempt that was aborted is off the list already.
                    if let Ok(ended) = ended {
                        self.attempt_ended(ended);
                    }
                }
            }
        }
        self.router.requests.release_client_id(&self.asked.id);
        assert_invariant(
            self.router.pick(self.id) == Step::Wait,
            "a request ends with no step left",
        );
    }

    fn client_left(&mut self) {
        count(Counter::left);
        log::debug!("left: request {}", self.id.0);
        self.router.requests.close(self.id);
        self.abort_unsent();
        self.router.report(Input::ClientLeft(self.id));
    }

    /// What waits for a connection waits for nobody any more, whether or not an attempt may be cancelled.
    fn abort_unsent(&mut self) {
        self.running.retain(|attempt| {
            let is_sent = attempt.may_be_sent.get();
            if !is_sent {
                attempt.task.abort();
            }
            is_sent
        });
        if self.running.is_empty() {
            count(Counter::left_unsent);
        }
    }

    /// The only place where a request gets its answer.
    fn answer(&mut self, answer: Answer, bytes: Option<Permit>) {
        let Some(reply) = self.reply.take() else {
            return assert_invariant(false, "one answer a request");
        };
        count(match &answer {
            Answer::Served(_) => Counter::served,
            Answer::Unchanged => Counter::unchanged,
            Answer::Rejected(_) => Counter::rejected,
            Answer::Failed => Counter::failed,
        });
        reply.send(answer, bytes);
        self.router.requests.close(self.id);
    }

    fn take_steps(&mut self) {
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
            self.reply.is_some(),
            "nothing is handed off for a request that is over",
        );
        count(Counter::attempts);
        log::debug!(
            "request {} attempt {} to {} filled from {} within {} ms",
            self.id.0,
            index.0,
            attempt.host.0,
            attempt.source.0,
            attempt.allow.ms()
        );
        let host = attempt.host.clone();
        let may_be_sent = Rc::new(Cell::new(false));
        let sending = AttemptSending {
            router: self.router.clone(),
            request: self.id,
            index,
            asked: self.asked.clone(),
            until: Instant::now() + to_duration(attempt.allow),
            attempt,
            may_be_sent: may_be_sent.clone(),
        };
        let task = self.tasks.spawn_local(sending.run());
        self.running.push(RunningAttempt {
            index,
            host,
            sent: Instant::now(),
            may_be_sent,
            task,
        });
    }

    fn take_running(&mut self, index: AttemptIndex) -> Option<RunningAttempt> {
        let at = self
            .running
            .iter()
            .position(|attempt| attempt.index == index)?;
        Some(self.running.remove(at))
    }

    fn cancel_attempt(&mut self, index: AttemptIndex) {
        let Some(attempt) = self.take_running(index) else {
            return;
        };
        count(Counter::taken_back);
        attempt.task.abort();
        // Guards against a request that waits for ever for the end of what it cancelled itself.
        if self.reply.is_some() {
            self.report_end(attempt, HostReply::without_body(AttemptOutcome::Cancelled));
        }
    }

    fn attempt_ended(&mut self, ended: EndedAttempt) {
        let Some(attempt) = self.take_running(ended.index) else {
            return;
        };
        let mut reply = ended.reply;
        // Guards against a client that keeps an old copy: one that is not named by its own tag is no answer, and
        // from then on the whole object is asked for.
        if reply.is_of_another_copy(&self.asked) {
            count(Counter::unchanged_of_another);
            reply.outcome = AttemptOutcome::Errored;
            self.asked = Rc::new(ClientRequest {
                cached_tag: None,
                ..(*self.asked).clone()
            });
        }
        if reply.outcome == AttemptOutcome::Answered && self.reply.is_some() {
            let answer = if reply.unchanged {
                Answer::Unchanged
            } else {
                Answer::Served(reply.body.clone())
            };
            self.answer(answer, ended.bytes);
        }
        self.report_end(attempt, reply);
    }

    fn report_end(&self, attempt: RunningAttempt, reply: HostReply) {
        let (outcome, fill, link) = (&reply.outcome, &reply.fill, &reply.report.link);
        log::debug!(
            "request {} attempt {} at {}: {outcome:?} {fill:?} {link:?}",
            self.id.0,
            attempt.index.0,
            attempt.host.0
        );
        self.router.report(Input::AttemptEnded(AttemptEnded {
            request: self.id,
            index: attempt.index,
            host: attempt.host,
            outcome: reply.outcome,
            took: Span::of_ms(attempt.sent.elapsed().as_secs_f64() * 1000.0),
            closed: self.reply.is_none(),
            fill: reply.fill,
            waited: reply.waited,
            report: reply.report,
        }));
    }
}

/// One attempt on its way: waits for a connection to the host, sends it and reads the reply.
struct AttemptSending {
    router: Rc<Router>,
    request: RequestId,
    index: AttemptIndex,
    asked: Rc<ClientRequest>,
    attempt: Attempt,
    until: Instant,
    /// Something of it may have been written.
    may_be_sent: Rc<Cell<bool>>,
}

impl AttemptSending {
    async fn run(self) -> EndedAttempt {
        let clear = || self.clear();
        let received = self
            .router
            .host_connections
            .attempt(
                &self.attempt.host,
                &self.asked,
                self.until,
                clear,
                &self.may_be_sent,
            )
            .await;
        EndedAttempt {
            index: self.index,
            reply: received.host_reply,
            bytes: received.permit,
        }
    }

    /// What the attempt asks for if it is sent now, and until when; none if it may not be sent any more.
    fn clear(&self) -> Option<ClearedAttempt<'_>> {
        let Clearance { oldest, sent_by } = self.router.clear(self.request, self.index)?;
        let waits = self.until.checked_duration_since(Instant::now())?;
        let attempt = &self.attempt;
        let options = AttemptOptions {
            class: &self.router.names.classes[self.asked.class.0],
            timeout: Span::of_ms(waits.as_secs_f64() * 1000.0),
            source: Some(&attempt.source).filter(|source| **source != attempt.host),
            retention_rank: attempt.keep,
            new_connection: attempt.fresh,
            max_age: oldest,
            join: attempt.join,
            only_cached: attempt.only_held,
            revalidate: attempt.renew,
        };
        Some(ClearedAttempt {
            options,
            sent_by: self.until.min(self.router.clock.instant(sent_by)),
        })
    }
}
