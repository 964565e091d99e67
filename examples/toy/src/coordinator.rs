//! The coordinator: numbered events, as frames to whoever asks from a number on.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::Host;

/// Without events for so long, an empty frame says that the coordinator is there.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Between the bytes of a frame that never ends.
const TRICKLE: Duration = Duration::from_millis(200);

/// The kinds of frames that hold one event.
const HOST_CHANGE: u8 = 2;
const PURGE: u8 = 3;

/// A numbered event.
#[derive(Clone)]
struct Event {
    number: u64,
    /// The kind of its frame.
    kind: u8,
    payload: Vec<u8>,
}

#[derive(Default)]
struct State {
    events: Vec<Event>,
    /// It listens no more.
    ended: bool,
    /// Calls that are answered just now.
    calls: u32,
    /// Bounds the calls; none answers all at once.
    call_limit: Option<CallLimit>,
    /// How often all connections were ended, ...
    hung_up: u32,
    /// ... left open without a further word, ...
    stopped: u32,
    /// ... or had a frame begun on them that comes byte by byte and never ends.
    trickled: u32,
}

/// So many calls are answered at once, each after so long; others are closed.
#[derive(Clone, Copy)]
struct CallLimit {
    at_once: u32,
    each_takes: Duration,
}

/// The state, and what wakes the connections.
#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    #[allow(
        clippy::expect_used,
        reason = "a connection that panicked has spoiled the test"
    )]
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// A coordinator on loopback.
pub struct Coordinator {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    next: u64,
}

impl Coordinator {
    /// Starts after the events that a configuration holds already.
    ///
    /// # Errors
    ///
    /// If it can't listen.
    pub fn start(address: &str, known: u64) -> io::Result<Coordinator> {
        Coordinator::on(TcpListener::bind(address)?, known)
    }

    /// The same at a listener that is there already.
    ///
    /// # Errors
    ///
    /// If the listener has no address.
    pub fn on(listener: TcpListener, known: u64) -> io::Result<Coordinator> {
        let address = listener.local_addr()?;
        let shared: Arc<Shared> = Arc::default();
        let accepting = shared.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.lock().ended {
                    return;
                }
                let serving = accepting.clone();
                spawn(move || {
                    // Whoever ends the connection has what he wants.
                    let _ = send_events(stream, &serving);
                });
            }
        });
        Ok(Coordinator {
            address,
            shared,
            next: known + 1,
        })
    }

    fn publish(&mut self, kind: u8, payload: Vec<u8>) {
        let number = self.next;
        self.next += 1;
        self.shared.lock().events.push(Event {
            number,
            kind,
            payload,
        });
        self.shared.changed.notify_all();
    }

    /// Ends all connections.
    pub fn hang_up(&self) {
        self.shared.lock().hung_up += 1;
        self.shared.changed.notify_all();
    }

    /// Goes away: its connections end, and nobody listens any more.
    pub fn end(self) {
        self.hang_up();
        self.shared.lock().ended = true;
        // A last connection lets the listener end.
        while TcpStream::connect(self.address).is_ok() {}
    }

    /// From now on answers so few calls at once, each after so long, and closes all others.
    pub fn answers_few(&self, at_once: u32, each_takes: Duration) {
        self.shared.lock().call_limit = Some(CallLimit {
            at_once,
            each_takes,
        });
    }

    /// Says nothing more on the connections that there are, but leaves them open.
    pub fn stop(&self) {
        self.shared.lock().stopped += 1;
    }

    /// Begins a frame on the connections that there are which comes byte by byte and never ends.
    pub fn trickle(&self) {
        self.shared.lock().trickled += 1;
        self.shared.changed.notify_all();
    }

    /// Leaves out a number, as if an event had been lost.
    pub fn lose_one(&mut self) {
        self.next += 1;
    }

    /// A host of the list has changed: state 0 ready, 1 draining, 2 gone; zone and kind by their indices.
    pub fn change(&mut self, host: &Host, state: u8, zone: u8, kind: u8) {
        self.publish_host(host, [state, zone, kind], 4.0, 0);
    }

    /// A host with so many places is ready that was started, cold and empty, at that time.
    pub fn started(&mut self, host: &Host, zone: u8, kind: u8, places: f64, unix_ms: u64) {
        self.publish_host(host, [0, zone, kind], places, unix_ms);
    }

    fn publish_host(&mut self, host: &Host, fields: [u8; 3], places: f64, started_unix_ms: u64) {
        let id = u32::from_str_radix(host.id.trim_start_matches("s-"), 16).unwrap_or(0);
        let [state, zone, kind] = fields;
        let mut record = id.to_be_bytes().to_vec();
        if let SocketAddr::V4(address) = host.address {
            record.extend(address.ip().octets());
            record.extend(address.port().to_be_bytes());
        }
        record.extend([state, zone, kind, 0, 0]);
        record.extend(((places * 1000.0) as u32).to_be_bytes());
        record.extend(started_unix_ms.to_be_bytes());
        self.publish(HOST_CHANGE, record);
    }

    /// All copies of an object made before that time are out of date.
    pub fn purge_object(&mut self, object: u64, unix_ms: u64) {
        self.publish(
            PURGE,
            [object.to_be_bytes(), unix_ms.to_be_bytes()].concat(),
        );
    }
}

