//! Idle clients fill all descriptors while the coordinator is away: its watch comes back within a second of it, and
//! attempts go on.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod world;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use flaxdeck_toy::{Answer, Client, Coordinator, HostBehavior};
use socket2::{Domain, Socket, Type};
use world::{Stalls, World, key, served, wait_for};

/// Descriptors that the process may have, by its settings and by the system.
const DESCRIPTORS: usize = 72;
/// Connections that idle clients hold or try for: several times what there is.
const CROWD: usize = 240;
/// From when the coordinator is there again until its watch has to be.
const BACK_WITHIN: Duration = Duration::from_secs(1);
/// Requests that are out at once beside the crowd, each on a connection to a host of its own.
const AT_ONCE: u32 = 22;
/// Times that the coordinator goes away and returns: the pauses between tries are drawn.
const RETURNS: usize = 3;

/// An address at which nobody listens yet, taken so that no other gets it.
fn taken(address: SocketAddr) -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    wait_for("the address is free", || {
        socket.bind(&address.into()).is_ok()
    });
    socket
}

/// Idle clients: they connect, half of them say one word, and rest until they are closed, then come again.
fn crowd(address: SocketAddr, over: &Arc<AtomicBool>) -> JoinHandle<()> {
    let over = over.clone();
    thread::spawn(move || {
        let mut clients: Vec<TcpStream> = Vec::new();
        while !over.load(Ordering::Relaxed) {
            clients.retain(|client| {
                client.set_nonblocking(true).unwrap();
                let resting = client
                    .peek(&mut [0])
                    .map_or_else(|error| error.kind(), |_| std::io::ErrorKind::Other);
                resting == std::io::ErrorKind::WouldBlock
            });
            for n in clients.len()..CROWD {
                let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(50))
                else {
                    break;
                };
                let mut client = Client::over(stream.try_clone().unwrap()).unwrap();
                if n.is_multiple_of(2) {
                    let _ = client.alive(); // it may have been closed already
                }
                clients.push(stream);
            }
            thread::sleep(Duration::from_millis(20));
        }
    })
}

/// A client that has so many requests out at once, over and over; gives how many of them were served. Between two rounds
/// it rests and may be closed to make room.
fn busy(world: &World, over: &Arc<AtomicBool>) -> JoinHandle<usize> {
    for cache in &world.caches {
        cache.set(HostBehavior::Late(200));
    }
    let (address, over) = (world.address, over.clone());
    thread::spawn(move || {
        let mut served = 0;
        for round in 1.. {
            if over.load(Ordering::Relaxed) {
                break;
            }
            let mut client = Client::connect(address).unwrap();
            let mut ask = |n| {
                client
                    .request("page", &key(round * AT_ONCE + n), 2400, b"")
                    .is_ok()
            };
            let asked = (0..AT_ONCE).filter(|n| ask(*n)).count();
            let answers = (0..asked).map_while(|_| client.answer().ok());
            served += answers
                .filter(|answer| matches!(answer, Answer::Served { .. }))
                .count();
        }
        served
    })
}

#[test]
fn the_watch_reconnects_in_time_and_attempts_go_on_while_idle_clients_fill_all_descriptors() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let first = taken(any);
    let coordinator = first.local_addr().unwrap().as_socket().unwrap();
    let world = World::with_descriptors(2, DESCRIPTORS, |config| {
        config["coordinator"] = coordinator.to_string().into();
        config["limits"]["sockets"] = DESCRIPTORS.into();
    });
    let over: Arc<AtomicBool> = Arc::default();
    let (crowd, busy) = (crowd(world.address, &over), busy(&world, &over));
    let mut away = first;
    for n in 0..RETURNS {
        let host = world.caches[n % 2].clone();
        let state = n / 2 % 2;
        // Long enough for the pauses between tries to have grown to their longest.
        thread::sleep(Duration::from_millis(1600));
        let asked = Instant::now();
        let answer = world.request("page", &key(n as u32), 2000, b"");
        assert!(
            served(&answer, &key(n as u32)),
            "{answer:?} after {:?}",
            asked.elapsed()
        );

        away.listen(64).unwrap();
        let (returned, stalls) = (Instant::now(), Stalls::watch(&world));
        let mut back = Coordinator::on(TcpListener::from(away), 1 + n as u64).unwrap();
        back.change(&host, 1 - state as u8, 0, 0);
        let health = if state == 0 { "Draining" } else { "InService" };
        world.wait_for_log(&["told: ", &host.id, health]);
        let took = returned.elapsed();
        assert!(took < BACK_WITHIN + stalls.so_far(), "back after {took:?}");
        back.end();
        away = taken(coordinator);
    }
    over.store(true, Ordering::Relaxed);
    crowd.join().unwrap();
    let served = busy.join().unwrap();
    assert!(served > 4 * AT_ONCE as usize, "{served} served");
    world.terminate();
    world.wait_for_log(&["counted: "]);
    let log = world.log.lock().unwrap();
    let counters = log.iter().rfind(|line| line.contains("counted: ")).unwrap();
    let none_lacked = ["accept_errors", "must_not_happen"]
        .iter()
        .all(|word| !counters.contains(word));
    assert!(none_lacked, "{counters}");
    assert!(
        counters.contains("clients_closed_silent") && counters.contains("clients_closed_idle"),
        "{counters}"
    );
}
