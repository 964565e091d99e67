//! One connection of retrying clients: its operations, the stream to its current dispatcher, and failover when that
//! dispatcher is unreachable.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use flaxdeck_invariants::{FinalAnswer, RecordedEvent};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

use super::operation::{DueTime, Operation, RetryCause};
use super::stream::{Stream, StreamEvent, read_answers};
use super::{OperationEnd, OperationOutcome, Results, RetryPolicy};
use crate::load::{Load, PlannedRequest};
use crate::objects::made_ms;
use crate::requests::{AnswerMessage, RequestMessage, request_id};
use crate::state::SharedState;
use crate::sync::lock;

/// The number of requests after which an operation is not retried.
const MAX_TRIES: u32 = 4;
/// The mean pause before a retry without a retry-after, in milliseconds.
const DEFAULT_RETRY_MS: f64 = 300.0;
/// The pause before a retry by [`RetryPolicy::Immediate`], in milliseconds: one round trip.
const IMMEDIATE_RETRY_MS: f64 = 2.0;
/// How long a client avoids its primary dispatcher after a failure, in milliseconds.
const PRIMARY_AVOIDANCE_MS: f64 = 1_000.0;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The number of connects that are tried in a row for one request.
const CONNECT_TRIES: u32 = 3;
/// How far past its deadline a pending request is given up, in milliseconds.
const OVERDUE_MS: f64 = 499.0;
/// How far past a deadline the check for overdue requests runs, in milliseconds; over [`OVERDUE_MS`] so that it finds
/// one.
const OVERDUE_CHECK_MS: f64 = 500.0;

/// One connection of retrying clients.
pub(super) struct ClientConnection {
    world: Arc<SharedState>,
    dispatchers: Arc<[SocketAddr]>,
    /// The index of the primary dispatcher.
    primary: usize,
    number: usize,
    policy: RetryPolicy,
    timeout_ms: u64,
    rng: Pcg64Mcg,
    /// Operations whose next request is not sent yet, by the time at which it is due.
    due: BTreeMap<DueTime, Operation>,
    /// Operations whose request has not been answered yet, by call number.
    pending: HashMap<u32, Operation>,
    last_call: u32,
    stream: Option<Stream>,
    /// The number of streams opened so far.
    streams: u64,
    /// When a connect or a stream last failed; `None` since the client last connected to its primary dispatcher.
    last_failure_ms: Option<f64>,
    sender: mpsc::UnboundedSender<StreamEvent>,
    events: mpsc::UnboundedReceiver<StreamEvent>,
    results: Arc<Mutex<Results>>,
}

impl ClientConnection {
    pub(super) fn new(
        world: Arc<SharedState>,
        dispatchers: Arc<[SocketAddr]>,
        primary: usize,
        number: usize,
        policy: RetryPolicy,
        load: &Load,
        results: Arc<Mutex<Results>>,
    ) -> ClientConnection {
        let (sender, events) = mpsc::unbounded_channel();
        ClientConnection {
            world,
            dispatchers,
            primary,
            number,
            policy,
            timeout_ms: load.timeout_ms,
            rng: Pcg64Mcg::seed_from_u64(load.seed ^ (number as u64) << 20),
            due: BTreeMap::new(),
            pending: HashMap::new(),
            last_call: 0,
            stream: None,
            streams: 0,
            last_failure_ms: None,
            sender,
            events,
            results,
        }
    }

    /// Sends the requests at their times and their retries, until every operation has ended.
    pub(super) async fn run(mut self, requests: Vec<PlannedRequest>) {
        for (number, request) in (0..).zip(requests) {
            let operation = Operation {
                object: request.object,
                write: request.write,
                started_ms: None,
                tries: 0,
                connection_broke: false,
                sent_ms: 0.0,
            };
            self.due
                .insert(DueTime::new(request.at_ms, number), operation);
        }
        while !(self.due.is_empty() && self.pending.is_empty()) {
            let next = self.next_due();
            let overdue = self.next_overdue_check();
            tokio::select! {
                Some(event) = self.events.recv() => self.handle(event),
                () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {
                    self.send_next().await;
                }
                // Ends the operations of overdue requests; the record's check reports the missing answers.
                () = sleep_until(overdue.unwrap_or_else(Instant::now)), if overdue.is_some() => {
                    self.end_overdue();
                }
            }
        }
        self.close_stream();
    }

