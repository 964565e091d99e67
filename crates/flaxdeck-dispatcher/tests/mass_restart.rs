//! Many dispatchers killed and started again together, under load, before a coordinator that answers few calls at once:
//! nine in ten are ready in time.

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
use fleet::{Dispatcher, ask};
use serde_json::{Value, json};
use world::{CONFIG, key};

const DISPATCHERS: usize = 30;
/// After their start this many have to be ready within that time.
const READY: usize = DISPATCHERS * 9 / 10;
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Calls that the coordinator answers at once, and how long each takes: two seconds and a half for all, one by one in step.
const CALLS_AT_ONCE: u32 = 2;
const CALL_TAKES: Duration = Duration::from_millis(150);
/// Requests a second that come to each dispatcher, and their size.
const RATE: f64 = 10.0;
const KB: f64 = 50.0;
/// Between tries to have a request served.
const AGAIN: Duration = Duration::from_millis(20);

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

/// Asks until a request is served; gives when.
fn served_first(address: SocketAddr, number: u32) -> JoinHandle<Option<Instant>> {
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
            thread::sleep(AGAIN);
        }
        None
    })
}

/// Load on all dispatchers until it is over, with how many requests were served.
fn load(
    addresses: &[SocketAddr],
    over: &Arc<AtomicBool>,
    served: &Arc<AtomicU32>,
) -> Vec<JoinHandle<()>> {
    let load = |(at, address): (usize, &SocketAddr)| {
        let seed = at as u64 + 1;
        ask(*address, (RATE, KB), seed, over.clone(), served.clone())
    };
    addresses.iter().enumerate().map(load).collect()
}

/// When each dispatcher has served a request for the first time; none if it does not in time.
fn first_served(addresses: &[SocketAddr]) -> Vec<Option<Instant>> {
    let first: Vec<JoinHandle<Option<Instant>>> = addresses
        .iter()
        .enumerate()
        .map(|(at, address)| served_first(*address, 900_000 + at as u32))
        .collect();
    first
        .into_iter()
        .map(|first| first.join().unwrap())
        .collect()
}

/// When a dispatcher heard of the drain that it had missed.
fn drain_heard(dispatcher: &Dispatcher) -> Option<Instant> {
    dispatcher.logged("told: s-0000ca00 Draining")
}

/// After what time each dispatcher was ready: it has served a request and heard of the drain. In order; without those that
/// were not ready in time.
fn ready_times(
    started: Instant,
    served_at: &[Option<Instant>],
    dispatchers: &[Dispatcher],
) -> Vec<Duration> {
    let ready = served_at
        .iter()
        .zip(dispatchers)
        .filter_map(|(served, dispatcher)| {
            let ready = (*served)?.max(drain_heard(dispatcher)?);
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
    let (over, served): (Arc<AtomicBool>, Arc<AtomicU32>) = Default::default();
    let load = load(&addresses, &over, &served);
    thread::sleep(Duration::from_millis(500));

    for dispatcher in &mut dispatchers {
        dispatcher.kill();
    }
    // What they miss meanwhile they only hear from the coordinator.
    coordinator.limit_calls(CALLS_AT_ONCE, CALL_TAKES);
    coordinator.change(&caches[0], 1, 0, 0);
    let started = Instant::now();
    for dispatcher in &mut dispatchers {
        dispatcher.restart();
    }
    let served_at = first_served(&addresses);
    let all_told = || {
        dispatchers
            .iter()
            .all(|dispatcher| drain_heard(dispatcher).is_some())
    };
    while started.elapsed() < READY_WITHIN && !all_told() {
        thread::sleep(AGAIN);
    }
    let ready = ready_times(started, &served_at, &dispatchers);
    over.store(true, Ordering::Relaxed);
    for load in load {
        load.join().unwrap();
    }
    let served_in_time = served_at.iter().flatten().count();
    println!(
        "{} ready, {served_in_time} served; the last after {:?}, {served:?} of the load",
        ready.len(),
        ready.last()
    );
    assert!(
        ready.len() >= READY,
        "{} of {DISPATCHERS} ready, {served_in_time} of them served",
        ready.len()
    );
}
