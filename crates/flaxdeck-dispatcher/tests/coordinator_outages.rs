//! Long outages of the coordinator: a drain or purge that can't arrive is in force 7 s later all the same.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod world;

use std::thread;
use std::time::{Duration, Instant};

use flaxdeck_toy::Coordinator;
use world::{World, error_text, key, served, wait_for};

/// When an event is in force by the protocol, and the grace for drains of the example settings after it.
const MAX_EVENT_DELAY: Duration = Duration::from_millis(7000);
const DRAIN_GRACE: Duration = Duration::from_millis(1000);

/// Requests objects until a time after `start`; all are served.
fn serve_until(world: &World, start: Instant, until: Duration) {
    let mut number = 0;
    while start.elapsed() < until {
        let key = key(number % 16);
        let answer = world.request("page", &key, 2000, b"");
        assert!(
            served(&answer, &key),
            "not served {:?} after the coordinator was lost: {answer:?}",
            start.elapsed()
        );
        number += 1;
        thread::sleep(Duration::from_millis(20));
    }
}

/// Checks that all requests are rejected at once, and that no host receives any.
fn reject_all(world: &World) {
    let received = || {
        world
            .hosts()
            .map(|host| host.received("want").len())
            .sum::<usize>()
    };
    let before = received();
    for number in 0..20 {
        let sent = Instant::now();
        let answer = world.request("page", &key(number), 2000, b"");
        assert_eq!(error_text(answer), "Backoff");
        assert!(sent.elapsed() < Duration::from_millis(500));
    }
    assert_eq!(received(), before, "requests reach hosts");
}

// Guards against a draining host that goes on getting requests for as long as the coordinator can't be reached.
#[test]
fn nothing_new_is_sent_once_the_coordinator_was_away_for_too_long() {
    let mut world = World::start(2);
    thread::sleep(Duration::from_millis(1200)); // until all events are known
    let address = world.coordinator.address.to_string();
    let gone = Coordinator::start("127.0.0.1:0", 1).unwrap();
    // An event just before shows that the connection is live, also where a heartbeat is late on a busy machine.
    world.coordinator.change(&world.parent, 1, 1, 1);
    world.wait_for_log(&["told: ", &world.parent.id, "Draining"]);
    // The connection ends between these two times, which may lie apart on a busy machine.
    let earliest = Instant::now();
    std::mem::replace(&mut world.coordinator, gone).end();
    let latest = Instant::now();
    serve_until(
        &world,
        earliest,
        MAX_EVENT_DELAY + DRAIN_GRACE - Duration::from_millis(300),
    );
    thread::sleep(
        (MAX_EVENT_DELAY + DRAIN_GRACE + Duration::from_millis(60))
            .saturating_sub(latest.elapsed()),
    );
    reject_all(&world);
    world.coordinator = Coordinator::start(&address, 1).unwrap();
    wait_for("requests are served again", || {
        served(&world.request("page", &key(1), 2000, b""), &key(1))
    });
    world.wait_for_log(&["the coordinator was not heard for"]);
    world.wait_for_log(&["the coordinator is heard again"]);
}

// The same for a coordinator that accepts connections and says nothing: being connected confirms no events.
#[test]
fn a_coordinator_that_only_accepts_connections_confirms_nothing() {
    let mut world = World::start(2);
    thread::sleep(Duration::from_millis(1200));
    let address = world.coordinator.address;
    let gone = Coordinator::start("127.0.0.1:0", 1).unwrap();
    std::mem::replace(&mut world.coordinator, gone).end();
    let start = Instant::now();
    let mute = std::net::TcpListener::bind(address).unwrap();
    thread::spawn(move || {
        let mut open = Vec::new();
        for stream in mute.incoming().flatten() {
            open.push(stream);
        }
    });
    thread::sleep(
        (MAX_EVENT_DELAY + DRAIN_GRACE + Duration::from_millis(60)).saturating_sub(start.elapsed()),
    );
    reject_all(&world);
}

// Guards against an outage that counts from before a short visit of the coordinator, in which it told all that it had.
#[test]
fn a_coordinator_that_comes_back_for_a_moment_was_heard() {
    let mut world = World::start(2);
    thread::sleep(Duration::from_millis(1200));
    let address = world.coordinator.address.to_string();
    let gone = Coordinator::start("127.0.0.1:0", 1).unwrap();
    std::mem::replace(&mut world.coordinator, gone).end();
    let start = Instant::now();
    thread::sleep(Duration::from_millis(5000));
    let mut visit = Coordinator::start(&address, 1).unwrap();
    visit.change(&world.caches[0], 1, 0, 0);
    world.wait_for_log(&["told: ", &world.caches[0].id, "Draining"]);
    visit.end();
    thread::sleep((MAX_EVENT_DELAY + DRAIN_GRACE).saturating_sub(start.elapsed()));
    serve_until(
        &world,
        start,
        MAX_EVENT_DELAY + DRAIN_GRACE + Duration::from_millis(2000),
    );
}