    fn next_due(&self) -> Option<Instant> {
        let (due, _) = self.due.first_key_value()?;
        Some(self.world.instant(due.at_ms()))
    }

    fn next_overdue_check(&self) -> Option<Instant> {
        let pending = self.pending.values();
        let deadlines = pending.map(|operation| operation.sent_ms + self.timeout_ms as f64);
        let first_ms = deadlines.min_by(f64::total_cmp)?;
        Some(self.world.instant(first_ms + OVERDUE_CHECK_MS))
    }

    fn handle(&mut self, event: StreamEvent) {
        match event {
            StreamEvent::Answered { stream, answer } if self.is_current(stream) => {
                self.handle_answer(&answer);
            }
            StreamEvent::Ended { stream } if self.is_current(stream) => self.handle_stream_end(),
            // From a stream that was closed earlier.
            StreamEvent::Answered { .. } | StreamEvent::Ended { .. } => {}
        }
    }

    fn is_current(&self, stream: u64) -> bool {
        let current = self.stream.as_ref();
        current.is_some_and(|current| current.number == stream)
    }

    fn avoids_primary(&self, now_ms: f64) -> bool {
        let last_failure_ms = self.last_failure_ms;
        last_failure_ms.is_some_and(|at_ms| now_ms - at_ms <= PRIMARY_AVOIDANCE_MS)
    }

    /// Sends the request of the operation that is due first.
    async fn send_next(&mut self) {
        let Some((_, mut operation)) = self.due.pop_first() else {
            return;
        };
        let now_ms = self.world.now();
        let started_ms = *operation.started_ms.get_or_insert(now_ms);
        let failed_over = self.last_failure_ms.is_some();
        if failed_over && !self.avoids_primary(now_ms) && self.pending.is_empty() {
            self.close_stream();
        }
        if self.stream.is_none() && !self.connect().await {
            return self.retry(operation, &RetryCause::Disconnected);
        }
        let now_ms = self.world.now();
        self.last_call += 1;
        operation.tries += 1;
        operation.sent_ms = now_ms;
        let id = request_id(self.number, self.last_call);
        self.world.record(RecordedEvent::RequestSent {
            request: id.clone(),
            deadline_ms: now_ms + self.timeout_ms as f64,
        });
        let message = RequestMessage {
            call: self.last_call,
            id: &id,
            object: &operation.object,
            write: operation.write,
            timeout_ms: self.timeout_ms,
            is_retry: operation.tries > 1 && now_ms > started_ms,
        };
        let bytes = message.encode();
        self.pending.insert(self.last_call, operation);
        let Some(stream) = &mut self.stream else {
            return;
        };
        if stream.write.write_all(&bytes).await.is_err() {
            self.handle_stream_end();
        }
    }

    fn close_stream(&mut self) {
        if let Some(stream) = self.stream.take() {
            stream.reader.abort();
        }
    }

