//! Connections to hosts. Each attempt has a connection of its own while it is out, so that no large answer
//! holds up a small one and giving one up disturbs no other; afterwards the connection is kept for the next.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flaxdeck::{AttemptOutcome, Health, HostId, ListKind};
use flaxdeck_terms::{ConnectionTerms, Names};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout, timeout_at};

use flaxdeck_net::budget::{Budget, Permit};
use flaxdeck_net::clock::to_duration;
use flaxdeck_net::link::{self, Inbound, Outbound};
use flaxdeck_net::metrics::{Counter, count};
use flaxdeck_wire::frames::AddressedEndpoint;
use flaxdeck_wire::lines::{self, AttemptOptions, Response};
use flaxdeck_wire::{ClientRequest, HostReply, Parsed};

/// The part of the hosts' idle time after which a connection is closed here, so that both ends never race.
const IDLE_PART: f64 = 0.7;
/// How long a host may take to show that it has read a `never_mind`; one that takes longer is silent.
const FENCED: Duration = Duration::from_secs(1);

struct Conn {
    address: SocketAddr,
    inbound: Inbound,
    outbound: Outbound,
    used: Instant,
    /// It has been idle before.
    reused: bool,
    _place: Permit,
}

impl Conn {
    /// The answer to that id; none if the connection broke or made no sense. Answers that nobody asked for here
    /// are passed over: the own one may stand behind them.
    async fn answer(&mut self, id: &Bytes, pool: &Pool) -> Option<(HostReply, Option<Permit>)> {
        loop {
            match self.line(pool).await? {
                (
                    Response {
                        id: Some(answered),
                        host_reply,
                    },
                    held,
                ) if answered == id => {
                    return Some((host_reply, held));
                }
                _ => count(Counter::hosts_strays),
            }
        }
    }

    /// The next answer line with the place that its bytes hold; none if the connection broke or made no sense.
    async fn line(&mut self, pool: &Pool) -> Option<(Response, Option<Permit>)> {
        let mut held = None;
        loop {
            match lines::parse(&mut self.inbound.bytes, &pool.names) {
                Ok(Parsed::Complete(line)) => return Some((line, held)),
                Ok(Parsed::Incomplete(more)) => {
                    let enough = self.inbound.bytes.len() + more;
                    // Until memory is free the rest stays with the host.
                    pool.bytes.reserve_for_message(enough, &mut held).await;
                    while self.inbound.bytes.len() < enough {
                        let missing = enough - self.inbound.bytes.len();
                        if !matches!(self.inbound.read_more(missing).await, Ok(true)) {
                            return None;
                        }
                    }
                }
                Err(malformed) => {
                    count(Counter::hosts_malformed);
                    log::warn!("a host's connection is closed: {}", malformed);
                    return None;
                }
            }
        }
    }
}

struct Kept {
    address: SocketAddr,
    idle: Vec<Conn>,
}

/// All hosts of the list, by id: an address may come to belong to another host.
pub struct Pool {
    names: Rc<Names>,
    connect_within: Duration,
    idle: Duration,
    budget: Budget,
    /// Bytes that open requests hold, asked and answered.
    bytes: Rc<Budget>,
    kept: RefCell<BTreeMap<HostId, Kept>>,
}

/// An attempt that is out. Dropped before its answer has come, it is given up.
struct Open<'a> {
    pool: &'a Rc<Pool>,
    host: &'a HostId,
    id: &'a Bytes,
    /// Its connection serves no other, as few that could use it come by: it ends with it.
    alone: bool,
    conn: Option<Conn>,
    written: bool,
}

impl Pool {
    pub fn new(
        names: Rc<Names>,
        carriage: ConnectionTerms,
        most: usize,
        bytes: Rc<Budget>,
    ) -> Rc<Pool> {
        Rc::new(Pool {
            names,
            connect_within: to_duration(carriage.connect_timeout),
            idle: to_duration(carriage.idle_timeout * IDLE_PART),
            budget: Budget::new(most),
            bytes,
            kept: RefCell::new(BTreeMap::new()),
        })
    }

