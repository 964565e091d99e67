//! What happens to open work when a request, a connection or the process ends. Each test brings about one such moment
//! and checks both sides. docs/endings.md lists the cases with their tests.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod world;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use flaxdeck_toy::{Answer, Client, HostBehavior, request_message};
use socket2::{Domain, Socket, Type};
use world::{
    KEY, MAX_CANCEL_DELAY, Stalls, World, attempt_in_flight, cache_with_full_backlog, key,
    read_request, served, unix_now, unused_address, wait_for,
};

/// Connects a client with a small receive buffer, so that its connection takes few bytes that the client has not read.
fn connect_with_small_buffer(address: SocketAddr) -> Client {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&address.into()).unwrap();
    Client::from_stream(TcpStream::from(socket)).unwrap()
}

fn fields<'a>(id: &'a str, key: &'a str) -> [(&'a str, &'a str); 4] {
    [("id", id), ("wait", "2500"), ("key", key), ("slice", "0")]
}

/// A valid message of the protocol that the dispatcher ignores.
const IGNORED_MESSAGE: &[u8] = &[
    0x93, 2, 0xa7, b'n', b'o', b't', b'h', b'i', b'n', b'g', 0x90,
];

/// A request whether the dispatcher is alive, which is answered at once.
const ALIVE_REQUEST: &[u8] = &[0x94, 0, 7, 0xa5, b'a', b'l', b'i', b'v', b'e', 0x91, 0x80];

/// Sends writes whose answers the client does not read, waits until all are at the origin, and leaves time for the
/// answers.
fn write_without_reading(world: &World, client: &mut Client, writes: usize) {
    for _ in 0..writes {
        client.request("submit", KEY, 2400, &[7; 40_000]).unwrap();
    }
    wait_for("all writes are at the origin", || {
        world.origin.received("want").len() == writes
    });
    thread::sleep(Duration::from_millis(100));
}

/// Reads the answers to all writes, and then the end of the connection.
fn read_all_answers(client: &mut Client, writes: usize) {
    for n in 0..writes {
        let answer = client.answer();
        assert!(
            matches!(&answer, Ok(Answer::Served { body, .. }) if body.len() == 40_000),
            "answer {n} is not a complete write: {answer:?}"
        );
    }
    assert!(client.ended());
}

// Closing a connection with unread bytes would reset it, and the client would lose the answers that it has not read
// yet.
#[test]
fn answers_arrive_complete_when_their_client_is_closed_as_malformed() {
    let world = World::start(1);
    let mut client = connect_with_small_buffer(world.address);
    write_without_reading(&world, &mut client, 20);
    client.send(&[0xc1; 400_000]).unwrap();
    read_all_answers(&mut client, 20);
    assert!(
        served(&world.request("page", KEY, 2000, b""), KEY),
        "another client is not served"
    );
}

// The same at a shutdown, while the client sends until the connection ends.
#[test]
fn answers_arrive_complete_when_the_process_ends_while_a_client_sends() {
    let mut world = World::with_config(1, |config| {
        for class in config["settings"]["request_classes"]
            .as_array_mut()
            .unwrap()
        {
            class["deadline_ms"] = 2900.into();
        }
    });
    let mut client = connect_with_small_buffer(world.address);
    write_without_reading(&world, &mut client, 20);
    let mut sender = client.try_clone().unwrap();
    let sender = thread::spawn(move || while sender.send(&IGNORED_MESSAGE.repeat(500)).is_ok() {});
    world.terminate();
    read_all_answers(&mut client, 20);
    assert!(world.process.wait().unwrap().success());
    drop(client);
    sender.join().unwrap();
}

// An idle client whose connection the dispatcher closes sees the end of the stream, which it can tell from a failure.
#[test]
fn an_idle_client_is_closed_and_not_reset_at_shutdown() {
    let mut world = World::start(1);
    let mut clients: Vec<Client> = (0..5).map(|_| world.client()).collect();
    for client in &mut clients {
        client.request("page", KEY, 2000, b"").unwrap();
        assert!(served(&client.answer().unwrap(), KEY));
    }
    world.terminate();
    for mut client in clients {
        let end = client.answer().unwrap_err();
        assert_eq!(end.kind(), std::io::ErrorKind::UnexpectedEof);
        // A request that is sent after the close is not forwarded. Its client gets no answer and turns to another
        // dispatcher.
        let _ = client.request("page", &key(1), 2000, b"");
    }
    assert!(world.process.wait().unwrap().success());
    assert!(
        world.caches[0]
            .received("want")
            .iter()
            .all(|(line, _)| line.contains(KEY))
    );
}

#[test]
fn a_partial_message_at_shutdown_is_waited_for() {
    let mut world = World::start(1);
    let mut client = world.client();
    let message = request_message(1, "page", &fields("9b1f03aa5c7e2d41", KEY), b"");
    world.terminate();
    world.wait_for_log(&["asked to end"]);
    client.send(&message[..40]).unwrap();
    thread::sleep(Duration::from_millis(1200)); // longer than the minimum duration of a shutdown
    client.send(&message[40..]).unwrap();
    assert!(served(&client.answer().unwrap(), KEY));
    assert!(client.ended());
    assert!(world.process.wait().unwrap().success());
}

