//! A client that closed, reset or cancelled has gone: no attempt, first or further, begins for it more than 0.1 s later.
//! Each test brings several clients into one situation, has them leave in every way at once, and looks at the hosts.

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
    KEY, MAX_CANCEL_DELAY, Stalls, World, attempt_in_flight_over, cache_with_full_backlog, key,
    served, unix_now, wait_for,
};

/// By then a leaving has to be noticed, so that what is on its way meanwhile has not begun when the client has gone.
const NOTICED: Duration = Duration::from_millis(60);

/// How a client leaves. A half-close can't be told from a close, and counts as one.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leaving {
    Close,
    HalfClose,
    Reset,
    Cancel,
}

const EVERY_WAY: [Leaving; 4] = [
    Leaving::Close,
    Leaving::HalfClose,
    Leaving::Reset,
    Leaving::Cancel,
];

/// One client with the request that it is going to leave.
struct Leaver {
    way: Leaving,
    client: Client,
    key: String,
    call: u32,
}

impl Leaver {
    /// Asks for an object of that number, and has not left yet.
    fn asks(way: Leaving, mut client: Client, class: &str, number: u32) -> Leaver {
        let (key, body): (_, &[u8]) =
            (key(number), if class == "submit" { b"a form" } else { b"" });
        let call = client.request(class, &key, 2400, body).unwrap();
        Leaver {
            way,
            client,
            key,
            call,
        }
    }

    /// Leaves; gives what keeps the connection open where it stays so.
    fn leaves(self) -> Option<Client> {
        let Leaver {
            way,
            mut client,
            call,
            ..
        } = self;
        match way {
            Leaving::Close | Leaving::Reset => return None,
            Leaving::HalfClose => client.shutdown_write().unwrap(),
            Leaving::Cancel => client.cancel(call).unwrap(),
        }
        Some(client)
    }
}

/// A client that can leave in that way; a narrow one's connection takes few bytes that it has not read.
fn connect(address: SocketAddr, way: Leaving, narrow: bool) -> Client {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    if way == Leaving::Reset {
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    }
    if narrow {
        socket.set_recv_buffer_size(4096).unwrap();
    }
    socket.connect(&address.into()).unwrap();
    Client::over(TcpStream::from(socket)).unwrap()
}

/// Within this after a first attempt the second copy is due at a host that says nothing, by [`silence_is_long`].
const SECOND_COPY: Duration = Duration::from_millis(1300);

/// A request takes half a second to send by these settings, so that a busy machine makes no attempt overdue by itself.
fn silence_is_long(config: &mut Value) {
    config["settings"]["family_info"]["client_kb_per_s"] = 100.into();
}

/// One leaver for every way, each asking for an object of its own.
fn leavers(world: &World, class: &str) -> Vec<Leaver> {
    let ask = |(at, way)| {
        Leaver::asks(
            way,
            connect(world.address, way, false),
            class,
            100 + at as u32,
        )
    };
    EVERY_WAY.into_iter().enumerate().map(ask).collect()
}

/// Attempts that have come to any host for an object.
fn attempts(world: &World, key: &str) -> usize {
    let wants = |host: &flaxdeck_toy::Host| host.heard("want");
    world
        .hosts()
        .flat_map(wants)
        .filter(|(line, _)| line.contains(key))
        .count()
}

/// Has all of them leave at once: each is noticed in time, and no attempt begins for it after a tenth of a second, for so
/// long. Gives what keeps connections open.
fn leave_and_are_gone(world: &World, leavers: Vec<Leaver>, watched_for: Duration) {
    let (before, count) = (world.left_times().len(), leavers.len());
    let keys: Vec<String> = leavers.iter().map(|leaver| leaver.key.clone()).collect();
    let mut stalls = Stalls::witnessed(world);
    let mut kept = Vec::new();
    for leaver in leavers {
        kept.push(leaver.leaves());
        stalls.sent();
    }
    let went = unix_now();
    stalls.await_witness();
    wait_for("all who left are noticed", || {
        world.left_times().len() == before + count
    });
    let noticed = world.left_times().split_off(before);
    let late = noticed
        .into_iter()
        .max()
        .unwrap_or_default()
        .saturating_sub(went);
    let stalled = stalls.so_far();
    assert!(
        late < NOTICED + stalled,
        "noticed after {late:?}, the machine {stalled:?} late"
    );
    thread::sleep((went + MAX_CANCEL_DELAY + stalled).saturating_sub(unix_now()));
    let begun: Vec<usize> = keys.iter().map(|key| attempts(world, key)).collect();
    thread::sleep(watched_for);
    let later: Vec<usize> = keys.iter().map(|key| attempts(world, key)).collect();
    assert_eq!(
        begun, later,
        "attempts for those who left, in the order of {EVERY_WAY:?}"
    );
    drop(kept);
}

