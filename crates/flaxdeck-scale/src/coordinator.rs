//! The stand-in coordinator as a process of its own: numbered frames to whoever asks from a number on, a frame without
//! an event in each silent second, and events on an open-loop schedule. Frames are kept in a ring, so that a
//! connection costs no more than what is new.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use flaxdeck_net::counters_file;
use flaxdeck_net::listener::Listener;
use flaxdeck_net::metrics::{Counter, count_message};
use flaxdeck_terms::Names;
use flaxdeck_terms::fields::Fields;
use flaxdeck_wire::frames;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep_until, timeout};

use crate::delays::{Held, write_events};
use crate::hosts::Host;
use crate::messages::{CoordinatorOrder, CoordinatorOrders, CoordinatorReply};
use crate::monotonic;
use crate::processes::{Input, say};

/// With nothing to tell for so long it says that it is there.
const QUIET: Duration = Duration::from_secs(1);
/// Frames that are kept; who asks for earlier ones gets the whole list.
const KEPT: usize = 1 << 16;
/// Bytes that one connection writes at a time.
const MAX_WRITTEN: usize = 64 * 1024;

const WHOLE_LIST: u8 = 1;
const CHANGES: u8 = 2;
const PURGE: u8 = 3;
/// Where a frame's kind stands, after its length and number.
const KIND_AT: usize = 12;

/// What connections wait for: it changes with each event and each order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Turn {
    /// Counts its starts: connections of an earlier one end.
    run: u32,
    last: u64,
    silent: bool,
}

struct State {
    hosts: Vec<Host>,
    unchanging: usize,
    names: Names,
    settings_names: [Vec<String>; 2],
    first: u64,
    frames: VecDeque<Bytes>,
    /// All events since the start of the process.
    held: Vec<Held>,
    turn: watch::Sender<Turn>,
}

type Shared = Rc<RefCell<State>>;

/// Runs until standard input closes.
pub fn run(orders: CoordinatorOrders) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| format!("no runtime: {error}"))?;
    LocalSet::new().block_on(&runtime, serve(orders))
}

async fn serve(orders: CoordinatorOrders) -> Result<(), String> {
    let mut input = Input::<CoordinatorOrder>::start();
    let fields = Fields::of(&orders.settings, "settings").map_err(|fault| fault.to_string())?;
    let (_, names) = flaxdeck_terms::read(&fields).map_err(|fault| fault.to_string())?;
    let texts = |name| fields.texts(name).map_err(|fault| fault.to_string());
    let settings_names = [texts("zones")?, texts("kinds")?];
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(any).map_err(|error| format!("cannot listen: {error}"))?;
    let address = listener
        .local_addr()
        .map_err(|error| format!("cannot listen: {error}"))?;
    let state = State {
        hosts: orders.hosts,
        unchanging: orders.unchanging,
        names,
        settings_names,
        first: 1,
        frames: VecDeque::new(),
        held: Vec::new(),
        turn: watch::Sender::new(Turn::default()),
    };
    let state: Shared = Rc::new(RefCell::new(state));
    state.borrow_mut().begin();
    counters_file::spawn(orders.counters);
    spawn_local(accept(state.clone(), listener));
    say(&CoordinatorReply::Listening(address));
    let mut schedule = Schedule::new(orders.seed, orders.purges_per_s, orders.host_changes_per_s);
    loop {
        let due = schedule.due();
        tokio::select! {
            order = input.next() => match order {
                Some(order) => obey(&state, &mut schedule, order)?,
                None => break,
            },
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                schedule.happen(&mut state.borrow_mut());
            }
        }
    }
    let state = state.borrow();
    write_events(&orders.events, &state.held)
        .map_err(|error| format!("events can't be written: {error}"))
}

fn obey(state: &Shared, schedule: &mut Schedule, order: CoordinatorOrder) -> Result<(), String> {
    let mut state = state.borrow_mut();
    match order {
        CoordinatorOrder::Begin => schedule.begin(),
        CoordinatorOrder::Stop => {
            schedule.stop();
            let last = state.last();
            say(&CoordinatorReply::Stopped { last });
        }
        CoordinatorOrder::PurgeRateTimes(factor) => schedule.purges.speed_up(factor),
        CoordinatorOrder::Silent(silent) => state.turn.send_modify(|turn| turn.silent = silent),
        CoordinatorOrder::Forget => state.begin(),
        CoordinatorOrder::Purge { object } => state.purge(object),
        CoordinatorOrder::WriteKnown(path) => {
            let known = state.known().to_string();
            std::fs::write(&path, known).map_err(|error| format!("{}: {error}", path.display()))?;
            say(&CoordinatorReply::Written);
        }
    }
    Ok(())
}

