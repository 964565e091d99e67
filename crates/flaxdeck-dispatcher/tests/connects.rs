//! Changes that arrive while a connection to a host is being established: a request must be sent by the state that
//! holds when it is written. A host with a full backlog delays the connections.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod world;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use world::{
    FullBacklogHost, KEY, World, attempt_in_flight, cache_with_full_backlog, error_text, key,
    read_request, served,
};

// Rule 3: nothing new is sent to a host that drains or is removed, nor with it as fill source, whatever was decided
// before.
#[test]
fn a_host_that_drains_while_its_connection_comes_up_gets_nothing() {
    for state in [1, 2] {
        let (mut world, cache_host, host) = cache_with_full_backlog(|_| {});
        let (mut client, n) = attempt_in_flight(&world, 0);
        world.coordinator.change(&host, state, 0, 0);
        world.wait_for_log(&["told: s-0000ca00"]);
        cache_host.serve_all();
        assert!(served(&client.answer().unwrap(), &key(n)));
        assert_eq!(
            cache_host.requests(),
            Vec::<String>::new(),
            "requests at a cache that changed to state {state}"
        );
    }
}

#[test]
fn a_fill_source_that_drains_while_a_connection_comes_up_is_not_named() {
    let (mut world, cache_host, _) = cache_with_full_backlog(|_| {});
    let (mut client, n) = attempt_in_flight(&world, 0);
    let parent = world.parent.clone();
    world.coordinator.change(&parent, 1, 1, 1);
    world.wait_for_log(&["told: s-00009a01"]);
    cache_host.serve_all();
    assert!(served(&client.answer().unwrap(), &key(n)));
    let received = cache_host.requests();
    assert!(
        received
            .iter()
            .all(|line| !line.contains("fetch=s-00009a01")),
        "received by the first cache: {received:?}"
    );
}

// Rule 5: a request carries the age limit that holds when it is written.
#[test]
fn a_purge_that_comes_while_a_connection_comes_up_binds_the_request() {
    let (mut world, cache_host, _) = cache_with_full_backlog(|_| {});
    let (mut client, n) = attempt_in_flight(&world, 0);
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64;
    world
        .coordinator
        .purge_object(u64::from_str_radix(&key(n), 16).unwrap(), now);
    world.wait_for_log(&["told: a purge"]);
    cache_host.serve_all();
    assert!(served(&client.answer().unwrap(), &key(n)));
    let received = cache_host.requests();
    assert!(
        !received.is_empty() && received.iter().all(|line| line.contains(",newer=")),
        "received by the first cache: {received:?}"
    );
}

// The timeout that is sent to the host is what is left of it when the request is written.
#[test]
fn the_time_that_a_connection_took_is_taken_off_the_timeout() {
    let (world, cache_host, _) = cache_with_full_backlog(|_| {});
    let (mut client, n) = attempt_in_flight(&world, 0);
    cache_host.serve_all();
    assert!(served(&client.answer().unwrap(), &key(n)));
    let received = cache_host.requests();
    let wait = |line: &String| {
        line.split(",wait=")
            .nth(1)?
            .split([',', ' '])
            .next()?
            .parse::<u64>()
            .ok()
    };
    assert!(
        received
            .iter()
            .all(|line| wait(line).is_some_and(|ms| ms < 6500)),
        "the timeouts are not below 6500 of 7000 ms: {received:?}"
    );
}

// Nothing is sent for a client that has left while its request waited for a connection, whether or not the settings
// allow cancelling attempts.
#[test]
fn a_request_left_while_a_connection_came_up_is_not_forwarded() {
    for (may_cancel, closes) in [(true, false), (true, true), (false, false), (false, true)] {
        let (world, cache_host, _) = cache_with_full_backlog(|config| {
            config["settings"]["allowed"]["cancel"] = may_cancel.into()
        });
        let (mut client, n) = attempt_in_flight(&world, 0);
        if !closes {
            client.cancel(1).unwrap();
        }
        let client = Some(client).filter(|_| !closes);
        world.wait_for_log(&["left: "]);
        // The system retries the connection of this request later than that of the first one.
        let (mut next, after) = attempt_in_flight(&world, n + 1);
        cache_host.serve_all();
        assert!(served(&next.answer().unwrap(), &key(after)));
        let received = cache_host.requests();
        assert!(
            !received.is_empty() && !received.iter().any(|line| line.contains(&key(n))),
            "with cancellation allowed: {may_cancel}, received {received:?}"
        );
        drop(client);
    }
}

// Rule 2: a deduplicated request is not sent again after the window in which hosts drop repeats, however long its
// connection took.
#[test]
fn a_connection_that_outlasts_the_deduplication_window_carries_no_retry() {
    let mut cache_host = FullBacklogHost::start();
    let world = World::with_config(1, |config| {
        config["known"]["updates"][0]["endpoints"]["hosts"][2]["dial"] =
            cache_host.address.to_string().into();
        config["settings"]["allowed"]["connect_timeout_ms"] = 5000.into();
        let class = &mut config["settings"]["request_classes"][2];
        (class["effect"], class["key_scope"]) = ("deduplicated".into(), "all".into());
        (class["memory_span_ms"], class["deadline_ms"]) = (700.into(), 6000.into());
    });
    let mut client = world.client();
    client.request("submit", KEY, 5000, b"a form").unwrap();
    let mut first = cache_host.accept();
    assert!(
        read_request(&mut first).is_some(),
        "the first attempt does not arrive"
    );
    let sent = std::time::Instant::now();
    cache_host.fill_backlog();
    drop(first);
    assert_eq!(error_text(client.answer().unwrap()), "Backoff");
    assert!(
        sent.elapsed() < Duration::from_millis(1000),
        "rejected only {:?} after the first attempt, though no retry was possible after 700 ms",
        sent.elapsed()
    );
    cache_host.serve_all();
    assert!(client.quiet_for(Duration::from_millis(1500)));
    assert_eq!(cache_host.requests(), Vec::<String>::new());
}
