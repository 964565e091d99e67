//! Clients: an open loop of requests over some connections to each dispatcher. When a request is sent was settled before
//! the first one; no answer is waited for. Every answer's bytes are checked, and a second answer is recorded.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use std::vec::IntoIter;

use flaxdeck_invariants::{FinalAnswer, RecordedEvent};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until};

use crate::load::{Load, PlannedRequest};
use crate::objects::made_ms;
use crate::requests::{AnswerMessage, RequestMessage, request_id, take_answer};
use crate::state::SharedState;
use crate::sync::lock;

/// Connections to one dispatcher.
const CONNECTIONS: usize = 8;
/// Until a client that found no dispatcher tries again.
const RECONNECT: Duration = Duration::from_millis(50);
/// Milliseconds past the last request's deadline in which a late answer is still seen.
const LATE_ANSWERS_MS: f64 = 500.0;
/// Between looks whether the last answers have come.
const POLL: Duration = Duration::from_millis(5);
/// Bytes that are read at once.
const BUFFER_BYTES: usize = 64 * 1024;

/// What clients saw beside the record.
#[derive(Clone, Debug, Default)]
pub struct ClientStatistics {
    /// The milliseconds that each served answer took.
    pub latencies_ms: Vec<f64>,
    /// Answers whose bytes were not the object's own.
    pub wrong_bytes: u64,
    /// Connections that broke.
    pub broken_connections: u64,
}

impl ClientStatistics {
    /// What several groups of clients saw together.
    pub fn merged(parts: impl IntoIterator<Item = ClientStatistics>) -> ClientStatistics {
        let mut all = ClientStatistics::default();
        for part in parts {
            all.latencies_ms.extend(part.latencies_ms);
            all.wrong_bytes += part.wrong_bytes;
            all.broken_connections += part.broken_connections;
        }
        all
    }

    /// Milliseconds within which that fraction of the answers came, from 0 to 1; 0 without answers.
    pub fn latency_quantile(&self, fraction: f64) -> f64 {
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_by(f64::total_cmp);
        let index = (sorted.len() as f64 * fraction) as usize;
        sorted.get(index).copied().unwrap_or(0.0)
    }
}

/// Clients of some dispatchers.
pub struct Clients {
    statistics: Arc<Mutex<ClientStatistics>>,
    /// Connections that still have requests.
    running: Arc<AtomicU64>,
}

impl Clients {
    /// Starts clients of these dispatchers; to be called within the world's runtime.
    pub(crate) fn start(
        world: &Arc<SharedState>,
        dispatchers: &[SocketAddr],
        load: &Load,
    ) -> Clients {
        let clients = Clients {
            statistics: Arc::default(),
            running: Arc::default(),
        };
        for (dispatcher, address) in dispatchers.iter().enumerate() {
            let dealt = load.by_connection(dispatcher, CONNECTIONS);
            for (index, requests) in dealt.into_iter().enumerate() {
                let connection = Connection {
                    world: world.clone(),
                    number: load.first_connection + dispatcher * CONNECTIONS + index,
                    timeout_ms: load.timeout_ms,
                    last_call: 0,
                    pending: Arc::default(),
                    statistics: clients.statistics.clone(),
                };
                clients.running.fetch_add(1, Ordering::SeqCst);
                let running = clients.running.clone();
                let address = *address;
                tokio::spawn(async move {
                    connection.run(address, requests).await;
                    running.fetch_sub(1, Ordering::SeqCst);
                });
            }
        }
        clients
    }

    /// Whether all requests have ended.
    pub fn is_done(&self) -> bool {
        self.running.load(Ordering::SeqCst) == 0
    }

    /// What the clients saw so far.
    pub fn statistics(&self) -> ClientStatistics {
        lock(&self.statistics).clone()
    }
}

/// A request without an answer.
struct PendingRequest {
    object: String,
    sent_ms: f64,
    write: bool,
}

/// One connection's requests; a connection that breaks is opened again, and what was pending on it has left.
struct Connection {
    world: Arc<SharedState>,
    number: usize,
    timeout_ms: u64,
    last_call: u32,
    pending: Arc<Mutex<HashMap<u32, PendingRequest>>>,
    statistics: Arc<Mutex<ClientStatistics>>,
}

type Requests = std::iter::Peekable<IntoIter<PlannedRequest>>;

impl Connection {
    async fn run(mut self, address: SocketAddr, requests: Vec<PlannedRequest>) {
        let mut requests = requests.into_iter().peekable();
        while requests.peek().is_some() {
            let Ok(stream) = TcpStream::connect(address).await else {
                // Who finds no dispatcher has not sent: what was due meanwhile is lost to this one.
                sleep(RECONNECT).await;
                let now_ms = self.world.now();
                while requests.next_if(|request| request.at_ms < now_ms).is_some() {}
                continue;
            };
            // A delay matters only to measurements.
            let _ = stream.set_nodelay(true);
            let (read, mut write) = stream.into_split();
            let (ended_sender, mut ended) = mpsc::channel::<()>(1);
            let reader = self.start_reader(read, ended_sender);
            self.send_requests(&mut requests, &mut write, &mut ended)
                .await;
            self.wait_for_last_answers(&reader).await;
            self.close(&reader);
        }
    }

