//! One connection of retrying clients: its operations, the dispatcher that it is connected to, and what it does when
//! that one is gone.

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

/// Requests of one operation.
const MAX_TRIES: u32 = 4;
/// Milliseconds until a client retries that was given no retry-after, ...
const DEFAULT_RETRY_MS: f64 = 300.0;
/// ... and until one that retries at once does so: a round trip.
const IMMEDIATE_RETRY_MS: f64 = 2.0;
/// A client that has turned away looks for its own dispatcher again after so many milliseconds.
const RETURN_MS: f64 = 1_000.0;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Dispatchers that are tried one after another.
const CONNECT_TRIES: u32 = 3;
/// Milliseconds past its deadline after which an operation is given up, ...
const LATE_MS: f64 = 499.0;
/// ... and after which a client looks for such operations.
const LATE_CHECK_MS: f64 = 500.0;
/// One connection of retrying clients.
pub(super) struct ClientConnection {
    world: Arc<SharedState>,
    dispatchers: Arc<[SocketAddr]>,
    /// The index of its own dispatcher.
    own: usize,
    number: usize,
    policy: RetryPolicy,
    timeout_ms: u64,
    rng: Pcg64Mcg,
    due: BTreeMap<DueTime, Operation>,
    /// Operations whose request has no answer yet, by their calls.
    pending: HashMap<u32, Operation>,
    last_call: u32,
    stream: Option<Stream>,
    streams: u64,
    /// Since when its own dispatcher has been gone.
    away_since_ms: Option<f64>,
    sender: mpsc::UnboundedSender<StreamEvent>,
    events: mpsc::UnboundedReceiver<StreamEvent>,
    results: Arc<Mutex<Results>>,
}

impl ClientConnection {
    pub(super) fn new(
        world: Arc<SharedState>,
        dispatchers: Arc<[SocketAddr]>,
        own: usize,
        number: usize,
        policy: RetryPolicy,
        load: &Load,
        results: Arc<Mutex<Results>>,
    ) -> ClientConnection {
        let (sender, events) = mpsc::unbounded_channel();
        ClientConnection {
            world,
            dispatchers,
            own,
            number,
            policy,
            timeout_ms: load.timeout_ms,
            rng: Pcg64Mcg::seed_from_u64(load.seed ^ (number as u64) << 20),
            due: BTreeMap::new(),
            pending: HashMap::new(),
            last_call: 0,
            stream: None,
            streams: 0,
            away_since_ms: None,
            sender,
            events,
            results,
        }
    }

