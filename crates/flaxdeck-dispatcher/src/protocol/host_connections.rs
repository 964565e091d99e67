//! Connections to hosts. Each attempt has a connection of its own while it is out, so that no large answer holds up a
//! small one and cancelling one disturbs no other; afterwards the connection is kept idle for the next.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flaxdeck::{AttemptOutcome, Health, HostId, ListKind};
use flaxdeck_net::budget::{Budget, Permit};
use flaxdeck_net::clock::to_duration;
use flaxdeck_net::link;
use flaxdeck_net::metrics::{Counter, count};
use flaxdeck_terms::{ConnectionTerms, Names};
use flaxdeck_wire::frames::AddressedEndpoint;
use tokio::time::{Instant, timeout_at};

use super::host_connection::{HostConnection, ResponseReader};

/// The fraction of the hosts' idle timeout after which a connection is closed here, so that both ends never race.
const IDLE_FRACTION: f64 = 0.7;

/// The connections to all hosts of the list, by the hosts' ids: an address may come to belong to another host.
pub(crate) struct HostConnections {
    names: Rc<Names>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    /// How many connections there may be, idle ones and those that are out.
    budget: Budget,
    /// Bytes that responses may hold together.
    response_bytes: Rc<Budget>,
    hosts: RefCell<BTreeMap<HostId, HostEntry>>,
}

/// A host of the list.
struct HostEntry {
    address: SocketAddr,
    /// The longest idle first.
    idle: Vec<HostConnection>,
}

impl HostEntry {
    fn new(address: SocketAddr) -> HostEntry {
        HostEntry {
            address,
            idle: Vec::new(),
        }
    }
}

impl HostConnections {
    /// No connection as yet, and so many at most.
    pub(crate) fn new(
        names: Rc<Names>,
        terms: ConnectionTerms,
        max_connections: usize,
        response_bytes: Rc<Budget>,
    ) -> Rc<HostConnections> {
        Rc::new(HostConnections {
            names,
            connect_timeout: to_duration(terms.connect_timeout),
            idle_timeout: to_duration(terms.idle_timeout * IDLE_FRACTION),
            budget: Budget::new(max_connections),
            response_bytes,
            hosts: RefCell::new(BTreeMap::new()),
        })
    }

    /// Takes in lines of the list; hosts that a full list leaves out are gone. Idle connections of hosts that are gone or
    /// have moved are closed.
    pub(crate) fn update_hosts(&self, kind: ListKind, endpoints: &[AddressedEndpoint]) {
        let mut hosts = self.hosts.borrow_mut();
        let is_listed = |host: &HostId| {
            endpoints
                .iter()
                .any(|endpoint| endpoint.listed.host == *host)
        };
        hosts.retain(|host, _| kind == ListKind::Delta || is_listed(host));
        for AddressedEndpoint { listed, address } in endpoints {
            if listed.health == Health::Removed {
                hosts.remove(&listed.host);
                continue;
            }
            let entry = hosts
                .entry(listed.host.clone())
                .or_insert_with(|| HostEntry::new(*address));
            if entry.address != *address {
                *entry = HostEntry::new(*address);
            }
        }
    }

    /// Sets how many connections there may be.
    pub(crate) fn resize(&self, max_connections: usize) {
        self.budget.resize(max_connections);
    }

    /// Connections that are up or coming up, idle ones too.
    pub(crate) fn connections(&self) -> usize {
        self.budget.in_use()
    }

    /// Closes connections that have been idle for long, or that the other side has closed.
    pub(crate) fn close_expired(&self) {
        for entry in self.hosts.borrow_mut().values_mut() {
            entry
                .idle
                .retain_mut(|connection| self.is_usable(connection));
        }
    }

    fn is_usable(&self, connection: &mut HostConnection) -> bool {
        connection.idle_since.elapsed() < self.idle_timeout && !connection.inbound.is_stale()
    }

    pub(super) fn response_reader(&self) -> ResponseReader<'_> {
        ResponseReader {
            names: &self.names,
            response_bytes: &self.response_bytes,
        }
    }

    /// The connection that became idle last, if any is of use.
    pub(super) fn take_idle(&self, host: &HostId) -> Option<HostConnection> {
        let mut hosts = self.hosts.borrow_mut();
        let idle = &mut hosts.get_mut(host)?.idle;
        while let Some(mut connection) = idle.pop() {
            if self.is_usable(&mut connection) {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for the next attempt, unless its host is gone or has moved while it was out.
    pub(super) fn keep_idle(&self, host: &HostId, mut connection: HostConnection) {
        connection.idle_since = Instant::now();
        connection.was_idle = true;
        connection.inbound.release_buffer();
        let mut hosts = self.hosts.borrow_mut();
        if let Some(entry) = hosts.get_mut(host)
            && entry.address == connection.address
        {
            entry.idle.push(connection);
        }
    }

    /// One connection had died while it was idle, so the others of the host may have: the next is a new one.
    pub(super) fn close_idle(&self, host: &HostId) {
        count(Counter::hosts_stale);
        if let Some(entry) = self.hosts.borrow_mut().get_mut(host) {
            entry.idle.clear();
        }
    }

    /// Opens a connection, in the time that one may take and by the time by which a request has to be written.
    pub(super) async fn connect(
        &self,
        host: &HostId,
        sent_by: Instant,
    ) -> Result<HostConnection, AttemptOutcome> {
        let address = self.address(host).ok_or(AttemptOutcome::NotSent)?;
        let Some(permit) = self.acquire_permit() else {
            count(Counter::hosts_no_room);
            return Err(AttemptOutcome::NotSent);
        };
        let by = Instant::now() + self.connect_timeout;
        match timeout_at(by.min(sent_by), link::connect(address)).await {
            Ok(Ok((inbound, outbound))) => {
                count(Counter::hosts_connected);
                Ok(HostConnection {
                    address,
                    inbound,
                    outbound,
                    idle_since: Instant::now(),
                    was_idle: false,
                    _permit: permit,
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

    fn address(&self, host: &HostId) -> Option<SocketAddr> {
        self.hosts.borrow().get(host).map(|entry| entry.address)
    }

    /// A permit for one more connection; the longest idle one of all hosts makes room.
    fn acquire_permit(&self) -> Option<Permit> {
        if let Some(permit) = self.budget.try_acquire() {
            return Some(permit);
        }
        self.close_longest_idle();
        self.budget.try_acquire()
    }

    fn close_longest_idle(&self) {
        let mut hosts = self.hosts.borrow_mut();
        let with_idle = hosts.values_mut().filter(|entry| !entry.idle.is_empty());
        if let Some(entry) = with_idle.min_by_key(|entry| entry.idle[0].idle_since) {
            entry.idle.remove(0);
        }
    }
}