/// One kind of event, at random times of a mean rate.
struct Arrivals {
    per_s: f64,
    factor: f64,
    next: Option<Instant>,
}

impl Arrivals {
    fn of(per_s: f64) -> Arrivals {
        Arrivals {
            per_s,
            factor: 1.0,
            next: None,
        }
    }

    /// Draws when the next one after that time comes.
    fn draw(&mut self, after: Instant, chance: &mut Pcg64Mcg) {
        let per_s = self.per_s * self.factor;
        let gap = -(1.0 - chance.random::<f64>()).ln() / per_s;
        self.next = (per_s > 0.0).then(|| after + Duration::from_secs_f64(gap));
    }

    fn speed_up(&mut self, factor: f64) {
        self.factor = factor;
    }
}

/// When events happen, whatever becomes of those before.
struct Schedule {
    chance: Pcg64Mcg,
    purges: Arrivals,
    changes: Arrivals,
}

impl Schedule {
    fn new(seed: u64, purges_per_s: f64, changes_per_s: f64) -> Schedule {
        let (purges, changes) = (Arrivals::of(purges_per_s), Arrivals::of(changes_per_s));
        Schedule {
            chance: Pcg64Mcg::seed_from_u64(seed),
            purges,
            changes,
        }
    }

    fn begin(&mut self) {
        let now = Instant::now();
        self.purges.draw(now, &mut self.chance);
        self.changes.draw(now, &mut self.chance);
    }

    fn stop(&mut self) {
        (self.purges.next, self.changes.next) = (None, None);
    }

    fn due(&self) -> Option<Instant> {
        [self.purges.next, self.changes.next]
            .into_iter()
            .flatten()
            .min()
    }

    /// Has all happen that is due.
    fn happen(&mut self, state: &mut State) {
        let now = Instant::now();
        while let Some(at) = self.purges.next.filter(|at| *at <= now) {
            state.purge(self.chance.random());
            self.purges.draw(at, &mut self.chance);
        }
        while let Some(at) = self.changes.next.filter(|at| *at <= now) {
            let some = state.unchanging..state.hosts.len().max(state.unchanging + 1);
            state.change_host(self.chance.random_range(some));
            self.changes.draw(at, &mut self.chance);
        }
    }
}

fn frame(number: u64, kind: u8, payload: &[u8]) -> Bytes {
    let length = (size_of::<u64>() + size_of::<u8>() + payload.len()) as u32;
    [
        &length.to_be_bytes()[..],
        &number.to_be_bytes(),
        &[kind],
        payload,
    ]
    .concat()
    .into()
}

impl State {
    fn last(&self) -> u64 {
        self.first + self.frames.len() as u64 - 1
    }

    /// Starts anew with the list as it stands for event 1; connections of before end.
    fn begin(&mut self) {
        self.frames.clear();
        self.first = 1;
        let list = self.list();
        self.tell(WHOLE_LIST, &list);
        self.turn.send_modify(|turn| turn.run += 1);
    }

    fn list(&self) -> Vec<u8> {
        self.hosts
            .iter()
            .filter(|host| host.state < 2)
            .flat_map(Host::record)
            .collect()
    }

    fn tell(&mut self, kind: u8, payload: &[u8]) {
        let number = self.first + self.frames.len() as u64;
        let frame = frame(number, kind, payload);
        let event = frames::read(&frame, &self.names).ok().flatten();
        let hash = event.map_or(0, |event| event.hash());
        self.held.push(Held {
            number,
            hash,
            at_us: monotonic::now_us(),
        });
        self.frames.push_back(frame);
        if self.frames.len() > KEPT {
            self.frames.pop_front();
            self.first += 1;
        }
        self.turn.send_modify(|turn| turn.last = number);
    }

    fn purge(&mut self, object: u64) {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let payload = [
            object.to_be_bytes(),
            (unix.as_millis() as u64).to_be_bytes(),
        ]
        .concat();
        self.tell(PURGE, &payload);
    }

