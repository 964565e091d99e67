//! One request, from its arrival to its only answer.

use std::cell::Cell;
use std::rc::Rc;

use flaxdeck::polled::{Input, Step};
use flaxdeck::{
    Attempt, AttemptEnded, AttemptIndex, AttemptOutcome, Clearance, HostId, Request, RequestId,
    Span,
};
use tokio::sync::Notify;
use tokio::task::{AbortHandle, JoinSet, spawn_local};
use tokio::time::Instant;

use super::{OpenRequest, Router};
use crate::protocol::attempt::{ClearedAttempt, ReceivedReply};
use crate::protocol::client_connection::Responder;
use flaxdeck_net::budget::Permit;
use flaxdeck_net::clock::to_duration;
use flaxdeck_net::metrics::{Counter, assert_invariant, count};
use flaxdeck_wire::{Answer, AttemptOptions, ClientRequest, HostReply};

/// An attempt that is out.
struct Out {
    index: AttemptIndex,
    host: HostId,
    sent: Instant,
    /// Something of it may have been written.
    begun: Rc<Cell<bool>>,
    task: AbortHandle,
}

struct RequestTask {
    router: Rc<Router>,
    id: RequestId,
    asked: Rc<ClientRequest>,
    /// Budget for the bytes of what was asked.
    _held: Permit,
    entry: Rc<OpenRequest>,
    /// Until the request has its answer.
    reply: Option<Responder>,
    out: Vec<Out>,
    tasks: JoinSet<(AttemptIndex, ReceivedReply)>,
}

impl Router {
    /// Takes a request in; its task gives the answer.
    pub(super) fn take(
        self: &Rc<Router>,
        asked: Box<ClientRequest>,
        reply: Responder,
        held: Permit,
    ) -> RequestId {
        let (id, now) = (RequestId(self.next.get()), self.clock.now());
        self.next.set(id.0 + 1);
        count(Counter::requests);
        let request = Request {
            id,
            class: asked.class,
            object: asked.object,
            part: asked.part,
            group: asked.group,
            size_kb: asked.size_kb,
            deadline: now + asked.timeout,
            again: asked.is_retry,
        };
        let entry = Rc::new(OpenRequest {
            object: asked.object,
            notify: Notify::new(),
            left: Cell::new(false),
        });
        self.table.borrow_mut().insert(id, entry.clone());
        assert_invariant(
            self.ids.borrow_mut().insert(asked.id.clone()),
            "open requests differ by their ids",
        );
        self.asked_for(asked.object);
        self.report(Input::RequestArrived(request));
        let (router, asked, reply) = (self.clone(), Rc::from(asked), Some(reply));
        let (out, tasks) = (Vec::new(), JoinSet::new());
        let task = RequestTask {
            router,
            id,
            asked,
            _held: held,
            entry,
            reply,
            out,
            tasks,
        };
        spawn_local(task.run());
        id
    }

    /// The client has left.
    pub(super) fn leave(&self, request: RequestId) {
        let Some(entry) = self.table.borrow().get(&request).cloned() else {
            return;
        };
        entry.left.set(true);
        entry.notify.notify_one();
    }

    pub(super) fn is_open(&self, request: RequestId) -> bool {
        self.table.borrow().contains_key(&request)
    }
}

impl RequestTask {
    async fn run(mut self) {
        loop {
            if self.entry.left.get() && self.reply.take().is_some() {
                count(Counter::left);
                log::debug!("left: request {}", self.id.0);
                self.close();
                self.drop_unsent();
                self.router.report(Input::ClientLeft(self.id));
            }
            self.steps();
            if self.reply.is_none() && self.out.is_empty() {
                break;
            }
            tokio::select! {
                () = self.entry.notify.notified() => {}
                Some(ended) = self.tasks.join_next() => {
                    if let Ok((index, ReceivedReply { host_reply, permit: held })) = ended {
                        self.ended(index, host_reply, held);
                    }
                }
            }
        }
        self.router.ids.borrow_mut().remove(&self.asked.id);
        assert_invariant(
            self.router.pick(self.id) == Step::Wait,
            "a request ends with no step left",
        );
    }

    /// What waits for a connection waits for nobody any more, whether or not an attempt may be taken back.
    fn drop_unsent(&mut self) {
        let (begun, unsent): (Vec<Out>, Vec<Out>) =
            self.out.drain(..).partition(|out| out.begun.get());
        unsent.iter().for_each(|out| out.task.abort());
        if begun.is_empty() {
            count(Counter::left_unsent);
        }
        self.out = begun;
    }

    fn close(&self) {
        self.router.table.borrow_mut().remove(&self.id);
    }

