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
    // The list counts from the coordinator's last heartbeat, so one is sent just before.
    world.coordinator.send_heartbeat();
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

// Guards against an outage that counts from before a short visit of the coordinator, in which it said that it had told
// all.
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
    visit.send_heartbeat();
    visit.end();
    thread::sleep((MAX_EVENT_DELAY + DRAIN_GRACE).saturating_sub(start.elapsed()));
    serve_until(
        &world,
        start,
        MAX_EVENT_DELAY + DRAIN_GRACE + Duration::from_millis(2000),
    );
}

/// How long the coordinator is away in tests of a slow backlog.
const OUTAGE: Duration = Duration::from_millis(8300);
/// The time between two events of a slow backlog.
const SLOW_PACE: Duration = Duration::from_millis(500);

/// Returns how many requests the host has received.
fn requests_received(host: &flaxdeck_toy::Host) -> usize {
    host.received("want").len()
}

/// Ends the world's coordinator for [`OUTAGE`] and starts one in its place that sends its events slowly. Meanwhile
/// requests go on.
fn replace_coordinator_by_slow_one(world: &mut World) {
    thread::sleep(Duration::from_millis(1200)); // until all events are known
    let address = world.coordinator.address.to_string();
    let gone = Coordinator::start("127.0.0.1:0", 1).unwrap();
    std::mem::replace(&mut world.coordinator, gone).end();
    thread::sleep(OUTAGE);
    reject_all(world);
    world.coordinator = Coordinator::start(&address, 1).unwrap();
    world.coordinator.set_pace(SLOW_PACE);
}

// Guards against requests to hosts that drained during an outage, while the coordinator is slow to tell so: it sends
// the drains last, and the pauses between its events show nothing. Requests are served again after its heartbeat.
#[test]
fn a_slow_backlog_confirms_nothing_before_its_last_event() {
    let mut world = World::start(2);
    replace_coordinator_by_slow_one(&mut world);
    let (caches, parent) = (world.caches.clone(), world.parent.clone());
    let coordinator = &mut world.coordinator;
    coordinator.change(&parent, 0, 1, 1);
    coordinator.change(&caches[1], 0, 0, 0);
    coordinator.change(&parent, 0, 1, 1);
    coordinator.change(&caches[0], 1, 0, 0);
    let before = requests_received(&caches[0]);
    let start = Instant::now();
    let mut served_requests = 0;
    while start.elapsed() < SLOW_PACE * 3 + Duration::from_millis(2500) {
        let key = key(served_requests % 16);
        let answer = world.request("page", &key, 2000, b"");
        served_requests += u32::from(served(&answer, &key));
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(requests_received(&caches[0]), before, "the host drains");
    assert!(served_requests > 0, "nothing is served after the heartbeat");
}

// The same if the coordinator ends before it has sent everything: the end of a connection shows no more than a pause.
#[test]
fn a_backlog_that_breaks_off_confirms_nothing() {
    let mut world = World::start(2);
    replace_coordinator_by_slow_one(&mut world);
    let parent = world.parent.clone();
    let gone = Coordinator::start("127.0.0.1:0", 1).unwrap();
    let mut slow = std::mem::replace(&mut world.coordinator, gone);
    slow.change(&parent, 0, 1, 1);
    slow.change(&parent, 0, 1, 1);
    slow.change(&world.caches[0], 1, 0, 0);
    world.wait_for_log(&["told: ", &parent.id]);
    slow.end();
    thread::sleep(SLOW_PACE + Duration::from_millis(200)); // until the connection has ended
    reject_all(&world);
}
