//! Real forwarders under open-loop load before the emulator's hosts, beside the hollow ones, whose list is the stand-in
//! coordinator's. What clients, hosts and purges were seen to do is judged by the rules.

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

/// Milliseconds within which a purge has to be done everywhere, as in `docs/capacity/target.plan`.
const PURGE_GRACE_MS: f64 = 6_800.0;
/// Requests a second at each real forwarder: two thirds of what the hosts of the usual world bear for three.
const REQUESTS_PER_S: f64 = 70.0;
/// Objects that clients ask for, ...
const OBJECTS: u64 = 2_000;
/// ... the power of the rank by which their popularity falls, ...
const POPULARITY_EXPONENT: f64 = 0.8;
/// ... and the fraction of requests that are writes.
const WRITE_FRACTION: f64 = 0.02;
/// Milliseconds that clients wait for an answer.
const CLIENT_TIMEOUT_MS: u64 = 2_500;
/// Purges a second of objects that clients ask for, beside the run's rate; only the most popular ones are purged.
pub const PURGES_PER_S: f64 = 5.0;
/// Objects that are purged, by their popularity.
const PURGED_RANKS: u64 = 50;

/// Indices in the settings' list of zones: the forwarders' own, ...
const HERE: u8 = 0;
/// ... and that of parents and the origin.
const HUB: u8 = 1;

/// What came of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceOutcome {
    /// Requests that clients sent.
    pub requests: u64,
    /// The fraction answered in full and in time.
    pub served_fraction: f64,
    /// Milliseconds within which 99 of 100 answers came.
    pub p99_ms: f64,
    /// Violations by the number of the rule.
    pub violations: BTreeMap<u8, u64>,
}

/// The emulator's world and the load on the real forwarders before it.
pub struct Service {
    /// None only while it is being dropped.
    world: Option<World>,
    layout: Layout,
    clients: Option<Clients>,
    rng: Pcg64Mcg,
}

/// The world of a run with so many forwarders: as usual, but for the purges' grace.
pub fn layout(forwarders: usize) -> Layout {
    Layout {
        forwarders,
        purge_grace_ms: PURGE_GRACE_MS,
        ..Layout::default()
    }
}

fn listed(host: &ListedHost) -> Option<Host> {
    let SocketAddr::V4(address) = host.address else {
        return None;
    };
    let id = u32::from_str_radix(host.id.strip_prefix("s-")?, 16).ok()?;
    let (zone, kind) = match host.kind {
        HostKind::Cache => (HERE, 0),
        HostKind::Parent => (HUB, 1),
        HostKind::Origin => (HUB, 2),
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
    /// Starts hosts for so many real forwarders.
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

    #[allow(clippy::expect_used, reason = "only drop takes the world away")]
    fn world(&self) -> &World {
        self.world.as_ref().expect("there until it is dropped")
    }

    /// Its hosts, for the coordinator's list.
    pub fn hosts(&self) -> Vec<Host> {
        self.world()
            .listed_hosts()
            .iter()
            .filter_map(listed)
            .collect()
    }

    /// The platform's settings for a real forwarder.
    pub fn settings(&self) -> Value {
        flaxdeck_emulator::settings(&self.layout)
    }

    /// Has clients ask from now on, for so long.
    pub fn load(&mut self, forwarders: &[SocketAddr], seconds: f64, seed: u64) {
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

    /// Draws an object that clients ask for; it counts as purged from now on.
    pub fn purge(&mut self) -> u64 {
        let object = object_of_rank(self.rng.random_range(0..PURGED_RANKS));
        self.world().record_purge(&format!("{object:016x}"));
        object
    }

    /// Whether all clients have had their answers.
    pub fn is_done(&self) -> bool {
        self.clients.as_ref().is_none_or(Clients::is_done)
    }

    /// What came of it so far.
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

    /// Not a number without answers.
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
        // A world ends its own runtime, which must not be done on a thread that runs another.
        let world = self.world.take();
        // A panic in there has been printed already.
        let _ = thread::spawn(move || drop(world)).join();
    }
}

/// Between two purges of objects that clients ask for.
pub fn between_purges() -> Duration {
    Duration::from_secs_f64(1.0 / PURGES_PER_S)
}
