//! Client connections: which are closed for what they send, for not reading their answers, or to make room.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod world;

use std::thread;
use std::time::{Duration, Instant};

use flaxdeck_toy::{Answer, Client, request_message};
use world::{KEY, World, key, served, wait_for};

#[test]
fn malformed_bytes_close_only_their_own_connection() {
    let world = World::start(1);
    let mut good = world.client();
    for bytes in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &[0x94, 0, 1, 0xdb, 0xff, 0xff, 0xff, 0xff],
        &[0xc1],
    ] {
        let mut bad = world.client();
        bad.send(bytes).unwrap();
        assert!(bad.ended());
    }
    let complete = [
        ("id", "9b1f03aa5c7e2d41"),
        ("wait", "2500"),
        ("key", KEY),
        ("slice", "0"),
    ];
    let with_value = |at: usize, value: &'static str| {
        let mut fields = complete;
        fields[at].1 = value;
        request_message(9, "page", &fields, b"")
    };
    let bad = [
        request_message(9, "nothing-known", &complete, b""),
        request_message(9, "page", &complete[1..], b""),
        with_value(0, "9b1f, wait=1 0\r\n"),
        with_value(1, "soon"),
        with_value(2, "7f3a9c21e0b4d65g"),
        with_value(3, "-1"),
        request_message(
            9,
            "page",
            &[complete[0], complete[1], complete[2], ("seen", "a,b=c d")],
            b"",
        ),
    ];
    for message in bad {
        good.send(&message).unwrap();
        assert!(
            matches!(good.answer().unwrap(), Answer::Error { call: 9, word, .. } if word != "Backoff")
        );
    }
    assert!(world.hosts().all(|host| host.received("want").is_empty()));
    good.request("page", KEY, 2000, b"").unwrap();
    assert!(served(&good.answer().unwrap(), KEY));
}

#[test]
fn a_client_that_never_sends_a_complete_message_is_closed_in_time() {
    let world = World::start(1);
    let (mut silent, mut half, mut idle) = (world.client(), world.client(), world.client());
    let start = Instant::now();
    half.send(&request_message(1, "submit", &[("id", "9b1f03aa5c7e2d41")], &[7; 400])[..200])
        .unwrap();
    idle.request("page", KEY, 2000, b"").unwrap();
    assert!(served(&idle.answer().unwrap(), KEY));
    assert!(silent.ended() && half.ended());
    assert!(
        start.elapsed() < Duration::from_millis(2900),
        "the connections are closed after {:?}",
        start.elapsed()
    );
    idle.request("page", KEY, 2000, b"").unwrap();
    assert!(
        served(&idle.answer().unwrap(), KEY),
        "an idle client that has sent a request is not served any more"
    );
}

#[test]
fn silent_connections_are_evicted_before_any_that_sent_a_request() {
    let world = World::with_config(1, |config| config["limits"]["sockets"] = 60.into()); // 20 for clients
    let mut usual = world.client();
    usual.request("page", KEY, 2400, b"").unwrap();
    assert!(served(&usual.answer().unwrap(), KEY));
    let silent: Vec<Client> = (0..17).map(|_| world.client()).collect();
    thread::sleep(Duration::from_millis(300));
    let later: Vec<Client> = (0..10).map(|_| world.client()).collect();
    let ask = |(n, mut client): (u32, Client)| {
        client.request("page", &key(n), 2400, b"").unwrap();
        assert!(served(&client.answer().unwrap(), &key(n)));
        client
    };
    let later: Vec<Client> = (0..).zip(later).map(ask).collect();
    usual.request("page", KEY, 2400, b"").unwrap();
    assert!(served(&usual.answer().unwrap(), KEY));
    drop((silent, later));
}

// While the process is stopped, messages of its clients stay unread; afterwards these clients must not count as silent.
#[test]
fn clients_that_sent_while_the_process_was_stopped_are_not_evicted_as_silent() {
    let world = World::with_config(1, |config| config["limits"]["sockets"] = 60.into()); // 20 for clients
    let mut clients: Vec<Client> = (0..20).map(|_| world.client()).collect();
    thread::sleep(Duration::from_millis(100));
    let waiting: Vec<Client> = (0..5).map(|_| world.client()).collect();
    thread::sleep(Duration::from_millis(20));
    world.signal("STOP");
    for (n, client) in (0..).zip(&mut clients) {
        client.request("page", &key(n), 2400, b"").unwrap();
    }
    thread::sleep(Duration::from_millis(400));
    world.signal("CONT");
    for (n, client) in (0..).zip(&mut clients) {
        assert!(served(&client.answer().unwrap(), &key(n)), "request {n}");
    }
    drop(waiting);
}

