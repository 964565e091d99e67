//! The budget of a cold host holds for the whole fleet: the requests of all dispatchers together to a cold cache, and
//! the fills from a cold parent, stay within what the settings allow, though no dispatcher knows what the others send.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod fleet;
mod world;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use flaxdeck_toy::{Coordinator, Host};
use fleet::{Dispatcher, generate_load};
use serde_json::{Value, json};
use world::{CONFIG, unix_now};

const DISPATCHERS: usize = 30;
/// How many of them get the endpoint list late, and by how much.
const LATE: usize = 6;
const LATE_BY: Duration = Duration::from_millis(1500);
/// The requests a second of each dispatcher, by its index: some get several times the mean.
const RATES: [f64; DISPATCHERS] = {
    let mut rates = [2.5; DISPATCHERS];
    let mut at = 0;
    while at < 23 {
        rates[at] = if at < RESTARTED { 20.0 } else { 10.0 };
        at += 1;
    }
    rates
};
/// How many dispatchers are killed and restarted: those with the most requests.
const RESTARTED: usize = 15;
/// How often they are restarted, and the time from one restart to the next.
const RESTARTS: usize = 3;
const RESTART_INTERVAL: Duration = Duration::from_millis(650);

// The settings for cold hosts, and the size of all objects.
const WINDOW_MS: f64 = 2000.0;
const WARM_WITHIN_MS: f64 = 60_000.0;
const OVERLOAD_FACTOR: f64 = 2.0;
const CACHE_COLD_FRACTION: f64 = 0.2;
const PARENT_COLD_FRACTION: f64 = 0.1;
const CAPACITY: f64 = 40.0;
const KB: f64 = 1460.0;
const KB_PER_MS: f64 = 11.0;

/// Returns the number of requests of mean work that the settings allow a host within a window that begins at that age.
fn allowed_requests(cold_fraction: f64, age: Duration) -> f64 {
    let fraction = (cold_fraction
        + (1.0 - cold_fraction) * age.as_secs_f64() * 1000.0 / WARM_WITHIN_MS)
        .min(1.0);
    OVERLOAD_FACTOR * fraction * CAPACITY * WINDOW_MS / (KB / KB_PER_MS)
}

/// Checks each window that begins with an arrival: the arrivals within it must not exceed what is allowed by more than
/// random arrivals explain, two standard deviations and 2. Returns the highest fraction of the allowed requests.
fn max_budget_use(host: &str, cold_fraction: f64, started: Instant, arrivals: &[Instant]) -> f64 {
    let window = Duration::from_secs_f64(WINDOW_MS / 1000.0);
    let used = arrivals.iter().enumerate().map(|(at, begins)| {
        let arrived = arrivals[at..]
            .iter()
            .take_while(|arrival| **arrival - *begins < window)
            .count() as f64;
        let age = begins.saturating_duration_since(started);
        let allowed = allowed_requests(cold_fraction, age);
        let bound = allowed + 2.0 * allowed.sqrt() + 2.0;
        assert!(
            arrived <= bound,
            "{host}: {arrived} requests within a window that begins {age:?} after its start, \
             allowed are {allowed:.0}, with random variation {bound:.0}"
        );
        arrived / allowed
    });
    used.fold(0.0, f64::max)
}

/// The hosts. The dispatchers' configuration lists neither the cold cache nor the cold parent.
struct Hosts {
    warm: Host,
    cold: Host,
    parent: Host,
    origin: Host,
}

impl Hosts {
    fn start() -> Hosts {
        let host = |id| Host::start(id, "127.0.0.1:0").unwrap();
        let (warm, cold) = (host("s-0000ca00"), host("s-0000ca01"));
        Hosts {
            warm,
            cold,
            parent: host("s-00009a01"),
            origin: host("s-00000001"),
        }
    }

