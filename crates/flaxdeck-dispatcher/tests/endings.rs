//! What is still owed when something ends: each test makes the instant happen and looks at both ends. docs/endings.md
//! names the row of each.

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

/// A client whose connection takes few bytes that it has not read.
fn narrow(address: SocketAddr) -> Client {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&address.into()).unwrap();
    Client::over(TcpStream::from(socket)).unwrap()
}

fn fields<'a>(id: &'a str, key: &'a str) -> [(&'a str, &'a str); 4] {
    [("id", id), ("wait", "2500"), ("key", key), ("slice", "0")]
}

/// A message of the protocol that nothing follows from.
const NOTHING: &[u8] = &[
    0x93, 2, 0xa7, b'n', b'o', b't', b'h', b'i', b'n', b'g', 0x90,
];

/// A question whether the dispatcher is up, which is answered at once.
const ALIVE: &[u8] = &[0x94, 0, 7, 0xa5, b'a', b'l', b'i', b'v', b'e', 0x91, 0x80];

/// Has so many writes answered of which the client reads nothing, and nothing waits in the process any more.
fn unread_answers(world: &World, client: &mut Client, writes: usize) {
    for _ in 0..writes {
        client.request("submit", KEY, 2400, &[7; 40_000]).unwrap();
    }
    wait_for("all writes are at the origin", || {
        world.origin.heard("want").len() == writes
    });
    thread::sleep(Duration::from_millis(100));
}

fn takes_them_all(client: &mut Client, writes: usize) {
    for n in 0..writes {
        let answer = client.answer();
        assert!(
            matches!(&answer, Ok(Answer::Served { body, .. }) if body.len() == 40_000),
            "{n}: {answer:?}"
        );
    }
    assert!(client.ended());
}

// A close over unread bytes resets the connection, and what the client has not read yet goes with it.
#[test]
fn answers_arrive_complete_when_their_client_is_closed_as_malformed() {
    let world = World::start(1);
    let mut client = narrow(world.address);
    unread_answers(&world, &mut client, 20);
    client.send(&[0xc1; 400_000]).unwrap();
    takes_them_all(&mut client, 20);
    assert!(
        served(&world.request("page", KEY, 2000, b""), KEY),
        "others notice nothing"
    );
}

// The same at the end of the process, while a client goes on sending until the last moment.
#[test]
fn answers_arrive_complete_when_the_process_ends_while_a_client_sends() {
    let mut world = World::with(1, |config| {
        for class in config["settings"]["request_classes"]
            .as_array_mut()
            .unwrap()
        {
            class["deadline_ms"] = 2900.into();
        }
    });
    let mut client = narrow(world.address);
    unread_answers(&world, &mut client, 20);
    let mut says = client.try_clone().unwrap();
    let says = thread::spawn(move || while says.send(&NOTHING.repeat(500)).is_ok() {});
    world.terminate();
    takes_them_all(&mut client, 20);
    assert!(world.process.wait().unwrap().success());
    drop(client);
    says.join().unwrap();
}

// A client that rests until the dispatcher ends it gets an end that it can tell from a failure.
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
        // What crosses the end is not sent on; its client sees no answer and asks elsewhere.
        let _ = client.request("page", &key(1), 2000, b"");
    }
    assert!(world.process.wait().unwrap().success());
    assert!(
        world.caches[0]
            .heard("want")
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
    thread::sleep(Duration::from_millis(1200)); // well past the time for which every planned end stays
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
    wait_for("sent on", || !world.caches[0].heard("want").is_empty());
    for name in ["HUP", "TERM", "HUP", "TERM"] {
        world.signal(name);
    }
    assert!(served(&client.answer().unwrap(), KEY));
    world.signal("TERM");
    assert!(world.process.wait().unwrap().success());
}

#[test]
fn a_shutdown_without_the_coordinator_answers_open_requests() {
    let (_held, gone) = unused_address();
    let mut world = World::with(1, |config| config["coordinator"] = gone.to_string().into());
    world.caches[0].set(HostBehavior::Late(500));
    let mut client = world.client();
    client.request("page", KEY, 2400, b"").unwrap();
    wait_for("sent on", || !world.caches[0].heard("want").is_empty());
    world.terminate();
    assert!(served(&client.answer().unwrap(), KEY));
    assert!(world.process.wait().unwrap().success());
}

// A client that has left is not waited for: not behind answers that lie unread, ...
#[test]
fn a_cancellation_is_noticed_behind_unread_answers() {
    let (world, cache_host, _) = cache_with_full_backlog(|_| {});
    let (mut client, n) = attempt_in_flight(&world, 0);
    // More than its connection takes, so that answers wait in the process, and refusals behind them.
    let writes = 700;
    let mut writer = client.try_clone().unwrap();
    let written = thread::spawn(move || {
        for _ in 0..writes {
            let _ = writer.request("submit", KEY, 2400, &[7; 40_000]); // it may be refused meanwhile
        }
    });
    written.join().unwrap();
    let mut stalls = Stalls::witnessed(&world);
    client.cancel(1).unwrap();
    stalls.sent();
    let cancelled = unix_now();
    stalls.await_witness();
    world.wait_for_log(&["left: "]);
    let late = world.left_times()[0].saturating_sub(cancelled);
    assert!(late < MAX_CANCEL_DELAY + stalls.so_far(), "{late:?}");
    cache_host.open();
    thread::sleep(Duration::from_millis(1500)); // the system's next try of the connection
    assert!(
        cache_host
            .heard()
            .iter()
            .all(|line| !line.contains(&key(n)))
    );
}

