//! No attempt, neither a first nor a further one, starts for a request more than 0.1 s after its client has closed or
//! reset the connection or has cancelled the request. Each test brings several clients into one situation, has them
//! depart in every way at once, and checks which attempts reach the hosts.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod world;

use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use flaxdeck_toy::{Answer, Client, HostBehavior};
use serde_json::Value;
use socket2::{Domain, Socket, Type};
use world::{
    KEY, MAX_CANCEL_DELAY, Stalls, World, attempt_in_flight_with, cache_with_full_backlog, key,
    served, unix_now, wait_for,
};

/// How long the process may take to notice a departure, so that attempts that start meanwhile do so within the 0.1 s.
const MAX_DETECTION_DELAY: Duration = Duration::from_millis(60);

/// How a client departs. A half-close can't be told from a close, and counts as one.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Departure {
    Close,
    HalfClose,
    Reset,
    Cancel,
}

const ALL_DEPARTURES: [Departure; 4] = [
    Departure::Close,
    Departure::HalfClose,
    Departure::Reset,
    Departure::Cancel,
];

/// A client with an open request, and the way in which it is going to depart.
struct Requester {
    departure: Departure,
    client: Client,
    key: String,
    call: u32,
}

impl Requester {
    /// Sends a request for the object of that number.
    fn request(departure: Departure, mut client: Client, class: &str, number: u32) -> Requester {
        let (key, body): (_, &[u8]) =
            (key(number), if class == "submit" { b"a form" } else { b"" });
        let call = client.request(class, &key, 2400, body).unwrap();
        Requester {
            departure,
            client,
            key,
            call,
        }
    }

    /// Departs. Returns the client if its connection stays open.
    fn depart(self) -> Option<Client> {
        let Requester {
            departure,
            mut client,
            call,
            ..
        } = self;
        match departure {
            Departure::Close | Departure::Reset => return None,
            Departure::HalfClose => client.shutdown_write().unwrap(),
            Departure::Cancel => client.cancel(call).unwrap(),
        }
        Some(client)
    }
}

/// Connects a client that can depart in that way. With a small receive buffer its connection takes few bytes that the
/// client has not read.
fn connect(address: SocketAddr, departure: Departure, has_small_buffer: bool) -> Client {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    if departure == Departure::Reset {
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    }
    if has_small_buffer {
        socket.set_recv_buffer_size(4096).unwrap();
    }
    socket.connect(&address.into()).unwrap();
    Client::from_stream(TcpStream::from(socket)).unwrap()
}

/// With [`set_slow_transfers`], a hedged request is due within this time after the first attempt if the host is silent.
const HEDGE_DUE_WITHIN: Duration = Duration::from_millis(1300);

/// Sets a client bandwidth by which a request takes half a second to send, so that a busy machine alone makes no
/// attempt overdue.
fn set_slow_transfers(config: &mut Value) {
    config["settings"]["family_info"]["client_kb_per_s"] = 100.into();
}

/// Connects one client for each kind of departure; each requests another object.
fn departing_clients(world: &World, class: &str) -> Vec<Requester> {
    let request = |(at, departure)| {
        Requester::request(
            departure,
            connect(world.address, departure, false),
            class,
            100 + at as u32,
        )
    };
    ALL_DEPARTURES
        .into_iter()
        .enumerate()
        .map(request)
        .collect()
}

/// Returns the number of attempts for an object that have reached any host.
fn attempt_count(world: &World, key: &str) -> usize {
    let wants = |host: &flaxdeck_toy::Host| host.received("want");
    world
        .hosts()
        .flat_map(wants)
        .filter(|(line, _)| line.contains(key))
        .count()
}

/// Has all clients depart at once, and checks that the process notices each departure in time. Then checks that no
/// attempt starts for them later than 0.1 s after their departure, for the time `watched_for`.
fn depart_and_check_no_attempts(world: &World, departing: Vec<Requester>, watched_for: Duration) {
    let (before, count) = (world.departure_times().len(), departing.len());
    let keys: Vec<String> = departing.iter().map(|client| client.key.clone()).collect();
    let mut stalls = Stalls::start_with_prober(world);
    let mut still_connected = Vec::new();
    for client in departing {
        still_connected.push(client.depart());
        stalls.probe();
    }
    let departed = unix_now();
    stalls.await_probes();
    wait_for("all departures are noticed", || {
        world.departure_times().len() == before + count
    });
    let noticed = world.departure_times().split_off(before);
    let delay = noticed
        .into_iter()
        .max()
        .unwrap_or_default()
        .saturating_sub(departed);
    let stalled = stalls.total();
    assert!(
        delay < MAX_DETECTION_DELAY + stalled,
        "the last departure is noticed after {delay:?}, of which the machine may have caused {stalled:?}"
    );
    thread::sleep((departed + MAX_CANCEL_DELAY + stalled).saturating_sub(unix_now()));
    let begun: Vec<usize> = keys.iter().map(|key| attempt_count(world, key)).collect();
    thread::sleep(watched_for);
    let later: Vec<usize> = keys.iter().map(|key| attempt_count(world, key)).collect();
    assert_eq!(
        begun, later,
        "numbers of attempts for the departed clients, in the order of {ALL_DEPARTURES:?}"
    );
    drop(still_connected);
}

