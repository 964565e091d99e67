//! Requests: each gets one answer, from a host that may run it.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod world;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use flaxdeck_toy::{Answer, Client, HostBehavior, request_message};
use world::{KEY, World, error_text, key, served, wait_for};

#[test]
fn a_request_is_served_with_the_bytes_of_the_host_and_its_fields_are_forwarded_unchanged() {
    let world = World::start(1);
    let mut client = world.client();
    let alive = client.alive().unwrap();
    assert_eq!(client.answer().unwrap(), Answer::Alive { call: alive });
    let call = client.request("page", KEY, 2000, b"").unwrap();
    assert!(served(&client.answer().unwrap(), KEY));
    let line = &world.caches[0].received("want")[0].0;
    for part in [
        &*format!("want {} ", client.id(call)),
        "class=page,",
        &format!("key={KEY},"),
        "part=0,",
        "fetch=s-00009a01,",
    ] {
        assert!(line.contains(part), "{part} in {line}");
    }
}

#[test]
fn messages_may_be_split_and_joined_anywhere() {
    let world = World::start(1);
    let mut client = world.client();
    let fields = [
        ("id", "9b1f03aa5c7e2d41"),
        ("wait", "2500"),
        ("key", KEY),
        ("slice", "0"),
        ("set", "17"),
    ];
    let message = request_message(300, "page", &fields, b"");
    for byte in &message {
        client.send(&[*byte]).unwrap();
    }
    assert!(served(&client.answer().unwrap(), KEY));
    let other = [("id", "9b1f03aa5c7e2d42"), fields[1], fields[2], fields[3]];
    client
        .send(
            &[
                message.clone(),
                request_message(70_000, "page", &other, b""),
            ]
            .concat(),
        )
        .unwrap();
    assert!(served(&client.answer().unwrap(), KEY) && served(&client.answer().unwrap(), KEY));
}

#[test]
fn a_client_whose_copy_is_current_gets_no_bytes() {
    let world = World::start(1);
    world.caches[0].set(HostBehavior::Unchanged("4be0c1927d55a6f3"));
    let fields = [
        ("id", "9b1f03aa5c7e2d41"),
        ("wait", "2500"),
        ("key", KEY),
        ("seen", "4be0c1927d55a6f3"),
    ];
    let mut client = world.client();
    client
        .send(&request_message(1, "page", &fields, b""))
        .unwrap();
    let current = BTreeMap::from([("current".into(), "1".into())]);
    assert_eq!(
        client.answer().unwrap(),
        Answer::Served {
            call: 1,
            body: vec![],
            fields: current
        }
    );
    assert!(
        world.caches[0].received("want")[0]
            .0
            .contains("holds=4be0c1927d55a6f3")
    );
}

// A host that answers "unchanged" but names another tag than the client's copy has, no tag, or a malformed one: the
// client gets the complete object and does not keep its old copy.
#[test]
fn a_client_whose_tag_the_host_does_not_name_gets_the_object() {
    for named in ["4be0c1927d55a6f4", "", "%%", "4be0c1927d55a6f3x"] {
        let world = World::start(1);
        for cache in &world.caches {
            cache.set(HostBehavior::Unchanged(named));
        }
        let fields = [
            ("id", "9b1f03aa5c7e2d41"),
            ("wait", "2500"),
            ("key", KEY),
            ("seen", "4be0c1927d55a6f3"),
        ];
        let mut client = world.client();
        client
            .send(&request_message(1, "page", &fields, b""))
            .unwrap();
        assert!(
            served(&client.answer().unwrap(), KEY),
            "not served when the host names the tag {named:?}"
        );
        let received: Vec<String> = world
            .caches
            .iter()
            .flat_map(|cache| cache.received("want"))
            .map(|(line, _)| line)
            .collect();
        assert!(
            received.len() == 2
                && received
                    .iter()
                    .filter(|line| line.contains("holds="))
                    .count()
                    == 1,
            "received by the caches: {received:?}"
        );
    }
}

