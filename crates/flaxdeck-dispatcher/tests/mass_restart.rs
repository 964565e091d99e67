//! Many dispatchers are killed and restarted together, under load, with a coordinator that answers few connections at
//! once: nine in ten have to be ready in time.

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

use flaxdeck_toy::{Answer, Client, Coordinator, Host};
use fleet::{Dispatcher, generate_load};
use serde_json::{Value, json};
use world::{CONFIG, key};

const DISPATCHERS: usize = 30;
/// The number of dispatchers that have to be ready within that time after their start.
const MIN_READY: usize = DISPATCHERS * 9 / 10;
const READY_WITHIN: Duration = Duration::from_secs(10);
/// The connections that the coordinator answers at once, and how long each answer takes: at least 2.25 s for all
/// dispatchers.
const MAX_CONCURRENT_CALLS: u32 = 2;
const CALL_DURATION: Duration = Duration::from_millis(150);
/// The requests a second to each dispatcher, and their size.
const RATE: f64 = 10.0;
const KB: f64 = 50.0;
/// The interval at which the test retries a request, and checks the logs.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

fn config(hosts: &[(&Host, &str, &str)], coordinator: SocketAddr, seed: u64) -> Value {
    let row = |(host, class, site): &(&Host, &str, &str)| {
        json!({"host": host.id, "dial": host.address.to_string(), "site": site, "class": class,
            "block": 0, "health": "Ready", "share": 8, "born_ms": 0})
    };
    let mut config: Value = serde_json::from_str(CONFIG).unwrap();
    config["coordinator"] = coordinator.to_string().into();
    config["seed"] = format!("{seed:016x}").into();
    config["known"]["updates"][0]["endpoints"]["hosts"] = hosts.iter().map(row).collect();
    config["settings"]["group_size"] = DISPATCHERS.into();
    config["settings"]["family_info"]["count_by_zone"] = json!([DISPATCHERS, 0]);
    config
}

/// Retries a request until it is served, and returns when it was; none if it was not in time.
fn first_served(address: SocketAddr, number: u32) -> JoinHandle<Option<Instant>> {
    thread::spawn(move || {
        let begun = Instant::now();
        while begun.elapsed() < READY_WITHIN {
            let answer = Client::connect(address).and_then(|mut client| {
                client.request("page", &key(number), 1000, b"")?;
                client.answer()
            });
            if matches!(answer, Ok(Answer::Served { .. })) {
                return Some(Instant::now());
            }
            thread::sleep(RETRY_INTERVAL);
        }
        None
    })
}

/// Generates load on all dispatchers until `stop` is set. `served` counts the requests that are served.
fn start_load(
    addresses: &[SocketAddr],
    stop: &Arc<AtomicBool>,
    served: &Arc<AtomicU32>,
) -> Vec<JoinHandle<()>> {
    let load = |(at, address): (usize, &SocketAddr)| {
        let seed = at as u64 + 1;
        generate_load(*address, (RATE, KB), seed, stop.clone(), served.clone())
    };
    addresses.iter().enumerate().map(load).collect()
}

/// Returns when each dispatcher has served its first request; none for those that did not in time.
fn all_first_served(addresses: &[SocketAddr]) -> Vec<Option<Instant>> {
    let first: Vec<JoinHandle<Option<Instant>>> = addresses
        .iter()
        .enumerate()
        .map(|(at, address)| first_served(*address, 900_000 + at as u32))
        .collect();
    first
        .into_iter()
        .map(|first| first.join().unwrap())
        .collect()
}

/// Returns when a dispatcher has received the drain that was published while it was down.
fn drain_received_at(dispatcher: &Dispatcher) -> Option<Instant> {
    dispatcher.logged_at("told: s-0000ca00 Draining")
}

/// Returns the times from the start until each dispatcher was ready, in ascending order, without those that were not
/// ready in time. A dispatcher is ready when it has served a request and received the drain.
fn ready_times(
    started: Instant,
    served_at: &[Option<Instant>],
    dispatchers: &[Dispatcher],
) -> Vec<Duration> {
    let ready = served_at
        .iter()
        .zip(dispatchers)
        .filter_map(|(served, dispatcher)| {
            let ready = (*served)?.max(drain_received_at(dispatcher)?);
            Some(ready.duration_since(started)).filter(|took| *took < READY_WITHIN)
        });
    let mut ready: Vec<Duration> = ready.collect();
    ready.sort();
    ready
}

#[test]
fn nine_in_ten_of_thirty_killed_together_are_ready_in_time() {
    let host = |id| Host::start(id, "127.0.0.1:0").unwrap();
    let (caches, parent, origin) = (
        [host("s-0000ca00"), host("s-0000ca01")],
        host("s-00009a01"),
        host("s-00000001"),
    );
    let hosts = [
        (&caches[0], "cache", "here"),
        (&caches[1], "cache", "here"),
        (&parent, "parent", "hub"),
        (&origin, "origin", "hub"),
    ];
    let mut coordinator = Coordinator::start("127.0.0.1:0", 1).unwrap();
    let start = |at| Dispatcher::spawn(config(&hosts, coordinator.address, 8100 + at as u64));
    let mut dispatchers: Vec<Dispatcher> = (0..DISPATCHERS).map(start).collect();
    let addresses: Vec<SocketAddr> = dispatchers.iter_mut().map(Dispatcher::address).collect();
    let (stop, served): (Arc<AtomicBool>, Arc<AtomicU32>) = Default::default();
    let load = start_load(&addresses, &stop, &served);
    thread::sleep(Duration::from_millis(500));

    for dispatcher in &mut dispatchers {
        dispatcher.kill();
    }
    // The dispatchers miss this event, and can get it from the coordinator only.
    coordinator.limit_calls(MAX_CONCURRENT_CALLS, CALL_DURATION);
    coordinator.change(&caches[0], 1, 0, 0);
    let started = Instant::now();
    for dispatcher in &mut dispatchers {
        dispatcher.restart();
    }
    let served_at = all_first_served(&addresses);
    let all_received_drain = || {
        dispatchers
            .iter()
            .all(|dispatcher| drain_received_at(dispatcher).is_some())
    };
    while started.elapsed() < READY_WITHIN && !all_received_drain() {
        thread::sleep(RETRY_INTERVAL);
    }
    let ready = ready_times(started, &served_at, &dispatchers);
    stop.store(true, Ordering::Relaxed);
    for load in load {
        load.join().unwrap();
    }
    let served_in_time = served_at.iter().flatten().count();
    println!(
        "{} ready, {served_in_time} have served a request; the last was ready after {:?}; {served:?} requests of the \
         load were served",
        ready.len(),
        ready.last()
    );
    assert!(
        ready.len() >= MIN_READY,
        "only {} of {DISPATCHERS} dispatchers ready within {READY_WITHIN:?}; {served_in_time} have served a request",
        ready.len()
    );
}