/// One who stays shows that attempts go on in this situation.
fn go_on_for(world: &World, stays: &Leaver, attempts_before: usize) {
    wait_for("a further attempt for who stays", || {
        attempts(world, &stays.key) > attempts_before
    });
}

#[test]
fn no_attempt_follows_a_rejected_one_whose_client_has_left() {
    let world = World::start(1);
    world.origin.set(HostBehavior::Say("full"));
    let (leavers, stays) = (
        leavers(&world, "submit"),
        Leaver::asks(Leaving::Close, world.client(), "submit", 1),
    );
    wait_for("retries are due", || {
        leavers
            .iter()
            .chain([&stays])
            .all(|one| attempts(&world, &one.key) > 1)
    });
    let before = attempts(&world, &stays.key);
    leave_and_are_gone(&world, leavers, Duration::from_millis(800));
    go_on_for(&world, &stays, before);
}

#[test]
fn no_hedged_request_is_sent_for_a_client_that_has_left() {
    let world = World::with(2, silence_is_long);
    for cache in &world.caches {
        cache.set(HostBehavior::Silent);
    }
    let (leavers, stays) = (
        leavers(&world, "page"),
        Leaver::asks(Leaving::Close, world.client(), "page", 1),
    );
    wait_for("first attempts", || {
        leavers
            .iter()
            .chain([&stays])
            .all(|one| attempts(&world, &one.key) > 0)
    });
    leave_and_are_gone(&world, leavers, SECOND_COPY);
    go_on_for(&world, &stays, 1);
}

#[test]
fn no_connection_that_comes_up_carries_the_request_of_a_client_that_has_left() {
    let (world, cache_host, _) = cache_with_full_backlog(|_| {});
    let mut number = 0;
    let mut attempt_in_flight = |way| {
        let (client, n) =
            attempt_in_flight_over(&world, number, || connect(world.address, way, false));
        number = n + 1;
        Leaver {
            way,
            client,
            key: key(n),
            call: 1,
        }
    };
    let leavers: Vec<Leaver> = EVERY_WAY.into_iter().map(&mut attempt_in_flight).collect();
    let mut stays = attempt_in_flight(Leaving::Close);
    let keys: Vec<String> = leavers.iter().map(|leaver| leaver.key.clone()).collect();
    leave_and_are_gone(&world, leavers, Duration::ZERO);
    cache_host.open();
    assert!(served(&stays.client.answer().unwrap(), &stays.key));
    // The system tries each connection that is still wanted again within this time.
    thread::sleep(Duration::from_millis(1200));
    let heard = cache_host.heard();
    assert!(
        keys.iter()
            .all(|key| !heard.iter().any(|line| line.contains(key))),
        "{heard:?}"
    );
    assert_eq!(cache_host.taken(), 1, "connections");
}

#[test]
fn a_client_that_leaves_its_answers_unread_has_left() {
    const UNREAD: usize = 20;
    let world = World::with(2, silence_is_long);
    for cache in &world.caches {
        cache.set(HostBehavior::Silent);
    }
    let crowd = EVERY_WAY.into_iter().enumerate().map(|(at, way)| {
        let mut client = connect(world.address, way, true);
        for _ in 0..UNREAD {
            client.request("submit", KEY, 2400, &[7; 40_000]).unwrap();
        }
        (at as u32, way, client)
    });
    let crowd: Vec<(u32, Leaving, Client)> = crowd.collect();
    wait_for("all are answered", || {
        world.origin.heard("want").len() == UNREAD * EVERY_WAY.len()
    });
    let leavers: Vec<Leaver> = crowd
        .into_iter()
        .map(|(at, way, client)| Leaver::asks(way, client, "page", 100 + at))
        .collect();
    let stays = Leaver::asks(Leaving::Close, world.client(), "page", 1);
    wait_for("first attempts", || {
        leavers
            .iter()
            .chain([&stays])
            .all(|one| attempts(&world, &one.key) > 0)
    });
    leave_and_are_gone(&world, leavers, SECOND_COPY);
    go_on_for(&world, &stays, 1);
}