// An at-most-once request may be sent again or rejected only after an outcome that proves that it has not run.
#[test]
fn an_at_most_once_request_is_retried_or_rejected_only_if_nothing_ran() {
    let rows = [
        (HostBehavior::Say("full"), true),
        (HostBehavior::Say("absent"), true),
        (HostBehavior::Say("moot"), true),
        (HostBehavior::Say("failed"), false),
        (HostBehavior::Break, false),
        (HostBehavior::BreakInAnswer, false),
        (HostBehavior::Garble, false),
        (HostBehavior::Silent, false),
    ];
    for (manner, may_retry) in rows {
        let world = World::start(1);
        world.origin.set(manner);
        let answer = world.request("submit", KEY, 900, b"a form");
        assert_eq!(
            error_text(answer),
            if may_retry { "Backoff" } else { "Lost" },
            "the answer when the origin's manner is {manner:?}"
        );
        let received = world.origin.received("want");
        assert_eq!(
            received.len() > 1,
            may_retry,
            "retries when the origin's manner is {manner:?}: {received:?}"
        );
        assert!(received.iter().all(|(_, body)| body == b"a form"));
    }
    let world = World::start(1);
    assert_eq!(
        error_text(world.request("submit", KEY, 900, b"a form"))
            .split(' ')
            .next(),
        Some("Served")
    );
    world.origin.kill();
    assert_eq!(
        error_text(world.request("submit", KEY, 900, b"a form")),
        "Backoff",
        "a request whose only host is dead is rejected, as it has not run"
    );
    assert_eq!(world.origin.received("want").len(), 1);
}

/// Returns the fields of a request for that object, always under the same id.
fn fields_with_same_id(key: &str) -> [(&str, &str); 4] {
    [
        ("id", "9b1f03aa5c7e2d41"),
        ("wait", "2500"),
        ("key", key),
        ("slice", "0"),
    ]
}

#[test]
fn a_request_under_the_id_of_an_open_one_reaches_no_host() {
    let world = World::start(1);
    world.origin.set(HostBehavior::Late(300));
    let (mut first, mut second) = (world.client(), world.client());
    first
        .send(&request_message(
            1,
            "submit",
            &fields_with_same_id(KEY),
            b"a form",
        ))
        .unwrap();
    wait_for("the first request is at the origin", || {
        !world.origin.received("want").is_empty()
    });
    second
        .send(&request_message(
            1,
            "submit",
            &fields_with_same_id("0000000000000001"),
            b"another",
        ))
        .unwrap();
    assert_eq!(error_text(second.answer().unwrap()), "Lost");
    assert!(matches!(first.answer().unwrap(), Answer::Served { body, .. } if body == b"a form"));
    assert_eq!(world.origin.received("want").len(), 1);
    second
        .send(&request_message(
            2,
            "submit",
            &fields_with_same_id(KEY),
            b"a form",
        ))
        .unwrap();
    assert_eq!(
        error_text(second.answer().unwrap()),
        "Lost",
        "a request at most once has run, so its id never runs again"
    );
    assert_eq!(world.origin.received("want").len(), 1);
}

#[test]
fn an_idempotent_id_is_in_use_only_until_its_request_is_answered() {
    let world = World::start(1);
    world.caches[0].set(HostBehavior::Late(300));
    let (mut first, mut second) = (world.client(), world.client());
    first
        .send(&request_message(1, "page", &fields_with_same_id(KEY), b""))
        .unwrap();
    wait_for("the first request is at the cache", || {
        !world.caches[0].received("want").is_empty()
    });
    second
        .send(&request_message(
            1,
            "page",
            &fields_with_same_id("0000000000000001"),
            b"",
        ))
        .unwrap();
    assert_eq!(error_text(second.answer().unwrap()), "Lost");
    assert!(served(&first.answer().unwrap(), KEY));
    assert_eq!(world.caches[0].received("want").len(), 1);
    second
        .send(&request_message(2, "page", &fields_with_same_id(KEY), b""))
        .unwrap();
    assert!(
        served(&second.answer().unwrap(), KEY),
        "the id may be used again after the first request is answered"
    );
}