    /// Takes in lines of the list; with the whole list, what it leaves out is gone.
    pub fn list(&self, list_kind: ListKind, endpoints: &[AddressedEndpoint]) {
        let mut kept = self.kept.borrow_mut();
        let named = |host: &HostId| {
            endpoints
                .iter()
                .any(|endpoint| endpoint.listed.host == *host)
        };
        kept.retain(|host, _| list_kind == ListKind::Delta || named(host));
        for AddressedEndpoint { listed, address } in endpoints {
            if listed.health == Health::Removed {
                kept.remove(&listed.host);
                continue;
            }
            let known = kept.entry(listed.host.clone());
            let known = known.or_insert_with(|| Kept {
                address: *address,
                idle: Vec::new(),
            });
            if known.address != *address {
                *known = Kept {
                    address: *address,
                    idle: Vec::new(),
                };
            }
        }
    }

    /// Another bound for connections.
    pub fn resize(&self, most: usize) {
        self.budget.resize(most);
    }

    pub fn open(&self) -> usize {
        self.budget.in_use()
    }

    /// Closes what has been idle for long, or was closed by the other side.
    pub fn sweep(&self) {
        for kept in self.kept.borrow_mut().values_mut() {
            kept.idle.retain_mut(|conn| self.still_good(conn));
        }
    }

    /// Sends a request to a host and waits for its answer until that time; gives the place that the answer's bytes
    /// hold as well. Whether it still stands is asked before a connection is looked for and again right before the
    /// first byte: what it may ask for, and by when its last byte has to be written, can change meanwhile. Until `begun`
    /// is set nothing has been written.
    pub async fn ask<'a>(
        self: &Rc<Pool>,
        host: &HostId,
        asked: &ClientRequest,
        until: Instant,
        clear: impl Fn() -> Option<(AttemptOptions<'a>, Instant)>,
        begun: &Cell<bool>,
    ) -> (HostReply, Option<Permit>) {
        let bare = |outcome| (HostReply::without_body(outcome), None);
        let Some((wish, sent_by)) = clear() else {
            return bare(AttemptOutcome::Superseded);
        };
        let kept = if wish.new_connection {
            None
        } else {
            self.kept_idle(host)
        };
        let conn = match kept {
            Some(conn) => conn,
            None => match self.connect(host, sent_by).await {
                Ok(conn) => conn,
                Err(outcome) => return bare(outcome),
            },
        };
        let Some((wish, sent_by)) = clear() else {
            count(Counter::superseded);
            log::debug!(
                "{} no longer to be sent to {}",
                String::from_utf8_lossy(&asked.id),
                host.0
            );
            self.keep(host, conn);
            return bare(AttemptOutcome::Superseded);
        };
        let mut open = Open {
            pool: self,
            host,
            id: &asked.id,
            alone: wish.new_connection,
            conn: Some(conn),
            written: false,
        };
        let conn = open.conn.as_mut().expect("just put");
        begun.set(true);
        conn.outbound
            .send(lines::encode_request(asked, &wish), [None, None]);
        let flushed = timeout_at(sent_by, conn.outbound.flush()).await;
        if !matches!(flushed, Ok(Ok(()))) {
            // The last byte was never written, so nothing ran; half a request ends with its connection.
            let reused = open.conn.take().is_some_and(|conn| conn.reused);
            if reused {
                self.forget_idle(host);
                return bare(AttemptOutcome::NotSent);
            }
            if flushed.is_err() && sent_by < until {
                count(Counter::superseded);
                return bare(AttemptOutcome::Superseded);
            }
            count(Counter::hosts_unreached);
            return bare(AttemptOutcome::NotConnected);
        }
        open.written = true;
        let conn = open.conn.as_mut().expect("just put");
        match timeout_at(until, conn.answer(&asked.id, self)).await {
            Ok(Some(answered)) => {
                open.written = false;
                answered
            }
            Ok(None) => {
                if open
                    .conn
                    .take()
                    .is_some_and(|conn| conn.reused && conn.inbound.bytes.is_empty())
                {
                    self.forget_idle(host);
                    return bare(AttemptOutcome::Stale);
                }
                count(Counter::hosts_broken);
                bare(AttemptOutcome::Broken)
            }
            Err(_) => {
                count(Counter::hosts_timed_out);
                bare(AttemptOutcome::TimedOut)
            }
        }
    }