#[test]
fn signals_that_come_together_shut_the_process_down_once() {
    let mut world = World::start(1);
    world.caches[0].set(HostBehavior::Late(500));
    let mut client = world.client();
    client.request("page", KEY, 2400, b"").unwrap();
    wait_for("the request is at the cache", || {
        !world.caches[0].received("want").is_empty()
    });
    for name in ["HUP", "TERM", "HUP", "TERM"] {
        world.signal(name);
    }
    assert!(served(&client.answer().unwrap(), KEY));
    world.signal("TERM");
    assert!(world.process.wait().unwrap().success());
}

#[test]
fn a_shutdown_without_the_coordinator_answers_open_requests() {
    let (_reserved, unused) = unused_address();
    let mut world = World::with_config(1, |config| {
        config["coordinator"] = unused.to_string().into()
    });
    world.caches[0].set(HostBehavior::Late(500));
    let mut client = world.client();
    client.request("page", KEY, 2400, b"").unwrap();
    wait_for("the request is at the cache", || {
        !world.caches[0].received("want").is_empty()
    });
    world.terminate();
    assert!(served(&client.answer().unwrap(), KEY));
    assert!(world.process.wait().unwrap().success());
}

// A cancellation takes effect in time, also if the client does not read its answers.
#[test]
fn a_cancellation_is_noticed_behind_unread_answers() {
    let (world, cache_host, _) = cache_with_full_backlog(|_| {});
    let (mut client, n) = attempt_in_flight(&world, 0);
    // More answers than the connection takes, so that some wait in the process, with rejections behind them.
    let writes = 700;
    let mut writer = client.try_clone().unwrap();
    let written = thread::spawn(move || {
        for _ in 0..writes {
            let _ = writer.request("submit", KEY, 2400, &[7; 40_000]); // the connection may be closed meanwhile
        }
    });
    written.join().unwrap();
    let mut stalls = Stalls::start_with_prober(&world);
    client.cancel(1).unwrap();
    stalls.probe();
    let cancelled = unix_now();
    stalls.await_probes();
    world.wait_for_log(&["left: "]);
    let delay = world.departure_times()[0].saturating_sub(cancelled);
    assert!(
        delay < MAX_CANCEL_DELAY + stalls.total(),
        "the cancellation is noticed after {delay:?}"
    );
    cache_host.serve_all();
    thread::sleep(Duration::from_millis(1500)); // until the system has retried the connection
    assert!(
        cache_host
            .requests()
            .iter()
            .all(|line| !line.contains(&key(n)))
    );
}

// A cancellation takes effect in time, also behind a write for which there is no memory; the write is rejected soon.
#[test]
fn a_cancellation_is_noticed_while_memory_is_full_and_what_finds_none_is_rejected_at_once() {
    let (world, cache_host, _) =
        cache_with_full_backlog(|config| config["limits"]["memory_mb"] = 0.7.into());
    let (mut client, n) = attempt_in_flight(&world, 0);
    world.origin.set(HostBehavior::Silent);
    let mut filler = world.client();
    filler.request("submit", KEY, 2400, &[7; 40_000]).unwrap(); // of a memory of 48,000 bytes
    wait_for("the write that fills the memory is at the origin", || {
        !world.origin.received("want").is_empty()
    });
    let mut stalls = Stalls::start_with_prober(&world);
    let sent = Instant::now();
    let rejected = client.request("submit", KEY, 2400, &[7; 40_000]).unwrap();
    client.cancel(1).unwrap();
    stalls.probe();
    let cancelled = unix_now();
    stalls.await_probes();
    world.wait_for_log(&["left: "]);
    let delay = world.departure_times()[0].saturating_sub(cancelled);
    assert!(
        delay < MAX_CANCEL_DELAY + stalls.total(),
        "the cancellation is noticed after {delay:?}"
    );
    let answer = client.answer().unwrap();
    assert!(
        matches!(&answer, Answer::Error { call, word, .. } if *call == rejected && word == "Backoff")
    );
    assert!(
        sent.elapsed() < Duration::from_millis(500),
        "the rejection took {:?}",
        sent.elapsed()
    );
    client.request("page", &key(n + 100), 2000, b"").unwrap();
    cache_host.serve_all();
    assert!(
        served(&client.answer().unwrap(), &key(n + 100)),
        "the connection is not usable after the rejection"
    );
    assert!(
        cache_host
            .requests()
            .iter()
            .all(|line| !line.contains(&key(n)))
    );
}