/// Sends seven reads and a write, of the objects from the number `first` on, and checks that each gets one answer.
fn answer_all(client: &mut Client, first: u32) {
    let mut calls: Vec<u32> = Vec::new();
    for n in 0..8 {
        let (class, body) = if n == 7 {
            ("submit", &b"a form"[..])
        } else {
            ("page", &b""[..])
        };
        calls.push(client.request(class, &key(first + n), 400, body).unwrap());
    }
    for _ in 0..8 {
        let call = match client.answer().unwrap() {
            Answer::Served { call, .. } | Answer::Error { call, .. } | Answer::Alive { call } => {
                call
            }
        };
        let at = calls
            .iter()
            .position(|open| *open == call)
            .expect("each answer belongs to an open request");
        calls.remove(at);
    }
}

#[test]
fn whatever_hosts_do_each_request_gets_one_answer_in_time_and_no_write_runs_twice() {
    let world = World::start(2);
    let manners = [
        HostBehavior::Serve,
        HostBehavior::Late(30),
        HostBehavior::Say("full"),
        HostBehavior::Say("failed"),
        HostBehavior::Say("absent"),
        HostBehavior::Say("moot"),
        HostBehavior::Break,
        HostBehavior::BreakInAnswer,
        HostBehavior::Silent,
        HostBehavior::Garble,
    ];
    for round in 0..20usize {
        let manner = |at: usize| manners[(round * 7 + at * 3 + round / 10) % manners.len()];
        for (at, host) in world.hosts().enumerate() {
            host.set(manner(at));
        }
        let mut client = world.client();
        let start = Instant::now();
        answer_all(&mut client, round as u32 * 8);
        assert!(
            start.elapsed() < Duration::from_millis(1400),
            "round {round}: the answers took {:?}",
            start.elapsed()
        );
        assert!(client.quiet_for(Duration::from_millis(20)));
        let write = format!("class=submit,key={}", key(round as u32 * 8 + 7));
        let runs = world
            .origin
            .received("want")
            .iter()
            .filter(|(line, _)| line.contains(&write))
            .count();
        let never_ran = matches!(manner(3), HostBehavior::Say("full" | "absent" | "moot"));
        assert!(
            never_ran || runs <= 1,
            "round {round}: the write was sent {runs} times to an origin that may have run it"
        );
    }
}

// Without its idempotency key a repeated write is a new one to the host, which would run it again.
#[test]
fn the_idempotency_key_is_forwarded_with_each_attempt() {
    let world = World::with_config(1, |config| {
        let class = &mut config["settings"]["request_classes"][2];
        class["effect"] = "deduplicated".into();
        class["key_scope"] = "all".into();
        class["memory_span_ms"] = 2500.into();
    });
    world.origin.set(HostBehavior::Say("full"));
    let idempotency_key = "6ba245bd25e372d4b65f22998597a9da";
    let fields = [
        ("id", "9b1f03aa5c7e2d41"),
        ("wait", "1500"),
        ("key", KEY),
        ("slice", "0"),
        ("once", idempotency_key),
    ];
    let mut client = world.client();
    client
        .send(&request_message(1, "submit", &fields, b"a form"))
        .unwrap();
    wait_for("the write is retried", || {
        world.origin.received("want").len() > 1
    });
    world.origin.set(HostBehavior::Serve);
    assert!(matches!(client.answer().unwrap(), Answer::Served { body, .. } if body == b"a form"));
    let received = world.origin.received("want");
    assert!(
        received
            .iter()
            .all(|(line, _)| line.contains(&format!(",once={idempotency_key} "))),
        "received by the origin: {received:?}"
    );
    client
        .send(&request_message(
            2,
            "submit",
            &[fields[0], fields[1], fields[2], ("once", "a,b=c d")],
            b"",
        ))
        .unwrap();
    assert_eq!(error_text(client.answer().unwrap()), "once is no mark");
}
