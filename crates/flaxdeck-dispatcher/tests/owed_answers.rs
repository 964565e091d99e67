//! Time limits of a client's connection: none of them ends it while an answer is owed on it, and all of them still
//! bound what slow clients hold.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod world;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use flaxdeck_toy::{Answer, Client, Host, HostBehavior, request_message};
use serde_json::Value;
use socket2::{Domain, Socket, Type};
use world::{KEY, World, error_text, served};

/// A question whether the dispatcher is alive, which is answered at once.
const ALIVE_REQUEST: &[u8] = &[0x94, 0, 0, 0xa5, b'a', b'l', b'i', b'v', b'e', 0x91, 0x80];
/// More writes than the system and the connection have room for unread answers of.
const MAX_UNREAD_WRITES: usize = 2000;
/// How long a write that is not rejected may take to the origin.
const MAX_ARRIVAL_TIME: Duration = Duration::from_secs(1);

/// The system's receive buffer of a client, in bytes: small beside what it lets one grow to, but larger than the largest
/// segment on loopback. Segments that don't fit are dropped and sent again only seconds later.
const RECEIVE_BUFFER: usize = 128 * 1024;

fn connect_with_small_buffer(address: SocketAddr) -> Client {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
    socket.connect(&address.into()).unwrap();
    Client::from_stream(TcpStream::from(socket)).unwrap()
}

fn set_deadlines(config: &mut Value, deadline_ms: u32) {
    for class in config["settings"]["request_classes"]
        .as_array_mut()
        .unwrap()
    {
        class["deadline_ms"] = deadline_ms.into();
    }
}

/// Returns the message of a write of 40,000 bytes.
fn large_write(call: u32) -> Vec<u8> {
    let id = format!("{:016x}", 0x51_0000 + call);
    let fields = [
        ("id", id.as_str()),
        ("wait", "2900"),
        ("key", KEY),
        ("slice", "0"),
    ];
    request_message(call, "submit", &fields, &[7; 40_000])
}

/// Whether the origin has received more than that many requests within [`MAX_ARRIVAL_TIME`].
fn arrives(origin: &Host, received_before: usize) -> bool {
    let start = Instant::now();
    while origin.arrivals("want").len() == received_before {
        if start.elapsed() > MAX_ARRIVAL_TIME {
            return false;
        }
        thread::sleep(Duration::from_millis(1));
    }
    true
}

/// Sends writes without reading their answers until the connection is full of answers and a write is rejected, which
/// the origin does not receive. Each write waits for the one before it, as one connection may have few open requests.
/// Returns the number of writes.
fn fill_with_answers(origin: &Host, client: &mut Client, timeout_ms: u64) -> usize {
    for writes in 1..=MAX_UNREAD_WRITES {
        let received = origin.arrivals("want").len();
        client
            .request("submit", KEY, timeout_ms, &[7; 40_000])
            .unwrap();
        if !arrives(origin, received) {
            return writes;
        }
    }
    panic!("there is room for the answers of {MAX_UNREAD_WRITES} writes");
}

// Guards against a request that is taken and loses its answer because its client writes the next message slowly.
#[test]
fn a_message_written_slowly_costs_no_open_request_its_answer() {
    let world = World::start(1);
    world.origin.set(HostBehavior::Late(2700));
    let mut client = world.client();
    let open = client.request("submit", KEY, 2950, b"a form").unwrap();
    let fields = [
        ("id", "9b1f03aa5c7e2d41"),
        ("wait", "2500"),
        ("key", KEY),
        ("slice", "0"),
    ];
    let slow = request_message(90, "page", &fields, b"");
    for piece in slow.chunks(slow.len().div_ceil(25)) {
        client
            .send(piece)
            .expect("the connection is open while a request is open on it");
        thread::sleep(Duration::from_millis(100));
    }
    let mut calls = Vec::new();
    for _ in 0..2 {
        match client.answer().expect("both requests are answered") {
            Answer::Served { call, .. } => calls.push(call),
            other => panic!("an answer is not an object: {other:?}"),
        }
    }
    calls.sort_unstable();
    assert_eq!(calls, [open, 90]);
}

// Guards against a connection that outlasts the limit by more than its open request.
#[test]
fn a_message_that_never_ends_closes_its_connection_once_nothing_is_owed() {
    let world = World::start(1);
    world.origin.set(HostBehavior::Late(2300));
    let mut client = world.client();
    let start = Instant::now();
    client.request("submit", KEY, 2900, b"a form").unwrap();
    client.send(&large_write(90)[..200]).unwrap();
    assert!(matches!(client.answer().unwrap(), Answer::Served { .. }));
    assert!(client.ended());
    let elapsed = start.elapsed();
    assert!(
        elapsed < Duration::from_millis(2900),
        "the connection ended after {elapsed:?}"
    );
}

