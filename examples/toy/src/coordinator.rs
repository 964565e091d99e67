//! The coordinator: sends each connection, as frames, the numbered events after the number that it asks from.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::Host;

/// The time between two empty frames on a connection, which are heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// The pause between the bytes of a frame that never ends.
const TRICKLE: Duration = Duration::from_millis(200);

/// The kinds of frames that contain one event, by their values on the wire.
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
    /// Whether it no longer accepts connections.
    ended: bool,
    /// The number of calls that are being admitted.
    calls: u32,
    /// The time between two events on a connection.
    pace: Duration,
    /// The limit of concurrent calls; `None` admits all calls immediately.
    call_limit: Option<CallLimit>,
    /// How often all open connections were closed.
    closed: u32,
    /// How often all open connections were silenced: left open without further frames.
    silenced: u32,
    /// How often a frame that never ends was begun on all open connections.
    trickled: u32,
    /// How often a heartbeat was sent early on all open connections.
    prompted: u32,
}

/// A limit of concurrent calls; calls beyond it are closed.
#[derive(Clone, Copy)]
struct CallLimit {
    /// The number of calls that are admitted concurrently.
    concurrent: u32,
    /// How long each call takes until it is admitted.
    duration: Duration,
}

/// The state, and the condition variable that wakes the connections when it changes.
#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    #[allow(
        clippy::expect_used,
        reason = "a test in which a connection has panicked must fail"
    )]
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("a thread panicked while it held the state")
    }
}

/// A coordinator on loopback.
pub struct Coordinator {
    /// The address at which it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    next: u64,
}

impl Coordinator {
    /// Starts at an address, with a numbering that follows `known`, the last event in the dispatcher's configuration.
    ///
    /// # Errors
    ///
    /// If it can't listen.
    pub fn start(address: &str, known: u64) -> io::Result<Coordinator> {
        Coordinator::with_listener(TcpListener::bind(address)?, known)
    }

