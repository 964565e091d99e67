//! The order in which hosts see the cancellation of a request and its next attempt.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

mod world;

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;

use flaxdeck_toy::Answer;
use world::{World, key, serve, served};

const REQUESTS: u32 = 16;

/// A client bandwidth by which a request takes a quarter of a second to send, so that a busy machine alone makes no host
/// slow: requests that left the silent host would be rejected instead of sent to one of those.
const SLOW_TRANSFERS_KB_PER_S: u32 = 200;

/// A host whose connections the test reads itself, so that it can look at two hosts in a known order.
struct PolledHost {
    listener: TcpListener,
    connections: Vec<PolledConnection>,
    /// The ids of the requests received.
    requested: BTreeSet<String>,
    /// The ids of the cancellations received.
    cancelled: BTreeSet<String>,
}

struct PolledConnection {
    stream: TcpStream,
    /// What was received behind the last complete line.
    rest: Vec<u8>,
}

impl PolledConnection {
    /// Reads without waiting, and returns the complete lines.
    fn lines(&mut self) -> Vec<String> {
        let mut buffer = [0; 4096];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => break,
                Ok(count) => self.rest.extend_from_slice(&buffer[..count]),
                Err(_) => break, // nothing more yet, or the dispatcher has closed it
            }
        }
        let Some(end) = self.rest.windows(2).rposition(|pair| pair == b"\r\n") else {
            return Vec::new();
        };
        let complete: Vec<u8> = self.rest.drain(..end + 2).collect();
        let text = String::from_utf8(complete).unwrap();
        text.split("\r\n").map(str::to_owned).collect()
    }
}

impl PolledHost {
    fn start() -> PolledHost {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        PolledHost {
            listener,
            connections: Vec::new(),
            requested: BTreeSet::new(),
            cancelled: BTreeSet::new(),
        }
    }

    fn dial(&self) -> String {
        self.listener.local_addr().unwrap().to_string()
    }

    /// Reads what has been received, and returns the lines of new requests with the connections to answer them on.
    fn poll(&mut self) -> Vec<(usize, String)> {
        while let Ok((stream, _)) = self.listener.accept() {
            stream.set_nonblocking(true).unwrap();
            stream.set_nodelay(true).unwrap();
            self.connections.push(PolledConnection {
                stream,
                rest: Vec::new(),
            });
        }
        let mut requests = Vec::new();
        for (index, connection) in self.connections.iter_mut().enumerate() {
            for line in connection.lines() {
                let id = || line.split(' ').nth(1).unwrap().to_owned();
                match line.split(' ').next() {
                    Some("want") => {
                        self.requested.insert(id());
                        requests.push((index, line));
                    }
                    Some("never_mind") => {
                        self.cancelled.insert(id());
                    }
                    Some("there") => {
                        let answer = format!("{} well - 0\r\n\r\n", id());
                        let _ = connection.stream.write_all(answer.as_bytes()); // it may be closed
                    }
                    _ => {}
                }
            }
        }
        requests
    }

    fn serve(&mut self, connection: usize, line: &str) {
        serve(&mut self.connections[connection].stream, line, b"");
    }
}

// Guards against a request that two hosts have at once where the settings allow no duplicates: the first host has to
// get the cancellation before the second one gets the request.
#[test]
fn without_duplicates_a_host_is_cancelled_before_another_gets_the_request() {
    let mut silent = PolledHost::start();
    let mut others: Vec<PolledHost> = (0..3).map(|_| PolledHost::start()).collect();
    let world = World::with_config(2, |config| {
        config["settings"]["allowed"]["may_duplicate"] = false.into();
        config["settings"]["family_info"]["client_kb_per_s"] = SLOW_TRANSFERS_KB_PER_S.into();
        let rows = &mut config["known"]["updates"][0]["endpoints"]["hosts"];
        for (row, host) in [&silent].into_iter().chain(&others).enumerate() {
            rows[row]["dial"] = host.dial().into();
        }
    });
    let mut client = world.client();
    let mut reader = client.try_clone().unwrap();
    let answers = thread::spawn(move || -> Vec<Answer> {
        (0..REQUESTS).map(|_| reader.answer().unwrap()).collect()
    });
    for n in 0..REQUESTS {
        client.request("page", &key(n), 2400, b"").unwrap();
    }
    let mut moved = 0;
    while !answers.is_finished() {
        silent.poll();
        for other in &mut others {
            for (connection, line) in other.poll() {
                let id = line.split(' ').nth(1).unwrap();
                // Read after the other host's request, so that a cancellation that was sent before it is there.
                silent.poll();
                if silent.requested.contains(id) {
                    assert!(
                        silent.cancelled.contains(id),
                        "two hosts have request {id} at once"
                    );
                    moved += 1;
                }
                other.serve(connection, &line);
            }
        }
    }
    assert!(moved > 0, "no request was cancelled and sent elsewhere");
    let answers = answers.join().unwrap();
    for n in 0..REQUESTS {
        assert!(
            answers.iter().any(|answer| served(answer, &key(n))),
            "object {n} is not served"
        );
    }
}
