//! One world on loopback, from the outside: what starts it, and what came of it.

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

/// Threads of the stand-ins.
const THREADS: usize = 3;
/// Milliseconds of grace that the rules allow after a withdrawal, ...
const WITHDRAWAL_GRACE_MS: f64 = 1000.0;
/// ... and after a client's deadline.
const DEADLINE_SLACK_MS: f64 = 50.0;
/// The numbers in the ids of the first host of each kind.
const FIRST_CACHE_ID: usize = 0xca00;
const FIRST_PARENT_ID: usize = 0x9a00;
const ORIGIN_ID: usize = 1;

/// A host of a world as a list names it.
#[derive(Clone, Debug)]
pub struct ListedHost {
    /// `s-` and eight hex digits.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its tier.
    pub kind: HostKind,
    /// Requests that it works on at once when it is warm.
    pub slots: f64,
}

/// One world on loopback; it ends when this is dropped.
pub struct World {
    shared: Arc<SharedState>,
    runtime: Runtime,
    /// Where the coordinator listens.
    pub coordinator: SocketAddr,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl World {
    /// Starts hosts and a coordinator, at ports that the system chooses.
    ///
    /// # Errors
    ///
    /// If the threads don't start or a stand-in can't listen.
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

    /// The ids of all hosts of a kind.
    pub fn hosts(&self, kind: HostKind) -> Vec<String> {
        let state = self.shared.lock();
        let of_kind = state.hosts.iter().filter(|(_, host)| host.kind == kind);
        of_kind.map(|(id, _)| id.clone()).collect()
    }

    /// All hosts, for a coordinator that is not this world's own.
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

    /// What a dispatcher is started with, whose coordinator is reached at that address.
    pub fn config(&self, coordinator: SocketAddr) -> Value {
        self.shared.config(coordinator)
    }

    /// Milliseconds since the world began.
    pub fn now(&self) -> f64 {
        self.shared.now()
    }

    /// Waits until that time of the world.
    pub fn wait_until(&self, at_ms: f64) {
        let left_ms = at_ms - self.now();
        if left_ms > 0.0 {
            thread::sleep(Duration::from_secs_f64(left_ms / 1000.0));
        }
    }

    /// Starts a link to that address.
    ///
    /// # Errors
    ///
    /// [`EmulatorError::Proxy`] if it can't listen.
    pub fn proxy(&self, to: SocketAddr) -> Result<Proxy, EmulatorError> {
        let _entered = self.runtime.enter();
        Proxy::start(to).map_err(EmulatorError::Proxy)
    }

    /// Starts clients of these dispatchers.
    pub fn clients(&self, dispatchers: &[SocketAddr], load: &Load) -> Clients {
        let _entered = self.runtime.enter();
        Clients::start(&self.shared, dispatchers, load)
    }

    /// Starts clients that change the dispatcher and retry; the connections to each dispatcher get the policies in turn.
    pub fn retrying_clients(
        &self,
        dispatchers: &[SocketAddr],
        load: &Load,
        policies: &[RetryPolicy],
    ) -> RetryingClients {
        let _entered = self.runtime.enter();
        RetryingClients::start(&self.shared, dispatchers, load, policies)
    }

    /// Counters of all stand-ins, by intervals since the world began.
    pub fn intervals(&self) -> Vec<IntervalCounters> {
        self.shared.lock().intervals.clone()
    }

    /// Fills at the origin since the start.
    pub fn fills_at_origin(&self) -> u64 {
        self.shared.lock().fills_at_origin
    }

    /// Hosts that crashed under their load during slow start.
    pub fn overloaded_hosts(&self) -> u64 {
        self.shared.lock().overloaded_hosts
    }

    /// What the record is judged by.
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

    /// What was seen so far.
    pub fn record(&self) -> Vec<RecordEntry> {
        self.shared.lock().record.clone()
    }

    /// The rules' verdict on the record so far.
    pub fn verdict(&self) -> Verdict {
        flaxdeck_invariants::check(&self.invariant_terms(), &self.record())
    }
}
