//! What strangers can make a planner write to its log: connections without a valid greeting, by the hundred.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};

use flaxdeck_emulator::fleet::{Fleet, Setup};
use flaxdeck_emulator::{Layout, World};

/// Connections of each kind; far more than the lines of one kind that are logged within their interval.
const CONNECTIONS: usize = 400;
/// The most lines of one kind that the connections may cause, which all come within 20 s.
const MAX_LINES: usize = 40;
/// How long the planner may take to end a connection, and its lines to be there.
const MAX_WAIT: Duration = Duration::from_secs(10);

fn start_planner() -> Fleet {
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_flaxdeck"));
    let world = World::start(Layout::default()).unwrap();
    Fleet::start(world, Setup::new(binary, 1, 0)).unwrap()
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
    stream
}

/// Sends these first bytes and waits until the planner has closed the connection.
fn send_invalid(address: SocketAddr, first_bytes: &[u8]) {
    let mut stream = connect(address);
    stream.write_all(first_bytes).unwrap();
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest); // a reset ends it as well
}

fn lines_with(fleet: &Fleet, text: &str) -> usize {
    let lines = fleet.lines();
    lines.iter().filter(|line| line.contains(text)).count()
}

fn wait_for_line(fleet: &Fleet, text: &str) {
    let start = Instant::now();
    while lines_with(fleet, text) == 0 {
        assert!(start.elapsed() < MAX_WAIT, "no line with {text:?}");
        sleep(Duration::from_millis(10));
    }
}

// Guards against a disk that strangers fill: a planner wrote a line for every connection that it refused, or that ended
// before its greeting, 6,400 a second.
#[test]
fn strangers_cannot_make_a_planner_log_without_bound() {
    let fleet = start_planner();
    let address = fleet.planner_addresses()[0];
    for _ in 0..CONNECTIONS {
        send_invalid(address, b"GET / HTTP/1.1\r\n\r\n");
        drop(connect(address));
    }
    for text in ["a peer is refused", "a conversation is over"] {
        wait_for_line(&fleet, text);
        let lines = lines_with(&fleet, text);
        assert!(lines <= MAX_LINES, "{lines} lines with {text:?}");
    }
}
