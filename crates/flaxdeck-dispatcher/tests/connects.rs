//! What comes to be known while a connection to a host is on its way up: whoever is asked after it must be asked by what
//! holds then. A host whose queue is full takes no connection until it is opened.

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

// Rule 3: nothing new to a host that drains or is gone, or with it as fill source, whatever was decided before.
#[test]
fn a_host_that_drains_while_its_connection_comes_up_gets_nothing() {
    for state in [1, 2] {
        let (mut world, cache_host, host) = cache_with_full_backlog(|_| {});
        let (mut client, n) = attempt_in_flight(&world, 0);
        world.coordinator.change(&host, state, 0, 0);
        world.wait_for_log(&["told: s-0000ca00"]);
        cache_host.open();
        assert!(served(&client.answer().unwrap(), &key(n)));
        assert_eq!(cache_host.heard(), Vec::<String>::new(), "state {state}");
    }
}

#[test]
fn a_fill_source_that_drains_while_a_connection_comes_up_is_not_named() {
    let (mut world, cache_host, _) = cache_with_full_backlog(|_| {});
    let (mut client, n) = attempt_in_flight(&world, 0);
    let parent = world.parent.clone();
    world.coordinator.change(&parent, 1, 1, 1);
    world.wait_for_log(&["told: s-00009a01"]);
    cache_host.open();
    assert!(served(&client.answer().unwrap(), &key(n)));
    let heard = cache_host.heard();
    assert!(
        heard.iter().all(|line| !line.contains("fetch=s-00009a01")),
        "{heard:?}"
    );
}

// Rule 5: the age limit is the one that holds when the request is written.
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
    cache_host.open();
    assert!(served(&client.answer().unwrap(), &key(n)));
    let heard = cache_host.heard();
    assert!(
        !heard.is_empty() && heard.iter().all(|line| line.contains(",newer=")),
        "{heard:?}"
    );
}

// How long the host is told that the dispatcher waits is what is left by then.
#[test]
fn the_time_that_a_connection_took_is_taken_off_the_timeout() {
    let (world, cache_host, _) = cache_with_full_backlog(|_| {});
    let (mut client, n) = attempt_in_flight(&world, 0);
    cache_host.open();
    assert!(served(&client.answer().unwrap(), &key(n)));
    let heard = cache_host.heard();
    let wait = |line: &String| {
        line.split(",wait=")
            .nth(1)?
            .split([',', ' '])
            .next()?
            .parse::<u64>()
            .ok()
    };
    assert!(
        heard
            .iter()
            .all(|line| wait(line).is_some_and(|ms| ms < 6500)),
        "of 7000: {heard:?}"
    );
}

// A client that has left while its request waited for a connection: nothing is sent on for it, whether or not attempts
// may be taken back.
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
        // Its connection is tried again later than the other's was.
        let (mut next, after) = attempt_in_flight(&world, n + 1);
        cache_host.open();
        assert!(served(&next.answer().unwrap(), &key(after)));
        let heard = cache_host.heard();
        assert!(
            !heard.is_empty() && !heard.iter().any(|line| line.contains(&key(n))),
            "{may_cancel}, {heard:?}"
        );
        drop(client);
    }
}

// Rule 2: past the window in which repeats are dropped a deduplicated request is not sent again, however long its
// connection took.
#[test]
fn a_connection_that_outlasts_the_deduplication_window_carries_no_retry() {
    let mut cache_host = FullBacklogHost::start();
    let world = World::with(1, |config| {
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
        "the first attempt arrives"
    );
    let ran = std::time::Instant::now();
    cache_host.fill_backlog();
    drop(first);
    assert_eq!(error_text(client.answer().unwrap()), "Backoff");
    assert!(
        ran.elapsed() < Duration::from_millis(1000),
        "answered once nothing may follow: {:?}",
        ran.elapsed()
    );
    cache_host.open();
    assert!(client.quiet_for(Duration::from_millis(1500)));
    assert_eq!(cache_host.heard(), Vec::<String>::new());
}
