//! A host at which connections come up late.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use flaxdeck_toy::{Client, Host, body_of};
use serde_json::Value;

use super::{World, key, wait_for};

/// A host at which connections come up late: nobody accepts and its queue is full, until it is opened.
pub(crate) struct FullBacklogHost {
    pub(crate) address: SocketAddr,
    listener: TcpListener,
    /// What fills the queue.
    fillers: Vec<TcpStream>,
    /// The requests that have come, by their first lines.
    heard: Arc<Mutex<Vec<String>>>,
    /// Connections taken since it was opened, but for the fillers.
    taken: Arc<AtomicU32>,
}

impl FullBacklogHost {
    /// One whose queue has room as yet.
    pub(crate) fn start() -> FullBacklogHost {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        FullBacklogHost {
            address,
            listener,
            fillers: Vec::new(),
            heard: Arc::default(),
            taken: Arc::default(),
        }
    }

    /// Fills the queue, so that the next connection comes up only once this is opened: the system tries again about a
    /// second after the first try.
    pub(crate) fn fill_backlog(&mut self) {
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(100))
        {
            self.fillers.push(stream);
            assert!(self.fillers.len() < 5000, "the queue has a bound");
        }
    }

    fn own(&self) -> Vec<SocketAddr> {
        self.fillers
            .iter()
            .map(|stream| stream.local_addr().unwrap())
            .collect()
    }

    /// Takes the next connection that is not fillers; the queue must not be full.
    pub(crate) fn accept(&self) -> TcpStream {
        let own = self.own();
        loop {
            let (stream, from) = self.listener.accept().unwrap();
            if !own.contains(&from) {
                return stream;
            }
        }
    }

    /// Takes whoever waits and comes, and serves each request.
    pub(crate) fn open(&self) {
        let (listener, heard) = (self.listener.try_clone().unwrap(), self.heard.clone());
        let (fillers, taken) = (self.own(), self.taken.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let heard = heard.clone();
                if stream
                    .peer_addr()
                    .is_ok_and(|from| !fillers.contains(&from))
                {
                    taken.fetch_add(1, Ordering::Relaxed);
                }
                thread::spawn(move || {
                    let mut stream = stream;
                    while let Some((line, body)) = read_request(&mut stream) {
                        heard.lock().unwrap().push(line.clone());
                        serve(&mut stream, &line, &body);
                    }
                });
            }
        });
    }

    pub(crate) fn taken(&self) -> u32 {
        self.taken.load(Ordering::Relaxed)
    }

    pub(crate) fn heard(&self) -> Vec<String> {
        self.heard.lock().unwrap().clone()
    }
}

/// The next request of a connection with its body; none once it has ended. Other commands are passed over.
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

/// Answers a request as the toy's hosts do.
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
    let _ = stream.write_all(&[head.as_bytes(), &body, b"\r\n"].concat()); // whoever asked may have gone
}

/// A world whose first cache takes no connection yet, and that waits longer for one than the system's first two tries.
pub(crate) fn cache_with_full_backlog(
    change: impl FnOnce(&mut Value),
) -> (World, FullBacklogHost, Host) {
    let mut cache_host = FullBacklogHost::start();
    cache_host.fill_backlog();
    let world = World::with(2, |config| {
        config["known"]["updates"][0]["endpoints"]["hosts"][0]["dial"] =
            cache_host.address.to_string().into();
        config["settings"]["allowed"]["connect_timeout_ms"] = 5000.into();
        // A request takes a second to send by these settings, so none is overdue before its connection is up.
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

/// Asks for objects, the first of that number, until one is on its way to the first cache; gives its client and number.
pub(crate) fn attempt_in_flight(world: &World, first: u32) -> (Client, u32) {
    attempt_in_flight_over(world, first, || world.client())
}

/// The same, by clients of that make.
pub(crate) fn attempt_in_flight_over(
    world: &World,
    first: u32,
    make: impl Fn() -> Client,
) -> (Client, u32) {
    for n in first..first + 64 {
        let mut client = make();
        client.request("page", &key(n), 7000, b"").unwrap();
        let decided = |cache: &str| {
            let words = [&*format!("request {n} attempt 0 to"), cache];
            world
                .log
                .lock()
                .unwrap()
                .iter()
                .any(|line| words.iter().all(|word| line.contains(word)))
        };
        wait_for("decided", || {
            decided("to s-0000ca00") || decided("to s-0000ca01")
        });
        if decided("to s-0000ca00") {
            return (client, n);
        }
    }
    panic!("no object of 64 belongs to the first cache");
}
