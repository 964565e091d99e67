//! The graceful shutdown of the process at SIGTERM.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod world;

use std::thread;
use std::time::{Duration, Instant};

use flaxdeck_toy::{Client, HostBehavior};
use world::{KEY, World, error_text, key, served, wait_for};

#[test]
fn a_shutdown_accepts_clients_that_wait_in_the_backlog() {
    let mut world = World::with_config(1, |config| config["limits"]["sockets"] = 60.into()); // 20 for clients
    world.terminate();
    thread::sleep(Duration::from_millis(560));
    let silent: Vec<Client> = (0..20).map(|_| world.client()).collect();
    let mut clients: Vec<Client> = (0..5).map(|_| world.client()).collect();
    for (n, client) in (0..).zip(&mut clients) {
        client.request("page", &key(n), 2400, b"").unwrap();
    }
    for client in &mut clients {
        drop(client.answer().unwrap());
    }
    assert!(world.process.wait().unwrap().success());
    drop(silent);
}

#[test]
fn sigterm_leaves_no_request_unanswered() {
    let mut world = World::start(1);
    world.caches[0].set(HostBehavior::Late(600));
    let mut early = world.client();
    early.request("page", KEY, 2400, b"").unwrap();
    wait_for("the request is at the cache", || {
        !world.caches[0].received("want").is_empty()
    });
    world.terminate();
    let mut late = world.client();
    late.request("page", &key(1), 2400, b"").unwrap();
    assert!(served(&early.answer().unwrap(), KEY));
    assert!(served(&late.answer().unwrap(), &key(1)));
    assert!(world.process.wait().unwrap().success());
}

// The timeout of a request may be longer than the time that a planned restart leaves.
#[test]
fn sigterm_shortens_deadlines_that_would_outlast_the_process() {
    let mut world = World::start(1);
    for host in world.hosts() {
        host.set(HostBehavior::Silent);
    }
    let mut client = world.client();
    client.request("clip", KEY, 30_000, b"").unwrap();
    wait_for("the request is at the cache", || {
        !world.caches[0].received("want").is_empty()
    });
    let terminated = Instant::now();
    world.terminate();
    assert_eq!(error_text(client.answer().unwrap()), "Backoff");
    assert!(world.process.wait().unwrap().success());
    assert!(
        terminated.elapsed() < Duration::from_millis(3700),
        "the process ended {:?} after SIGTERM",
        terminated.elapsed()
    );
}

// The shorter the longest deadline of the settings, the sooner SIGKILL follows.
#[test]
fn short_deadlines_shorten_the_shutdown() {
    let mut world = World::with_config(1, |config| {
        for class in config["settings"]["request_classes"]
            .as_array_mut()
            .unwrap()
        {
            class["deadline_ms"] = 900.into();
        }
    });
    for host in world.hosts() {
        host.set(HostBehavior::Silent);
    }
    let mut client = world.client();
    client.request("clip", KEY, 30_000, b"").unwrap();
    wait_for("the request is at the cache", || {
        !world.caches[0].received("want").is_empty()
    });
    let terminated = Instant::now();
    world.terminate();
    assert_eq!(error_text(client.answer().unwrap()), "Backoff");
    assert!(world.process.wait().unwrap().success());
    assert!(
        terminated.elapsed() < Duration::from_millis(1600),
        "the process ended {:?} after SIGTERM",
        terminated.elapsed()
    );
}

#[test]
fn a_shutdown_with_an_attempt_in_flight_exits_cleanly() {
    let mut world = World::with_config(1, |config| {
        config["settings"]["allowed"]["cancel"] = false.into()
    });
    world.caches[0].set(HostBehavior::Silent);
    let mut client = world.client();
    let call = client.request("clip", KEY, 30_000, b"").unwrap();
    wait_for("the request is at the cache", || {
        !world.caches[0].received("want").is_empty()
    });
    client.cancel(call).unwrap();
    assert!(client.quiet_for(Duration::from_millis(100)));
    world.terminate();
    assert!(world.process.wait().unwrap().success());
}
