//! Client connections: a task each, and how many there may be.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use flaxdeck::words::PullId;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep};

use super::Router;
use crate::protocol::Answer;
use crate::protocol::session::{Closer, Heard, Session};
use crate::transport::listener::Listener;
use crate::transport::room::Place;
use crate::transport::tally::{Count, count};

/// Pulls that one connection may have open by the protocol.
const OPEN_MOST: usize = 32;
/// Between looks for a free place, or after a failed accept: descriptors come free within it.
const PAUSE: Duration = Duration::from_millis(5);

/// What the accepting side knows of a connection.
struct Client {
    open: Cell<usize>,
    quiet_since: Cell<Instant>,
    closer: Closer,
}

/// Takes in clients for ever.
pub async fn accept(router: Rc<Router>, listener: Listener) {
    let mut clients: Vec<Weak<Client>> = Vec::new();
    loop {
        clients.retain(|client| client.strong_count() > 0);
        if router.clients.is_full() {
            close_longest_idle(&clients);
            sleep(PAUSE).await;
            continue;
        }
        match listener.accept().await {
            Ok(stream) => {
                count(Count::clients_opened);
                clients.push(serve(&router, stream));
            }
            Err(error) => {
                count(Count::accept_errors);
                log::warn!("accept: {error}");
                sleep(PAUSE).await;
            }
        }
    }
}

fn close_longest_idle(clients: &[Weak<Client>]) {
    let idle = clients.iter().filter_map(Weak::upgrade).filter(|client| client.open.get() == 0);
    if let Some(client) = idle.min_by_key(|client| client.quiet_since.get()) {
        count(Count::clients_closed_idle);
        client.closer.close();
    }
}

fn serve(router: &Rc<Router>, stream: TcpStream) -> Weak<Client> {
    let session = Session::new(stream, router.names.clone());
    let (open, quiet_since) = (Cell::new(0), Cell::new(Instant::now()));
    let client = Rc::new(Client { open, quiet_since, closer: session.closer() });
    let weak = Rc::downgrade(&client);
    spawn_local(listen(router.clone(), session, client, router.clients.take()));
    weak
}

async fn listen(router: Rc<Router>, mut session: Session, client: Rc<Client>, _place: Option<Place>) {
    let mut open: BTreeMap<u32, PullId> = BTreeMap::new();
    loop {
        let heard = session.next().await;
        open.retain(|_, pull| router.is_open(*pull));
        client.quiet_since.set(Instant::now());
        match heard {
            Heard::Pull { call, asked } => {
                if open.contains_key(&call) {
                    count(Count::clients_malformed);
                    log::debug!("a client's connection is closed: two pulls of one number");
                    break;
                }
                let slot = router.slots.take().filter(|_| open.len() + session.unread() < OPEN_MOST);
                let reply = session.reply(call, slot);
                if reply.has_place() {
                    open.insert(call, router.take(asked, reply));
                } else {
                    count(Count::pulls_no_room);
                    reply.send(Answer::Bounced(None));
                }
            }
            Heard::Cancel { call } => open.remove(&call).into_iter().for_each(|pull| router.leave(pull)),
            Heard::Over => break,
        }
        client.open.set(open.len());
        yield_now().await; // one client that sends without end leaves the others their turns
    }
    open.into_values().for_each(|pull| router.leave(pull));
}
