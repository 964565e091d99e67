//! Client connections: a task each, and how many there may be.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use flaxdeck::RequestId;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep, timeout};

use super::Router;
use crate::protocol::client_connection::{
    ClientConnection, ClientEvent, ConnectionHandle, DirectAnswer,
};
use flaxdeck_net::budget::Permit;
use flaxdeck_net::eviction::{self, Eviction};
use flaxdeck_net::link::LINGER;
use flaxdeck_net::listener::Listener;
use flaxdeck_net::metrics::{Counter, count};

/// Requests that one connection may have open by the protocol.
const MAX_OPEN: usize = 32;
/// The longest between looks for who can make room, and after a failed accept: descriptors come free within it.
const PAUSE: Duration = Duration::from_millis(5);
/// Messages of one client heard in a row before others get their turn: what it may have open, asked and taken back.
const AT_ONCE: usize = 2 * MAX_OPEN;
/// Connections that were ended here while the other side has not ended them yet: their descriptors are of those that are
/// no client's and no host's.
const MAX_ENDING: usize = 8;

/// What the accepting side knows of a connection.
pub(super) struct Client {
    /// Its requests by their numbers, also some that have their answers since it last spoke.
    requests: RefCell<BTreeMap<u32, RequestId>>,
    quiet_since: Cell<Instant>,
    /// It has said something whole.
    spoke: Cell<bool>,
    closer: ConnectionHandle,
}