/// Waits for a further attempt for the client that remains, which shows that attempts do start in this situation.
fn wait_for_further_attempt(world: &World, remaining: &Requester, attempts_before: usize) {
    wait_for("a further attempt for the client that remains", || {
        attempt_count(world, &remaining.key) > attempts_before
    });
}

#[test]
fn no_attempt_follows_a_rejected_one_whose_client_has_left() {
    let world = World::start(1);
    world.origin.set(HostBehavior::Say("full"));
    let (departing, remaining) = (
        departing_clients(&world, "submit"),
        Requester::request(Departure::Close, world.client(), "submit", 1),
    );
    wait_for("each request was retried", || {
        departing
            .iter()
            .chain([&remaining])
            .all(|one| attempt_count(&world, &one.key) > 1)
    });
    let before = attempt_count(&world, &remaining.key);
    depart_and_check_no_attempts(&world, departing, Duration::from_millis(800));
    wait_for_further_attempt(&world, &remaining, before);
}

#[test]
fn no_hedged_request_is_sent_for_a_client_that_has_left() {
    let world = World::with_config(2, set_slow_transfers);
    for cache in &world.caches {
        cache.set(HostBehavior::Silent);
    }
    let (departing, remaining) = (
        departing_clients(&world, "page"),
        Requester::request(Departure::Close, world.client(), "page", 1),
    );
    wait_for("the first attempts have reached a host", || {
        departing
            .iter()
            .chain([&remaining])
            .all(|one| attempt_count(&world, &one.key) > 0)
    });
    depart_and_check_no_attempts(&world, departing, HEDGE_DUE_WITHIN);
    wait_for_further_attempt(&world, &remaining, 1);
}

#[test]
fn no_connection_that_comes_up_carries_the_request_of_a_client_that_has_left() {
    let (world, cache_host, _) = cache_with_full_backlog(|_| {});
    let mut number = 0;
    let mut attempt_in_flight = |departure| {
        let (client, n) =
            attempt_in_flight_with(&world, number, || connect(world.address, departure, false));
        number = n + 1;
        Requester {
            departure,
            client,
            key: key(n),
            call: 1,
        }
    };
    let departing: Vec<Requester> = ALL_DEPARTURES
        .into_iter()
        .map(&mut attempt_in_flight)
        .collect();
    let mut remaining = attempt_in_flight(Departure::Close);
    let keys: Vec<String> = departing.iter().map(|client| client.key.clone()).collect();
    depart_and_check_no_attempts(&world, departing, Duration::ZERO);
    cache_host.serve_all();
    assert!(served(&remaining.client.answer().unwrap(), &remaining.key));
    // Within this time the system retries each connection that is still wanted.
    thread::sleep(Duration::from_millis(1200));
    let received = cache_host.requests();
    assert!(
        keys.iter()
            .all(|key| !received.iter().any(|line| line.contains(key))),
        "the first cache has received a request of a departed client: {received:?}"
    );
    assert_eq!(
        cache_host.accepted(),
        1,
        "connections at the first cache, of which only the remaining client needs one"
    );
}

#[test]
fn a_client_that_leaves_its_answers_unread_has_left() {
    const UNREAD: usize = 20;
    let world = World::with_config(2, set_slow_transfers);
    for cache in &world.caches {
        cache.set(HostBehavior::Silent);
    }
    let writers = ALL_DEPARTURES
        .into_iter()
        .enumerate()
        .map(|(at, departure)| {
            let mut client = connect(world.address, departure, true);
            for _ in 0..UNREAD {
                client.request("submit", KEY, 2400, &[7; 40_000]).unwrap();
            }
            (at as u32, departure, client)
        });
    let writers: Vec<(u32, Departure, Client)> = writers.collect();
    wait_for("all writes are at the origin", || {
        world.origin.received("want").len() == UNREAD * ALL_DEPARTURES.len()
    });
    let departing: Vec<Requester> = writers
        .into_iter()
        .map(|(at, departure, client)| Requester::request(departure, client, "page", 100 + at))
        .collect();
    let remaining = Requester::request(Departure::Close, world.client(), "page", 1);
    wait_for("the first attempts have reached a host", || {
        departing
            .iter()
            .chain([&remaining])
            .all(|one| attempt_count(&world, &one.key) > 0)
    });
    depart_and_check_no_attempts(&world, departing, HEDGE_DUE_WITHIN);
    wait_for_further_attempt(&world, &remaining, 1);
}

