//! The coordinator: keeps numbered events, and tells each dispatcher those after the number that it names.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::host::{Host, name};
use crate::record::Record;

/// How often it looks for new events and for the time of a heartbeat.
const LOOK: Duration = Duration::from_millis(2);

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    Ready = 0,
    Draining = 1,
    Gone = 2,
}

/// A line of the list of hosts.
#[derive(Clone)]
pub struct Line {
    pub id: u32,
    pub address: SocketAddr,
    pub health: Health,
    /// Places in the lists of the settings.
    pub zone: u8,
    pub kind: u8,
    pub weight: f64,
    pub born_ms: u64,
}

impl Line {
    pub fn of(host: &Host, zone: u8, kind: u8, weight: f64) -> Line {
        Line {
            id: host.id,
            address: host.address,
            health: Health::Ready,
            zone,
            kind,
            weight,
            born_ms: 0,
        }
    }

    pub fn draining(&self) -> Line {
        Line {
            health: Health::Draining,
            ..self.clone()
        }
    }

    fn frame(&self) -> Vec<u8> {
        let SocketAddr::V4(address) = self.address else {
            return Vec::new();
        };
        let mut out = self.id.to_be_bytes().to_vec();
        out.extend(address.ip().octets());
        out.extend(address.port().to_be_bytes());
        out.extend([self.health as u8, self.zone, self.kind, 0, 0]);
        out.extend(((self.weight * 1000.0) as u32).to_be_bytes());
        out.extend(self.born_ms.to_be_bytes());
        out
    }

    fn json(&self, zones: &[&str], kinds: &[&str]) -> String {
        let health = match self.health {
            Health::Ready => "Ready",
            Health::Draining => "Terminating",
            Health::Gone => "Gone",
        };
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{}","class":"{}","block":0,"health":"{health}","share":{},"born_ms":{}}}"#,
            name(self.id),
            self.address,
            zones[self.zone as usize],
            kinds[self.kind as usize],
            self.weight,
            self.born_ms
        )
    }
}

/// An event.
#[derive(Clone)]
pub enum Event {
    List(Vec<Line>),
    Changes(Vec<Line>),
    PurgedObject(u64, u64),
    PurgedGroup(u16, u64),
}

impl Event {
    fn frame(&self, number: u64) -> Vec<u8> {
        let lines = |lines: &[Line]| lines.iter().flat_map(Line::frame).collect::<Vec<u8>>();
        let (kind, payload) = match self {
            Event::List(all) => (1, lines(all)),
            Event::Changes(some) => (2, lines(some)),
            Event::PurgedObject(object, at) => {
                (3, [object.to_be_bytes(), at.to_be_bytes()].concat())
            }
            Event::PurgedGroup(group, at) => {
                (4, [&group.to_be_bytes()[..], &at.to_be_bytes()].concat())
            }
        };
        frame(number, kind, &payload)
    }

    /// The event as it stands in the configuration.
    pub fn json(&self, number: u64, zones: &[&str], kinds: &[&str]) -> String {
        let list = |whole: bool, lines: &[Line]| {
            let hosts: Vec<String> = lines.iter().map(|line| line.json(zones, kinds)).collect();
            format!(
                r#"{{"index":{number},"endpoints":{{"seq":{number},"whole":{whole},"hosts":[{}]}}}}"#,
                hosts.join(",")
            )
        };
        match self {
            Event::List(lines) => list(true, lines),
            Event::Changes(lines) => list(false, lines),
            Event::PurgedObject(object, at) => {
                format!(r#"{{"index":{number},"evict":{{"ref":"{object:016x}","unix_ms":{at}}}}}"#)
            }
            Event::PurgedGroup(group, at) => {
                format!(r#"{{"index":{number},"evict":{{"shard":{group},"unix_ms":{at}}}}}"#)
            }
        }
    }

    fn text(&self) -> String {
        let lines = |lines: &[Line]| {
            lines
                .iter()
                .map(|line| format!("{} {:?} born {}", name(line.id), line.health, line.born_ms))
                .collect::<Vec<_>>()
                .join(", ")
        };
        match self {
            Event::List(all) => format!("the list: {}", lines(all)),
            Event::Changes(some) => format!("changes: {}", lines(some)),
            Event::PurgedObject(object, at) => format!("purge of {object:016x} at {at}"),
            Event::PurgedGroup(group, at) => format!("purge of group {group} at {at}"),
        }
    }
}

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut out = (9 + payload.len() as u32).to_be_bytes().to_vec();
    out.extend(number.to_be_bytes());
    out.push(kind);
    out.extend(payload);
    out
}

struct Kept {
    event: Event,
    /// When it came to the coordinator.
    at: f64,
    /// When it was first written whole to a dispatcher.
    told: Option<f64>,
}

/// The coordinator, shared by its threads.
#[derive(Clone)]
pub struct Coordinator {
    pub address: SocketAddr,
    record: Record,
    events: Arc<Mutex<Vec<Kept>>>,
    is_up: Arc<AtomicBool>,
    /// Milliseconds between two events that it writes on one connection.
    pace_ms: Arc<AtomicU64>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Coordinator {
    /// Starts it on a free port; the first events have the numbers from 1.
    pub fn start(record: &Record, first: Vec<Event>) -> io::Result<Coordinator> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let coordinator = Coordinator {
            address: listener.local_addr()?,
            record: record.clone(),
            events: Arc::default(),
            is_up: Arc::new(AtomicBool::new(true)),
            pace_ms: Arc::default(),
            open: Arc::default(),
        };
        for event in first {
            coordinator.add(event);
        }
        let accepting = coordinator.clone();
        spawn(move || accepting.accept(listener));
        Ok(coordinator)
    }

