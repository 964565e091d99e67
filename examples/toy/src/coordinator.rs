//! The coordinator: numbered events, as frames to whoever asks from a number on.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::Host;

/// An empty frame comes each second.
const QUIET: Duration = Duration::from_secs(1);
/// Between the bytes of a frame that never ends.
const TRICKLE: Duration = Duration::from_millis(200);

#[derive(Default)]
struct Told {
    /// Event numbers with their frames' kind and payload.
    events: Vec<(u64, u8, Vec<u8>)>,
    /// It listens no more.
    ended: bool,
    /// Calls that are answered just now, how many of them at once at most, and how long each takes; it closes others.
    calls: u32,
    few: Option<(u32, Duration)>,
    /// How often all connections were ended, and how often they were left open without a further word.
    hung_up: u32,
    stopped: u32,
    /// Likewise, with a frame begun on them that comes byte by byte and never ends.
    trickled: u32,
}

/// What was told, and what wakes the connections.
type Shared = Arc<(Mutex<Told>, Condvar)>;

pub struct Coordinator {
    pub address: SocketAddr,
    told: Shared,
    next: u64,
}

impl Coordinator {
    /// Starts after the events that a configuration holds already.
    pub fn start(address: &str, known: u64) -> io::Result<Coordinator> {
        Coordinator::on(TcpListener::bind(address)?, known)
    }

    /// The same at a listener that is there already.
    pub fn on(listener: TcpListener, known: u64) -> io::Result<Coordinator> {
        let (address, told) = (listener.local_addr()?, Shared::default());
        let shared = told.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.0.lock().expect("no holder panics").ended {
                    return;
                }
                let told = shared.clone();
                spawn(move || {
                    let _ = feed(stream, &told);
                });
            }
        });
        Ok(Coordinator {
            address,
            told,
            next: known + 1,
        })
    }

    fn tell(&mut self, kind: u8, payload: Vec<u8>) {
        self.told
            .0
            .lock()
            .expect("no holder panics")
            .events
            .push((self.next, kind, payload));
        self.next += 1;
        self.told.1.notify_all();
    }

    /// Ends all connections.
    pub fn hang_up(&self) {
        self.told.0.lock().expect("no holder panics").hung_up += 1;
        self.told.1.notify_all();
    }

    /// Goes away: its connections end, and nobody listens any more.
    pub fn end(self) {
        self.hang_up();
        self.told.0.lock().expect("no holder panics").ended = true;
        while TcpStream::connect(self.address).is_ok() {} // lets the listener end
    }

    /// From now on answers so few calls at once, each after so long, and closes all others.
    pub fn answers_few(&self, at_once: u32, each_takes: Duration) {
        self.told.0.lock().expect("no holder panics").few = Some((at_once, each_takes));
    }

    /// Says nothing more on the connections that there are, but leaves them open.
    pub fn stop(&self) {
        self.told.0.lock().expect("no holder panics").stopped += 1;
    }

    /// Begins a frame on the connections that there are which comes byte by byte and never ends.
    pub fn trickle(&self) {
        self.told.0.lock().expect("no holder panics").trickled += 1;
        self.told.1.notify_all();
    }

    /// Leaves out a number, as if an event had been lost.
    pub fn lose_one(&mut self) {
        self.next += 1;
    }

    /// A line of the list has changed: state 0 ready, 1 draining, 2 gone; zone and kind by their places.
    pub fn change(&mut self, host: &Host, state: u8, zone: u8, kind: u8) {
        self.line(host, [state, zone, kind], 4.0, 0);
    }

    /// A host with so many places is ready that was started, cold and empty, at that time.
    pub fn started(&mut self, host: &Host, zone: u8, kind: u8, places: f64, unix_ms: u64) {
        self.line(host, [0, zone, kind], places, unix_ms);
    }

    fn line(&mut self, host: &Host, [state, zone, kind]: [u8; 3], places: f64, born_unix_ms: u64) {
        let id =
            u32::from_str_radix(host.id.trim_start_matches("s-"), 16).expect("an id is s- and hex");
        let SocketAddr::V4(address) = host.address else {
            panic!("hosts have IPv4 addresses")
        };
        let mut record = id.to_be_bytes().to_vec();
        record.extend(address.ip().octets());
        record.extend(address.port().to_be_bytes());
        record.extend([state, zone, kind, 0, 0]);
        record.extend(((places * 1000.0) as u32).to_be_bytes());
        record.extend(born_unix_ms.to_be_bytes());
        self.tell(2, record);
    }

    pub fn purge_object(&mut self, object: u64, unix_ms: u64) {
        self.tell(3, [object.to_be_bytes(), unix_ms.to_be_bytes()].concat());
    }
}

fn feed(mut stream: TcpStream, told: &Shared) -> io::Result<()> {
    let mut number = [0; 8];
    stream.read_exact(&mut number)?;
    let mut last = u64::from_be_bytes(number);
    let (lock, stir) = &**told;
    if !answers(lock) {
        return Ok(());
    }
    let (hung_up, stopped, trickled) = {
        let told = lock.lock().expect("no holder panics");
        (told.hung_up, told.stopped, told.trickled)
    };
    loop {
        let news: Vec<_> = {
            let nothing = |told: &mut Told| {
                (told.hung_up, told.trickled) == (hung_up, trickled)
                    && told.events.last().is_none_or(|event| event.0 <= last)
            };
            let held = lock.lock().expect("no holder panics");
            let (held, _) = stir
                .wait_timeout_while(held, QUIET, nothing)
                .expect("no holder panics");
            if held.hung_up != hung_up {
                return Ok(());
            }
            if held.trickled != trickled {
                drop(held);
                stream.write_all(&4096u32.to_be_bytes())?;
                loop {
                    stream.write_all(&[0])?;
                    sleep(TRICKLE);
                }
            }
            if held.stopped != stopped {
                drop(held);
                return stream.read_exact(&mut [0]); // until the other side has had enough
            }
            held.events
                .iter()
                .filter(|event| event.0 > last)
                .cloned()
                .collect()
        };
        if news.is_empty() {
            stream.write_all(&frame(last, 0, &[]))?;
        }
        for (number, kind, payload) in news {
            stream.write_all(&frame(number, kind, &payload))?;
            last = number;
        }
    }
}

/// Whether a call is answered, after its time.
fn answers(lock: &Mutex<Told>) -> bool {
    let takes = {
        let mut told = lock.lock().expect("no holder panics");
        let Some((at_once, takes)) = told.few else {
            return true;
        };
        if told.calls >= at_once {
            return false;
        }
        told.calls += 1;
        takes
    };
    sleep(takes);
    lock.lock().expect("no holder panics").calls -= 1;
    true
}

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let length = (9 + payload.len()) as u32;
    [
        &length.to_be_bytes()[..],
        &number.to_be_bytes(),
        &[kind],
        payload,
    ]
    .concat()
}