// A cancellation, or the end of the connection, is noticed in time behind a write for which there is no memory.
#[test]
fn a_client_that_leaves_behind_writes_without_memory_has_left() {
    const WRITES: usize = 8;
    let world = World::with_config(2, |config| {
        set_slow_transfers(config);
        config["limits"]["memory_mb"] = 0.7.into();
    });
    for host in world.hosts() {
        host.set(HostBehavior::Silent);
    }
    let mut filler = world.client();
    filler.request("submit", KEY, 2400, &[7; 40_000]).unwrap(); // of a memory of 48,000 bytes
    wait_for("a write holds most of the memory", || {
        !world.origin.received("want").is_empty()
    });
    let mut departing = departing_clients(&world, "page");
    let remaining = Requester::request(Departure::Close, world.client(), "page", 1);
    wait_for("the first attempts have reached a host", || {
        departing
            .iter()
            .chain([&remaining])
            .all(|one| attempt_count(&world, &one.key) > 0)
    });
    for client in &mut departing {
        for _ in 0..WRITES {
            client
                .client
                .request("submit", KEY, 2400, &[7; 10_000])
                .unwrap();
        }
    }
    depart_and_check_no_attempts(&world, departing, HEDGE_DUE_WITHIN);
    wait_for_further_attempt(&world, &remaining, 1);
}

// A process that could not run for a while reads a request together with the departure of its client.
#[test]
fn a_request_sent_and_left_while_the_process_was_stopped_reaches_no_host() {
    let world = World::start(1);
    let mut ready: Vec<Client> = ALL_DEPARTURES
        .into_iter()
        .map(|departure| connect(world.address, departure, false))
        .collect();
    for client in &mut ready {
        client.alive().unwrap();
        assert!(matches!(client.answer().unwrap(), Answer::Alive { .. }));
    }
    world.pause();
    // The clients above were accepted and have sent a message before; these wait in the backlog.
    let late = ALL_DEPARTURES
        .into_iter()
        .map(|departure| connect(world.address, departure, false));
    let clients = ALL_DEPARTURES
        .into_iter()
        .cycle()
        .zip(ready.into_iter().chain(late));
    let request =
        |(at, (departure, client))| Requester::request(departure, client, "page", 100 + at as u32);
    let departing: Vec<Requester> = clients.enumerate().map(request).collect();
    let keys: Vec<String> = departing.iter().map(|client| client.key.clone()).collect();
    let still_connected: Vec<Option<Client>> =
        departing.into_iter().map(Requester::depart).collect();
    let mut remaining = Requester::request(Departure::Close, world.client(), "page", 2);
    thread::sleep(MAX_CANCEL_DELAY * 2);
    world.signal("CONT");
    assert!(served(&remaining.client.answer().unwrap(), &remaining.key));
    thread::sleep(MAX_CANCEL_DELAY * 2);
    let begun: Vec<usize> = keys.iter().map(|key| attempt_count(&world, key)).collect();
    assert_eq!(
        begun,
        vec![0; keys.len()],
        "numbers of attempts, in the order of {ALL_DEPARTURES:?}, for the accepted clients and then for the others"
    );
    drop(still_connected);
}

// Guards the wait for memory: a write whose client has no other request open gets the memory that is released within
// the wait. A try that fails while the machine was late shows nothing and is repeated.
#[test]
fn a_write_without_memory_waits_for_what_is_released() {
    const TRIES: usize = 20;
    let world = World::with_config(1, |config| config["limits"]["memory_mb"] = 0.7.into());
    for n in 1..=TRIES {
        world.origin.set(HostBehavior::Silent);
        let mut filler = world.client();
        let call = filler
            .request("submit", &key(n as u32), 2400, &[7; 40_000])
            .unwrap();
        wait_for("a write holds most of the memory", || {
            attempt_count(&world, &key(n as u32)) > 0
        });
        world.origin.set(HostBehavior::Serve);
        let stalls = Stalls::start(&world);
        let mut writer = world.client();
        writer.request("submit", KEY, 2400, &[7; 40_000]).unwrap();
        thread::sleep(Duration::from_millis(60));
        filler.cancel(call).unwrap();
        let answer = writer.answer().unwrap();
        if matches!(&answer, Answer::Served { body, .. } if body.len() == 40_000) {
            return;
        }
        assert!(
            n < TRIES && stalls.total() > Duration::from_millis(5),
            "in try {n} of {TRIES} the write is not served, or the machine was not late: {answer:?}"
        );
    }
}