    /// Sends the requests at their times, and goes on until every operation has ended.
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
            let late = self.next_late();
            tokio::select! {
                Some(event) = self.events.recv() => self.handle(event),
                () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {
                    self.send_next().await;
                }
                // Past that nobody answers: the record's check says so.
                () = sleep_until(late.unwrap_or_else(Instant::now)), if late.is_some() => {
                    self.give_up_late();
                }
            }
        }
        self.hang_up();
    }

    fn next_due(&self) -> Option<Instant> {
        let (due, _) = self.due.first_key_value()?;
        Some(self.world.instant(due.at_ms()))
    }

    fn next_late(&self) -> Option<Instant> {
        let pending = self.pending.values();
        let late = pending.map(|operation| operation.sent_ms + self.timeout_ms as f64);
        let first_ms = late.min_by(f64::total_cmp)?;
        Some(self.world.instant(first_ms + LATE_CHECK_MS))
    }

    fn handle(&mut self, event: StreamEvent) {
        match event {
            StreamEvent::Answered { stream, answer } if self.is_current(stream) => {
                self.answered(&answer);
            }
            StreamEvent::Ended { stream } if self.is_current(stream) => self.stream_ended(),
            // Of a stream that was given up before.
            StreamEvent::Answered { .. } | StreamEvent::Ended { .. } => {}
        }
    }

    fn is_current(&self, stream: u64) -> bool {
        let current = self.stream.as_ref();
        current.is_some_and(|current| current.number == stream)
    }

    fn is_away(&self, now_ms: f64) -> bool {
        let since = self.away_since_ms;
        since.is_some_and(|since_ms| now_ms - since_ms <= RETURN_MS)
    }

    /// Sends the request of the operation that is due first.
    async fn send_next(&mut self) {
        let Some((_, mut operation)) = self.due.pop_first() else {
            return;
        };
        let now_ms = self.world.now();
        let started_ms = *operation.started_ms.get_or_insert(now_ms);
        let turned_away = self.away_since_ms.is_some();
        if turned_away && !self.is_away(now_ms) && self.pending.is_empty() {
            self.hang_up();
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
            self.stream_ended();
        }
    }

    fn hang_up(&mut self) {
        if let Some(stream) = self.stream.take() {
            stream.reader.abort();
        }
    }

    /// Its own dispatcher first, unless it has just turned away from it; else any other.
    async fn connect(&mut self) -> bool {
        let now_ms = self.world.now();
        let own_first = !self.is_away(now_ms);
        for _ in 0..CONNECT_TRIES {
            let dispatcher = if own_first && !self.is_away(self.world.now()) {
                self.own
            } else {
                self.rng.random_range(0..self.dispatchers.len())
            };
            let connecting = TcpStream::connect(self.dispatchers[dispatcher]);
            let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, connecting).await else {
                self.away_since_ms = Some(self.world.now());
                continue;
            };
            self.open(stream);
            if dispatcher == self.own {
                self.away_since_ms = None;
            } else {
                self.away_since_ms.get_or_insert(now_ms);
            }
            return true;
        }
        false
    }

    fn open(&mut self, stream: TcpStream) {
        // A delay matters only to measurements.
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

    fn give_up_late(&mut self) {
        let late_before_ms = self.world.now() - self.timeout_ms as f64 - LATE_MS;
        let pending = self.pending.iter();
        let late = pending.filter(|(_, operation)| operation.sent_ms < late_before_ms);
        let calls: Vec<u32> = late.map(|(call, _)| *call).collect();
        for call in calls {
            if let Some(operation) = self.pending.remove(&call) {
                self.end(&operation, OperationEnd::Lost);
            }
        }
    }

    /// The stream has ended, and with it every request that was pending.
    fn stream_ended(&mut self) {
        self.hang_up();
        self.away_since_ms = Some(self.world.now());
        for (call, mut operation) in std::mem::take(&mut self.pending) {
            let request = request_id(self.number, call);
            self.world.record(RecordedEvent::ClientLeft { request });
            operation.connection_broke = true;
            // A write that may have run is not retried.
            if operation.write {
                self.end(&operation, OperationEnd::Lost);
            } else {
                self.retry(operation, &RetryCause::Disconnected);
            }
        }
    }

    fn answered(&mut self, message: &AnswerMessage) {
        let operation = self.pending.remove(&message.call);
        // A second answer is recorded as well.
        self.world.record(RecordedEvent::Answered {
            request: request_id(self.number, message.call),
            answer: message.answer,
        });
        let Some(operation) = operation else {
            return;
        };
        match message.answer {
            FinalAnswer::Served => self.served(&operation, &message.body),
            FinalAnswer::Rejected => {
                let retry_after_ms = message.retry_after_ms;
                self.retry(operation, &RetryCause::Rejected { retry_after_ms });
            }
            FinalAnswer::Failed => self.end(&operation, OperationEnd::Failed),
        }
    }

    fn served(&self, operation: &Operation, body: &[u8]) {
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

    /// Retries by the policy, unless the operation has had all its tries or its time.
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
        let last_ms = operation.started_ms.unwrap_or(now_ms) + self.timeout_ms as f64;
        let may_retry = self.policy != RetryPolicy::Never
            && operation.tries < MAX_TRIES
            && now_ms + pause_ms <= last_ms;
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
