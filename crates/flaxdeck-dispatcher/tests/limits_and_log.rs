//! The limits on requests and memory, failed starts of the process, and its log.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod world;

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use flaxdeck_toy::{Answer, Client, HostBehavior};
use serde_json::Value;
use world::{
    CONFIG, KEY, World, command, key, listening_address, read_request, request_all, served,
};

// If each request counted with the largest size of an object, ten would fill this memory. Counted with what they hold,
// 30 fit.
#[test]
fn requests_of_small_objects_fit_where_large_ones_would_not() {
    let world = World::with_config(1, |config| config["limits"]["memory_mb"] = 5.into());
    for host in world.hosts() {
        host.set(HostBehavior::Late(300));
    }
    let mut client = world.client();
    let answers = request_all(&mut client, 30, 2400);
    assert!((0..30).all(|n| answers.iter().any(|answer| served(answer, &key(n)))));
}

#[test]
fn requests_beyond_the_memory_limit_are_rejected() {
    let world = World::with_config(1, |config| config["limits"]["memory_mb"] = 0.5.into());
    for host in world.hosts() {
        host.set(HostBehavior::Late(300));
    }
    let mut client = world.client();
    let answers = request_all(&mut client, 20, 2400);
    let rejected = answers
        .iter()
        .filter(|answer| matches!(answer, Answer::Error { word, .. } if word == "Backoff"));
    assert!((10..20).contains(&rejected.count()));
}

#[test]
fn an_unread_log_delays_no_request() {
    let mut world = World::start(1);
    let mut unread = command(&world.config).spawn().unwrap();
    let mut lines = BufReader::new(unread.stderr.take().unwrap());
    let mut first = String::new();
    lines.read_line(&mut first).unwrap();
    std::mem::swap(&mut world.process, &mut unread);
    unread.kill().unwrap();
    unread.wait().unwrap();
    world.address = listening_address(&first).unwrap();
    let mut client = world.client();
    for _ in 0..1000 {
        client.request("page", KEY, 2400, b"").unwrap();
        assert!(
            served(&client.answer().unwrap(), KEY),
            "a request is not served while nobody reads the log; each request logs two lines to a pipe of limited size"
        );
    }
}

#[test]
fn a_failed_start_reports_the_reason_in_one_line() {
    let fails = |mut command: Command, expected: &str| {
        let output = command.output().unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert!(
            !output.status.success() && text.contains(expected) && text.lines().count() == 1,
            "expected one line with {expected:?}: {text}"
        );
    };
    let mut bare = command("{}");
    bare.env_remove("GW_CONFIG");
    fails(bare, "GW_CONFIG is not set");
    fails(command("{]"), "is not JSON");
    fails(command("{}"), "field listen is missing");
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config: Value = serde_json::from_str(CONFIG).unwrap();
    config["listen"] = taken.local_addr().unwrap().to_string().into();
    fails(command(&config.to_string()), "cannot listen");
}

/// Starts a cache that pauses for 200 ms in the middle of each response. The response for the object `large` has
/// 230,000 bytes, all others 30,000.
fn pausing_cache(large: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let large = large.clone();
            thread::spawn(move || {
                let mut stream = stream;
                while let Some((line, _)) = read_request(&mut stream) {
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

// Memory is granted in the order of the requests for it, so that small responses don't starve a large one.
#[test]
fn a_large_response_gets_its_memory_among_many_small_ones() {
    let large = key(99);
    let address = pausing_cache(large.clone());
    let world = World::with_config(1, |config| {
        config["limits"]["memory_mb"] = 0.7.into(); // 240,000 bytes for responses
        config["known"]["updates"][0]["endpoints"]["hosts"][0]["dial"] = address.to_string().into();
        config["settings"]["family_info"]["client_kb_per_s"] = 50.into(); // so that no attempt is overdue
        for class in config["settings"]["request_classes"]
            .as_array_mut()
            .unwrap()
        {
            class["objective_ms"] = 6000.into();
            class["deadline_ms"] = 8000.into();
        }
    });
    let stop = Arc::new(AtomicBool::new(false));
    let small: Vec<_> = (0..6)
        .map(|n| {
            let (mut client, stop) = (world.client(), stop.clone());
            thread::sleep(Duration::from_millis(35)); // so that some of them hold memory at any time
            thread::spawn(move || {
                let mut served = 0;
                while !stop.load(Ordering::Relaxed) {
                    client.request("page", &key(n), 7000, b"").unwrap();
                    served += u32::from(matches!(client.answer().unwrap(), Answer::Served { .. }));
                }
                served
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let mut client = world.client();
    let sent = Instant::now();
    client.request("clip", &large, 4000, b"").unwrap();
    let answer = client.answer().unwrap();
    assert!(
        matches!(&answer, Answer::Served { body, .. } if body.len() == 230_000),
        "the large object is not served; its answer came after {:?}",
        sent.elapsed()
    );
    stop.store(true, Ordering::Relaxed);
    let served: Vec<u32> = small
        .into_iter()
        .map(|small| small.join().unwrap())
        .collect();
    assert!(
        served.iter().all(|served| *served > 0),
        "small objects served to each client: {served:?}"
    );
}

// Requests hold memory while their responses wait for memory; they must not hold all of it.
#[test]
fn writes_that_fill_memory_leave_some_for_their_answers() {
    let world = World::with_config(1, |config| config["limits"]["memory_mb"] = 0.8.into());
    let mut clients: Vec<Client> = (0..7).map(|_| world.client()).collect();
    let sent = Instant::now();
    for client in &mut clients {
        assert!(client.request("submit", KEY, 2400, &[7; 40_000]).is_ok());
    }
    let answers: Vec<Answer> = clients
        .iter_mut()
        .map(|client| client.answer().unwrap())
        .collect();
    assert!(
        answers
            .iter()
            .any(|answer| matches!(answer, Answer::Served { .. })),
        "no write is served: {answers:?}"
    );
    assert!(
        sent.elapsed() < Duration::from_millis(1500),
        "the answers took {:?}",
        sent.elapsed()
    );
}
