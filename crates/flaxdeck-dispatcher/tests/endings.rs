//! What is still owed when something ends: each test makes the instant happen and looks at both ends. docs/endings.md
//! names the row of each.

mod world;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use flaxdeck_toy::{Answer, Client, Coordinator, Manner, request_message};
use socket2::{Domain, Socket, Type};
use world::*;

/// A client whose connection takes few bytes that it has not read.
fn narrow(address: SocketAddr) -> Client {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&address.into()).unwrap();
    Client::over(TcpStream::from(socket)).unwrap()
}

/// An address at which nobody listens, and what keeps it from being given to others.
fn nobody() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
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
fn answers_arrive_whole_though_their_client_is_closed_as_malformed() {
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
fn answers_arrive_whole_though_the_process_ends_in_the_middle_of_what_a_client_says() {
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
    let mut says = client.again().unwrap();
    let says = thread::spawn(move || while says.send(&NOTHING.repeat(500)).is_ok() {});
    world.terminate();
    takes_them_all(&mut client, 20);
    assert!(world.process.wait().unwrap().success());
    drop(client);
    says.join().unwrap();
}

// A client that rests until the dispatcher ends it gets an end that it can tell from a failure.
#[test]
fn a_client_that_rests_at_a_planned_end_is_closed_and_not_reset() {
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
fn half_a_message_at_a_planned_end_is_waited_for() {
    let mut world = World::start(1);
    let mut client = world.client();
    let message = request_message(1, "page", &fields("9b1f03aa5c7e2d41", KEY), b"");
    world.terminate();
    world.logged(&["asked to end"]);
    client.send(&message[..40]).unwrap();
    thread::sleep(Duration::from_millis(1200)); // well past the time for which every planned end stays
    client.send(&message[40..]).unwrap();
    assert!(served(&client.answer().unwrap(), KEY));
    assert!(client.ended());
    assert!(world.process.wait().unwrap().success());
}

#[test]
fn signals_that_come_together_end_the_process_once_and_well() {
    let mut world = World::start(1);
    world.caches[0].set(Manner::Late(500));
    let mut client = world.client();
    client.request("page", KEY, 2400, b"").unwrap();
    wait_for("sent on", || !world.caches[0].heard("want").is_empty());
    ["HUP", "TERM", "HUP", "TERM"]
        .into_iter()
        .for_each(|name| world.signal(name));
    assert!(served(&client.answer().unwrap(), KEY));
    world.signal("TERM");
    assert!(world.process.wait().unwrap().success());
}

#[test]
fn a_planned_end_with_the_coordinator_away_answers_what_is_open() {
    let (_held, gone) = nobody();
    let mut world = World::with(1, |config| config["coordinator"] = gone.to_string().into());
    world.caches[0].set(Manner::Late(500));
    let mut client = world.client();
    client.request("page", KEY, 2400, b"").unwrap();
    wait_for("sent on", || !world.caches[0].heard("want").is_empty());
    world.terminate();
    assert!(served(&client.answer().unwrap(), KEY));
    assert!(world.process.wait().unwrap().success());
}

// A client that has left is not waited for: not behind answers that lie unread, ...
#[test]
fn a_leaving_is_noticed_though_the_answers_before_it_lie_unread() {
    let (world, clogged, _) = clogged_cache(|_| {});
    let (client, n) = on_its_way(&world, 0);
    let mut client = client;
    // More than its connection takes, so that answers wait in the process, and refusals behind them.
    let writes = 700;
    let mut writer = client.again().unwrap();
    let written = thread::spawn(move || {
        (0..writes).for_each(|_| {
            writer
                .request("submit", KEY, 2400, &[7; 40_000])
                .map(drop)
                .unwrap_or_default()
        });
    });
    written.join().unwrap();
    let mut stalls = Stalls::witnessed(&world);
    client.cancel(1).unwrap();
    stalls.sent();
    let cancelled = unix_now();
    stalls.hear_witness();
    world.logged(&["left: "]);
    let late = world.left_at()[0].saturating_sub(cancelled);
    assert!(late < GONE + stalls.so_far(), "{late:?}");
    clogged.open();
    thread::sleep(Duration::from_millis(1500)); // the system's next try of the connection
    assert!(clogged.heard().iter().all(|line| !line.contains(&key(n))));
}

// ... not behind a write that there is no memory for, which is refused at once instead, ...
#[test]
fn a_leaving_is_noticed_though_memory_is_full_and_what_finds_none_is_refused_at_once() {
    let (world, clogged, _) = clogged_cache(|config| config["limits"]["memory_mb"] = 0.7.into());
    let (mut client, n) = on_its_way(&world, 0);
    world.origin.set(Manner::Silent);
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
    stalls.hear_witness();
    world.logged(&["left: "]);
    let late = world.left_at()[0].saturating_sub(cancelled);
    assert!(late < GONE + stalls.so_far(), "{late:?}");
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
    clogged.open();
    assert!(
        served(&client.answer().unwrap(), &key(n + 100)),
        "its connection goes on"
    );
    assert!(clogged.heard().iter().all(|line| !line.contains(&key(n))));
}

// ... and a connection that comes up for it alone is dropped, also where no attempt may be taken back.
#[test]
fn a_connection_that_its_client_no_longer_waits_for_is_dropped() {
    for may_cancel in [true, false] {
        let (world, clogged, _) =
            clogged_cache(|config| config["settings"]["allowed"]["cancel"] = may_cancel.into());
        let (client, _) = on_its_way(&world, 0);
        drop(client);
        world.logged(&["left: "]);
        clogged.open();
        thread::sleep(Duration::from_millis(2500)); // two more tries of the system
        assert_eq!(clogged.taken(), 0, "{may_cancel}");
    }
}

// A half-close can't be told from a close, and a reset says the same: nothing is owed, and nothing goes on for it.
#[test]
fn a_client_that_shuts_or_resets_its_connection_has_left() {
    for resets in [false, true] {
        let world = World::start(1);
        world.caches[0].set(Manner::Silent);
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        if resets {
            socket.set_linger(Some(Duration::ZERO)).unwrap();
        }
        socket.connect(&world.address.into()).unwrap();
        let mut client = Client::over(TcpStream::from(socket)).unwrap();
        client.request("page", KEY, 2400, b"").unwrap();
        wait_for("sent on", || !world.caches[0].heard("want").is_empty());
        if !resets {
            client.shut().unwrap();
            assert!(client.ended());
        }
        drop(client);
        world.logged(&["left: "]);
        wait_for("given up", || {
            !world.caches[0].heard("never_mind").is_empty()
        });
        world.caches[0].set(Manner::Serve);
        assert!(
            served(&world.request("page", &key(1), 2000, b""), &key(1)),
            "others notice nothing"
        );
    }
}

#[test]
fn who_floods_and_takes_nothing_costs_its_own_connection_only() {
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
fn a_client_owed_more_answers_than_it_could_ever_await_is_ended_as_flooding() {
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
    world.logged(&["counted: ", "clients_flooding=1"]);
    assert!(world.process.wait().unwrap().success());
}

#[test]
fn a_host_that_never_ends_its_answer_costs_no_request_its_own_and_no_other() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut stream = stream;
                let Some((line, _)) = read_want(&mut stream) else {
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

#[test]
fn a_coordinator_whose_frame_never_ends_is_asked_again_in_time() {
    let mut world = World::start(2);
    let draining = world.caches[0].clone();
    world.coordinator.change(&draining, 0, 0, 0);
    world.logged(&["told: s-0000ca00 InService"]);
    world.coordinator.trickle();
    let began = Instant::now();
    world.coordinator.change(&draining, 1, 0, 0);
    world.logged(&["told: s-0000ca00 Draining"]);
    assert!(
        began.elapsed() < Duration::from_millis(4000),
        "{:?}",
        began.elapsed()
    );
}

#[test]
fn a_coordinator_moved_by_a_new_configuration_while_the_old_one_is_away_is_heard() {
    let (_held, gone) = nobody();
    let world = World::with(2, |config| config["coordinator"] = gone.to_string().into());
    world.logged(&["no connection to the coordinator"]);
    let mut later = Coordinator::start("127.0.0.1:0", 1).unwrap();
    let mut config: serde_json::Value = serde_json::from_str(&world.config).unwrap();
    config["coordinator"] = later.address.to_string().into();
    std::fs::write(&world.path, config.to_string()).unwrap();
    world.signal("HUP");
    later.change(&world.caches[0], 1, 0, 0);
    world.logged(&["told: s-0000ca00 Draining"]);
    assert!(world.spares(&world.caches[0].clone()));
}

/// A cache that keeps half of each answer back for a while; the answer to `large` is large, all others are not.
fn halting_cache(large: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let large = large.clone();
            thread::spawn(move || {
                let mut stream = stream;
                while let Some((line, _)) = read_want(&mut stream) {
                    let size = if line.contains(&large) {
                        230_000
                    } else {
                        30_000
                    };
                    let id = line.split(' ').nth(1).unwrap();
                    let head = format!("{id} data version=v1,how=hit {size}\r\n");
                    let mut send =
                        |bytes: &[u8]| std::io::Write::write_all(&mut stream, bytes).is_ok();
                    let first = send(head.as_bytes()) && send(&vec![7; size / 2]);
                    thread::sleep(Duration::from_millis(200));
                    if !(first && send(&vec![7; size - size / 2]) && send(b"\r\n")) {
                        return;
                    }
                }
            });
        }
    });
    address
}

// Budget is given in the order in which it was asked for, so small answers that come and go don't starve a large one.
#[test]
fn a_large_answer_gets_its_room_among_many_small_ones() {
    let large = key(99);
    let address = halting_cache(large.clone());
    let world = World::with(1, |config| {
        config["limits"]["memory_mb"] = 0.7.into(); // 240,000 bytes for answers
        config["known"]["updates"][0]["endpoints"]["hosts"][0]["dial"] = address.to_string().into();
        config["settings"]["family_info"]["client_kb_per_s"] = 50.into(); // none is overdue
        for class in config["settings"]["request_classes"]
            .as_array_mut()
            .unwrap()
        {
            class["objective_ms"] = 6000.into();
            class["deadline_ms"] = 8000.into();
        }
    });
    let over = Arc::new(AtomicBool::new(false));
    let small: Vec<_> = (0..6)
        .map(|n| {
            let (mut client, over) = (world.client(), over.clone());
            thread::sleep(Duration::from_millis(35)); // so that some of them hold room at any time
            thread::spawn(move || {
                let mut served = 0;
                while !over.load(Ordering::Relaxed) {
                    client.request("page", &key(n), 7000, b"").unwrap();
                    served += u32::from(matches!(client.answer().unwrap(), Answer::Served { .. }));
                }
                served
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let mut client = world.client();
    let asked = Instant::now();
    client.request("clip", &large, 4000, b"").unwrap();
    let answer = client.answer().unwrap();
    assert!(
        matches!(&answer, Answer::Served { body, .. } if body.len() == 230_000),
        "{:?}",
        asked.elapsed()
    );
    over.store(true, Ordering::Relaxed);
    let served: Vec<u32> = small
        .into_iter()
        .map(|small| small.join().unwrap())
        .collect();
    assert!(served.iter().all(|served| *served > 0), "{served:?}");
}

// Requests that hold room while their answers wait for some can't hold all of it.
#[test]
fn writes_that_fill_memory_leave_room_for_their_answers() {
    let world = World::with(1, |config| config["limits"]["memory_mb"] = 0.8.into());
    let mut clients: Vec<Client> = (0..7).map(|_| world.client()).collect();
    let asked = Instant::now();
    clients
        .iter_mut()
        .for_each(|client| assert!(client.request("submit", KEY, 2400, &[7; 40_000]).is_ok()));
    let answers: Vec<Answer> = clients
        .iter_mut()
        .map(|client| client.answer().unwrap())
        .collect();
    assert!(
        answers
            .iter()
            .any(|answer| matches!(answer, Answer::Served { .. })),
        "{answers:?}"
    );
    assert!(
        asked.elapsed() < Duration::from_millis(1500),
        "{:?}",
        asked.elapsed()
    );
}