    /// The only place where a request gets its answer.
    fn answer(&mut self, answer: Answer, held: Option<Permit>) {
        let Some(reply) = self.reply.take() else {
            return assert_invariant(false, "one answer a request");
        };
        count(match &answer {
            Answer::Served(_) => Counter::served,
            Answer::Unchanged => Counter::unchanged,
            Answer::Rejected(_) => Counter::rejected,
            Answer::Failed => Counter::failed,
        });
        reply.send(answer, held);
        self.close();
    }

    fn steps(&mut self) {
        loop {
            match self.router.pick(self.id) {
                Step::Attempt(index, attempt) => self.attempt(index, attempt),
                Step::Cancel(index) => self.take_back(index),
                Step::Reject(retry_after) => self.answer(Answer::Rejected(retry_after), None),
                Step::Fail => self.answer(Answer::Failed, None),
                Step::Wait => return,
            }
        }
    }

    fn attempt(&mut self, index: AttemptIndex, attempt: Attempt) {
        assert_invariant(
            self.reply.is_some(),
            "nothing is handed off for a request that is over",
        );
        count(Counter::attempts);
        let (to, from, allow) = (&attempt.host.0, &attempt.source.0, attempt.allow.ms());
        log::debug!(
            "request {} attempt {} to {to} filled from {from} within {allow} ms",
            self.id.0,
            index.0
        );
        let (router, asked, host) = (
            self.router.clone(),
            self.asked.clone(),
            attempt.host.clone(),
        );
        let (id, until) = (self.id, Instant::now() + to_duration(attempt.allow));
        let begun = Rc::new(Cell::new(false));
        let begins = begun.clone();
        let task = self.tasks.spawn_local(async move {
            let clear = || {
                let Clearance { oldest, sent_by } = router.clear(id, index)?;
                let waits = until.checked_duration_since(Instant::now())?;
                let options = AttemptOptions {
                    class: &router.names.classes[asked.class.0],
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
                    sent_by: until.min(router.clock.instant(sent_by)),
                })
            };
            (
                index,
                router
                    .pool
                    .attempt(&attempt.host, &asked, until, clear, &begins)
                    .await,
            )
        });
        self.out.push(Out {
            index,
            host,
            sent: Instant::now(),
            begun,
            task,
        });
    }

    fn take_back(&mut self, index: AttemptIndex) {
        if let Some(at) = self.out.iter().position(|out| out.index == index) {
            count(Counter::taken_back);
            let Out {
                host, sent, task, ..
            } = self.out.remove(at);
            task.abort();
            // Guards against a request that waits for ever for the end of what it took back itself.
            if self.reply.is_some() {
                self.report_end(
                    index,
                    host,
                    sent,
                    HostReply::without_body(AttemptOutcome::Cancelled),
                );
            }
        }
    }

    fn ended(&mut self, index: AttemptIndex, host_reply: HostReply, held: Option<Permit>) {
        let Some(at) = self.out.iter().position(|out| out.index == index) else {
            return;
        };
        let Out { host, sent, .. } = self.out.remove(at);
        // Guards against a client that keeps an old copy: one that is not named by its own tag is no answer, and
        // from then on the whole object is asked for.
        let other = host_reply.is_of_another_copy(&self.asked);
        if other {
            count(Counter::unchanged_of_another);
            self.asked = Rc::new(ClientRequest {
                cached_tag: None,
                ..(*self.asked).clone()
            });
        }
        let host_reply = HostReply {
            outcome: if other {
                AttemptOutcome::Errored
            } else {
                host_reply.outcome
            },
            ..host_reply
        };
        if host_reply.outcome == AttemptOutcome::Answered && self.reply.is_some() {
            let body = host_reply.body.clone();
            self.answer(
                if host_reply.unchanged {
                    Answer::Unchanged
                } else {
                    Answer::Served(body)
                },
                held,
            );
        }
        self.report_end(index, host, sent, host_reply);
    }

    fn report_end(&self, index: AttemptIndex, host: HostId, sent: Instant, host_reply: HostReply) {
        let HostReply {
            outcome,
            fill,
            waited,
            report,
            ..
        } = host_reply;
        let link = report.link;
        log::debug!(
            "request {} attempt {} at {}: {outcome:?} {fill:?} {link:?}",
            self.id.0,
            index.0,
            host.0
        );
        let (request, closed) = (self.id, self.reply.is_none());
        let took = Span::of_ms(sent.elapsed().as_secs_f64() * 1000.0);
        self.router.report(Input::AttemptEnded(AttemptEnded {
            request,
            index,
            host,
            outcome,
            took,
            closed,
            fill,
            waited,
            report,
        }));
    }
}
