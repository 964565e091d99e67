//! Connections to hosts. Each attempt uses a connection of its own while in flight, so that a large response delays no
//! small one and a cancellation affects no other attempt; afterwards the connection is kept idle for a later one.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use flaxdeck::{AttemptOutcome, Health, HostId, ListKind};
use flaxdeck_net::budget::{Budget, Permit};
use flaxdeck_net::clock::to_duration;
use flaxdeck_net::link;
use flaxdeck_net::log_limiter::LogLimiter;
use flaxdeck_net::metrics::{Counter, count};
use flaxdeck_terms::{ConnectionTerms, Names};
use flaxdeck_wire::frames::AddressedEndpoint;
use tokio::time::{Instant, timeout_at};

use super::host_connection::{HostConnection, HostProcess, ResponseReader};

/// The fraction of the hosts' idle timeout after which this side closes an idle connection, so that no request is
/// written while the host closes it.
const IDLE_FRACTION: f64 = 0.7;

/// The connections to all hosts of the endpoint list. They are kept by host id, as an address may be given to another
/// host.
pub(crate) struct HostConnections {
    names: Rc<Names>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    /// One permit for each connection, idle or in use.
    budget: Budget,
    /// The memory budget of all responses, in bytes.
    response_bytes: Rc<Budget>,
    /// Limits the lines about malformed responses.
    malformed_log: LogLimiter,
    hosts: RefCell<BTreeMap<HostId, HostEntry>>,
}

/// A host of the endpoint list.
struct HostEntry {
    process: HostProcess,
    /// The idle connections to that process, the longest idle first.
    idle: Vec<HostConnection>,
}

impl HostEntry {
    fn new(process: HostProcess) -> HostEntry {
        HostEntry {
            process,
            idle: Vec::new(),
        }
    }
}

impl HostConnections {
    /// Creates the set without hosts, for at most `max_connections` connections.
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
            malformed_log: LogLimiter::default(),
            hosts: RefCell::new(BTreeMap::new()),
        })
    }

    /// Applies an endpoint list; a full list also removes the hosts that are not in it. Closes the idle connections of
    /// hosts that are removed or have another process.
    ///
    /// Guards against requests to a process that another one has replaced: its connections may still be open.
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
            let process = HostProcess {
                address: *address,
                started: listed.started,
            };
            let entry = hosts
                .entry(listed.host.clone())
                .or_insert_with(|| HostEntry::new(process));
            if entry.process != process {
                *entry = HostEntry::new(process);
            }
        }
    }

    /// Changes the maximum number of connections.
    pub(crate) fn resize(&self, max_connections: usize) {
        self.budget.resize(max_connections);
    }

    /// Returns the number of connections that are open or being opened, idle ones included.
    pub(crate) fn connections(&self) -> usize {
        self.budget.in_use()
    }

    /// Closes idle connections that have been idle for too long, that the host has closed, or on which it has sent
    /// bytes that nobody expects.
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
            malformed_log: &self.malformed_log,
        }
    }

    /// Takes the connection that became idle last and can still be used.
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

    /// Whether a connection leads to the process that is listed for the host now.
    pub(super) fn is_current(&self, host: &HostId, connection: &HostConnection) -> bool {
        self.process(host) == Some(connection.process)
    }

    /// Keeps a connection for a later attempt, unless its host was removed or got another process meanwhile.
    pub(super) fn keep_idle(&self, host: &HostId, mut connection: HostConnection) {
        connection.idle_since = Instant::now();
        connection.was_idle = true;
        connection.inbound.release_buffer();
        let mut hosts = self.hosts.borrow_mut();
        if let Some(entry) = hosts.get_mut(host)
            && entry.process == connection.process
        {
            entry.idle.push(connection);
        }
    }

    /// Closes all idle connections of a host after one was found dead: the others may be dead too, so the next attempt
    /// opens a new one.
    pub(super) fn close_idle(&self, host: &HostId) {
        count(Counter::hosts_stale);
        if let Some(entry) = self.hosts.borrow_mut().get_mut(host) {
            entry.idle.clear();
        }
    }

    /// Opens a connection within the connect timeout, and by `sent_by`.
    pub(super) async fn connect(
        &self,
        host: &HostId,
        sent_by: Instant,
    ) -> Result<HostConnection, AttemptOutcome> {
        let process = self.process(host).ok_or(AttemptOutcome::NotSent)?;
        let address = process.address;
        let Some(permit) = self.acquire_permit() else {
            count(Counter::hosts_no_room);
            return Err(AttemptOutcome::NotSent);
        };
        let by = Instant::now() + self.connect_timeout;
        match timeout_at(by.min(sent_by), link::connect(address)).await {
            Ok(Ok((inbound, outbound))) => {
                count(Counter::hosts_connected);
                Ok(HostConnection {
                    process,
                    inbound,
                    outbound,
                    idle_since: Instant::now(),
                    was_idle: false,
                    _permit: permit,
                })
            }
            Ok(Err(error)) => {
                count(Counter::hosts_refused);
                log::debug!("connecting to host {} at {address} failed: {error}", host.0);
                Err(AttemptOutcome::NotConnected)
            }
            Err(_) if sent_by < by => {
                // This does not count against the host, which had less time than the connect timeout.
                count(Counter::superseded);
                Err(AttemptOutcome::Superseded)
            }
            Err(_) => {
                count(Counter::hosts_unreached);
                log::debug!("connecting to host {} at {address} timed out", host.0);
                Err(AttemptOutcome::NotConnected)
            }
        }
    }

    fn process(&self, host: &HostId) -> Option<HostProcess> {
        self.hosts.borrow().get(host).map(|entry| entry.process)
    }

    /// Acquires a permit for one more connection. If none is free, closes the longest idle connection of all hosts.
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
