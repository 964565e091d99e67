//! The service of real forwarders, which run beside the hollow ones: emulated hosts behind them, which are also in the
//! stand-in coordinator's endpoint list, and clients that send open-loop load. The recorded behaviour of clients, hosts
//! and purges is judged by the rules.

use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::thread;
use std::time::Duration;

use flaxdeck_emulator::{Clients, HostKind, Layout, ListedHost, Load, World, object_of_rank};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;

use crate::error::RunError;
use crate::hosts::Host;

/// Milliseconds within which a purge has to take effect everywhere, as in `docs/capacity/target.plan`.
const PURGE_GRACE_MS: f64 = 6_800.0;
/// Requests per second at each real forwarder: two thirds of what the hosts of the default layout can serve for three
/// forwarders.
const REQUESTS_PER_S: f64 = 70.0;
/// Number of objects that clients request.
const OBJECTS: u64 = 2_000;
/// The exponent of the rank by which the popularity of objects falls.
const POPULARITY_EXPONENT: f64 = 0.8;
/// The fraction of requests that are writes.
const WRITE_FRACTION: f64 = 0.02;
/// Milliseconds that clients wait for a response.
const CLIENT_TIMEOUT_MS: u64 = 2_500;
/// Purges per second of objects that clients request, in addition to the run's rate of purges.
pub const PURGES_PER_S: f64 = 5.0;
/// Number of objects that may be purged: the most popular ones.
const PURGED_RANKS: u64 = 50;

/// The index of the forwarders' and caches' zone in the settings.
const FORWARDER_ZONE: u8 = 0;
/// The index of the zone of parents and the origin in the settings.
const PARENT_ZONE: u8 = 1;

/// The outcome of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceOutcome {
    /// Requests that clients sent.
    pub requests: u64,
    /// The fraction of requests that were served in full and in time.
    pub served_fraction: f64,
    /// The 99th percentile of the latency of responses, in milliseconds.
    pub p99_ms: f64,
    /// The number of violations, by the number of the rule.
    pub violations: BTreeMap<u8, u64>,
}

/// The emulator's hosts, and the clients that send load to the real forwarders in front of them.
pub struct Service {
    /// `None` only during drop.
    world: Option<World>,
    layout: Layout,
    clients: Option<Clients>,
    rng: Pcg64Mcg,
}

/// Returns the emulator's layout for a number of forwarders: the default layout with the purge grace of the target.
pub fn layout(forwarders: usize) -> Layout {
    Layout {
        forwarders,
        purge_grace_ms: PURGE_GRACE_MS,
        ..Layout::default()
    }
}

/// Converts a host of the emulator to a host of the coordinator's list.
fn list_entry(host: &ListedHost) -> Option<Host> {
    let SocketAddr::V4(address) = host.address else {
        return None;
    };
    let id = u32::from_str_radix(host.id.strip_prefix("s-")?, 16).ok()?;
    let (zone, kind) = match host.kind {
        HostKind::Cache => (FORWARDER_ZONE, 0),
        HostKind::Parent => (PARENT_ZONE, 1),
        HostKind::Origin => (PARENT_ZONE, 2),
    };
    let address: SocketAddrV4 = address;
    let weight = (host.slots * 1000.0) as u32;
    Some(Host {
        id,
        address,
        state: 0,
        zone,
        kind,
        block: 0,
        weight,
        started_ms: 0,
    })
}

impl Service {
    /// Starts the hosts for a number of real forwarders.
    ///
    /// # Errors
    ///
    /// [`RunError::World`] if a host can't listen.
    pub fn start(forwarders: u32, seed: u64) -> Result<Service, RunError> {
        let layout = layout(forwarders as usize);
        let world = World::start(layout.clone())?;
        Ok(Service {
            world: Some(world),
            layout,
            clients: None,
            rng: Pcg64Mcg::seed_from_u64(seed),
        })
    }

    #[allow(clippy::expect_used, reason = "only drop takes the world")]
    fn world(&self) -> &World {
        self.world
            .as_ref()
            .expect("the world is present until drop")
    }

    /// Returns the hosts for the coordinator's endpoint list.
    pub fn hosts(&self) -> Vec<Host> {
        self.world()
            .listed_hosts()
            .iter()
            .filter_map(list_entry)
            .collect()
    }

    /// The platform's settings for a real forwarder.
    pub fn settings(&self) -> Value {
        flaxdeck_emulator::settings(&self.layout)
    }

    /// Starts clients that send requests for a number of seconds.
    pub fn start_load(&mut self, forwarders: &[SocketAddr], seconds: f64, seed: u64) {
        let now = self.world().now();
        let load = Load {
            seed,
            requests_per_s: vec![REQUESTS_PER_S],
            objects: OBJECTS,
            popularity_exponent: POPULARITY_EXPONENT,
            write_fraction: WRITE_FRACTION,
            from_ms: now,
            to_ms: now + seconds * 1000.0,
            timeout_ms: CLIENT_TIMEOUT_MS,
            first_connection: 0,
        };
        self.clients = Some(self.world().clients(forwarders, &load));
    }

    /// Draws one of the most popular objects and records that it is purged now. Returns the object, whose purge the
    /// caller has to order.
    pub fn purge_random_object(&mut self) -> u64 {
        let object = object_of_rank(self.rng.random_range(0..PURGED_RANKS));
        self.world().record_purge(&format!("{object:016x}"));
        object
    }

    /// Returns whether no request of the clients is pending.
    pub fn is_done(&self) -> bool {
        self.clients.as_ref().is_none_or(Clients::is_done)
    }

    /// Returns the outcome so far.
    pub fn outcome(&self) -> ServiceOutcome {
        let verdict = self.world().verdict();
        let mut violations = BTreeMap::new();
        for violation in &verdict.violations {
            *violations.entry(violation.rule.number()).or_default() += 1;
        }
        ServiceOutcome {
            requests: verdict.requests,
            served_fraction: verdict.served as f64 / verdict.requests.max(1) as f64,
            p99_ms: self.p99_ms(),
            violations,
        }
    }

    /// Returns the 99th percentile of latencies in milliseconds; NaN without responses.
    fn p99_ms(&self) -> f64 {
        let statistics = self.clients.as_ref().map(Clients::statistics);
        let mut latencies = statistics.unwrap_or_default().latencies_ms;
        latencies.sort_by(f64::total_cmp);
        let p99 = latencies.get(latencies.len() * 99 / 100);
        p99.copied().unwrap_or(f64::NAN)
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        // Dropping the world shuts down its runtime, which is not allowed on a thread that runs another runtime.
        let world = self.world.take();
        // A panic of that thread has already been printed.
        let _ = thread::spawn(move || drop(world)).join();
    }
}

/// Returns the interval between two purges of objects that clients request.
pub fn purge_interval() -> Duration {
    Duration::from_secs_f64(1.0 / PURGES_PER_S)
}
