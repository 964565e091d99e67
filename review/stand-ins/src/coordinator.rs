//! A stand-in for the coordinator: it keeps the numbered events and tells them to whoever connects. Its way to the
//! dispatcher can be cut: connections are reset, and new ones are refused.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Shared;

const HEARTBEAT: Duration = Duration::from_secs(1);
const POLL: Duration = Duration::from_millis(2);

#[derive(Clone, Copy, PartialEq)]
pub enum Health {
    Ready,
    Draining,
    Gone,
}

/// One host of the list.
#[derive(Clone)]
pub struct Entry {
    pub id: u32,
    pub address: SocketAddr,
    pub health: Health,
    pub zone: u8,
    pub kind: u8,
    pub cell: u16,
    pub weight: u32,
    /// Unix milliseconds of a late start, or 0.
    pub born_ms: u64,
}

impl Entry {
    pub fn name(&self) -> String {
        format!("s-{:08x}", self.id)
    }

    fn record(&self) -> Vec<u8> {
        let SocketAddr::V4(address) = self.address else {
            panic!("IPv4 only")
        };
        let mut bytes = self.id.to_be_bytes().to_vec();
        bytes.extend(address.ip().octets());
        bytes.extend(address.port().to_be_bytes());
        bytes.extend([self.health as u8, self.zone, self.kind]);
        bytes.extend(self.cell.to_be_bytes());
        bytes.extend((self.weight * 1000).to_be_bytes());
        bytes.extend(self.born_ms.to_be_bytes());
        bytes
    }

    /// The entry as JSON, for the events that the configuration holds.
    pub fn json(&self, zones: &[&str], kinds: &[&str]) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{}","class":"{}","block":{},"health":"Ready","share":{},"born_ms":{}}}"#,
            self.name(),
            self.address,
            zones[usize::from(self.zone)],
            kinds[usize::from(self.kind)],
            self.cell,
            self.weight,
            self.born_ms
        )
    }
}

pub struct Coordinator {
    pub address: SocketAddr,
    /// Frames of the events, that of number 1 first.
    events: Mutex<Vec<Vec<u8>>>,
    is_cut: AtomicBool,
    record: Shared,
}

impl Coordinator {
    /// Starts with the whole list as event 1.
    pub fn start(record: Shared, entries: &[Entry]) -> Arc<Coordinator> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let coordinator = Arc::new(Coordinator {
            address: listener.local_addr().unwrap(),
            events: Mutex::default(),
            is_cut: AtomicBool::new(false),
            record,
        });
        coordinator.add(1, entries.iter().flat_map(Entry::record).collect());
        let accepting = coordinator.clone();
        thread::spawn(move || accepting.accept(listener));
        coordinator
    }

    /// Adds an event; returns its number.
    fn add(&self, kind: u8, payload: Vec<u8>) -> u64 {
        let mut events = self.events.lock().unwrap();
        let number = events.len() as u64 + 1;
        events.push(frame(number, kind, &payload));
        number
    }

    /// Adds a change of these hosts.
    pub fn change(&self, entries: &[Entry]) -> u64 {
        let number = self.add(2, entries.iter().flat_map(Entry::record).collect());
        for entry in entries {
            let health = ["ready", "draining", "gone"][entry.health as usize];
            self.record.line(format_args!(
                "coordinator: event {number}: {} is {health}, born_ms {}",
                entry.name(),
                entry.born_ms
            ));
        }
        number
    }

    /// Cuts the way to the dispatcher, or restores it.
    pub fn set_cut(&self, is_cut: bool) {
        self.record.line(format_args!(
            "coordinator: {}",
            if is_cut { "unreachable" } else { "reachable" }
        ));
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            if self.is_cut.load(Ordering::SeqCst) {
                listener = None;
                thread::sleep(POLL);
                continue;
            }
            let open = match &listener {
                Some(open) => open,
                None => match TcpListener::bind(self.address) {
                    Ok(open) => listener.insert(open),
                    Err(_) => continue,
                },
            };
            open.set_nonblocking(true).unwrap();
            match open.accept() {
                Ok((stream, _)) => {
                    let serving = self.clone();
                    thread::spawn(move || serving.serve(stream));
                }
                Err(_) => thread::sleep(POLL),
            }
        }
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nonblocking(false).ok()?;
        stream.set_nodelay(true).ok()?;
        let mut number = [0; 8];
        stream.read_exact(&mut number).ok()?;
        let mut told = u64::from_be_bytes(number);
        self.record.line(format_args!(
            "coordinator: asked for the events after {told}"
        ));
        let mut last_frame = Instant::now();
        loop {
            if self.is_cut.load(Ordering::SeqCst) {
                return None;
            }
            let events = self.events.lock().unwrap().clone();
            for event in events.iter().skip(told as usize) {
                stream.write_all(event).ok()?;
                told += 1;
                last_frame = Instant::now();
                self.record
                    .line(format_args!("coordinator: event {told} written"));
            }
            if last_frame.elapsed() >= HEARTBEAT {
                stream.write_all(&frame(told, 0, &[])).ok()?;
                last_frame = Instant::now();
            }
            thread::sleep(POLL);
        }
    }
}

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (9 + payload.len() as u32).to_be_bytes().to_vec();
    bytes.extend(number.to_be_bytes());
    bytes.push(kind);
    bytes.extend(payload);
    bytes
}