    fn accept(&self, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            if !self.is_up.load(Ordering::SeqCst) {
                return;
            }
            if let (Ok(mut open), Ok(stream)) = (self.open.lock(), stream.try_clone()) {
                open.push(stream);
            }
            let coordinator = self.clone();
            spawn(move || {
                // An error means that the other side has closed the connection.
                let _ = coordinator.tell(stream);
            });
        }
    }

    /// Adds an event; returns its number.
    pub fn add(&self, event: Event) -> u64 {
        let Ok(mut events) = self.events.lock() else {
            return 0;
        };
        let number = events.len() as u64 + 1;
        self.record
            .note(&format!("coordinator has event {number}, {}", event.text()));
        events.push(Kept {
            event,
            at: self.record.now(),
            told: None,
        });
        number
    }

    /// Sets how long it takes from one event to the next on a connection.
    pub fn set_pace(&self, pace: Duration) {
        self.pace_ms
            .store(pace.as_millis() as u64, Ordering::SeqCst);
    }

    /// Closes its connections and refuses new ones.
    pub fn go_down(&self) {
        self.record.note("coordinator is down");
        self.is_up.store(false, Ordering::SeqCst);
        // This wakes the accepting thread, which closes the listener.
        let _ = TcpStream::connect(self.address);
        if let Ok(mut open) = self.open.lock() {
            for stream in open.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Accepts connections again, at the same address.
    pub fn come_back(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        self.record.note("coordinator is back");
        self.is_up.store(true, Ordering::SeqCst);
        let accepting = self.clone();
        spawn(move || accepting.accept(listener));
        Ok(())
    }

    fn tell(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut after = [0; 8];
        stream.read_exact(&mut after)?;
        let mut next = u64::from_be_bytes(after) as usize;
        self.record
            .note(&format!("coordinator is asked for the events after {next}"));
        let mut heartbeat = Instant::now() + Duration::from_secs(1);
        loop {
            if !self.is_up.load(Ordering::SeqCst) {
                return Ok(());
            }
            let event = match self.events.lock() {
                Ok(events) => events.get(next).map(|kept| kept.event.clone()),
                Err(_) => return Ok(()),
            };
            if let Some(event) = event {
                next += 1;
                stream.write_all(&event.frame(next as u64))?;
                self.note_told(next);
                sleep(Duration::from_millis(self.pace_ms.load(Ordering::SeqCst)));
            } else if Instant::now() >= heartbeat {
                heartbeat += Duration::from_secs(1);
                stream.write_all(&frame(next as u64, 0, &[]))?;
            } else {
                sleep(LOOK);
            }
        }
    }

    fn note_told(&self, number: usize) {
        if let Ok(mut events) = self.events.lock() {
            let now = self.record.now();
            events[number - 1].told.get_or_insert(now);
        }
        self.record
            .note(&format!("coordinator tells event {number}"));
    }

    /// When an event came to the coordinator, and when it was told.
    pub fn times(&self, number: u64) -> (f64, Option<f64>) {
        self.events
            .lock()
            .map(|events| {
                let kept = &events[number as usize - 1];
                (kept.at, kept.told)
            })
            .unwrap_or((0.0, None))
    }

    /// The events so far as they stand in a configuration.
    pub fn known(&self, zones: &[&str], kinds: &[&str]) -> String {
        let Ok(events) = self.events.lock() else {
            return String::new();
        };
        let updates: Vec<String> = events
            .iter()
            .enumerate()
            .map(|(place, kept)| kept.event.json(place as u64 + 1, zones, kinds))
            .collect();
        format!(
            r#"{{"index":{},"updates":[{}]}}"#,
            events.len(),
            updates.join(",")
        )
    }
}
