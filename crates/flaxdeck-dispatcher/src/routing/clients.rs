//! Serves client connections, with one task for each.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use flaxdeck::RequestId;
use flaxdeck::run_history::ClientUse;
use flaxdeck_net::budget::Permit;
use flaxdeck_net::clock::to_duration;
use flaxdeck_net::link::LINGER;
use flaxdeck_net::listener::Listener;
use flaxdeck_net::log_limiter::LogLimiter;
use flaxdeck_net::metrics::{Counter, count};
use flaxdeck_wire::ClientRequest;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep, timeout};

use super::Router;
use super::request_table::RequestTable;
use crate::protocol::client_connection::{
    ClientConnection, ClientEvent, ConnectionHandle, DirectAnswer,
};

/// The most requests that the protocol allows to be open on one connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// The longest time between attempts to evict a connection, and the pause after a failed accept: descriptors become
/// free within it.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Messages that are read from one client before other tasks run: enough for all requests that it may have open and for
/// their cancellations.
const MAX_CONSECUTIVE_EVENTS: usize = 2 * MAX_OPEN_REQUESTS;

/// The state of a client connection that code outside its task may see and act on.
pub(super) struct Client {
    /// Its requests by their call numbers. Those answered since its last message are removed when the next one comes.
    requests: RefCell<BTreeMap<u32, RequestId>>,
    quiet_since: Cell<Instant>,
    /// Whether it has ever sent a complete message.
    has_sent: Cell<bool>,
    /// How much of the history of requests it has used.
    run_history_use: RefCell<ClientUse>,
    handle: ConnectionHandle,
}

