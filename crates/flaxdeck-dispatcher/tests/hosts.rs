//! Hosts that die, fail or are silent, the connections to them, and the cancellation of requests at hosts.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod world;

use std::time::Duration;

use flaxdeck_toy::{Answer, HostBehavior, request_message};
use world::{KEY, World, key, request_all, served, wait_for};

#[test]
fn requests_are_served_elsewhere_when_a_host_dies_or_fails() {
    for manner in [
        None,
        Some(HostBehavior::Say("failed")),
        Some(HostBehavior::Break),
        Some(HostBehavior::Garble),
    ] {
        let world = World::start(2);
        for n in 0..8 {
            assert!(served(&world.request("page", &key(n), 2000, b""), &key(n)));
        }
        match manner {
            Some(manner) => world.caches[0].set(manner),
            None => world.caches[0].kill(),
        }
        for n in 0..8 {
            let answer = world.request("page", &key(n), 2000, b"");
            assert!(
                served(&answer, &key(n)),
                "object {n} is not served when a cache has died (None) or has the manner {manner:?}"
            );
        }
    }
}

#[test]
fn a_silent_host_delays_no_request_of_another_host() {
    let world = World::start(2);
    world.caches[0].set(HostBehavior::Silent);
    let mut client = world.client();
    let answers = request_all(&mut client, 16, 2400);
    let silent: Vec<String> = world.caches[0]
        .received("want")
        .into_iter()
        .map(|(line, _)| line)
        .collect();
    assert!(
        !silent.is_empty(),
        "none of the requests is sent to the silent host"
    );
    for n in (0..16).filter(|n| !silent.iter().any(|line| line.contains(&key(*n)))) {
        assert!(
            answers.iter().any(|answer| served(answer, &key(n))),
            "object {n}, which is not requested from the silent host, is not served"
        );
    }
    wait_for("an attempt is cancelled at the silent host", || {
        !world.caches[0].received("never_mind").is_empty()
    });
}

#[test]
fn without_hedging_a_request_is_cancelled_at_a_silent_host_and_served_elsewhere() {
    let world = World::with_config(2, |config| {
        config["settings"]["allowed"]["may_duplicate"] = false.into()
    });
    world.caches[0].set(HostBehavior::Silent);
    let mut client = world.client();
    let answers = request_all(&mut client, 16, 2400);
    for n in 0..16 {
        assert!(
            answers.iter().any(|answer| served(answer, &key(n))),
            "object {n} is not served"
        );
    }
    assert!(
        !world.caches[0].received("want").is_empty(),
        "none of the requests is sent to the silent host"
    );
    wait_for("an attempt is cancelled at the silent host", || {
        !world.caches[0].received("never_mind").is_empty()
    });
}

#[test]
fn a_response_behind_a_stray_one_is_still_used() {
    let world = World::start(1);
    for host in world.hosts() {
        host.set(HostBehavior::Extra);
    }
    for n in 0..6 {
        assert!(served(&world.request("page", &key(n), 900, b""), &key(n)));
        assert!(
            matches!(world.request("submit", &key(n), 900, b"a form"), Answer::Served { body, .. } if body == b"a form")
        );
    }
    assert_eq!(world.origin.received("want").len(), 6);
}

#[test]
fn connections_that_die_while_idle_fail_no_write_and_move_no_object() {
    let world = World::start(2);
    for host in world.hosts() {
        host.set(HostBehavior::Once);
    }
    for _ in 0..8 {
        assert!(matches!(
            world.request("submit", KEY, 900, b"a form"),
            Answer::Served { .. }
        ));
        assert!(served(&world.request("page", KEY, 2000, b""), KEY));
    }
    assert_eq!(world.origin.received("want").len(), 8);
    let mut requests_at_caches: Vec<usize> = world
        .caches
        .iter()
        .map(|cache| cache.received("want").len())
        .collect();
    requests_at_caches.sort();
    assert_eq!(
        requests_at_caches,
        [0, 8],
        "not all requests for the object are sent to the same cache"
    );
}

#[test]
fn with_few_descriptors_for_hosts_every_request_still_gets_its_answer() {
    let world = World::with_config(1, |config| config["limits"]["sockets"] = 42.into()); // 4 for hosts
    for host in world.hosts() {
        host.set(HostBehavior::Late(50));
    }
    let mut client = world.client();
    let answers = request_all(&mut client, 24, 1500);
    let served = |n: &u32| answers.iter().any(|answer| served(answer, &key(*n)));
    assert!(
        (0..24).filter(served).count() >= 4,
        "fewer requests are served than there are connections to hosts"
    );
}

#[test]
fn a_cancelled_request_gets_no_answer_and_its_late_response_is_dropped() {
    let world = World::start(1);
    world.caches[0].set(HostBehavior::Late(400));
    let mut client = world.client();
    let call = client.request("page", KEY, 2400, b"").unwrap();
    wait_for("the request is at the cache", || {
        !world.caches[0].received("want").is_empty()
    });
    client.cancel(call).unwrap();
    wait_for("the request is cancelled at the cache", || {
        !world.caches[0].received("never_mind").is_empty()
    });
    assert!(client.quiet_for(Duration::from_millis(600)));
    world.caches[0].set(HostBehavior::Serve);
    for n in 0..4 {
        client.request("page", &key(n), 2000, b"").unwrap();
        assert!(served(&client.answer().unwrap(), &key(n)));
    }
}

#[test]
fn requests_cancelled_in_the_same_write_reach_no_host() {
    let world = World::start(1);
    let mut client = world.client();
    let request_and_cancel = |call: u8| {
        let id = format!("{call:016x}");
        let fields = [("id", &*id), ("wait", "2500"), ("key", KEY), ("slice", "0")];
        let request = request_message(call.into(), "page", &fields, b"");
        [&request[..], b"\x93\x02\xadcancelRequest\x91", &[call]].concat()
    };
    client
        .send(&(1..30).flat_map(request_and_cancel).collect::<Vec<u8>>())
        .unwrap();
    assert!(client.quiet_for(Duration::from_millis(200)));
    assert!(world.caches[0].received("want").is_empty());
    client.request("page", KEY, 2000, b"").unwrap();
    assert!(served(&client.answer().unwrap(), KEY));
}

#[test]
fn a_client_that_closes_has_its_requests_cancelled() {
    let world = World::start(1);
    world.caches[0].set(HostBehavior::Silent);
    let mut client = world.client();
    client.request("page", KEY, 2400, b"").unwrap();
    wait_for("the request is at the cache", || {
        !world.caches[0].received("want").is_empty()
    });
    drop(client);
    wait_for("the request is cancelled at the cache", || {
        !world.caches[0].received("never_mind").is_empty()
    });
}
