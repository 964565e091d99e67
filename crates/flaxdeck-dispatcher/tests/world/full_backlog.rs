//! A host that accepts connections late.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use flaxdeck_toy::{Client, Host, body_of};
use serde_json::Value;

use super::{World, key, wait_for};

/// A host whose accept queue (backlog) can be filled: then no connection is established until [`Self::serve_all`] is
/// called.
pub(crate) struct FullBacklogHost {
    pub(crate) address: SocketAddr,
    listener: TcpListener,
    /// The connections that fill the backlog.
    fillers: Vec<TcpStream>,
    /// The first lines of the requests received.
    requests: Arc<Mutex<Vec<String>>>,
    /// The number of connections accepted by [`Self::serve_all`], without the fillers.
    accepted: Arc<AtomicU32>,
}

impl FullBacklogHost {
    /// Starts a host whose backlog is not full yet.
    pub(crate) fn start() -> FullBacklogHost {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        FullBacklogHost {
            address,
            listener,
            fillers: Vec::new(),
            requests: Arc::default(),
            accepted: Arc::default(),
        }
    }

    /// Fills the backlog, so that the next connection is established only after [`Self::serve_all`]: the system sends
    /// its next SYN about a second after the first.
    pub(crate) fn fill_backlog(&mut self) {
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(100))
        {
            self.fillers.push(stream);
            assert!(
                self.fillers.len() < 5000,
                "the backlog is still not full after 5000 connections"
            );
        }
    }

    fn filler_addresses(&self) -> Vec<SocketAddr> {
        self.fillers
            .iter()
            .map(|stream| stream.local_addr().unwrap())
            .collect()
    }

    /// Accepts the next connection that is not a filler; the backlog must not be full.
    pub(crate) fn accept(&self) -> TcpStream {
        let fillers = self.filler_addresses();
        loop {
            let (stream, from) = self.listener.accept().unwrap();
            if !fillers.contains(&from) {
                return stream;
            }
        }
    }

    /// Accepts all connections from now on, and serves every request.
    pub(crate) fn serve_all(&self) {
        let (listener, requests) = (self.listener.try_clone().unwrap(), self.requests.clone());
        let (fillers, accepted) = (self.filler_addresses(), self.accepted.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let requests = requests.clone();
                if stream
                    .peer_addr()
                    .is_ok_and(|from| !fillers.contains(&from))
                {
                    accepted.fetch_add(1, Ordering::Relaxed);
                }
                thread::spawn(move || {
                    let mut stream = stream;
                    while let Some((line, body)) = read_request(&mut stream) {
                        requests.lock().unwrap().push(line.clone());
                        serve(&mut stream, &line, &body);
                    }
                });
            }
        });
    }

    pub(crate) fn accepted(&self) -> u32 {
        self.accepted.load(Ordering::Relaxed)
    }

    pub(crate) fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

/// Reads the next request of a connection, with its body; none once the connection has ended. Confirms cancellations,
/// and skips all other commands.
pub(crate) fn read_request(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    loop {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).ok()?;
            line.push(byte[0]);
        }
        let line = String::from_utf8(line).unwrap().trim_end().to_owned();
        if line.starts_with("want ") {
            let length: usize = line.rsplit(' ').next().unwrap().parse().unwrap();
            let mut body = vec![0; length + 2];
            stream.read_exact(&mut body).ok()?;
            body.truncate(length);
            return Some((line, body));
        }
        if let Some(tag) = line.strip_prefix("there ") {
            stream
                .write_all(format!("{tag} well - 0\r\n\r\n").as_bytes())
                .ok()?;
        }
    }
}

/// Answers a request as the emulated hosts do.
pub(crate) fn serve(stream: &mut TcpStream, line: &str, sent: &[u8]) {
    let field = |name: &str| {
        line.split([' ', ','])
            .find_map(|word| word.strip_prefix(name))
            .unwrap_or("")
    };
    let id = line.split(' ').nth(1).unwrap();
    let body = if sent.is_empty() {
        body_of(&format!("{}.{}", field("key="), field("part=")))
    } else {
        sent.to_vec()
    };
    let head = format!("{id} data version=v1,how=hit {}\r\n", body.len());
    let _ = stream.write_all(&[head.as_bytes(), &body, b"\r\n"].concat()); // the peer may have closed it
}

/// Starts a world whose first cache accepts no connection yet, with a connect timeout that is longer than the system
/// needs for its first two tries.
pub(crate) fn cache_with_full_backlog(
    change: impl FnOnce(&mut Value),
) -> (World, FullBacklogHost, Host) {
    let mut cache_host = FullBacklogHost::start();
    cache_host.fill_backlog();
    let world = World::with_config(2, |config| {
        config["known"]["updates"][0]["endpoints"]["hosts"][0]["dial"] =
            cache_host.address.to_string().into();
        config["settings"]["allowed"]["connect_timeout_ms"] = 5000.into();
        // By these settings a request takes a second to send, so that none is overdue before its connection is
        // established.
        config["settings"]["family_info"]["client_kb_per_s"] = 50.into();
        for class in config["settings"]["request_classes"]
            .as_array_mut()
            .unwrap()
        {
            class["objective_ms"] = 6000.into();
            class["deadline_ms"] = 8000.into();
        }
        change(config);
    });
    let mut host = world.caches[0].clone();
    host.address = cache_host.address;
    (world, cache_host, host)
}

/// Requests objects, from the number `first` on, until the dispatcher starts an attempt at the first cache. Returns the
/// client and the number of that object.
pub(crate) fn attempt_in_flight(world: &World, first: u32) -> (Client, u32) {
    attempt_in_flight_with(world, first, || world.client())
}

/// The same, with clients that `connect` creates.
pub(crate) fn attempt_in_flight_with(
    world: &World,
    first: u32,
    connect: impl Fn() -> Client,
) -> (Client, u32) {
    for n in first..first + 64 {
        let mut client = connect();
        client.request("page", &key(n), 7000, b"").unwrap();
        let is_sent = |cache: &str| {
            let texts = [&*format!("request {n} attempt 0 to"), cache];
            world
                .log
                .lock()
                .unwrap()
                .iter()
                .any(|line| texts.iter().all(|text| line.contains(text)))
        };
        wait_for("the first attempt at a cache is logged", || {
            is_sent("to s-0000ca00") || is_sent("to s-0000ca01")
        });
        if is_sent("to s-0000ca00") {
            return (client, n);
        }
    }
    panic!("none of 64 objects is requested from the first cache");
}
