//! Clients that look for a dispatcher: one that finds its own gone turns to another, retries by its policy, and keeps the
//! latency objective of its first request. The outcome of each operation is kept with the time of that first request.

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

/// Connections that a dispatcher's clients hold.
const CONNECTIONS: usize = 8;

/// What a client does after a rejection or a broken connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Retries when the dispatcher's retry-after is over, or after a pause where none was given.
    HonorRetryAfter,
    /// Retries at once.
    Immediate,
    /// Does not retry.
    Never,
}

/// How an operation ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OperationEnd {
    /// With what it asked for.
    Served {
        /// Milliseconds after its first request was due.
        after_ms: f64,
    },
    /// The last request was rejected.
    Rejected,
    /// The last request failed.
    Failed,
    /// Its connection broke with it, or nobody took it.
    Lost,
}

/// One operation from its first request to its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OperationOutcome {
    /// When its first request was due, in milliseconds of the world.
    pub started_ms: f64,
    /// Requests that were sent for it.
    pub tries: u32,
    /// How it ended.
    pub end: OperationEnd,
    /// A connection broke with one of its requests open.
    pub connection_broke: bool,
}

/// What all clients saw.
#[derive(Default)]
struct Results {
    outcomes: Vec<OperationOutcome>,
    wrong_bytes: u64,
}

/// The clients of a fleet.
pub struct RetryingClients {
    results: Arc<Mutex<Results>>,
    /// Connections that still have operations.
    running: Arc<AtomicU64>,
}

impl RetryingClients {
    /// Starts clients with these dispatchers as their own ones; to be called within the world's runtime. The connections
    /// to each dispatcher get the policies in turn.
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
        for own in 0..dispatchers.len() {
            let dealt = load.by_connection(own, CONNECTIONS);
            for (index, requests) in dealt.into_iter().enumerate() {
                let number = load.first_connection + own * CONNECTIONS + index;
                let policy = policies[index % policies.len()];
                let connection = ClientConnection::new(
                    world.clone(),
                    dispatchers.clone(),
                    own,
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

    /// The outcomes of all operations that have ended.
    pub fn outcomes(&self) -> Vec<OperationOutcome> {
        lock(&self.results).outcomes.clone()
    }

    /// Answers whose bytes were not the object's own.
    pub fn wrong_bytes(&self) -> u64 {
        lock(&self.results).wrong_bytes
    }
}
