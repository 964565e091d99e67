//! Idle clients use up all descriptors while the coordinator is down: the watch reconnects within a second of its
//! return, and requests are served all the time.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod world;

use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use flaxdeck_toy::{Answer, Client, Coordinator, HostBehavior};
use socket2::{Domain, Socket, Type};
use world::{Stalls, World, key, served, wait_for};

/// The limit on the descriptors of the process, in its configuration and by the system.
const DESCRIPTORS: usize = 72;
/// The connections that idle clients hold or try to open: several times the descriptors.
const IDLE_CLIENTS: usize = 240;
/// How long the watch may take to reconnect after the coordinator has returned.
const MAX_RECONNECT_TIME: Duration = Duration::from_secs(1);
/// The requests that are open at once beside the idle clients, each on its own connection to a host.
const CONCURRENT_REQUESTS: u32 = 22;
/// How often the coordinator goes down and returns; several times, since the reconnect backoff is random.
const RETURNS: usize = 3;

/// Reserves an address at which nobody listens yet.
fn reserve(address: SocketAddr) -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    wait_for("the address is free", || {
        socket.bind(&address.into()).is_ok()
    });
    socket
}

/// Starts idle clients: they connect, half of them send one message, and all wait until they are closed. New ones
/// replace those that were closed.
fn start_idle_clients(address: SocketAddr, stop: &Arc<AtomicBool>) -> JoinHandle<()> {
    let stop = stop.clone();
    thread::spawn(move || {
        let mut clients: Vec<TcpStream> = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            clients.retain(|client| {
                client.set_nonblocking(true).unwrap();
                let peeked = client
                    .peek(&mut [0])
                    .map_or_else(|error| error.kind(), |_| std::io::ErrorKind::Other);
                peeked == std::io::ErrorKind::WouldBlock
            });
            for n in clients.len()..IDLE_CLIENTS {
                let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(50))
                else {
                    break;
                };
                let mut client = Client::from_stream(stream.try_clone().unwrap()).unwrap();
                if n.is_multiple_of(2) {
                    let _ = client.alive(); // it may have been closed already
                }
                clients.push(stream);
            }
            thread::sleep(Duration::from_millis(20));
        }
    })
}

/// Starts a client that connects and sends [`CONCURRENT_REQUESTS`] at once, round after round; returns how many were
/// served. Its connection may be closed to make room while no request is open on it.
fn start_busy_client(world: &World, stop: &Arc<AtomicBool>) -> JoinHandle<usize> {
    for cache in &world.caches {
        cache.set(HostBehavior::Late(200));
    }
    let (address, stop) = (world.address, stop.clone());
    thread::spawn(move || {
        let mut served = 0;
        for round in 1.. {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let mut client = Client::connect(address).unwrap();
            let mut request = |n| {
                client
                    .request("page", &key(round * CONCURRENT_REQUESTS + n), 2400, b"")
                    .is_ok()
            };
            let sent = (0..CONCURRENT_REQUESTS).filter(|n| request(*n)).count();
            let answers = (0..sent).map_while(|_| client.answer().ok());
            served += answers
                .filter(|answer| matches!(answer, Answer::Served { .. }))
                .count();
        }
        served
    })
}

/// Ends the process, and checks that it counted neither accept errors nor broken invariants.
fn assert_no_errors_counted(world: &World) {
    world.terminate();
    world.wait_for_log(&["counted: "]);
    let log = world.log.lock().unwrap();
    let counters = log.iter().rfind(|line| line.contains("counted: ")).unwrap();
    let has_no_errors = ["accept_errors", "must_not_happen"]
        .iter()
        .all(|counter| !counters.contains(counter));
    assert!(
        has_no_errors,
        "accept errors or broken invariants were counted: {counters}"
    );
    assert!(
        counters.contains("clients_closed_silent") && counters.contains("clients_closed_idle"),
        "no silent or no idle client was closed: {counters}"
    );
}

#[test]
fn the_watch_reconnects_in_time_and_attempts_go_on_while_idle_clients_fill_all_descriptors() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let first = reserve(any);
    let coordinator_address = first.local_addr().unwrap().as_socket().unwrap();
    let world = World::with_descriptor_limit(2, DESCRIPTORS, |config| {
        config["coordinator"] = coordinator_address.to_string().into();
        config["limits"]["sockets"] = DESCRIPTORS.into();
    });
    let stop: Arc<AtomicBool> = Arc::default();
    let (idle, busy) = (
        start_idle_clients(world.address, &stop),
        start_busy_client(&world, &stop),
    );
    let mut reserved = first;
    for n in 0..RETURNS {
        let host = world.caches[n % 2].clone();
        let state = n / 2 % 2;
        // Long enough for the reconnect backoff to grow to its maximum.
        thread::sleep(Duration::from_millis(1600));
        let sent = Instant::now();
        let answer = world.request("page", &key(n as u32), 2000, b"");
        assert!(
            served(&answer, &key(n as u32)),
            "not served without the coordinator: {answer:?} after {:?}",
            sent.elapsed()
        );

        reserved.listen(64).unwrap();
        let (returned, stalls) = (Instant::now(), Stalls::start(&world));
        let mut coordinator = Coordinator::with_listener(reserved.into(), 1 + n as u64).unwrap();
        coordinator.change(&host, 1 - state as u8, 0, 0);
        let health = if state == 0 { "Draining" } else { "InService" };
        world.wait_for_log(&["told: ", &host.id, health]);
        let took = returned.elapsed();
        assert!(
            took < MAX_RECONNECT_TIME + stalls.total(),
            "the event arrived {took:?} after the coordinator returned"
        );
        // Confirms the endpoint list, which is not relied on for longer than some returns take.
        coordinator.send_heartbeat();
        coordinator.end();
        reserved = reserve(coordinator_address);
    }
    stop.store(true, Ordering::Relaxed);
    idle.join().unwrap();
    let served = busy.join().unwrap();
    assert!(
        served > 4 * CONCURRENT_REQUESTS as usize,
        "only {served} requests of the busy client were served"
    );
    assert_no_errors_counted(&world);
}