// A connection to a host that only a departed client needs is given up, also where the settings don't allow cancelling
// attempts.
#[test]
fn a_connection_that_no_client_waits_for_is_dropped() {
    for may_cancel in [true, false] {
        let (world, cache_host, _) = cache_with_full_backlog(|config| {
            config["settings"]["allowed"]["cancel"] = may_cancel.into()
        });
        let (client, _) = attempt_in_flight(&world, 0);
        drop(client);
        world.wait_for_log(&["left: "]);
        cache_host.serve_all();
        thread::sleep(Duration::from_millis(2500)); // until the system would have retried the connection twice
        assert_eq!(
            cache_host.accepted(),
            0,
            "connections, with cancellation allowed: {may_cancel}"
        );
    }
}

// A half-close can't be told from a close. After either, and after a reset, open requests are cancelled and get no
// answer.
#[test]
fn a_client_that_half_closes_or_resets_has_its_requests_cancelled() {
    for resets in [false, true] {
        let world = World::start(1);
        world.caches[0].set(HostBehavior::Silent);
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        if resets {
            socket.set_linger(Some(Duration::ZERO)).unwrap();
        }
        socket.connect(&world.address.into()).unwrap();
        let mut client = Client::from_stream(TcpStream::from(socket)).unwrap();
        client.request("page", KEY, 2400, b"").unwrap();
        wait_for("the request is at the cache", || {
            !world.caches[0].received("want").is_empty()
        });
        if !resets {
            client.shutdown_write().unwrap();
            assert!(client.ended());
        }
        drop(client);
        world.wait_for_log(&["left: "]);
        wait_for("the attempt is cancelled at the cache", || {
            !world.caches[0].received("never_mind").is_empty()
        });
        world.caches[0].set(HostBehavior::Serve);
        assert!(
            served(&world.request("page", &key(1), 2000, b""), &key(1)),
            "another client is not served"
        );
    }
}

#[test]
fn a_flooding_client_that_reads_nothing_loses_only_its_own_connection() {
    let world = World::start(1);
    let mut flood = connect_with_small_buffer(world.address);
    let stop = Arc::new(AtomicBool::new(false));
    let stop_flood = stop.clone();
    let flooding = thread::spawn(move || {
        let batch = ALIVE_REQUEST.repeat(2000);
        while !stop_flood.load(Ordering::Relaxed) && flood.send(&batch).is_ok() {}
    });
    let mut slowest = Duration::ZERO;
    for n in 0..40 {
        let sent = Instant::now();
        assert!(served(&world.request("page", &key(n), 2000, b""), &key(n)));
        slowest = slowest.max(sent.elapsed());
    }
    assert!(
        slowest < Duration::from_millis(1500),
        "the slowest request of another client took {slowest:?}"
    );
    wait_for("the flooding connection is closed", || {
        flooding.is_finished()
    });
    stop.store(true, Ordering::Relaxed);
    flooding.join().unwrap();
}

// A client that is owed more direct answers than the bound is closed, before the limit for clients that read nothing
// applies.
#[test]
fn a_client_owed_more_answers_than_the_bound_is_closed_as_flooding() {
    let mut world = World::start(1);
    let mut flood = connect_with_small_buffer(world.address);
    // More answers than the connection takes, so that some wait in the process and the rest is deferred.
    let sent = (0..700)
        .take_while(|_| flood.request("submit", KEY, 2400, &[7; 40_000]).is_ok())
        .count();
    let _ = flood.send(&ALIVE_REQUEST.repeat(4000)); // the connection may be closed before all is sent
    assert_eq!(
        sent, 700,
        "the connection is closed though the writes alone stay within the bound"
    );
    assert!(served(&world.request("page", KEY, 2000, b""), KEY));
    world.terminate();
    world.wait_for_log(&["counted: ", "clients_flooding=1"]);
    assert!(world.process.wait().unwrap().success());
}

#[test]
fn a_response_that_never_ends_delays_no_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut stream = stream;
                let Some((line, _)) = read_request(&mut stream) else {
                    return;
                };
                let head = format!(
                    "{} data version=v1,how=hit 200000\r\n",
                    line.split(' ').nth(1).unwrap()
                );
                let mut written = std::io::Write::write_all(&mut stream, head.as_bytes());
                while written.is_ok() {
                    thread::sleep(Duration::from_millis(20));
                    written = std::io::Write::write_all(&mut stream, b"x");
                }
            });
        }
    });
    let world = World::with_config(1, |config| {
        config["known"]["updates"][0]["endpoints"]["hosts"][0]["dial"] = address.to_string().into();
    });
    let mut client = world.client();
    let sent = Instant::now();
    client.request("page", KEY, 900, b"").unwrap();
    let first = client.answer().unwrap();
    assert!(matches!(
        first,
        Answer::Error { .. } | Answer::Served { .. }
    ));
    assert!(
        sent.elapsed() < Duration::from_millis(950),
        "the answer took {:?} of a timeout of 900 ms",
        sent.elapsed()
    );
    assert!(
        client.quiet_for(Duration::from_millis(200)),
        "something follows the answer"
    );
    client.request("submit", KEY, 900, b"a form").unwrap();
    assert!(matches!(client.answer().unwrap(), Answer::Served { .. }));
}
