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

use crate::hosts::Host;

/// Within which a purge has to be done everywhere, as in `docs/capacity/target.plan`.
const PURGE_GRACE_MS: f64 = 6_800.0;
/// Requests a second at each real forwarder: two thirds of what the hosts of the usual world bear for three.
const RATE: f64 = 70.0;
const OBJECTS: u64 = 2_000;
const WAIT_MS: u64 = 2_500;
/// Purges a second of objects that clients ask for, beside the run's rate; only the most popular ones are purged.
pub const PURGES_PER_S: f64 = 5.0;
const PURGED_RANKS: u64 = 50;

/// Places in the settings' lists of zones and kinds.
const HERE: u8 = 0;
const HUB: u8 = 1;

/// What came of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct Served {
    pub asked: u64,
    /// The share answered in full and in time.
    pub share: f64,
    pub p99_ms: f64,
    /// Breaches by rule.
    pub broken: BTreeMap<u8, u64>,
}

/// The emulator's world and the load on the real forwarders before it.
pub struct Service {
    /// None only while it is being dropped.
    world: Option<World>,
    layout: Layout,
    clients: Option<Clients>,
    chance: Pcg64Mcg,
}

/// The world of a run with so many forwarders: as usual, but for the purges' grace.
pub fn layout(forwarders: usize) -> Layout {
    Layout {
        forwarders,
        purge_grace_ms: PURGE_GRACE_MS,
        ..Layout::default()
    }
}

fn line(host: &ListedHost) -> Option<Host> {
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
    pub fn start(forwarders: u32, seed: u64) -> Result<Service, String> {
        let layout = layout(forwarders as usize);
        let world = World::start(layout.clone()).map_err(|error| error.to_string())?;
        let chance = Pcg64Mcg::seed_from_u64(seed);
        Ok(Service {
            world: Some(world),
            layout,
            clients: None,
            chance,
        })
    }

    fn world(&self) -> &World {
        self.world.as_ref().expect("there until it is dropped")
    }

    /// Its hosts, for the coordinator's list.
    pub fn hosts(&self) -> Vec<Host> {
        self.world()
            .listed_hosts()
            .iter()
            .filter_map(line)
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
            requests_per_s: vec![RATE],
            objects: OBJECTS,
            popularity_exponent: 0.8,
            write_fraction: 0.02,
            from_ms: now,
            to_ms: now + seconds * 1000.0,
            timeout_ms: WAIT_MS,
            first_connection: 0,
        };
        self.clients = Some(self.world().clients(forwarders, &load));
    }

    /// Draws an object that clients ask for; it counts as purged from now on.
    pub fn purge(&mut self) -> u64 {
        let object = object_of_rank(self.chance.random_range(0..PURGED_RANKS));
        self.world().record_purge(&format!("{object:016x}"));
        object
    }

    /// Whether all clients have had their answers.
    pub fn is_done(&self) -> bool {
        self.clients.as_ref().is_none_or(Clients::is_done)
    }

    /// What came of it.
    pub fn served(&self) -> Served {
        let verdict = self.world().verdict();
        let mut took = self
            .clients
            .as_ref()
            .map(Clients::statistics)
            .unwrap_or_default()
            .latencies_ms;
        took.sort_by(f64::total_cmp);
        let p99_ms = took.get(took.len() * 99 / 100).copied().unwrap_or(f64::NAN);
        let mut broken = BTreeMap::new();
        verdict
            .violations
            .iter()
            .for_each(|breach| *broken.entry(breach.rule.number()).or_default() += 1);
        let share = verdict.served as f64 / verdict.requests.max(1) as f64;
        Served {
            asked: verdict.requests,
            share,
            p99_ms,
            broken,
        }
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        // A world ends its own runtime, which must not be done on a thread that runs another.
        let world = self.world.take();
        let _ = thread::spawn(move || drop(world)).join();
    }
}

/// Between two purges of objects that clients ask for.
pub fn between_purges() -> Duration {
    Duration::from_secs_f64(1.0 / PURGES_PER_S)
}