/// What a connection does next.
enum Step {
    /// Sends these events, or an empty frame if there are none.
    Send(Vec<Event>),
    /// Ends.
    HangUp,
    /// Stays open without a further word.
    Stop,
    /// Begins a frame that never ends.
    Trickle,
}

/// The counts of what was done to all connections when this one began.
#[derive(Clone, Copy, PartialEq)]
struct Counts {
    hung_up: u32,
    stopped: u32,
    trickled: u32,
}

impl State {
    fn counts(&self) -> Counts {
        Counts {
            hung_up: self.hung_up,
            stopped: self.stopped,
            trickled: self.trickled,
        }
    }
}

fn send_events(mut stream: TcpStream, shared: &Shared) -> io::Result<()> {
    let mut number = [0; 8];
    stream.read_exact(&mut number)?;
    let mut last = u64::from_be_bytes(number);
    if !admit_call(shared) {
        return Ok(());
    }
    let began = shared.lock().counts();
    loop {
        match next_step(shared, began, last) {
            Step::HangUp => return Ok(()),
            // Until the other side has had enough.
            Step::Stop => return stream.read_exact(&mut [0]),
            Step::Trickle => return trickle(stream),
            Step::Send(events) => {
                if events.is_empty() {
                    stream.write_all(&frame(last, 0, &[]))?;
                }
                for event in events {
                    stream.write_all(&frame(event.number, event.kind, &event.payload))?;
                    last = event.number;
                }
            }
        }
    }
}

/// Waits until there is something to do, or for a heartbeat.
#[allow(
    clippy::expect_used,
    reason = "a connection that panicked has spoiled the test"
)]
fn next_step(shared: &Shared, began: Counts, last: u64) -> Step {
    let nothing_to_do = |state: &mut State| {
        let counts = state.counts();
        (counts.hung_up, counts.trickled) == (began.hung_up, began.trickled)
            && state.events.last().is_none_or(|event| event.number <= last)
    };
    let waited = shared
        .changed
        .wait_timeout_while(shared.lock(), HEARTBEAT, nothing_to_do);
    let (state, _) = waited.expect("no holder panics");
    let counts = state.counts();
    if counts.hung_up != began.hung_up {
        Step::HangUp
    } else if counts.trickled != began.trickled {
        Step::Trickle
    } else if counts.stopped != began.stopped {
        Step::Stop
    } else {
        let events = state.events.iter();
        let events = events.filter(|event| event.number > last);
        Step::Send(events.cloned().collect())
    }
}

fn trickle(mut stream: TcpStream) -> io::Result<()> {
    stream.write_all(&4096u32.to_be_bytes())?;
    loop {
        stream.write_all(&[0])?;
        sleep(TRICKLE);
    }
}

/// Whether a call is answered, after its time.
fn admit_call(shared: &Shared) -> bool {
    let limit = {
        let mut state = shared.lock();
        let Some(limit) = state.call_limit else {
            return true;
        };
        if state.calls >= limit.at_once {
            return false;
        }
        state.calls += 1;
        limit
    };
    sleep(limit.each_takes);
    shared.lock().calls -= 1;
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
