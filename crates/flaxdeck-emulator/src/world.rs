//! One world on loopback, as its users see it: starts the stand-ins, and returns their counters, record and verdict.

mod announcements;
mod faults;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use flaxdeck_invariants::{InvariantTerms, RecordEntry, Verdict};
use serde_json::Value;
use tokio::runtime::Runtime;

use crate::clients::Clients;
use crate::coordinator;
use crate::error::EmulatorError;
use crate::hosts;
use crate::layout::Layout;
use crate::load::Load;
use crate::proxy::Proxy;
use crate::retrying_clients::{RetryPolicy, RetryingClients};
use crate::state::{HostKind, HostState, IntervalCounters, SharedState};

/// Worker threads of the runtime that runs the stand-ins.
const THREADS: usize = 3;
/// The grace that the rules allow after a withdrawal, in milliseconds.
const WITHDRAWAL_GRACE_MS: f64 = 1000.0;
/// The grace that the rules allow after a client's deadline, in milliseconds.
const DEADLINE_SLACK_MS: f64 = 50.0;
/// The numbers in the ids of the first cache host, the first parent and the origin.
const FIRST_CACHE_ID: usize = 0xca00;
const FIRST_PARENT_ID: usize = 0x9a00;
const ORIGIN_ID: usize = 1;

/// A host of a world, with what an endpoint list says of it.
#[derive(Clone, Debug)]
pub struct ListedHost {
    /// The host's id: `s-` and eight hexadecimal digits.
    pub id: String,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The tier that it belongs to.
    pub kind: HostKind,
    /// The number of requests that it processes concurrently when it is warm.
    pub slots: f64,
}

/// One world on loopback; dropping it stops the stand-ins.
pub struct World {
    shared: Arc<SharedState>,
    runtime: Runtime,
    /// The address at which the coordinator listens.
    pub coordinator: SocketAddr,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl World {
    /// Starts the hosts and the coordinator, at ports that the system chooses.
    ///
    /// # Errors
    ///
    /// If the runtime can't be started or a stand-in can't listen.
    pub fn start(layout: Layout) -> Result<World, EmulatorError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(THREADS)
            .enable_all()
            .build()
            .map_err(EmulatorError::Runtime)?;
        let shared = SharedState::new(layout.clone());
        let entered = runtime.enter();
        let listener = hosts::listen(any_port()).map_err(EmulatorError::Listen)?;
        let coordinator = listener.local_addr().map_err(EmulatorError::Listen)?;
        runtime.spawn(coordinator::serve(shared.clone(), listener));
        drop(entered);
        let world = World {
            shared,
            runtime,
            coordinator,
        };
        let Layout {
            caches, parents, ..
        } = layout;
        world.start_hosts(HostKind::Cache, caches, FIRST_CACHE_ID, layout.cache_slots)?;
        world.start_hosts(
            HostKind::Parent,
            parents,
            FIRST_PARENT_ID,
            layout.parent_slots,
        )?;
        world.start_hosts(HostKind::Origin, 1, ORIGIN_ID, layout.origin_slots)?;
        world.publish_full_list(1);
        Ok(world)
    }

    fn start_hosts(
        &self,
        kind: HostKind,
        count: usize,
        first_id: usize,
        slots: f64,
    ) -> Result<(), EmulatorError> {
        let _entered = self.runtime.enter();
        for n in 0..count {
            let id = format!("s-{:08x}", first_id + n);
            let listener = hosts::listen(any_port()).map_err(EmulatorError::Listen)?;
            let address = listener.local_addr().map_err(EmulatorError::Listen)?;
            let host = HostState::new(kind, address, slots);
            self.shared.lock().hosts.insert(id.clone(), host);
            let serving = hosts::serve(self.shared.clone(), id, listener, 0);
            self.runtime.spawn(serving);
        }
        Ok(())
    }