// ... not behind a write that there is no memory for, which is refused at once instead, ...
#[test]
fn a_cancellation_is_noticed_while_memory_is_full_and_what_finds_none_is_rejected_at_once() {
    let (world, cache_host, _) =
        cache_with_full_backlog(|config| config["limits"]["memory_mb"] = 0.7.into());
    let (mut client, n) = attempt_in_flight(&world, 0);
    world.origin.set(HostBehavior::Silent);
    let mut fills = world.client();
    fills.request("submit", KEY, 2400, &[7; 40_000]).unwrap(); // of 48,000 that there are
    wait_for("it is at the origin", || {
        !world.origin.heard("want").is_empty()
    });
    let mut stalls = Stalls::witnessed(&world);
    let asked = Instant::now();
    let refused = client.request("submit", KEY, 2400, &[7; 40_000]).unwrap();
    client.cancel(1).unwrap();
    stalls.sent();
    let cancelled = unix_now();
    stalls.await_witness();
    world.wait_for_log(&["left: "]);
    let late = world.left_times()[0].saturating_sub(cancelled);
    assert!(late < MAX_CANCEL_DELAY + stalls.so_far(), "{late:?}");
    let answer = client.answer().unwrap();
    assert!(
        matches!(&answer, Answer::Error { call, word, .. } if *call == refused && word == "Backoff")
    );
    assert!(
        asked.elapsed() < Duration::from_millis(500),
        "{:?}",
        asked.elapsed()
    );
    client.request("page", &key(n + 100), 2000, b"").unwrap();
    cache_host.open();
    assert!(
        served(&client.answer().unwrap(), &key(n + 100)),
        "its connection goes on"
    );
    assert!(
        cache_host
            .heard()
            .iter()
            .all(|line| !line.contains(&key(n)))
    );
}

// ... and a connection that comes up for it alone is dropped, also where no attempt may be taken back.
#[test]
fn a_connection_that_no_client_waits_for_is_dropped() {
    for may_cancel in [true, false] {
        let (world, cache_host, _) = cache_with_full_backlog(|config| {
            config["settings"]["allowed"]["cancel"] = may_cancel.into()
        });
        let (client, _) = attempt_in_flight(&world, 0);
        drop(client);
        world.wait_for_log(&["left: "]);
        cache_host.open();
        thread::sleep(Duration::from_millis(2500)); // two more tries of the system
        assert_eq!(cache_host.taken(), 0, "{may_cancel}");
    }
}

// A half-close can't be told from a close, and a reset says the same: nothing is owed, and nothing goes on for it.
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
        let mut client = Client::over(TcpStream::from(socket)).unwrap();
        client.request("page", KEY, 2400, b"").unwrap();
        wait_for("sent on", || !world.caches[0].heard("want").is_empty());
        if !resets {
            client.shutdown_write().unwrap();
            assert!(client.ended());
        }
        drop(client);
        world.wait_for_log(&["left: "]);
        wait_for("given up", || {
            !world.caches[0].heard("never_mind").is_empty()
        });
        world.caches[0].set(HostBehavior::Serve);
        assert!(
            served(&world.request("page", &key(1), 2000, b""), &key(1)),
            "others notice nothing"
        );
    }
}

#[test]
fn a_flooding_client_that_reads_nothing_loses_only_its_own_connection() {
    let world = World::start(1);
    let mut flood = narrow(world.address);
    let over = Arc::new(AtomicBool::new(false));
    let tells = over.clone();
    let flooding = thread::spawn(move || {
        let batch = ALIVE.repeat(2000);
        while !tells.load(Ordering::Relaxed) && flood.send(&batch).is_ok() {}
    });
    let mut slowest = Duration::ZERO;
    for n in 0..40 {
        let asked = Instant::now();
        assert!(served(&world.request("page", &key(n), 2000, b""), &key(n)));
        slowest = slowest.max(asked.elapsed());
    }
    assert!(slowest < Duration::from_millis(1500), "{slowest:?}");
    wait_for("the flood is ended", || flooding.is_finished());
    over.store(true, Ordering::Relaxed);
    flooding.join().unwrap();
}

// Past a bound on what it is owed, and sooner than one that only takes nothing.
#[test]
fn a_client_owed_more_answers_than_the_bound_is_closed_as_flooding() {
    let mut world = World::start(1);
    let mut flood = narrow(world.address);
    // More than its connection takes, so that answers wait in the process and the rest is owed.
    let asked = (0..700)
        .take_while(|_| flood.request("submit", KEY, 2400, &[7; 40_000]).is_ok())
        .count();
    let _ = flood.send(&ALIVE.repeat(4000)); // it may be ended in the middle of this
    assert_eq!(asked, 700, "what is owed until then is within the bound");
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
                let mut sent = std::io::Write::write_all(&mut stream, head.as_bytes());
                while sent.is_ok() {
                    thread::sleep(Duration::from_millis(20));
                    sent = std::io::Write::write_all(&mut stream, b"x");
                }
            });
        }
    });
    let world = World::with(1, |config| {
        config["known"]["updates"][0]["endpoints"]["hosts"][0]["dial"] = address.to_string().into();
    });
    let mut client = world.client();
    let asked = Instant::now();
    client.request("page", KEY, 900, b"").unwrap();
    let first = client.answer().unwrap();
    assert!(matches!(
        first,
        Answer::Error { .. } | Answer::Served { .. }
    ));
    assert!(
        asked.elapsed() < Duration::from_millis(950),
        "{:?}",
        asked.elapsed()
    );
    assert!(client.quiet_for(Duration::from_millis(200)), "one answer");
    client.request("submit", KEY, 900, b"a form").unwrap();
    assert!(matches!(client.answer().unwrap(), Answer::Served { .. }));
}