    /// Reads answers in a task of its own, which drops the sender when the connection ends.
    fn start_reader(&self, read: OwnedReadHalf, ended: mpsc::Sender<()>) -> JoinHandle<()> {
        let reader = Reader {
            world: self.world.clone(),
            connection: self.number,
            pending: self.pending.clone(),
            statistics: self.statistics.clone(),
            _ended: ended,
        };
        tokio::spawn(reader.run(read))
    }

    /// Sends each request at its time, until none is left or the connection ends.
    async fn send_requests(
        &mut self,
        requests: &mut Requests,
        write: &mut OwnedWriteHalf,
        ended: &mut mpsc::Receiver<()>,
    ) {
        while let Some(next) = requests.peek() {
            tokio::select! {
                () = sleep_until(self.world.instant(next.at_ms)) => {}
                _ = ended.recv() => return,
            }
            let Some(request) = requests.next() else {
                return;
            };
            let message = self.register(request);
            if write.write_all(&message).await.is_err() {
                return;
            }
        }
    }

    /// Records a request and gives its bytes.
    fn register(&mut self, request: PlannedRequest) -> Vec<u8> {
        self.last_call += 1;
        let call = self.last_call;
        let now_ms = self.world.now();
        let id = request_id(self.number, call);
        self.world.record(RecordedEvent::RequestSent {
            request: id.clone(),
            deadline_ms: now_ms + self.timeout_ms as f64,
        });
        let message = RequestMessage {
            call,
            id: &id,
            object: &request.object,
            write: request.write,
            timeout_ms: self.timeout_ms,
            is_retry: false,
        };
        let bytes = message.encode();
        let pending = PendingRequest {
            object: request.object,
            sent_ms: now_ms,
            write: request.write,
        };
        lock(&self.pending).insert(call, pending);
        bytes
    }

    /// Waits for the last answers, or the end of a connection that broke.
    async fn wait_for_last_answers(&self, reader: &JoinHandle<()>) {
        let limit = self.world.now() + self.timeout_ms as f64 + LATE_ANSWERS_MS;
        while !lock(&self.pending).is_empty() && self.world.now() < limit && !reader.is_finished() {
            sleep(POLL).await;
        }
    }

    /// Ends the connection. Only who lost his connection has left; one that waits in vain on a connection that stands is a
    /// violation.
    fn close(&self, reader: &JoinHandle<()>) {
        let broke = reader.is_finished();
        reader.abort();
        let left: BTreeMap<u32, PendingRequest> = lock(&self.pending).drain().collect();
        if broke {
            lock(&self.statistics).broken_connections += 1;
            for call in left.into_keys() {
                let request = request_id(self.number, call);
                self.world.record(RecordedEvent::ClientLeft { request });
            }
        }
    }
}

/// Reads a connection's answers.
struct Reader {
    world: Arc<SharedState>,
    connection: usize,
    pending: Arc<Mutex<HashMap<u32, PendingRequest>>>,
    statistics: Arc<Mutex<ClientStatistics>>,
    /// Dropped with the reader, which tells the writer that the connection has ended.
    _ended: mpsc::Sender<()>,
}

impl Reader {
    async fn run(self, mut from: OwnedReadHalf) {
        let mut bytes = Vec::new();
        let mut piece = vec![0; BUFFER_BYTES];
        while let Ok(count @ 1..) = from.read(&mut piece).await {
            bytes.extend_from_slice(&piece[..count]);
            while let Some(answer) = take_answer(&mut bytes) {
                let Ok(answer) = answer else { return };
                self.answered(&answer);
            }
        }
    }

    fn answered(&self, message: &AnswerMessage) {
        let now_ms = self.world.now();
        let pending = lock(&self.pending).remove(&message.call);
        if let Some(pending) = pending.filter(|_| message.answer == FinalAnswer::Served) {
            match made_ms(&pending.object, &message.body) {
                Some(_) if pending.write => {}
                Some(made_ms) => self.world.record(RecordedEvent::CopyServed {
                    object: pending.object,
                    sent_ms: pending.sent_ms,
                    made_ms,
                }),
                None => lock(&self.statistics).wrong_bytes += 1,
            }
            let latency_ms = now_ms - pending.sent_ms;
            lock(&self.statistics).latencies_ms.push(latency_ms);
        }
        self.world.record(RecordedEvent::Answered {
            request: request_id(self.connection, message.call),
            answer: message.answer,
        });
    }
}
