//! Drains, purges and reloads: the events of the coordinator take effect in time.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod world;

use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use flaxdeck_toy::{Coordinator, HostBehavior};
use serde_json::Value;
use world::{KEY, World, key, served, unused_address, wait_for};

#[test]
fn a_draining_host_gets_nothing_new() {
    let mut world = World::start(2);
    let draining = world.caches[0].clone();
    assert!(!world.receives_nothing(&draining));
    world.coordinator.change(&draining, 1, 0, 0);
    wait_for("the drain takes effect", || {
        world.receives_nothing(&draining)
    });
    let before = draining.received("want").len();
    for n in 0..32 {
        assert!(served(&world.request("page", &key(n), 2000, b""), &key(n)));
    }
    assert_eq!(draining.received("want").len(), before);
}

#[test]
fn a_watch_that_broke_or_lost_an_event_catches_up() {
    let mut world = World::start(2);
    let draining = world.caches[0].clone();
    assert!(!world.receives_nothing(&draining));
    world.coordinator.close_connections();
    world.coordinator.change(&draining, 1, 0, 0);
    wait_for(
        "a drain published without a connection takes effect",
        || world.receives_nothing(&draining),
    );
    world.coordinator.skip_number();
    world.coordinator.change(&draining, 0, 0, 0);
    wait_for(
        "the end of the drain, published after a gap, takes effect",
        || !world.receives_nothing(&draining),
    );
}

// An event that is published after the coordinator went silent must take effect within 4 s of its last message.
#[test]
fn a_coordinator_that_goes_silent_is_reconnected_in_time() {
    let mut world = World::start(2);
    let draining = world.caches[0].clone();
    world.coordinator.change(&draining, 0, 0, 0); // the last message
    thread::sleep(Duration::from_millis(100));
    world.coordinator.go_silent();
    let stopped = Instant::now();
    world.coordinator.change(&draining, 1, 0, 0);
    assert!(!world.receives_nothing(&draining));
    wait_for("a drain published after the stop takes effect", || {
        world.receives_nothing(&draining)
    });
    assert!(
        stopped.elapsed() < Duration::from_millis(3200),
        "the drain took effect {:?} after the coordinator went silent",
        stopped.elapsed()
    );
}

#[test]
fn a_new_configuration_is_read_under_load_and_a_bad_one_changes_nothing() {
    let mut world = World::start(2);
    let draining = world.caches[0].clone();
    assert!(!world.receives_nothing(&draining));
    world.coordinator.change(&draining, 1, 0, 0);
    wait_for("event 2 takes effect", || world.receives_nothing(&draining));
    world.caches[1].set(HostBehavior::Late(600));
    let mut client = world.client();
    client.request("page", KEY, 2400, b"").unwrap();
    let mut config: Value = serde_json::from_str(&world.config).unwrap();
    for bad in ["{]", "{}", &world.config.replace("127.0.0.1", "nowhere")] {
        std::fs::write(&world.path, bad).unwrap();
        world.signal("HUP");
        thread::sleep(Duration::from_millis(50));
    }
    let mut new_coordinator = Coordinator::start("127.0.0.1:0", 2).unwrap();
    config["coordinator"] = new_coordinator.address.to_string().into();
    std::fs::write(&world.path, config.to_string()).unwrap();
    world.signal("HUP");
    new_coordinator.change(&draining, 0, 0, 0);
    assert!(
        served(&client.answer().unwrap(), KEY),
        "an open request is served across the reload"
    );
    wait_for("event 3 of the new coordinator takes effect", || {
        !world.receives_nothing(&draining)
    });
    new_coordinator.change(&draining, 1, 0, 0);
    wait_for("event 4 of the new coordinator takes effect", || {
        world.receives_nothing(&draining)
    });
    assert!(world.process.try_wait().unwrap().is_none());
}

#[test]
fn after_a_purge_only_newer_copies_are_requested() {
    let mut world = World::start(1);
    assert!(served(&world.request("page", KEY, 2000, b""), KEY));
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
        - 100;
    world
        .coordinator
        .purge_object(u64::from_str_radix(KEY, 16).unwrap(), unix);
    let newer = |world: &World| {
        let lines = world.caches[0].received("want");
        lines
            .iter()
            .filter_map(|(line, _)| {
                line.split("newer=")
                    .nth(1)?
                    .split([',', ' '])
                    .next()?
                    .parse()
                    .ok()
            })
            .max()
    };
    wait_for("the purge takes effect", || {
        drop(world.request("page", KEY, 2000, b""));
        newer(&world).is_some()
    });
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
        - unix;
    let newer = newer(&world).unwrap();
    assert!(
        (1..=since).contains(&newer),
        "the maximum age of copies is {newer} ms, but the purge was {since} ms ago"
    );
    drop(world.request("page", &key(9), 2000, b""));
    assert!(
        !world.caches[0]
            .received("want")
            .last()
            .unwrap()
            .0
            .contains("newer="),
        "the purge of one object limits the age of another"
    );
}

#[test]
fn a_coordinator_whose_frame_never_ends_is_reconnected_in_time() {
    let mut world = World::start(2);
    let draining = world.caches[0].clone();
    world.coordinator.change(&draining, 0, 0, 0);
    world.wait_for_log(&["told: s-0000ca00 InService"]);
    world.coordinator.trickle();
    let began = Instant::now();
    world.coordinator.change(&draining, 1, 0, 0);
    world.wait_for_log(&["told: s-0000ca00 Draining"]);
    assert!(
        began.elapsed() < Duration::from_millis(4000),
        "the drain took effect {:?} after the frame began",
        began.elapsed()
    );
}

#[test]
fn a_coordinator_moved_by_a_reload_is_followed_while_the_old_one_is_down() {
    let (_reserved, unused) = unused_address();
    let world = World::with_config(2, |config| {
        config["coordinator"] = unused.to_string().into()
    });
    world.wait_for_log(&["no connection to the coordinator"]);
    let mut new_coordinator = Coordinator::start("127.0.0.1:0", 1).unwrap();
    let mut config: serde_json::Value = serde_json::from_str(&world.config).unwrap();
    config["coordinator"] = new_coordinator.address.to_string().into();
    std::fs::write(&world.path, config.to_string()).unwrap();
    world.signal("HUP");
    new_coordinator.change(&world.caches[0], 1, 0, 0);
    world.wait_for_log(&["told: s-0000ca00 Draining"]);
    assert!(world.receives_nothing(&world.caches[0].clone()));
}