// If each eviction took 6 ms to make room, these connections would take over two seconds.
#[test]
fn an_evicted_connection_makes_room_at_once() {
    let world = World::with_config(1, |config| config["limits"]["sockets"] = 60.into()); // 20 for clients
    let start = Instant::now();
    let mut clients: Vec<Client> = Vec::new();
    for _ in 0..400 {
        let mut client = world.client();
        client.alive().unwrap();
        client.answer().unwrap();
        clients.push(client);
    }
    assert!(
        start.elapsed() < Duration::from_millis(1800),
        "400 connections took {:?}",
        start.elapsed()
    );
}

#[test]
fn clients_past_a_third_of_the_descriptors_evict_the_longest_idle() {
    let world = World::with_config(1, |config| config["limits"]["sockets"] = 60.into());
    let mut clients: Vec<Client> = Vec::new();
    for n in 0..50 {
        let mut client = world.client();
        client.request("page", &key(n), 2400, b"").unwrap();
        assert!(served(&client.answer().unwrap(), &key(n)));
        clients.push(client);
    }
    assert!(clients[0].ended());
}

// The time for which a client reads nothing counts from when an answer began to wait, however long the connection has
// been open by then, and whatever the client sends meanwhile.
#[test]
fn a_client_that_reads_late_while_it_sends_is_not_closed_as_stalled() {
    let world = World::start(1);
    let mut clients: Vec<Client> = (0..10).map(|_| world.client()).collect();
    for client in &mut clients {
        assert!(client.request("page", KEY, 2400, b"").is_ok());
    }
    for client in &mut clients {
        assert!(served(&client.answer().unwrap(), KEY));
    }
    thread::sleep(Duration::from_millis(3200));
    // The origin answers a write with its body: in all more than the system buffers for a client that does not read. As
    // more writes arrive all the time, there are unread messages at the moment when an answer begins to wait.
    let write_and_read_late = |mut client: Client| {
        thread::spawn(move || {
            let mut reader = client.try_clone().unwrap();
            let writer = thread::spawn(move || {
                (0..250)
                    .filter(|_| client.request("submit", KEY, 2900, &[7; 40_000]).is_ok())
                    .count()
            });
            thread::sleep(Duration::from_millis(700));
            let answers = (0..250).take_while(|_| reader.answer().is_ok()).count();
            (writer.join().unwrap(), answers)
        })
    };
    let clients: Vec<_> = clients.into_iter().map(write_and_read_late).collect();
    for (n, client) in clients.into_iter().enumerate() {
        assert_eq!(
            client.join().unwrap(),
            (250, 250),
            "writes sent and answers read by client {n}, whose connection may have been closed"
        );
    }
}

// A write may arrive in pieces; a connection on which the first piece was read is not idle.
#[test]
fn a_client_midway_through_a_write_is_not_evicted() {
    let world = World::with_config(1, |config| config["limits"]["sockets"] = 60.into());
    let mut writer = world.client();
    writer.request("page", KEY, 2400, b"").unwrap();
    assert!(served(&writer.answer().unwrap(), KEY));
    let fields = [
        ("id", "9b1f03aa5c7e2d41"),
        ("wait", "2500"),
        ("key", KEY),
        ("slice", "0"),
    ];
    let message = request_message(9, "submit", &fields, &[7; 4000]);
    writer.send(&message[..1000]).unwrap();
    thread::sleep(Duration::from_millis(50));
    let later: Vec<Client> = (0..40)
        .map(|n| {
            let mut client = world.client();
            client.request("page", &key(n), 2400, b"").unwrap();
            assert!(served(&client.answer().unwrap(), &key(n)));
            client
        })
        .collect();
    writer.send(&message[1000..]).unwrap();
    assert!(matches!(writer.answer().unwrap(), Answer::Served { body, .. } if body == [7; 4000]));
    drop(later);
}

#[test]
fn a_client_that_reads_no_answers_uses_up_only_its_own_requests() {
    let world = World::with_config(1, |config| config["limits"]["memory_mb"] = 30.into());
    let (mut non_reading, mut other) = (world.client(), world.client());
    let big = vec![7; 40_000];
    // The origin answers a write with its body, so the unread answers soon fill the connection of the client.
    thread::spawn(move || while non_reading.request("submit", KEY, 2400, &big).is_ok() {});
    let mut before = 0;
    wait_for("no further write reaches the origin", || {
        thread::sleep(Duration::from_millis(500));
        let (last, now) = (before, world.origin.received("want").len());
        before = now;
        last == now && now > 0
    });
    for n in 0..4 {
        other.request("page", &key(n), 2400, b"").unwrap();
        assert!(served(&other.answer().unwrap(), &key(n)));
    }
}