    /// Returns the ids of all hosts of a kind.
    pub fn hosts(&self, kind: HostKind) -> Vec<String> {
        let state = self.shared.lock();
        let of_kind = state.hosts.iter().filter(|(_, host)| host.kind == kind);
        of_kind.map(|(id, _)| id.clone()).collect()
    }

    /// Returns all hosts, for a coordinator from outside this world.
    pub fn listed_hosts(&self) -> Vec<ListedHost> {
        let state = self.shared.lock();
        let listed = |(id, host): (&String, &HostState)| ListedHost {
            id: id.clone(),
            address: host.address,
            kind: host.kind,
            slots: host.slots,
        };
        state.hosts.iter().map(listed).collect()
    }

    /// Returns the configuration of a dispatcher that connects to the coordinator at this address.
    pub fn config(&self, coordinator: SocketAddr) -> Value {
        self.shared.config(coordinator)
    }

    /// Returns the milliseconds since the start of the world.
    pub fn now(&self) -> f64 {
        self.shared.now()
    }

    /// Blocks the thread until a time of the world.
    pub fn wait_until(&self, at_ms: f64) {
        let remaining_ms = at_ms - self.now();
        if remaining_ms > 0.0 {
            thread::sleep(Duration::from_secs_f64(remaining_ms / 1000.0));
        }
    }

    /// Starts a proxy to an address.
    ///
    /// # Errors
    ///
    /// [`EmulatorError::Proxy`] if the proxy can't listen.
    pub fn proxy(&self, to: SocketAddr) -> Result<Proxy, EmulatorError> {
        let _entered = self.runtime.enter();
        Proxy::start(to).map_err(EmulatorError::Proxy)
    }

    /// Starts clients that send a load to these dispatchers.
    pub fn clients(&self, dispatchers: &[SocketAddr], load: &Load) -> Clients {
        let _entered = self.runtime.enter();
        Clients::start(&self.shared, dispatchers, load)
    }

    /// Starts clients that retry and switch to another dispatcher. The policies are assigned to each dispatcher's
    /// connections in turn.
    pub fn retrying_clients(
        &self,
        dispatchers: &[SocketAddr],
        load: &Load,
        policies: &[RetryPolicy],
    ) -> RetryingClients {
        let _entered = self.runtime.enter();
        RetryingClients::start(&self.shared, dispatchers, load, policies)
    }

    /// Returns the counters of all stand-ins for each interval since the start of the world.
    pub fn intervals(&self) -> Vec<IntervalCounters> {
        self.shared.lock().intervals.clone()
    }

    /// Returns the number of fills that the origin has started.
    pub fn fills_at_origin(&self) -> u64 {
        self.shared.lock().fills_at_origin
    }

    /// Returns how often a host crashed from overload during its slow start.
    pub fn overloaded_hosts(&self) -> u64 {
        self.shared.lock().overloaded_hosts
    }

    /// Returns the terms by which the record is checked.
    pub fn invariant_terms(&self) -> InvariantTerms {
        let layout = &self.shared.layout;
        let state = self.shared.lock();
        let hosts = state.hosts.iter();
        let with_slow_start = hosts.filter(|(_, host)| host.kind != HostKind::Origin);
        InvariantTerms {
            withdrawal_grace_ms: WITHDRAWAL_GRACE_MS,
            purge_grace_ms: layout.purge_grace_ms,
            deadline_slack_ms: DEADLINE_SLACK_MS,
            load_window_ms: layout.load_window_ms,
            slow_starts: with_slow_start
                .map(|(id, host)| (id.clone(), self.shared.slow_start(host.slots)))
                .collect(),
        }
    }

    /// Returns the events recorded so far.
    pub fn record(&self) -> Vec<RecordEntry> {
        self.shared.lock().record.clone()
    }

    /// Checks the record so far against the rules.
    pub fn verdict(&self) -> Verdict {
        flaxdeck_invariants::check(&self.invariant_terms(), &self.record())
    }
}