    fn still_good(&self, conn: &mut Conn) -> bool {
        conn.used.elapsed() < self.idle && !conn.inbound.is_stale()
    }

    fn kept_idle(&self, host: &HostId) -> Option<Conn> {
        let mut kept = self.kept.borrow_mut();
        let idle = &mut kept.get_mut(host)?.idle;
        while let Some(mut conn) = idle.pop() {
            if self.still_good(&mut conn) {
                return Some(conn);
            }
        }
        None
    }

    /// One connection had died while it was idle, so the others of the host may have: the next is a new one.
    fn forget_idle(&self, host: &HostId) {
        count(Counter::hosts_stale);
        self.kept
            .borrow_mut()
            .get_mut(host)
            .into_iter()
            .for_each(|kept| kept.idle.clear());
    }

    async fn connect(&self, host: &HostId, sent_by: Instant) -> Result<Conn, AttemptOutcome> {
        let address = self
            .kept
            .borrow()
            .get(host)
            .map(|kept| kept.address)
            .ok_or(AttemptOutcome::NotSent)?;
        let place = self.place().ok_or_else(|| {
            count(Counter::hosts_no_room);
            AttemptOutcome::NotSent
        })?;
        let by = Instant::now() + self.connect_within;
        match timeout_at(by.min(sent_by), link::connect(address)).await {
            Ok(Ok((inbound, outbound))) => {
                count(Counter::hosts_connected);
                let (used, reused) = (Instant::now(), false);
                Ok(Conn {
                    address,
                    inbound,
                    outbound,
                    used,
                    reused,
                    _place: place,
                })
            }
            Ok(Err(error)) => {
                count(Counter::hosts_refused);
                log::debug!("{} at {address}: {error}", host.0);
                Err(AttemptOutcome::NotConnected)
            }
            Err(_) if sent_by < by => {
                // The host is no worse for it: it had less time than a connection may take.
                count(Counter::superseded);
                Err(AttemptOutcome::Superseded)
            }
            Err(_) => {
                count(Counter::hosts_unreached);
                log::debug!("{} at {address}: no connection in time", host.0);
                Err(AttemptOutcome::NotConnected)
            }
        }
    }

    /// A place for one more connection; the longest idle one makes room.
    fn place(&self) -> Option<Permit> {
        self.budget.try_acquire().or_else(|| {
            let mut kept = self.kept.borrow_mut();
            let idle = kept.values_mut().filter(|kept| !kept.idle.is_empty());
            idle.min_by_key(|kept| kept.idle[0].used)?.idle.remove(0);
            drop(kept);
            self.budget.try_acquire()
        })
    }

    fn keep(&self, host: &HostId, mut conn: Conn) {
        (conn.used, conn.reused) = (Instant::now(), true);
        conn.inbound.release_buffer();
        let mut kept = self.kept.borrow_mut();
        // The host may have moved while the connection was out.
        if let Some(kept) = kept
            .get_mut(host)
            .filter(|kept| kept.address == conn.address)
        {
            kept.idle.push(conn);
        }
    }

    /// Gives a request up. Its late answer may be on its way, so the connection is kept only once the host
    /// has shown that none will follow.
    async fn fence(self: Rc<Pool>, host: HostId, id: Bytes, mut conn: Conn) {
        conn.outbound
            .send([lines::encode_cancel(&id)], [None, None]);
        let fenced = async {
            conn.outbound.flush().await.ok()?;
            while conn.line(&self).await?.0.id.is_some() {}
            Some(())
        };
        if timeout(FENCED, fenced).await == Ok(Some(())) {
            self.keep(&host, conn);
        }
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        // Closing a connection gives up what is open on it.
        let Some(conn) = self.conn.take().filter(|_| !self.alone) else {
            return;
        };
        if self.written {
            spawn_local(
                self.pool
                    .clone()
                    .fence(self.host.clone(), self.id.clone(), conn),
            );
        } else if !conn.outbound.has_pending() && !conn.outbound.is_closed() {
            self.pool.keep(self.host, conn);
        }
    }
}