    /// Connects to the primary dispatcher, or to a random one while the primary is avoided; `false` if every try fails.
    async fn connect(&mut self) -> bool {
        let now_ms = self.world.now();
        let primary_first = !self.avoids_primary(now_ms);
        for _ in 0..CONNECT_TRIES {
            let dispatcher = if primary_first && !self.avoids_primary(self.world.now()) {
                self.primary
            } else {
                self.rng.random_range(0..self.dispatchers.len())
            };
            let connecting = TcpStream::connect(self.dispatchers[dispatcher]);
            let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, connecting).await else {
                self.last_failure_ms = Some(self.world.now());
                continue;
            };
            self.open(stream);
            if dispatcher == self.primary {
                self.last_failure_ms = None;
            } else {
                self.last_failure_ms.get_or_insert(now_ms);
            }
            return true;
        }
        false
    }

    fn open(&mut self, stream: TcpStream) {
        // An error is ignored: without TCP_NODELAY only latencies are higher.
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        self.streams += 1;
        let reader = tokio::spawn(read_answers(read, self.streams, self.sender.clone()));
        self.stream = Some(Stream {
            number: self.streams,
            write,
            reader,
        });
    }

    /// Ends the operations whose pending request is overdue.
    fn end_overdue(&mut self) {
        let sent_before_ms = self.world.now() - self.timeout_ms as f64 - OVERDUE_MS;
        let pending = self.pending.iter();
        let overdue = pending.filter(|(_, operation)| operation.sent_ms < sent_before_ms);
        let calls: Vec<u32> = overdue.map(|(call, _)| *call).collect();
        for call in calls {
            if let Some(operation) = self.pending.remove(&call) {
                self.end(&operation, OperationEnd::Lost);
            }
        }
    }

    /// Handles the end of the stream: every pending request is recorded as left, and retried if it is not a write.
    fn handle_stream_end(&mut self) {
        self.close_stream();
        self.last_failure_ms = Some(self.world.now());
        for (call, mut operation) in std::mem::take(&mut self.pending) {
            let request = request_id(self.number, call);
            self.world.record(RecordedEvent::ClientLeft { request });
            operation.connection_broke = true;
            // A write is at most once, and may have taken effect before the connection broke.
            if operation.write {
                self.end(&operation, OperationEnd::Lost);
            } else {
                self.retry(operation, &RetryCause::Disconnected);
            }
        }
    }

    fn handle_answer(&mut self, message: &AnswerMessage) {
        let operation = self.pending.remove(&message.call);
        // A repeated answer is recorded too, so that the check finds it.
        self.world.record(RecordedEvent::Answered {
            request: request_id(self.number, message.call),
            answer: message.answer,
        });
        let Some(operation) = operation else {
            return;
        };
        match message.answer {
            FinalAnswer::Served => self.handle_served(&operation, &message.body),
            FinalAnswer::Rejected => {
                let retry_after_ms = message.retry_after_ms;
                self.retry(operation, &RetryCause::Rejected { retry_after_ms });
            }
            FinalAnswer::Failed => self.end(&operation, OperationEnd::Failed),
        }
    }

    fn handle_served(&self, operation: &Operation, body: &[u8]) {
        match made_ms(&operation.object, body) {
            Some(_) if operation.write => {}
            Some(made_ms) => self.world.record(RecordedEvent::CopyServed {
                object: operation.object.clone(),
                sent_ms: operation.sent_ms,
                made_ms,
            }),
            None => lock(&self.results).wrong_bytes += 1,
        }
        let after_ms = self.world.now() - operation.started_ms();
        self.end(operation, OperationEnd::Served { after_ms });
    }

    /// Schedules a retry by the policy, or ends the operation if its tries or its time are used up.
    fn retry(&mut self, operation: Operation, cause: &RetryCause) {
        let now_ms = self.world.now();
        let retry_after_ms = match cause {
            RetryCause::Rejected { retry_after_ms } => *retry_after_ms,
            RetryCause::Disconnected => None,
        };
        let pause_ms = match (self.policy, retry_after_ms) {
            (RetryPolicy::Immediate, _) => IMMEDIATE_RETRY_MS,
            (_, Some(retry_after_ms)) => retry_after_ms,
            (_, None) => DEFAULT_RETRY_MS * self.rng.random_range(0.8..1.2),
        };
        let deadline_ms = operation.started_ms.unwrap_or(now_ms) + self.timeout_ms as f64;
        let may_retry = self.policy != RetryPolicy::Never
            && operation.tries < MAX_TRIES
            && now_ms + pause_ms <= deadline_ms;
        if may_retry {
            self.last_call += 1;
            let due = DueTime::new(now_ms + pause_ms, self.last_call);
            self.due.insert(due, operation);
        } else {
            let end = match cause {
                RetryCause::Rejected { .. } => OperationEnd::Rejected,
                RetryCause::Disconnected => OperationEnd::Lost,
            };
            self.end(&operation, end);
        }
    }

    fn end(&self, operation: &Operation, end: OperationEnd) {
        let outcome = OperationOutcome {
            started_ms: operation.started_ms(),
            tries: operation.tries,
            end,
            connection_broke: operation.connection_broke,
        };
        lock(&self.results).outcomes.push(outcome);
    }
}
