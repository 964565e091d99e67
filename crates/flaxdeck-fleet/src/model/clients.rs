//! Clients: their operations, the requests that they send for each, and how each request ends.

use flaxdeck::{ClassId, GroupId, ObjectId, Request, RequestId, Span};
use flaxdeck_invariants::{FinalAnswer, RecordedEvent};
use rand::Rng;

use super::deployment::{OBJECTIVE_MS, OBJECTIVE_STRETCH};
use super::events::Event;
use super::forwarders::OpenRequest;
use super::{GROUPS, Model, time};

/// The size of a write in KB.
const WRITE_KB: f64 = 5.0;
/// The object that a `HotObject` fault directs requests to: the most popular one.
const HOT_OBJECT: u64 = 0;
/// Scanned objects are numbered from here, past all objects of the usual traffic.
const FIRST_SCANNED_OBJECT: u64 = 1_000_000_000;
/// The time until a client retries after a request timed out without an answer.
const RETRY_AFTER_TIMEOUT_MS: f64 = 100.0;
/// The time until a client retries after a request failed, or was rejected without a retry-after.
const RETRY_AFTER_FAILURE_MS: f64 = 200.0;
/// The time until a client retries after its forwarder crashed.
const RETRY_AFTER_LOST_FORWARDER_MS: f64 = 300.0;

/// An operation of a client, with its progress.
pub(super) struct Operation {
    pub(super) zone: usize,
    pub(super) object: u64,
    pub(super) kb: f64,
    pub(super) write: bool,
    /// The time by which the operation must be served to be in time: the latency objective of its first request.
    pub(super) objective_ms: f64,
    /// The number of requests sent so far.
    pub(super) tries: u32,
    /// The ids of the attempts of all its requests.
    pub(super) attempts: Vec<u64>,
    /// The request that the client is waiting for.
    pub(super) pending: Option<PendingRequest>,
    /// Whether the operation was served or given up.
    pub(super) ended: bool,
    pub(super) served: bool,
}

/// A request without an answer, with the forwarder that it was sent to and the incarnation of that forwarder.
#[derive(Clone, Copy)]
pub(super) struct PendingRequest {
    forwarder: usize,
    incarnation: u32,
    request: RequestId,
}