/// Takes in clients for ever.
pub async fn accept(router: Rc<Router>, listener: Listener) {
    loop {
        router
            .open
            .borrow_mut()
            .retain(|client| client.strong_count() > 0);
        let place = match router.clients.try_acquire() {
            Some(place) => place,
            None => {
                router.make_room();
                // Whoever makes room is gone at its next turn, so connections wait for no timer.
                let Ok(place) = timeout(PAUSE, router.clients.acquire_many(1)).await else {
                    continue;
                };
                place
            }
        };
        router.none_waits.set(true);
        let accepted = listener.accept().await;
        router.none_waits.set(false);
        match accepted {
            Ok(stream) => {
                count(Counter::clients_opened);
                let client = serve(&router, stream, place);
                router.open.borrow_mut().push(client);
                // Guards against more descriptors than there are: many that make room at once have given their places
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

impl Router {
    fn open_clients(&self) -> Vec<Rc<Client>> {
        self.open
            .borrow()
            .iter()
            .filter_map(Weak::upgrade)
            .collect()
    }

    /// Whether a client has said something that was not read to its end.
    pub(super) fn is_told_more(&self) -> bool {
        self.open_clients()
            .iter()
            .any(|client| client.closer.has_partial_message() || client.closer.has_unread())
    }

    /// Ends all connections of clients, those too that are accepted from now on; what comes on them is not taken any more.
    pub fn end_clients(&self) {
        self.ends.set(true);
        self.open_clients()
            .iter()
            .for_each(|client| client.closer.close());
    }

    /// Closes resting connections of clients, so that others find a place.
    fn make_room(&self) {
        let clients: Vec<Candidate> = self
            .open_clients()
            .into_iter()
            .map(|client| Candidate {
                router: self,
                client,
            })
            .collect();
        match eviction::choose(&clients, Instant::now()) {
            Eviction::Silent(silent) => silent.into_iter().for_each(|candidate| {
                count(Counter::clients_closed_silent);
                candidate.client.closer.close();
            }),
            Eviction::Idle(candidate) => {
                count(Counter::clients_closed_idle);
                candidate.client.closer.close();
            }
            Eviction::Nothing => {}
        }
    }
}

/// A client's connection that may have to make room.
struct Candidate<'a> {
    router: &'a Router,
    client: Rc<Client>,
}

impl eviction::Connection for Candidate<'_> {
    fn has_sent(&self) -> bool {
        self.client.spoke.get()
    }

    fn quiet_since(&self) -> Instant {
        self.client.quiet_since.get()
    }

    fn is_busy(&self) -> bool {
        let closer = &self.client.closer;
        let has_open = || {
            self.client
                .requests
                .borrow()
                .values()
                .any(|request| self.router.is_open(*request))
        };
        closer.has_partial_message() || closer.pending_answers() > 0 || has_open()
    }

    // After a pause of this process its clients' words may lie unread: who has said one is not silent.
    fn has_unread(&self) -> bool {
        self.client.closer.has_unread()
    }
}

fn serve(router: &Rc<Router>, stream: TcpStream, place: Permit) -> Weak<Client> {
    let session = ClientConnection::new(stream, router.names.clone(), router.asked.clone());
    let (requests, quiet_since, spoke) = (
        RefCell::default(),
        Cell::new(Instant::now()),
        Cell::new(false),
    );
    let client = Rc::new(Client {
        requests,
        quiet_since,
        spoke,
        closer: session.handle(),
    });
    if router.ends.get() {
        client.closer.close();
    }
    let weak = Rc::downgrade(&client);
    spawn_local(listen(router.clone(), session, client, place));
    weak
}

async fn listen(
    router: Rc<Router>,
    mut session: ClientConnection,
    client: Rc<Client>,
    place: Permit,
) {
    let mut in_a_row = 0;
    loop {
        let heard = session.next_event().await;
        if !client.hear(&router, &mut session, heard) {
            break;
        }
        in_a_row += 1;
        // A request may be taken back in the same breath, so all that has come is heard before any is handed off;
        // but one client that sends without end leaves the others their turns. What has ended does not go on for long.
        if !session.has_unprocessed() || (in_a_row >= AT_ONCE && !session.is_peer_closed()) {
            in_a_row = 0;
            yield_now().await;
        }
    }
    client
        .requests
        .take()
        .into_values()
        .for_each(|request| router.leave(request));
    drop(client);
    if router.ends.get() {
        session.close(LINGER).await;
        drop(place);
        return;
    }
    // Its place is free at once; few may take their time to end, and the longest at it goes first.
    let end = spawn_local(session.close(LINGER)).abort_handle();
    let mut ending = router.ending.borrow_mut();
    ending.push_back(end);
    if ending.len() > MAX_ENDING {
        ending
            .pop_front()
            .into_iter()
            .for_each(|longest| longest.abort());
    }
}

impl Client {
    /// Acts on what the client said; false once its connection is of no more use.
    fn hear(
        &self,
        router: &Rc<Router>,
        session: &mut ClientConnection,
        heard: ClientEvent,
    ) -> bool {
        let mut requests = self.requests.borrow_mut();
        requests.retain(|_, request| router.is_open(*request));
        self.quiet_since.set(Instant::now());
        self.spoke.set(true);
        match heard {
            ClientEvent::Request { call, .. } if requests.contains_key(&call) => {
                count(Counter::clients_malformed);
                log::debug!("a client's connection is closed: two requests of one number");
                return false;
            }
            // Hosts tell requests apart by their ids alone, so a second one would meddle with the first.
            ClientEvent::Request {
                call,
                request: asked,
            } if router.has_id(&asked.id) => {
                count(Counter::requests_id_in_use);
                session.answer_directly(call, DirectAnswer::Failed);
            }
            ClientEvent::Request {
                call,
                request: asked,
            } => {
                let fits = requests.len() + self.closer.pending_answers() < MAX_OPEN;
                let (slot, held) = (
                    router.slots.try_acquire(),
                    router.asked.try_acquire_many(asked.body.len()),
                );
                match held.filter(|_| fits && slot.is_some()) {
                    Some(held) => {
                        requests.insert(
                            call,
                            router.take(asked, session.responder(call, slot), held),
                        );
                    }
                    None => {
                        count(Counter::requests_no_room);
                        session.answer_directly(call, DirectAnswer::Rejected(router.retry_after()));
                    }
                }
            }
            ClientEvent::NoMemory { call } => {
                count(Counter::requests_no_room);
                session.answer_directly(call, DirectAnswer::Rejected(router.retry_after()));
            }
            ClientEvent::Cancel { call } => requests
                .remove(&call)
                .into_iter()
                .for_each(|request| router.leave(request)),
            ClientEvent::Answered => {}
            ClientEvent::Closed => return false,
        }
        true
    }
}