// What a client says behind a write that there is no memory for is heard in time, its end too.
#[test]
fn a_client_that_leaves_behind_writes_without_memory_has_left() {
    const WRITES: usize = 8;
    let world = World::with(2, |config| {
        silence_is_long(config);
        config["limits"]["memory_mb"] = 0.7.into();
    });
    for host in world.hosts() {
        host.set(HostBehavior::Silent);
    }
    let mut fills = world.client();
    fills.request("submit", KEY, 2400, &[7; 40_000]).unwrap(); // of 48,000 that there are
    wait_for("memory is full", || !world.origin.heard("want").is_empty());
    let mut leavers = leavers(&world, "page");
    let stays = Leaver::asks(Leaving::Close, world.client(), "page", 1);
    wait_for("first attempts", || {
        leavers
            .iter()
            .chain([&stays])
            .all(|one| attempts(&world, &one.key) > 0)
    });
    for leaver in &mut leavers {
        for _ in 0..WRITES {
            leaver
                .client
                .request("submit", KEY, 2400, &[7; 10_000])
                .unwrap();
        }
    }
    leave_and_are_gone(&world, leavers, SECOND_COPY);
    go_on_for(&world, &stays, 1);
}

// A process that could not run for a while reads the request and its client's end in one breath.
#[test]
fn a_request_sent_and_left_while_the_process_was_stopped_reaches_no_host() {
    let world = World::start(1);
    let mut ready: Vec<Client> = EVERY_WAY
        .into_iter()
        .map(|way| connect(world.address, way, false))
        .collect();
    for client in &mut ready {
        client.alive().unwrap();
        assert!(matches!(client.answer().unwrap(), Answer::Alive { .. }));
    }
    world.pause();
    // Those have spoken before, the others wait to be taken in.
    let late = EVERY_WAY
        .into_iter()
        .map(|way| connect(world.address, way, false));
    let clients = EVERY_WAY
        .into_iter()
        .cycle()
        .zip(ready.into_iter().chain(late));
    let asks = |(at, (way, client))| Leaver::asks(way, client, "page", 100 + at as u32);
    let leavers: Vec<Leaver> = clients.enumerate().map(asks).collect();
    let keys: Vec<String> = leavers.iter().map(|leaver| leaver.key.clone()).collect();
    let kept: Vec<Option<Client>> = leavers.into_iter().map(Leaver::leaves).collect();
    let mut stays = Leaver::asks(Leaving::Close, world.client(), "page", 2);
    thread::sleep(MAX_CANCEL_DELAY * 2);
    world.signal("CONT");
    assert!(served(&stays.client.answer().unwrap(), &stays.key));
    thread::sleep(MAX_CANCEL_DELAY * 2);
    let begun: Vec<usize> = keys.iter().map(|key| attempts(&world, key)).collect();
    assert_eq!(
        begun,
        vec![0; keys.len()],
        "attempts, in the order of {EVERY_WAY:?}, twice"
    );
    drop(kept);
}

// The wait for memory has its purpose: a write whose client has nothing else open gets what comes free in time. A try in
// which the machine itself was late shows nothing.
#[test]
fn a_write_without_memory_waits_for_what_is_released() {
    const TRIES: usize = 20;
    let world = World::with(1, |config| config["limits"]["memory_mb"] = 0.7.into());
    for n in 1..=TRIES {
        world.origin.set(HostBehavior::Silent);
        let mut fills = world.client();
        let call = fills
            .request("submit", &key(n as u32), 2400, &[7; 40_000])
            .unwrap();
        wait_for("memory is full", || attempts(&world, &key(n as u32)) > 0);
        world.origin.set(HostBehavior::Serve);
        let stalls = Stalls::watch(&world);
        let mut waits = world.client();
        waits.request("submit", KEY, 2400, &[7; 40_000]).unwrap();
        thread::sleep(Duration::from_millis(60));
        fills.cancel(call).unwrap();
        let answer = waits.answer().unwrap();
        if matches!(&answer, Answer::Served { body, .. } if body.len() == 40_000) {
            return;
        }
        assert!(
            n < TRIES && stalls.so_far() > Duration::from_millis(5),
            "try {n}: {answer:?}"
        );
    }
}