    /// Starts on an open listener, otherwise as [`Coordinator::start`].
    ///
    /// # Errors
    ///
    /// If the listener has no address.
    pub fn with_listener(listener: TcpListener, known: u64) -> io::Result<Coordinator> {
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
                    // An error only means that the other side has closed the connection.
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

    /// Closes all open connections.
    pub fn close_connections(&self) {
        self.shared.lock().closed += 1;
        self.shared.changed.notify_all();
    }

    /// Sends a heartbeat on the connections that are open now, without waiting until it is due. Connections that are
    /// closed afterwards send it first.
    pub fn send_heartbeat(&self) {
        self.shared.lock().prompted += 1;
        self.shared.changed.notify_all();
    }

    /// Lets this time pass between two events on a connection.
    pub fn set_pace(&self, pace: Duration) {
        self.shared.lock().pace = pace;
    }

    /// Shuts down: closes all connections and the listener.
    pub fn end(self) {
        self.close_connections();
        self.shared.lock().ended = true;
        // Each connect wakes the accepting thread, which closes the listener once it sees `ended`.
        while TcpStream::connect(self.address).is_ok() {}
    }

    /// Limits the calls from now on: at most `concurrent` are admitted at once, each after `duration`; others are
    /// closed.
    pub fn limit_calls(&self, concurrent: u32, duration: Duration) {
        self.shared.lock().call_limit = Some(CallLimit {
            concurrent,
            duration,
        });
    }

    /// Sends nothing more on the connections that are open now, but keeps them open.
    pub fn go_silent(&self) {
        self.shared.lock().silenced += 1;
    }

    /// Begins a frame that never ends, sent byte by byte, on the connections that are open now.
    pub fn trickle(&self) {
        self.shared.lock().trickled += 1;
        self.shared.changed.notify_all();
    }

    /// Skips an event number, as if that event had been lost.
    pub fn skip_number(&mut self) {
        self.next += 1;
    }

    /// Publishes the changed state of a host: 0 ready, 1 draining, 2 removed. Zone and kind are indices into the
    /// settings.
    pub fn change(&mut self, host: &Host, state: u8, zone: u8, kind: u8) {
        self.publish_host(host, [state, zone, kind], 4.0, 0);
    }

    /// Publishes a ready host with this many slots that was started at `unix_ms`, cold and with an empty cache.
    pub fn started(&mut self, host: &Host, zone: u8, kind: u8, slots: f64, unix_ms: u64) {
        self.publish_host(host, [0, zone, kind], slots, unix_ms);
    }

    fn publish_host(&mut self, host: &Host, fields: [u8; 3], slots: f64, started_unix_ms: u64) {
        let id = u32::from_str_radix(host.id.trim_start_matches("s-"), 16).unwrap_or(0);
        let [state, zone, kind] = fields;
        let mut record = id.to_be_bytes().to_vec();
        if let SocketAddr::V4(address) = host.address {
            record.extend(address.ip().octets());
            record.extend(address.port().to_be_bytes());
        }
        record.extend([state, zone, kind, 0, 0]);
        record.extend(((slots * 1000.0) as u32).to_be_bytes());
        record.extend(started_unix_ms.to_be_bytes());
        self.publish(HOST_CHANGE, record);
    }

    /// Publishes a purge of an object: copies made before `unix_ms` are out of date.
    pub fn purge_object(&mut self, object: u64, unix_ms: u64) {
        self.publish(
            PURGE,
            [object.to_be_bytes(), unix_ms.to_be_bytes()].concat(),
        );
    }
}

/// The next action on a connection.
enum Step {
    /// Sends these events.
    Send(Vec<Event>),
    /// Sends a heartbeat; with it all are sent that were prompted so far.
    SendHeartbeat { prompted: u32 },
    /// Closes the connection.
    Close,
    /// Keeps the connection open without sending anything.
    GoSilent,
    /// Begins a frame that never ends.
    Trickle,
}

/// How often each action was applied to all open connections. A connection compares the current counts with those at
/// its start to see which actions concern it.
#[derive(Clone, Copy, PartialEq)]
struct ActionCounts {
    closed: u32,
    silenced: u32,
    trickled: u32,
    prompted: u32,
}

impl State {
    fn action_counts(&self) -> ActionCounts {
        ActionCounts {
            closed: self.closed,
            silenced: self.silenced,
            trickled: self.trickled,
            prompted: self.prompted,
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
    let mut known = shared.lock().action_counts();
    let mut next_heartbeat = Instant::now() + HEARTBEAT_INTERVAL;
    loop {
        match next_step(shared, known, last, next_heartbeat) {
            Step::Close => return Ok(()),
            // Returns when the other side closes the connection or sends a byte.
            Step::GoSilent => return stream.read_exact(&mut [0]),
            Step::Trickle => return send_endless_frame(stream),
            Step::SendHeartbeat { prompted } => {
                stream.write_all(&frame(last, 0, &[]))?;
                known.prompted = prompted;
                next_heartbeat = Instant::now() + HEARTBEAT_INTERVAL;
            }
            Step::Send(events) => {
                let pace = shared.lock().pace;
                for event in events {
                    stream.write_all(&frame(event.number, event.kind, &event.payload))?;
                    last = event.number;
                    sleep(pace);
                }
            }
        }
    }
}

/// Waits for an action or an event, or until a heartbeat is due. Silencing doesn't wake the connection: it takes effect
/// with the next event or heartbeat.
#[allow(
    clippy::expect_used,
    reason = "a test in which a connection has panicked must fail"
)]
fn next_step(shared: &Shared, known: ActionCounts, last: u64, next_heartbeat: Instant) -> Step {
    let nothing_to_do = |state: &mut State| {
        let counts = state.action_counts();
        (counts.closed, counts.trickled, counts.prompted)
            == (known.closed, known.trickled, known.prompted)
            && state.events.last().is_none_or(|event| event.number <= last)
    };
    let heartbeat_due_in = next_heartbeat.saturating_duration_since(Instant::now());
    let waited = shared
        .changed
        .wait_timeout_while(shared.lock(), heartbeat_due_in, nothing_to_do);
    let (state, _) = waited.expect("a thread panicked while it held the state");
    let counts = state.action_counts();
    let events = || {
        let events = state.events.iter();
        events.filter(|event| event.number > last).cloned()
    };
    let is_heartbeat_prompted = counts.prompted != known.prompted;
    if is_heartbeat_prompted && events().next().is_none() {
        Step::SendHeartbeat {
            prompted: counts.prompted,
        }
    } else if counts.closed != known.closed && !is_heartbeat_prompted {
        Step::Close
    } else if counts.trickled != known.trickled {
        Step::Trickle
    } else if counts.silenced != known.silenced {
        Step::GoSilent
    } else {
        let events: Vec<Event> = events().collect();
        match events.is_empty() {
            true => Step::SendHeartbeat {
                prompted: counts.prompted,
            },
            false => Step::Send(events),
        }
    }
}

fn send_endless_frame(mut stream: TcpStream) -> io::Result<()> {
    stream.write_all(&4096u32.to_be_bytes())?;
    loop {
        stream.write_all(&[0])?;
        sleep(TRICKLE);
    }
}

/// Returns whether a call is admitted, after the duration that the limit sets.
fn admit_call(shared: &Shared) -> bool {
    let limit = {
        let mut state = shared.lock();
        let Some(limit) = state.call_limit else {
            return true;
        };
        if state.calls >= limit.concurrent {
            return false;
        }
        state.calls += 1;
        limit
    };
    sleep(limit.duration);
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