    /// A host begins to drain, or is back in service.
    fn change_host(&mut self, which: usize) {
        let Some(host) = self.hosts.get_mut(which) else {
            return;
        };
        host.state = u8::from(host.state == 0);
        let record = host.record();
        self.tell(CHANGES, &record);
    }

    /// What follows that number, up to a bound of bytes, and the number of its last frame; to who asks for what is not
    /// kept, the whole list as it stands.
    fn news(&self, after: u64) -> (Vec<u8>, usize, u64) {
        let last = self.last();
        if after > last || after + 1 < self.first {
            let list = frame(last, WHOLE_LIST, &self.list());
            return (list.to_vec(), 1, last);
        }
        let (mut bytes, mut count) = (Vec::new(), 0);
        for frame in self.frames.range((after + 1 - self.first) as usize..) {
            bytes.extend_from_slice(frame);
            count += 1;
            if bytes.len() >= MAX_WRITTEN {
                break;
            }
        }
        (bytes, count, after + count as u64)
    }

    /// What a configuration written now tells of events: the list, and the last event by itself, which proves the
    /// numbering.
    fn known(&self) -> Value {
        let [zones, kinds] = &self.settings_names;
        let hosts = self.hosts.iter().filter(|host| host.state < 2);
        let rows: Vec<Value> = hosts.map(|host| host.row(zones, kinds)).collect();
        let last = self.last();
        let list = json!({"index": last.saturating_sub(1).max(1), "endpoints": {"seq": 1, "whole": true, "hosts": rows}});
        let last_event = self
            .frames
            .back()
            .and_then(|frame| self.event_as_json(frame, last));
        let updates: Vec<Value> = [Some(list), last_event].into_iter().flatten().collect();
        json!({"index": last, "updates": updates})
    }

    /// A purge or a change of a host as a configuration tells it; none of a whole list.
    fn event_as_json(&self, frame: &Bytes, number: u64) -> Option<Value> {
        let (kind, payload) = (frame[KIND_AT], &frame[KIND_AT + 1..]);
        match kind {
            PURGE => {
                let [object, made] = [0, 8].map(|at| big_endian(&payload[at..at + 8]));
                Some(
                    json!({"index": number, "evict": {"ref": format!("{object:016x}"), "unix_ms": made}}),
                )
            }
            CHANGES => {
                let id = big_endian(&payload[..4]) as u32;
                let host = self.hosts.iter().find(|host| host.id == id)?;
                let [zones, kinds] = &self.settings_names;
                let change = json!({"seq": 1, "whole": false, "hosts": [host.row(zones, kinds)]});
                Some(json!({"index": number, "endpoints": change}))
            }
            _ => None,
        }
    }
}

fn big_endian(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0, |word, byte| word << 8 | u64::from(*byte))
}

async fn accept(state: Shared, listener: Listener) {
    loop {
        let Ok(stream) = listener.accept().await else {
            continue;
        };
        spawn_local(attend(state.clone(), stream));
    }
}

/// Serves one connection until it ends; whoever closes it has what he wants.
async fn attend(state: Shared, mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut turns = state.borrow().turn.subscribe();
    let run = turns.borrow_and_update().run;
    let mut after = stream.read_u64().await?;
    count_message(
        [Counter::feed_messages_in, Counter::feed_bytes_in],
        size_of::<u64>(),
    );
    loop {
        let turn = *turns.borrow_and_update();
        if turn.run != run {
            return Ok(());
        }
        let has_news = turn.last != after;
        if turn.silent {
            let _ = turns.changed().await; // the sender lives as long as the state
        } else if has_news {
            let (bytes, count, upto) = state.borrow().news(after);
            after = upto;
            told(&bytes, count);
            stream.write_all(&bytes).await?;
        } else if timeout(QUIET, turns.changed()).await.is_err() {
            let quiet = frame(after, 0, &[]);
            told(&quiet, 1);
            stream.write_all(&quiet).await?;
        }
    }
}

fn told(bytes: &[u8], frames: usize) {
    for _ in 1..frames {
        count_message([Counter::feed_messages_out, Counter::feed_bytes_out], 0);
    }
    count_message(
        [Counter::feed_messages_out, Counter::feed_bytes_out],
        bytes.len(),
    );
}
