//! Client connections: a task each.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use flaxdeck::RequestId;
use flaxdeck_net::budget::Permit;
use flaxdeck_net::link::LINGER;
use flaxdeck_net::listener::Listener;
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

/// Requests that one connection may have open by the protocol.
const MAX_OPEN: usize = 32;
/// The longest between looks for who can make room, and after a failed accept: descriptors come free within it.
const PAUSE: Duration = Duration::from_millis(5);
/// Messages of one client read in a row before others get their turn: what it may have open, asked and cancelled.
const MAX_IN_A_ROW: usize = 2 * MAX_OPEN;

/// What others may know of a connection and do to it while its task serves it.
pub(super) struct Client {
    /// Its requests by their numbers, also some that have their answers since it last sent something.
    requests: RefCell<BTreeMap<u32, RequestId>>,
    quiet_since: Cell<Instant>,
    /// It has sent a whole message.
    has_sent: Cell<bool>,
    handle: ConnectionHandle,
}

/// Accepts clients until it is aborted.
pub(crate) async fn accept(router: Rc<Router>, listener: Listener) {
    let clients = &router.clients;
    loop {
        clients.forget_ended();
        let permit = match clients.budget.try_acquire() {
            Some(permit) => permit,
            None => {
                clients.evict(&router.requests);
                // Whoever makes room is gone at its next turn, so connections wait for no timer.
                let Ok(permit) = timeout(PAUSE, clients.budget.acquire_many(1)).await else {
                    continue;
                };
                permit
            }
        };
        clients.set_listener_empty(true);
        let accepted = listener.accept().await;
        clients.set_listener_empty(false);
        match accepted {
            Ok(stream) => {
                count(Counter::clients_opened);
                start_serving(&router, stream, permit);
                // Guards against more descriptors than there are: many that make room at once have given their permits
                // back before their connections are closed, which they do at their next turn.
                yield_now().await;
            }
            Err(error) => {
                count(Counter::accept_errors);
                log::warn!("accept: {error}");
                sleep(PAUSE).await;
            }
        }
    }
}

fn start_serving(router: &Rc<Router>, stream: TcpStream, permit: Permit) {
    let session = ClientConnection::new(stream, router.names.clone(), router.request_bytes.clone());
    let client = Rc::new(Client {
        requests: RefCell::default(),
        quiet_since: Cell::new(Instant::now()),
        has_sent: Cell::new(false),
        handle: session.handle(),
    });
    if router.clients.is_closing() {
        client.close();
    }
    router.clients.add(Rc::downgrade(&client));
    router
        .clients
        .tasks
        .spawn(serve(router.clone(), session, client, permit));
}

/// Serves a connection until it ends, and then sees to it that the other side learns of that.
async fn serve(
    router: Rc<Router>,
    mut session: ClientConnection,
    client: Rc<Client>,
    permit: Permit,
) {
    let mut in_a_row = 0;
    loop {
        let message = session.next_event().await;
        if !client.handle(&router, &mut session, message) {
            break;
        }
        in_a_row += 1;
        // A request may be cancelled in the same breath, so all that has come is read before any is handed off; but one
        // client that sends without end leaves the others their turns. What has ended does not go on for long.
        if !session.has_unprocessed() || (in_a_row >= MAX_IN_A_ROW && !session.is_peer_closed()) {
            in_a_row = 0;
            yield_now().await;
        }
    }
    for request in client.requests.take().into_values() {
        router.requests.client_left(request);
    }
    drop(client);
    if router.clients.is_closing() {
        session.close(LINGER).await;
        drop(permit);
        return;
    }
    // Its permit is free at once; few may take their time to end, and the longest at it goes first.
    let ending = spawn_local(session.close(LINGER)).abort_handle();
    router.clients.add_ending(ending);
}

impl Client {
    /// Ends the connection at its next turn.
    pub(super) fn close(&self) {
        self.handle.close();
    }

    /// Whether it has ever sent a whole message.
    pub(super) fn has_sent(&self) -> bool {
        self.has_sent.get()
    }

    /// When it last sent one, or connected.
    pub(super) fn quiet_since(&self) -> Instant {
        self.quiet_since.get()
    }

    /// Whether it has sent bytes that were not read.
    pub(super) fn has_unread_bytes(&self) -> bool {
        self.handle.has_unread()
    }

    /// Whether it has sent something that was not read to its end.
    pub(super) fn has_unread(&self) -> bool {
        self.handle.has_partial_message() || self.handle.has_unread()
    }

    /// Whether something of it is open: a message midway, an answer that it has not read, or a request.
    pub(super) fn is_busy(&self, requests: &RequestTable) -> bool {
        let has_open = || {
            self.requests
                .borrow()
                .values()
                .any(|request| requests.is_open(*request))
        };
        self.handle.has_partial_message() || self.handle.pending_answers() > 0 || has_open()
    }

    /// Acts on what the client sent; false once its connection is of no more use.
    fn handle(
        &self,
        router: &Rc<Router>,
        session: &mut ClientConnection,
        message: ClientEvent,
    ) -> bool {
        self.requests
            .borrow_mut()
            .retain(|_, request| router.requests.is_open(*request));
        self.quiet_since.set(Instant::now());
        self.has_sent.set(true);
        match message {
            ClientEvent::Request { call, .. } if self.requests.borrow().contains_key(&call) => {
                count(Counter::clients_malformed);
                log::debug!("a client's connection is closed: two requests of one number");
                return false;
            }
            // Hosts tell requests apart by their ids alone, so a second one would meddle with the first.
            ClientEvent::Request {
                call,
                request: asked,
            } if router.requests.has_client_id(&asked.id) => {
                count(Counter::requests_id_in_use);
                session.answer_directly(call, DirectAnswer::Failed);
            }
            ClientEvent::Request {
                call,
                request: asked,
            } => self.admit(router, session, call, asked),
            ClientEvent::NoMemory { call } => refuse(router, session, call),
            ClientEvent::Cancel { call } => {
                let request = self.requests.borrow_mut().remove(&call);
                if let Some(request) = request {
                    router.requests.client_left(request);
                }
            }
            ClientEvent::Answered => {}
            ClientEvent::Closed => return false,
        }
        true
    }

    /// Takes a request in if there is room for it.
    fn admit(
        &self,
        router: &Rc<Router>,
        session: &mut ClientConnection,
        call: u32,
        asked: Box<ClientRequest>,
    ) {
        let mut requests = self.requests.borrow_mut();
        let fits = requests.len() + self.handle.pending_answers() < MAX_OPEN;
        let slot = router.slots.try_acquire();
        let bytes = router.request_bytes.try_acquire_many(asked.body.len());
        match bytes.filter(|_| fits && slot.is_some()) {
            Some(bytes) => {
                let reply = session.responder(call, slot);
                requests.insert(call, router.start_request(asked, reply, bytes));
            }
            None => refuse(router, session, call),
        }
    }
}

/// Answers a request that finds no room.
fn refuse(router: &Router, session: &mut ClientConnection, call: u32) {
    count(Counter::requests_no_room);
    session.answer_directly(call, DirectAnswer::Rejected(router.retry_after()));
}