// Guards against slow messages that keep memory from others for longer than the limit on a message.
#[test]
fn a_slow_message_gives_up_its_memory_to_others() {
    let world = World::with_config(1, |config| {
        config["limits"]["memory_mb"] = 0.7.into(); // 48,000 bytes for messages
    });
    world.origin.set(HostBehavior::Late(2700));
    let (mut slow, mut other) = (world.client(), world.client());
    let open = slow.request("submit", KEY, 2950, b"a form").unwrap();
    let message = large_write(90);
    slow.send(&message[..20_000]).unwrap();
    thread::sleep(Duration::from_millis(500));
    other.request("submit", KEY, 2950, &[7; 40_000]).unwrap();
    assert_eq!(error_text(other.answer().unwrap()), "Backoff");
    thread::sleep(Duration::from_millis(1700));
    world.origin.set(HostBehavior::Serve);
    other.request("submit", KEY, 2900, &[7; 40_000]).unwrap();
    let answer = other.answer().unwrap();
    assert!(
        matches!(&answer, Answer::Served { body, .. } if body.len() == 40_000),
        "the memory is still in use: {answer:?}"
    );
    slow.send(&message[20_000..]).unwrap();
    for _ in 0..2 {
        match slow.answer().unwrap() {
            Answer::Served { call, .. } => assert_eq!(call, open),
            Answer::Error { call, word, .. } => assert_eq!((call, word.as_str()), (90, "Backoff")),
            other => panic!("an answer of another kind: {other:?}"),
        }
    }
    slow.request("page", KEY, 2000, b"").unwrap();
    assert!(served(&slow.answer().unwrap(), KEY));
}

// Guards against slow clients that take all places for longer than their open requests last.
#[test]
fn many_slow_clients_leave_their_places_when_their_requests_are_answered() {
    let world = World::with_config(1, |config| config["limits"]["sockets"] = 60.into()); // 20 for clients
    world.origin.set(HostBehavior::Late(2300));
    let start = Instant::now();
    let slow: Vec<Client> = (0..20)
        .map(|_| {
            let mut client = world.client();
            client.request("submit", KEY, 2900, b"a form").unwrap();
            client.send(&large_write(90)[..20_000]).unwrap();
            client
        })
        .collect();
    let late: Vec<Client> = (0..20).map(|_| world.client()).collect();
    for mut client in late {
        client.request("page", KEY, 2400, b"").unwrap();
        assert!(served(&client.answer().unwrap(), KEY));
    }
    let elapsed = start.elapsed();
    assert!(
        elapsed < Duration::from_millis(3500),
        "the last of the other clients was served after {elapsed:?}"
    );
    let answers: Vec<Answer> = slow
        .into_iter()
        .map(|mut client| client.answer().expect("each open request is answered"))
        .collect();
    let served = answers
        .iter()
        .filter(|answer| matches!(answer, Answer::Served { .. }))
        .count();
    assert!(
        served > 0,
        "no request was open for longer than the limit: {answers:?}"
    );
}

// Guards against a request that is taken and loses its answer because its client reads nothing for a while.
#[test]
fn a_client_that_reads_late_gets_an_answer_to_each_request() {
    let mut world = World::with_config(1, |config| set_deadlines(config, 9000));
    let mut client = connect_with_small_buffer(world.address);
    world.caches[0].set(HostBehavior::Late(4000));
    world.parent.set(HostBehavior::Late(4000));
    client.request("clip", KEY, 8800, b"").unwrap();
    let writes = fill_with_answers(&world.origin, &mut client, 8800);
    thread::sleep(Duration::from_millis(3300));
    let mut answers: BTreeMap<u32, u32> = BTreeMap::new();
    for n in 0..=writes {
        let answer = client.answer();
        let call = match answer {
            Ok(Answer::Served { call, .. } | Answer::Error { call, .. }) => call,
            other => panic!("answer {n}: {other:?}"),
        };
        *answers.entry(call).or_default() += 1;
    }
    assert_eq!(answers.len(), writes + 1);
    client.request("submit", KEY, 2000, b"a form").unwrap();
    assert!(
        matches!(client.answer().unwrap(), Answer::Served { .. }),
        "the connection is not usable any more"
    );
    world.terminate();
    world.wait_for_log(&["counted: ", "answers_withdrawn="]);
    assert!(world.process.wait().unwrap().success());
}

// Guards against a client that never reads and keeps its place for as long as it sends.
#[test]
fn a_client_that_never_reads_is_closed_once_its_time_is_over() {
    let mut world = World::with_config(1, |config| set_deadlines(config, 5000));
    let mut client = connect_with_small_buffer(world.address);
    let start = Instant::now();
    fill_with_answers(&world.origin, &mut client, 5000);
    let full_since = Instant::now();
    while client.send(ALIVE_REQUEST).is_ok() && full_since.elapsed() < Duration::from_secs(20) {
        client.request("page", KEY, 5000, b"").ok();
        thread::sleep(Duration::from_millis(100));
    }
    // At the earliest after the time of the first write and half a second.
    let elapsed = start.elapsed();
    assert!(
        elapsed >= Duration::from_millis(5500),
        "the connection ended after {elapsed:?}"
    );
    // At the latest after the limit of 3 s, the time of what came before it and half a second, and half a second to
    // close.
    let full_for = full_since.elapsed();
    assert!(
        full_for < Duration::from_millis(9500),
        "the connection ended {full_for:?} after it was full"
    );
    world.terminate();
    world.wait_for_log(&["counted: ", "clients_stalled=1"]);
    assert!(world.process.wait().unwrap().success());
}
