//! Requests that come again under an id that was used before: what may have run at a host has no second effect, and an
//! id of which nothing was sent stays usable.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod world;

use std::thread;
use std::time::Duration;

use flaxdeck_toy::{Answer, Client, HostBehavior, request_message};
use world::{World, error_text, key, wait_for};

/// The time that a request waits for its answer, in milliseconds.
const WAIT_MS: &str = "2400";
/// How long the host takes to answer a request whose client departs meanwhile, in milliseconds.
const SLOW_ANSWER_MS: u64 = 400;
/// How long after the client has departed, or has been answered, the id comes again: at once, while the host may still
/// be running the request, and when it has run.
const GAPS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(20),
    Duration::from_millis(450),
    Duration::from_millis(1000),
];

/// How the first request under an id ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ending {
    /// Its client closes the connection.
    Close,
    /// Its client cancels it.
    Cancel,
    /// It is answered.
    Answer,
}

/// Returns the id of the request for the object of that number.
fn id(number: u32) -> String {
    format!("{:016x}", 0x5100_0000_0000_0000_u64 + u64::from(number))
}

fn message(call: u32, class: &str, number: u32) -> Vec<u8> {
    let (id, key) = (id(number), key(number));
    let fields = [
        ("id", &*id),
        ("wait", WAIT_MS),
        ("key", &key),
        ("slice", "0"),
        ("set", "7"),
        ("kb", "50"),
    ];
    request_message(call, class, &fields, b"a form")
}

/// Sends the request for the object of that number on a new connection.
fn send(world: &World, class: &str, number: u32) -> Client {
    let mut client = world.client();
    client.send(&message(1, class, number)).unwrap();
    client
}

/// Returns how many attempts of the request for the object of that number have reached hosts.
fn attempts(world: &World, number: u32) -> usize {
    let id = id(number);
    let received = world.hosts().flat_map(|host| host.received("want"));
    received.filter(|(line, _)| line.contains(&id)).count()
}

/// Sends a request and ends it as told once it has reached a host.
fn run_once(world: &World, class: &str, number: u32, ending: Ending) {
    let mut client = send(world, class, number);
    wait_for("the request reaches a host", || {
        attempts(world, number) == 1
    });
    match ending {
        Ending::Close => drop(client),
        Ending::Cancel => client.cancel(1).unwrap(),
        Ending::Answer => assert!(is_served(&client.answer().unwrap())),
    }
}

fn is_served(answer: &Answer) -> bool {
    matches!(answer, Answer::Served { .. })
}

fn behave(world: &World, behavior: HostBehavior) {
    for host in world.hosts() {
        host.set(behavior);
    }
}

// Guards against a second effect of a request that must run once: its id was forgotten when its client had departed or
// was answered, and ran again when it came again.
#[test]
fn an_id_that_may_have_run_at_most_once_never_runs_again() {
    let world = World::start(2);
    let mut number = 0;
    for ending in [Ending::Close, Ending::Cancel, Ending::Answer] {
        let is_answered = ending == Ending::Answer;
        let delay_ms = if is_answered { 0 } else { SLOW_ANSWER_MS };
        behave(&world, HostBehavior::Late(delay_ms));
        for gap in GAPS {
            number += 1;
            run_once(&world, "submit", number, ending);
            thread::sleep(gap);
            let answer = send(&world, "submit", number).answer().unwrap();
            assert_eq!(error_text(answer), "Lost", "{ending:?}, after {gap:?}");
            assert_eq!(
                attempts(&world, number),
                1,
                "{ending:?}, the id again after {gap:?}"
            );
        }
    }
}

#[test]
fn an_id_that_may_have_run_stays_refused_when_many_others_follow() {
    let world = World::start(2);
    run_once(&world, "submit", 1, Ending::Answer);
    let mut client = world.client();
    for number in 2..600 {
        client.send(&message(number, "submit", number)).unwrap();
        client.answer().unwrap();
    }
    let answer = send(&world, "submit", 1).answer().unwrap();
    assert_eq!(error_text(answer), "Lost");
    assert_eq!(attempts(&world, 1), 1);
}

// Guards against one client that sends at full speed until the requests of others are rejected.
#[test]
fn a_client_that_floods_with_ids_leaves_room_for_those_of_others() {
    // At 2 MB the history has room for 2097 ids.
    let world = World::with_config(2, |config| config["limits"]["memory_mb"] = 2.into());
    let mut flooder = world.client();
    let mut rejected = 0;
    for number in 1..2400 {
        flooder.send(&message(number, "submit", number)).unwrap();
        rejected += u32::from(error_text(flooder.answer().unwrap()) == "Backoff");
    }
    assert!(rejected > 0, "the history is not half full");
    let answer = send(&world, "submit", 3000).answer().unwrap();
    assert!(is_served(&answer), "{answer:?}");
    flooder.send(&message(2400, "submit", 1)).unwrap();
    let answer = flooder.answer().unwrap();
    assert_eq!(
        error_text(answer),
        "Lost",
        "an id that has run is not rejected as harmless"
    );
}

// Guards against refusing a request that crossed the end of a connection, or was rejected, and comes again.
#[test]
fn an_id_of_which_nothing_ran_can_be_used_again() {
    let world = World::start(2);
    behave(&world, HostBehavior::Say("full"));
    let answer = send(&world, "submit", 1).answer().unwrap();
    assert_eq!(error_text(answer), "Backoff");
    behave(&world, HostBehavior::Serve);
    let answer = send(&world, "submit", 1).answer().unwrap();
    assert!(is_served(&answer), "rejected by every host before");

    let cancel = b"\x93\x02\xadcancelRequest\x91\x01";
    let mut client = world.client();
    client
        .send(&[&message(1, "submit", 2)[..], cancel].concat())
        .unwrap();
    client.alive().unwrap();
    client.answer().unwrap();
    assert_eq!(attempts(&world, 2), 0, "cancelled before it was sent");
    let answer = send(&world, "submit", 2).answer().unwrap();
    assert!(is_served(&answer));
}

#[test]
fn an_idempotent_id_can_be_used_again() {
    let world = World::start(2);
    for _ in 0..2 {
        let answer = send(&world, "page", 1).answer().unwrap();
        assert!(is_served(&answer));
    }
}

// Guards against a second effect of a deduplicated request: its hosts have forgotten it when their window has ended.
#[test]
fn a_deduplicated_id_runs_again_only_within_its_window() {
    const WINDOW: Duration = Duration::from_millis(1500);
    let world = World::with_config(2, |config| {
        let class = &mut config["settings"]["request_classes"][2];
        class["effect"] = "deduplicated".into();
        class["key_scope"] = "all".into();
        class["memory_span_ms"] = (WINDOW.as_millis() as u64).into();
    });
    run_once(&world, "submit", 1, Ending::Answer);
    let answer = send(&world, "submit", 1).answer().unwrap();
    assert!(is_served(&answer), "within the window: {answer:?}");
    assert_eq!(attempts(&world, 1), 2);
    thread::sleep(WINDOW);
    let answer = send(&world, "submit", 1).answer().unwrap();
    assert!(!is_served(&answer), "{answer:?}");
    assert_eq!(attempts(&world, 1), 2);
}
