//! The cold host's budget holds for the fleet: what all dispatchers together ask of a cold cache and a cold parent stays
//! within what the settings allow, though no dispatcher knows what the others ask.

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
use fleet::{Dispatcher, ask};
use serde_json::{Value, json};
use world::{CONFIG, unix_now};

const DISPATCHERS: usize = 30;
/// Those of them that get the list late, and by how much.
const LATE: usize = 6;
const LATE_BY: Duration = Duration::from_millis(1500);
/// Requests a second that come to a dispatcher, by its place: some get several times the mean.
const RATES: [f64; DISPATCHERS] = {
    let mut rates = [2.5; DISPATCHERS];
    let mut at = 0;
    while at < 23 {
        rates[at] = if at < RESTARTED { 20.0 } else { 10.0 };
        at += 1;
    }
    rates
};
/// Those that are killed and started again, the ones with most requests, so many times and so long apart.
const RESTARTED: usize = 15;
const LIVES: usize = 3;
const LIFE: Duration = Duration::from_millis(650);

// The settings' figures for cold hosts, and the size of all objects.
const WINDOW_MS: f64 = 2000.0;
const WARM_WITHIN_MS: f64 = 60_000.0;
const FACTOR: f64 = 2.0;
const CACHE_FROM: f64 = 0.2;
const PARENT_FROM: f64 = 0.1;
const PLACES: f64 = 40.0;
const KB: f64 = 1460.0;
const KB_PER_MS: f64 = 11.0;

/// Requests that the settings allow a host within a window from when it has that age, were all of mean work.
fn allowed(from: f64, age: Duration) -> f64 {
    let part = (from + (1.0 - from) * age.as_secs_f64() * 1000.0 / WARM_WITHIN_MS).min(1.0);
    FACTOR * part * PLACES * WINDOW_MS / (KB / KB_PER_MS)
}

/// The most that came within a window, as a part of what is allowed from its start; none may be over chance.
fn most_used(what: &str, from: f64, started: Instant, arrivals: &[Instant]) -> f64 {
    let window = Duration::from_secs_f64(WINDOW_MS / 1000.0);
    let used = arrivals.iter().enumerate().map(|(at, begins)| {
        let came = arrivals[at..]
            .iter()
            .take_while(|arrival| **arrival - *begins < window)
            .count() as f64;
        let age = begins.saturating_duration_since(started);
        let allowed = allowed(from, age);
        let bound = allowed + 2.0 * allowed.sqrt() + 2.0;
        assert!(
            came <= bound,
            "{what}: {came} of {allowed:.0}, with chance {bound:.0}, {age:?} after its start"
        );
        came / allowed
    });
    used.fold(0.0, f64::max)
}

/// The hosts, and what every dispatcher knows of them at first: neither the cold cache nor the cold parent.
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
                "block": 0, "health": "Ready", "share": PLACES, "born_ms": 0})
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
        settings["rules"]["cold_from"] = CACHE_FROM.into();
        settings["rules"]["fall_ms"] = WINDOW_MS.into();
        settings["rules"]["overload_factor"] = FACTOR.into();
        settings["rules"]["warm_within_ms"] = WARM_WITHIN_MS.into();
        let family = &mut settings["family_info"];
        family["count_by_zone"] = json!([DISPATCHERS, 0]);
        family["client_kb_per_s"] = (KB_PER_MS * 1000.0).into();
        family["upper_cold_from"] = PARENT_FROM.into();
        family["upper_cold_ms"] = WARM_WITHIN_MS.into();
        family["upper_fall_multiple"] = FACTOR.into();
        config
    }

    /// Tells that the cold hosts are there, since that Unix time.
    fn announce(&self, coordinator: &mut Coordinator, unix_ms: u64) {
        coordinator.started(&self.cold, 0, 0, PLACES, unix_ms);
        coordinator.started(&self.parent, 1, 1, PLACES, unix_ms);
    }

    /// When each attempt came to the cold cache, and each fill to the cold parent: every object is asked for once, so no
    /// cache holds any.
    fn arrivals(&self) -> [Vec<Instant>; 2] {
        let fills = format!("fetch={}", self.parent.id);
        let caches = [&self.warm, &self.cold].map(|cache| cache.arrivals("want"));
        let at_parent = self.parent.arrivals("want").into_iter().map(|(at, _)| at);
        let filled = caches
            .iter()
            .flatten()
            .filter(|(_, line)| line.contains(&fills))
            .map(|(at, _)| *at);
        let mut filled: Vec<Instant> = filled.chain(at_parent).collect();
        filled.sort();
        [caches[1].iter().map(|(at, _)| *at).collect(), filled]
    }
}

#[test]
fn thirty_dispatchers_together_keep_to_a_cold_hosts_budget() {
    let hosts = Hosts::start();
    let [mut prompt, mut late] = [(); 2].map(|()| Coordinator::start("127.0.0.1:0", 1).unwrap());
    // Some of those that start again get the list late, some of the others too.
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
    let (over, served): (Arc<AtomicBool>, Arc<AtomicU32>) = Default::default();
    let clients: Vec<JoinHandle<()>> = dispatchers
        .iter_mut()
        .zip(RATES)
        .enumerate()
        .map(|(at, (dispatcher, rate))| {
            ask(
                dispatcher.address(),
                (rate, KB),
                at as u64 + 1,
                over.clone(),
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
    for _ in 0..LIVES {
        for dispatcher in &mut dispatchers[..RESTARTED] {
            dispatcher.kill();
            dispatcher.restart();
        }
        thread::sleep(LIFE);
    }
    thread::sleep(Duration::from_secs_f64(WINDOW_MS * 0.6 / 1000.0));
    over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().unwrap();
    }

    let [cache, parent] = hosts.arrivals();
    let used = [
        most_used("the cold cache", CACHE_FROM, started, &cache),
        most_used("the cold parent", PARENT_FROM, started, &parent),
    ];
    println!(
        "served {served:?}, at the cold hosts {}, {}; used {used:.2?}",
        cache.len(),
        parent.len()
    );
    assert!(
        used.iter().all(|used| *used > 0.25),
        "they are made use of, too: {used:.2?}"
    );
}