    fn config(&self, coordinator: SocketAddr, seed: u64) -> Value {
        let row = |host: &Host, class: &str, site: &str| {
            json!({"host": host.id, "dial": host.address.to_string(), "site": site, "class": class,
                "block": 0, "health": "Ready", "share": CAPACITY, "born_ms": 0})
        };
        let mut config: Value = serde_json::from_str(CONFIG).unwrap();
        config["coordinator"] = coordinator.to_string().into();
        config["seed"] = format!("{seed:016x}").into();
        config["known"]["updates"][0]["endpoints"]["hosts"] = json!([
            row(&self.warm, "cache", "here"),
            row(&self.origin, "origin", "hub")
        ]);
        let settings = &mut config["settings"];
        settings["group_size"] = DISPATCHERS.into();
        settings["rules"]["cold_from"] = CACHE_COLD_FRACTION.into();
        settings["rules"]["fall_ms"] = WINDOW_MS.into();
        settings["rules"]["overload_factor"] = OVERLOAD_FACTOR.into();
        settings["rules"]["warm_within_ms"] = WARM_WITHIN_MS.into();
        let family = &mut settings["family_info"];
        family["count_by_zone"] = json!([DISPATCHERS, 0]);
        family["client_kb_per_s"] = (KB_PER_MS * 1000.0).into();
        family["upper_cold_from"] = PARENT_COLD_FRACTION.into();
        family["upper_cold_ms"] = WARM_WITHIN_MS.into();
        family["upper_fall_multiple"] = OVERLOAD_FACTOR.into();
        config
    }

    /// Announces the cold hosts, as started at that Unix time.
    fn announce(&self, coordinator: &mut Coordinator, unix_ms: u64) {
        coordinator.started(&self.cold, 0, 0, CAPACITY, unix_ms);
        coordinator.started(&self.parent, 1, 1, CAPACITY, unix_ms);
    }

    /// Returns when each attempt arrived at the cold cache, and each fill at the cold parent. Every object is requested
    /// once only, so each request to a cache is a miss.
    fn arrivals(&self) -> [Vec<Instant>; 2] {
        let fill_field = format!("fetch={}", self.parent.id);
        let caches = [&self.warm, &self.cold].map(|cache| cache.arrivals("want"));
        let at_parent = self.parent.arrivals("want").into_iter().map(|(at, _)| at);
        let at_caches = caches
            .iter()
            .flatten()
            .filter(|(_, line)| line.contains(&fill_field))
            .map(|(at, _)| *at);
        let mut fills: Vec<Instant> = at_caches.chain(at_parent).collect();
        fills.sort();
        [caches[1].iter().map(|(at, _)| *at).collect(), fills]
    }
}

#[test]
fn thirty_dispatchers_together_keep_to_a_cold_hosts_budget() {
    let hosts = Hosts::start();
    let [mut prompt, mut late] = [(); 2].map(|()| Coordinator::start("127.0.0.1:0", 1).unwrap());
    // Both some of the restarted dispatchers and some of the others get the endpoint list late.
    let is_late = |at: usize| at.is_multiple_of(DISPATCHERS / LATE);
    let mut dispatchers: Vec<Dispatcher> = (0..DISPATCHERS)
        .map(|at| {
            let coordinator = if is_late(at) {
                late.address
            } else {
                prompt.address
            };
            Dispatcher::spawn(hosts.config(coordinator, 7300 + at as u64))
        })
        .collect();
    let (stop, served): (Arc<AtomicBool>, Arc<AtomicU32>) = Default::default();
    let clients: Vec<JoinHandle<()>> = dispatchers
        .iter_mut()
        .zip(RATES)
        .enumerate()
        .map(|(at, (dispatcher, rate))| {
            generate_load(
                dispatcher.address(),
                (rate, KB),
                at as u64 + 1,
                stop.clone(),
                served.clone(),
            )
        })
        .collect();
    thread::sleep(Duration::from_millis(500));

    let (started, unix_ms) = (Instant::now(), unix_now().as_millis() as u64);
    hosts.announce(&mut prompt, unix_ms);
    thread::sleep(LATE_BY);
    hosts.announce(&mut late, unix_ms);
    thread::sleep(Duration::from_millis(500));
    for _ in 0..RESTARTS {
        for dispatcher in &mut dispatchers[..RESTARTED] {
            dispatcher.kill();
            dispatcher.restart();
        }
        thread::sleep(RESTART_INTERVAL);
    }
    thread::sleep(Duration::from_secs_f64(WINDOW_MS * 0.6 / 1000.0));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().unwrap();
    }

    let [cache, parent] = hosts.arrivals();
    let used = [
        max_budget_use("the cold cache", CACHE_COLD_FRACTION, started, &cache),
        max_budget_use("the cold parent", PARENT_COLD_FRACTION, started, &parent),
    ];
    println!(
        "served {served:?}; requests at the cold cache {}, fills at the cold parent {}; budget use {used:.2?}",
        cache.len(),
        parent.len()
    );
    assert!(
        used.iter().all(|used| *used > 0.25),
        "the cold cache or the cold parent gets too few requests, budget use {used:.2?}"
    );
}