impl Model<'_> {
    /// Handles the arrival of a client in a zone, and schedules the next arrival.
    pub(super) fn client_arrives(&mut self, zone: usize) {
        if self.now >= self.scenario.duration_ms {
            return;
        }
        let gap = self
            .traffic
            .next_gap_ms(self.conditions.load_factor, &mut self.rng);
        self.schedule(gap, Event::Arrival { zone });
        let hot_fraction = self.conditions.hot_fraction;
        let hot = hot_fraction > 0.0 && self.rng.random_bool(hot_fraction);
        let object = if hot {
            HOT_OBJECT
        } else {
            self.traffic.draw_object(&mut self.rng)
        };
        let write = self.traffic.draw_write(&mut self.rng);
        self.start_operation(zone, object, write);
    }

    /// Starts the next operation of a scan, and schedules the one after it while the scan lasts.
    pub(super) fn scan_request(&mut self) {
        if self.conditions.scan_per_s <= 0.0 {
            return;
        }
        let gap = 1_000.0 / self.conditions.scan_per_s;
        self.schedule(gap, Event::Scan);
        self.conditions.scanned += 1;
        let zone = self.rng.random_range(0..self.scenario.zones);
        self.start_operation(zone, FIRST_SCANNED_OBJECT + self.conditions.scanned, false);
    }

    fn start_operation(&mut self, zone: usize, object: u64, write: bool) {
        let kb = if write {
            WRITE_KB
        } else {
            self.traffic.size_kb(object)
        };
        let objective_ms =
            self.now + OBJECTIVE_MS as f64 + OBJECTIVE_STRETCH * kb / self.scenario.slot_kb_per_ms;
        self.operations.push(Operation {
            zone,
            object,
            kb,
            write,
            objective_ms,
            tries: 0,
            attempts: Vec::new(),
            pending: None,
            ended: false,
            served: false,
        });
        self.outcome.operations += 1;
        self.send_request(self.operations.len() as u64 - 1);
    }

    /// Sends a request for an operation to a forwarder of the client's zone, drawn at random.
    pub(super) fn send_request(&mut self, id: u64) {
        let in_zone = self.rng.random_range(0..self.scenario.forwarders_per_zone);
        let operation = &mut self.operations[id as usize];
        if operation.ended {
            return;
        }
        operation.tries += 1;
        let tries = operation.tries;
        let forwarder = operation.zone * self.scenario.forwarders_per_zone + in_zone;
        let request = RequestId(self.next_id());
        let incarnation = self.forwarders[forwarder].incarnation;
        self.operations[id as usize].pending = Some(PendingRequest {
            forwarder,
            incarnation,
            request,
        });
        self.requests.insert(request.0, id);
        self.outcome.requests += 1;
        self.await_answer(request, id, tries);
        let open = OpenRequest {
            operation: id,
            attempts: 0,
        };
        self.forwarders[forwarder].open.insert(request, open);
        let described = self.describe_request(request, id);
        let decisions = self.forwarders[forwarder]
            .engine
            .request(time(self.now), described);
        self.apply_decisions(forwarder, decisions);
    }

    /// Records a request, and schedules the time-out of its client.
    fn await_answer(&mut self, request: RequestId, operation: u64, tries: u32) {
        let timeout_ms = self.scenario.client_timeout_ms;
        let deadline_ms = self.now + timeout_ms;
        self.record_event(RecordedEvent::RequestSent {
            request: request.0.to_string(),
            deadline_ms,
        });
        self.schedule(timeout_ms, Event::ClientTimeout { operation, tries });
    }

    /// Returns a request in the form in which the forwarder's decision engine receives it.
    fn describe_request(&self, id: RequestId, operation: u64) -> Request {
        let operation = &self.operations[operation as usize];
        Request {
            id,
            class: ClassId(usize::from(operation.write)),
            object: ObjectId(operation.object),
            part: 0,
            group: GroupId(operation.object % GROUPS),
            size_kb: Some(operation.kb),
            deadline: time(self.now + self.scenario.client_timeout_ms),
            is_retry: operation.tries > 1,
        }
    }

    /// Handles a client's time-out: if its request has no answer yet, the client disconnects and retries.
    pub(super) fn client_times_out(&mut self, id: u64, tries: u32) {
        let operation = &mut self.operations[id as usize];
        if operation.ended || operation.tries != tries {
            return;
        }
        // This request has been answered, and the next one has not been sent yet.
        let Some(PendingRequest {
            forwarder,
            incarnation,
            request,
        }) = operation.pending.take()
        else {
            return;
        };
        // The forwarder has not answered in time on an open connection. No `ClientLeft` is recorded, so the check of
        // the rules counts the missing answer as a violation.
        if self.forwarders[forwarder].incarnation == incarnation
            && self.forwarders[forwarder].open.remove(&request).is_some()
        {
            let decisions = self.forwarders[forwarder]
                .engine
                .client_left(time(self.now), request);
            self.apply_decisions(forwarder, decisions);
        }
        self.retry(id, RETRY_AFTER_TIMEOUT_MS);
    }

    /// Schedules a retry `after_ms` from now with a jitter of up to 20 % either way, or gives the operation up after
    /// `max_tries` requests.
    fn retry(&mut self, id: u64, after_ms: f64) {
        let operation = &mut self.operations[id as usize];
        operation.pending = None;
        if operation.tries >= self.scenario.max_tries {
            return self.give_up(id);
        }
        let jitter = self.rng.random_range(0.8..1.2);
        self.schedule(after_ms * jitter, Event::Retry { operation: id });
    }

    /// Handles the loss of a client's connection when its forwarder crashes.
    pub(super) fn retry_after_lost_forwarder(&mut self, id: u64) {
        self.retry_unless_write(id, RETRY_AFTER_LOST_FORWARDER_MS);
    }

    /// Retries a read. A write may have run already, so it is given up instead.
    fn retry_unless_write(&mut self, id: u64, after_ms: f64) {
        if self.operations[id as usize].write {
            self.give_up(id);
        } else {
            self.retry(id, after_ms);
        }
    }

    fn give_up(&mut self, id: u64) {
        self.operations[id as usize].ended = true;
        self.outcome.lost += 1;
    }

    /// Sends a forwarder's final answer to the client, unless the request is no longer open.
    pub(super) fn send_final_answer(
        &mut self,
        forwarder: usize,
        request: RequestId,
        answer: FinalAnswer,
        retry_after: Option<Span>,
    ) {
        let Some(OpenRequest { operation, .. }) = self.forwarders[forwarder].open.remove(&request)
        else {
            return;
        };
        self.record_event(RecordedEvent::Answered {
            request: request.0.to_string(),
            answer,
        });
        self.mix_into_digest([request.0, answer as u64, (self.now * 1000.0) as u64]);
        match answer {
            FinalAnswer::Served => self.operation_served(operation),
            FinalAnswer::Rejected => {
                self.outcome.rejected += 1;
                self.retry(
                    operation,
                    retry_after.map_or(RETRY_AFTER_FAILURE_MS, Span::ms),
                );
            }
            FinalAnswer::Failed => {
                self.outcome.failed += 1;
                self.retry_unless_write(operation, RETRY_AFTER_FAILURE_MS);
            }
        }
    }

    fn operation_served(&mut self, id: u64) {
        let operation = &mut self.operations[id as usize];
        operation.ended = true;
        operation.served = true;
        self.outcome.served += 1;
        if self.now <= operation.objective_ms {
            self.outcome.in_time += 1;
        } else {
            self.outcome.late += 1;
        }
    }
}
