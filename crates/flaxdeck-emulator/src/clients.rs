//! Open-loop clients over several connections to each dispatcher: requests are sent at times that are fixed in advance,
//! whether or not earlier ones were answered. The bytes of every answer are checked, and repeated answers are recorded.

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

/// Connections that the clients open to each dispatcher.
const CONNECTIONS: usize = 8;
/// The pause after a failed connect before the next try.
const RECONNECT: Duration = Duration::from_millis(50);
/// How long after the last request's deadline a connection still waits for late answers, in milliseconds.
const LATE_ANSWERS_MS: f64 = 500.0;
/// The interval at which a connection checks whether its last answers have arrived.
const LAST_ANSWERS_POLL: Duration = Duration::from_millis(5);
/// The size of the read buffer.
const BUFFER_BYTES: usize = 64 * 1024;

/// What clients measure in addition to the record.
#[derive(Clone, Debug, Default)]
pub struct ClientStatistics {
    /// The latency of each served answer in milliseconds.
    pub latencies_ms: Vec<f64>,
    /// Served answers whose body was not that of the requested object.
    pub wrong_bytes: u64,
    /// Connections that ended before the client closed them.
    pub broken_connections: u64,
}

impl ClientStatistics {
    /// Merges the statistics of several groups of clients.
    pub fn merged(parts: impl IntoIterator<Item = ClientStatistics>) -> ClientStatistics {
        let mut all = ClientStatistics::default();
        for part in parts {
            all.latencies_ms.extend(part.latencies_ms);
            all.wrong_bytes += part.wrong_bytes;
            all.broken_connections += part.broken_connections;
        }
        all
    }

    /// Returns the latency in milliseconds at a quantile from 0 to 1; 0 if there are no answers.
    pub fn latency_quantile(&self, fraction: f64) -> f64 {
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_by(f64::total_cmp);
        let index = (sorted.len() as f64 * fraction) as usize;
        sorted.get(index).copied().unwrap_or(0.0)
    }
}

/// Open-loop clients of a set of dispatchers.
pub struct Clients {
    statistics: Arc<Mutex<ClientStatistics>>,
    /// Connections that have not finished their requests.
    running: Arc<AtomicU64>,
}

impl Clients {
    /// Starts clients of these dispatchers. Must be called within the world's runtime.
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
            let by_connection = load.by_connection(dispatcher, CONNECTIONS);
            for (index, requests) in by_connection.into_iter().enumerate() {
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

    /// Returns the statistics so far.
    pub fn statistics(&self) -> ClientStatistics {
        lock(&self.statistics).clone()
    }
}

/// A request that has not been answered yet.
struct PendingRequest {
    object: String,
    sent_ms: f64,
    write: bool,
}

/// Sends one connection's requests. A connection that breaks is reopened, and the requests pending on it are recorded
/// as [`RecordedEvent::ClientLeft`].
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
                // Requests that fall due while the dispatcher is unreachable are skipped: they were never sent.
                sleep(RECONNECT).await;
                let now_ms = self.world.now();
                while requests.next_if(|request| request.at_ms < now_ms).is_some() {}
                continue;
            };
            // An error is ignored: without TCP_NODELAY only latencies are higher.
            let _ = stream.set_nodelay(true);
            let (read, mut write) = stream.into_split();
            let (end_sender, mut end_receiver) = mpsc::channel::<()>(1);
            let reader = self.start_reader(read, end_sender);
            self.send_requests(&mut requests, &mut write, &mut end_receiver)
                .await;
            self.wait_for_last_answers(&reader).await;
            self.close(&reader);
        }
    }

    /// Spawns a task that reads answers and drops the sender when the connection ends.
    fn start_reader(&self, read: OwnedReadHalf, end_sender: mpsc::Sender<()>) -> JoinHandle<()> {
        let reader = Reader {
            world: self.world.clone(),
            connection: self.number,
            pending: self.pending.clone(),
            statistics: self.statistics.clone(),
            _end_sender: end_sender,
        };
        tokio::spawn(reader.run(read))
    }

    /// Sends each request at its time, until all are sent or the connection ends.
    async fn send_requests(
        &mut self,
        requests: &mut Requests,
        write: &mut OwnedWriteHalf,
        end_receiver: &mut mpsc::Receiver<()>,
    ) {
        while let Some(next) = requests.peek() {
            tokio::select! {
                () = sleep_until(self.world.instant(next.at_ms)) => {}
                _ = end_receiver.recv() => return,
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

    /// Records a request as sent and pending, and returns its encoded message.
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

    /// Waits until every request is answered, the connection breaks, or the last deadline is exceeded.
    async fn wait_for_last_answers(&self, reader: &JoinHandle<()>) {
        let limit = self.world.now() + self.timeout_ms as f64 + LATE_ANSWERS_MS;
        while !lock(&self.pending).is_empty() && self.world.now() < limit && !reader.is_finished() {
            sleep(LAST_ANSWERS_POLL).await;
        }
    }

    /// Closes the connection. Pending requests are recorded as left only if the connection broke: a request that is not
    /// answered on an intact connection has to count as a violation.
    fn close(&self, reader: &JoinHandle<()>) {
        let broke = reader.is_finished();
        reader.abort();
        let unanswered: BTreeMap<u32, PendingRequest> = lock(&self.pending).drain().collect();
        if broke {
            lock(&self.statistics).broken_connections += 1;
            for call in unanswered.into_keys() {
                let request = request_id(self.number, call);
                self.world.record(RecordedEvent::ClientLeft { request });
            }
        }
    }
}

/// Reads and records the answers on one connection.
struct Reader {
    world: Arc<SharedState>,
    connection: usize,
    pending: Arc<Mutex<HashMap<u32, PendingRequest>>>,
    statistics: Arc<Mutex<ClientStatistics>>,
    /// Dropped with the reader, by which the sending side notices that the connection has ended.
    _end_sender: mpsc::Sender<()>,
}

impl Reader {
    async fn run(self, mut from: OwnedReadHalf) {
        let mut bytes = Vec::new();
        let mut chunk = vec![0; BUFFER_BYTES];
        while let Ok(count @ 1..) = from.read(&mut chunk).await {
            bytes.extend_from_slice(&chunk[..count]);
            while let Some(answer) = take_answer(&mut bytes) {
                let Ok(answer) = answer else { return };
                self.handle_answer(&answer);
            }
        }
    }

    fn handle_answer(&self, message: &AnswerMessage) {
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