/// Accepts client connections until it is aborted.
pub(crate) async fn accept_clients(router: Rc<Router>, listener: Listener) {
    let clients = &router.clients;
    let error_log = LogLimiter::default();
    loop {
        clients.remove_closed();
        let permit = match clients.budget.try_acquire() {
            Some(permit) => permit,
            None => {
                clients.evict(&router.requests);
                // An evicted connection gives back its permit when its task runs next, so the wait normally ends before
                // the timeout.
                let Ok(permit) =
                    timeout(ACCEPT_RETRY_INTERVAL, clients.budget.acquire_many(1)).await
                else {
                    continue;
                };
                permit
            }
        };
        clients.set_backlog_empty(true);
        let accepted = listener.accept().await;
        clients.set_backlog_empty(false);
        match accepted {
            Ok(stream) => {
                count(Counter::clients_opened);
                start_serving(&router, stream, permit);
                // Guards against running out of descriptors: many connections that are evicted together give back their
                // permits before they are closed, which happens when their tasks run next.
                yield_now().await;
            }
            Err(error) => {
                count(Counter::accept_errors);
                if error_log.admits() {
                    log::warn!("accepting a client connection failed: {error}");
                }
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

fn start_serving(router: &Rc<Router>, stream: TcpStream, permit: Permit) {
    let connection = ClientConnection::new(
        stream,
        router.names.clone(),
        router.request_bytes.clone(),
        to_duration(router.longest_wait),
    );
    let client = Rc::new(Client {
        requests: RefCell::default(),
        quiet_since: Cell::new(Instant::now()),
        has_sent: Cell::new(false),
        run_history_use: RefCell::default(),
        handle: connection.handle(),
    });
    if router.clients.is_shutting_down() {
        client.close();
    }
    router.clients.add(Rc::downgrade(&client));
    router
        .clients
        .tasks
        .spawn(serve(router.clone(), connection, client, permit));
}

/// Serves a connection until it ends, and then closes it gracefully.
async fn serve(
    router: Rc<Router>,
    mut connection: ClientConnection,
    client: Rc<Client>,
    permit: Permit,
) {
    let mut consecutive_events = 0;
    loop {
        let event = connection.next_event().await;
        if !client.handle(&router, &mut connection, event) {
            break;
        }
        consecutive_events += 1;
        // The cancellation of a request may have arrived together with it, so everything received is processed before
        // any attempt starts. A client that sends without a pause must not starve the others, hence the limit; it does
        // not apply once the client has closed its side, as then only little is left to read.
        if !connection.has_unprocessed()
            || (consecutive_events >= MAX_CONSECUTIVE_EVENTS && !connection.is_peer_closed())
        {
            consecutive_events = 0;
            yield_now().await;
        }
    }
    for request in client.requests.take().into_values() {
        router.requests.mark_client_left(request);
    }
    drop(client);
    if router.clients.is_shutting_down() {
        connection.close(LINGER).await;
        drop(permit);
        return;
    }
    // The permit is given back at once. Only a few connections may linger while they close; beyond that the oldest one
    // is aborted.
    let lingering = spawn_local(connection.close(LINGER)).abort_handle();
    router.clients.add_lingering(lingering);
}

impl Client {
    /// Has the connection's task close it when it runs next.
    pub(super) fn close(&self) {
        self.handle.close();
    }

    /// Whether the client has ever sent a complete message.
    pub(super) fn has_sent(&self) -> bool {
        self.has_sent.get()
    }

    /// Returns when the client last sent a complete message, or when it connected.
    pub(super) fn quiet_since(&self) -> Instant {
        self.quiet_since.get()
    }

    /// Whether bytes have been received on the connection that were not read yet. Costs a system call.
    pub(super) fn has_unread_bytes(&self) -> bool {
        self.handle.has_unread()
    }

    /// Whether a message has come in part, or bytes have been received that were not read yet.
    pub(super) fn has_pending_input(&self) -> bool {
        self.handle.has_partial_message() || self.handle.has_unread()
    }

    /// Whether the connection is in use: a message has come in part, an answer is not fully written, or a request is
    /// open.
    pub(super) fn is_busy(&self, requests: &RequestTable) -> bool {
        let has_open = || {
            self.requests
                .borrow()
                .values()
                .any(|request| requests.is_open(*request))
        };
        self.handle.has_partial_message() || self.handle.pending_answers() > 0 || has_open()
    }

    /// Handles one event of the connection. Returns false if the connection is to be closed.
    fn handle(
        &self,
        router: &Rc<Router>,
        connection: &mut ClientConnection,
        event: ClientEvent,
    ) -> bool {
        self.requests
            .borrow_mut()
            .retain(|_, request| router.requests.is_open(*request));
        self.quiet_since.set(Instant::now());
        self.has_sent.set(true);
        match event {
            ClientEvent::Request { call, request } => {
                return self.accept_request(router, connection, call, request);
            }
            ClientEvent::NoMemory { call } => reject_for_capacity(router, connection, call),
            ClientEvent::Cancel { call } => {
                let request = self.requests.borrow_mut().remove(&call);
                if let Some(request) = request {
                    router.requests.mark_client_left(request);
                }
            }
            ClientEvent::Answered => {}
            ClientEvent::Closed => return false,
        }
        true
    }

    /// Starts a request, or answers it at once. Returns false if the connection is to be closed, as another open request
    /// on it has the same call number.
    fn accept_request(
        &self,
        router: &Rc<Router>,
        connection: &mut ClientConnection,
        call: u32,
        request: Box<ClientRequest>,
    ) -> bool {
        if self.requests.borrow().contains_key(&call) {
            count(Counter::clients_malformed);
            log::debug!(
                "closing a client connection: call number {call} is used by two open requests"
            );
            return false;
        }
        // Hosts identify requests by their ids alone, so a second one with the same id could be taken for the first.
        if router.requests.has_client_id(request.id_number()) {
            count(Counter::requests_id_in_use);
            connection.answer_directly(call, DirectAnswer::Failed);
        } else {
            self.admit(router, connection, call, request);
        }
        true
    }

    /// Starts a request if the connection's limit, the slots, the memory budget and the history of requests allow it;
    /// rejects it otherwise.
    fn admit(
        &self,
        router: &Rc<Router>,
        connection: &mut ClientConnection,
        call: u32,
        request: Box<ClientRequest>,
    ) {
        let mut requests = self.requests.borrow_mut();
        let is_within_limit = requests.len() + self.handle.pending_answers() < MAX_OPEN_REQUESTS
            && !connection.is_stalled();
        let slot = router.slots.try_acquire();
        let bytes = router.request_bytes.try_acquire_many(request.body.len());
        let has_room = is_within_limit && slot.is_some() && bytes.is_some();
        let mut history_use = self.run_history_use.borrow_mut();
        let is_admitted = has_room && router.can_remember(request.class, &mut history_use);
        match bytes.filter(|_| is_admitted) {
            Some(bytes) => {
                let timeout = to_duration(request.timeout);
                let responder = connection.responder(call, slot, timeout);
                requests.insert(call, router.start_request(request, responder, bytes));
            }
            // A rejection would promise that the request has not run.
            None if router.earlier_run(&request).is_some() => {
                count(Counter::requests_repeated);
                connection.answer_directly(call, DirectAnswer::Failed);
            }
            None => reject_for_capacity(router, connection, call),
        }
    }
}

/// Rejects a request that exceeds the connection's limit, or for which there is no slot or no memory.
fn reject_for_capacity(router: &Router, connection: &mut ClientConnection, call: u32) {
    count(Counter::requests_no_room);
    connection.answer_directly(call, DirectAnswer::Rejected(router.retry_after()));
}
