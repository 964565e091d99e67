//! Clients that retry and fail over: a client whose primary dispatcher is unreachable connects to another one and
//! retries by its policy. The latency of an operation counts from its first request, and its outcome is stored with the
//! time of that request.

mod connection;
mod operation;
mod stream;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use crate::load::Load;
use crate::state::SharedState;
use crate::sync::lock;
use connection::ClientConnection;

/// Connections of clients for each primary dispatcher.
const CONNECTIONS: usize = 8;

/// What a client does after a rejection or a broken connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Retries after the dispatcher's retry-after, or after a default pause if none was given.
    HonorRetryAfter,
    /// Retries after one round trip, whatever the retry-after.
    Immediate,
    /// Does not retry.
    Never,
}

/// How an operation ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OperationEnd {
    /// A request was served.
    Served {
        /// Milliseconds since the first request was about to be sent.
        after_ms: f64,
    },
    /// The last request was rejected.
    Rejected,
    /// The last request failed.
    Failed,
    /// The connection broke before an answer, no dispatcher was reachable, or no answer came in time.
    Lost,
}

/// The outcome of one operation: its first request and the retries of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OperationOutcome {
    /// When its first request was about to be sent, in milliseconds of the world.
    pub started_ms: f64,
    /// The number of requests that were sent for it.
    pub tries: u32,
    /// How it ended.
    pub end: OperationEnd,
    /// Whether a connection broke with one of its requests pending.
    pub connection_broke: bool,
}

/// The results of all connections.
#[derive(Default)]
struct Results {
    outcomes: Vec<OperationOutcome>,
    wrong_bytes: u64,
}

/// Retrying clients of a set of dispatchers.
pub struct RetryingClients {
    results: Arc<Mutex<Results>>,
    /// Connections that have not finished their operations.
    running: Arc<AtomicU64>,
}

impl RetryingClients {
    /// Starts clients, several connections for each of these dispatchers as the primary one. Must be called within the
    /// world's runtime. The policies are assigned to each dispatcher's connections in turn.
    pub(crate) fn start(
        world: &Arc<SharedState>,
        dispatchers: &[SocketAddr],
        load: &Load,
        policies: &[RetryPolicy],
    ) -> RetryingClients {
        let clients = RetryingClients {
            results: Arc::default(),
            running: Arc::default(),
        };
        let dispatchers: Arc<[SocketAddr]> = dispatchers.into();
        for primary in 0..dispatchers.len() {
            let by_connection = load.by_connection(primary, CONNECTIONS);
            for (index, requests) in by_connection.into_iter().enumerate() {
                let number = load.first_connection + primary * CONNECTIONS + index;
                let policy = policies[index % policies.len()];
                let connection = ClientConnection::new(
                    world.clone(),
                    dispatchers.clone(),
                    primary,
                    number,
                    policy,
                    load,
                    clients.results.clone(),
                );
                clients.running.fetch_add(1, Ordering::SeqCst);
                let running = clients.running.clone();
                tokio::spawn(async move {
                    connection.run(requests).await;
                    running.fetch_sub(1, Ordering::SeqCst);
                });
            }
        }
        clients
    }

    /// Whether all operations have ended.
    pub fn is_done(&self) -> bool {
        self.running.load(Ordering::SeqCst) == 0
    }

    /// Returns the outcomes of all operations that have ended.
    pub fn outcomes(&self) -> Vec<OperationOutcome> {
        lock(&self.results).outcomes.clone()
    }

    /// Returns the number of served answers whose body was not that of the requested object.
    pub fn wrong_bytes(&self) -> u64 {
        lock(&self.results).wrong_bytes
    }
}
