//! Clients that look for a dispatcher: one that finds its own gone turns to another, asks again as its kind does, and
//! keeps the latency objective of its first try. What becomes of each want is kept with the time of that first try.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use flaxdeck_invariants::{FinalAnswer, RecordedEvent};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout};

use crate::clients::{Load, Planned, Spoken, draw, message, read};
use crate::world::{SharedState, made_of};

/// How a client takes a rejection or a break.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Patience {
    /// Comes back when it is told to, or after a pause where nothing was told.
    AsTold,
    /// Comes back at once.
    AtOnce,
    /// Does not come back.
    GivesUp,
}

/// What became of a want.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// Served so many milliseconds after its first try.
    Served(f64),
    Rejected,
    Failed,
    /// Its connection broke with it, or nobody took it.
    Lost,
}

/// One want from its first try to its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestOutcome {
    pub first: f64,
    pub tries: u32,
    pub end: End,
    /// A connection broke with one of its tries open.
    pub broken: bool,
}

/// Connections that a dispatcher's clients hold.
const LANES: usize = 8;
/// Tries of one want.
const TRIES: u32 = 4;
/// The pause of a client that was told nothing, in milliseconds.
const PAUSE: f64 = 300.0;
/// The pause of one that comes back at once: a trip.
const TRIP: f64 = 2.0;
/// A client that has turned away looks for its own dispatcher again after so long, in milliseconds.
const HOME: f64 = 1_000.0;
const CONNECT: Duration = Duration::from_millis(300);

#[derive(Default)]
struct Tally {
    outcomes: Vec<RequestOutcome>,
    wrong_bytes: u64,
}

/// The clients of a fleet.
pub struct RetryingClients {
    tally: Arc<Mutex<Tally>>,
    open: Arc<AtomicU64>,
}

impl RetryingClients {
    /// Starts clients with these dispatchers as their own ones; to be called within the world's runtime. Every third
    /// connection is of each kind of patience.
    pub fn start(
        world: &Arc<SharedState>,
        dispatchers: &[SocketAddr],
        load: &Load,
        kinds: &[Patience],
    ) -> RetryingClients {
        let retrying_clients = RetryingClients {
            tally: Arc::default(),
            open: Arc::default(),
        };
        let all: Arc<[SocketAddr]> = dispatchers.into();
        for at in 0..dispatchers.len() {
            let mut connections: Vec<Vec<Planned>> = (0..LANES).map(|_| Vec::new()).collect();
            for (n, planned) in draw(load, at).into_iter().enumerate() {
                connections[n % LANES].push(planned);
            }
            for (connection, planned) in connections.into_iter().enumerate() {
                let name = load.names_from + at * LANES + connection;
                let (events, heard) = mpsc::unbounded_channel();
                let connection = ClientConnection {
                    world: world.clone(),
                    all: all.clone(),
                    own: at,
                    name,
                    patience: kinds[connection % kinds.len()],
                    wait: load.wait_ms,
                    chance: Pcg64Mcg::seed_from_u64(load.seed ^ (name as u64) << 20),
                    due: BTreeMap::new(),
                    open: HashMap::new(),
                    call: 0,
                    link: None,
                    links: 0,
                    away_since: None,
                    events,
                    tally: retrying_clients.tally.clone(),
                };
                retrying_clients.open.fetch_add(1, Ordering::SeqCst);
                let open = retrying_clients.open.clone();
                tokio::spawn(async move {
                    connection.run(planned, heard).await;
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        }
        retrying_clients
    }

    pub fn done(&self) -> bool {
        self.open.load(Ordering::SeqCst) == 0
    }

    /// What became of all wants that have ended.
    pub fn outcomes(&self) -> Vec<RequestOutcome> {
        self.tally
            .lock()
            .expect("no holder panics")
            .outcomes
            .clone()
    }

    pub fn wrong_bytes(&self) -> u64 {
        self.tally.lock().expect("no holder panics").wrong_bytes
    }
}

struct Want {
    object: String,
    write: bool,
    first: Option<f64>,
    tries: u32,
    broken: bool,
    sent: f64,
}

enum Event {
    Answered(u64, Spoken),
    Ended(u64),
}

struct ClientConnection {
    world: Arc<SharedState>,
    all: Arc<[SocketAddr]>,
    own: usize,
    name: usize,
    patience: Patience,
    wait: u64,
    chance: Pcg64Mcg,
    /// What is to be sent next, by its time in microseconds and its number.
    due: BTreeMap<(u64, u32), Want>,
    open: HashMap<u32, Want>,
    call: u32,
    link: Option<(OwnedWriteHalf, u64, tokio::task::JoinHandle<()>)>,
    links: u64,
    away_since: Option<f64>,
    events: mpsc::UnboundedSender<Event>,
    tally: Arc<Mutex<Tally>>,
}

impl ClientConnection {
    async fn run(mut self, planned: Vec<Planned>, mut heard: mpsc::UnboundedReceiver<Event>) {
        for (n, Planned { at, object, write }) in planned.into_iter().enumerate() {
            let want = Want {
                object,
                write,
                first: None,
                tries: 0,
                broken: false,
                sent: 0.0,
            };
            self.due.insert(((at * 1000.0) as u64, n as u32), want);
        }
        while !(self.due.is_empty() && self.open.is_empty()) {
            let next = self
                .due
                .keys()
                .next()
                .map(|(at, _)| self.world.instant(*at as f64 / 1000.0));
            let late = self
                .open
                .values()
                .map(|want| want.sent + self.wait as f64 + 500.0);
            let late = late.min_by(f64::total_cmp).map(|at| self.world.instant(at));
            let none = tokio::time::Instant::now;
            tokio::select! {
                Some(event) = heard.recv() => match event {
                    Event::Answered(link, spoken) if self.is(link) => self.answered(spoken),
                    Event::Ended(link) if self.is(link) => self.ended(),
                    _ => {}
                },
                () = sleep_until(next.unwrap_or_else(none)), if next.is_some() => self.send().await,
                // Past that nobody answers: the record's check says so.
                () = sleep_until(late.unwrap_or_else(none)), if late.is_some() => self.give_up_late(),
            }
        }
        if let Some((_, _, hears)) = self.link {
            hears.abort();
        }
    }

    fn is(&self, link: u64) -> bool {
        self.link
            .as_ref()
            .is_some_and(|(_, number, _)| *number == link)
    }

    fn request(&self, call: u32) -> String {
        format!("{:08x}{call:08x}", self.name)
    }

    async fn send(&mut self) {
        let Some((_, mut want)) = self.due.pop_first() else {
            return;
        };
        let now = self.world.now();
        let first = *want.first.get_or_insert(now);
        if self.away_since.is_some_and(|since| now - since > HOME) && self.open.is_empty() {
            self.hang_up();
        }
        if self.link.is_none() && !self.connect().await {
            return self.again(want, None);
        }
        self.call += 1;
        let (call, now) = (self.call, self.world.now());
        (want.tries, want.sent) = (want.tries + 1, now);
        let request = self.request(call);
        self.world.record(RecordedEvent::RequestSent {
            request: request.clone(),
            deadline_ms: now + self.wait as f64,
        });
        let again = want.tries > 1 && now > first;
        let bytes = message(call, &request, &want.object, want.write, self.wait, again);
        self.open.insert(call, want);
        let Some((write, ..)) = &mut self.link else {
            return;
        };
        if write.write_all(&bytes).await.is_err() {
            self.ended();
        }
    }

    fn hang_up(&mut self) {
        if let Some((_, _, hears)) = self.link.take() {
            hears.abort();
        }
    }

    /// Its own dispatcher first, unless it has just turned away from it; else any other.
    async fn connect(&mut self) -> bool {
        let now = self.world.now();
        let own = self.away_since.is_none_or(|since| now - since > HOME);
        for _ in 0..3 {
            let at = if own && self.links_try() {
                self.own
            } else {
                self.chance.random_range(0..self.all.len())
            };
            let connected = timeout(CONNECT, TcpStream::connect(self.all[at])).await;
            let Ok(Ok(stream)) = connected else {
                self.away_since = Some(self.world.now());
                continue;
            };
            let _ = stream.set_nodelay(true);
            let (read, write) = stream.into_split();
            self.links += 1;
            let (number, events) = (self.links, self.events.clone());
            let hears = tokio::spawn(hear(read, number, events));
            self.link = Some((write, number, hears));
            self.away_since = (at != self.own)
                .then_some(self.away_since.unwrap_or(now))
                .filter(|_| at != self.own);
            return true;
        }
        false
    }

    fn links_try(&self) -> bool {
        self.away_since
            .is_none_or(|since| self.world.now() - since > HOME)
    }

    fn give_up_late(&mut self) {
        let now = self.world.now();
        let late = |want: &Want| now - want.sent > self.wait as f64 + 499.0;
        let calls: Vec<u32> = self
            .open
            .iter()
            .filter(|(_, want)| late(want))
            .map(|(call, _)| *call)
            .collect();
        for call in calls {
            if let Some(want) = self.open.remove(&call) {
                self.over(&want, End::Lost);
            }
        }
    }

    fn ended(&mut self) {
        self.hang_up();
        self.away_since = Some(self.world.now());
        for (call, mut want) in std::mem::take(&mut self.open) {
            self.world.record(RecordedEvent::ClientLeft {
                request: self.request(call),
            });
            want.broken = true;
            // What may have run is not asked again.
            if want.write {
                self.over(&want, End::Lost)
            } else {
                self.again(want, None)
            }
        }
    }

    fn answered(&mut self, spoken: Spoken) {
        let Some(want) = self.open.remove(&spoken.call) else {
            let request = self.request(spoken.call);
            return self.world.record(RecordedEvent::Answered {
                request,
                answer: spoken.how,
            });
        };
        self.world.record(RecordedEvent::Answered {
            request: self.request(spoken.call),
            answer: spoken.how,
        });
        match spoken.how {
            FinalAnswer::Served => {
                match made_of(&want.object, &spoken.body) {
                    Some(_) if want.write => {}
                    Some(made) => {
                        let (object, sent) = (want.object.clone(), want.sent);
                        self.world.record(RecordedEvent::CopyServed {
                            object,
                            sent_ms: sent,
                            made_ms: made,
                        });
                    }
                    None => self.tally.lock().expect("no holder panics").wrong_bytes += 1,
                }
                let took = self.world.now() - want.first.unwrap_or(want.sent);
                self.over(&want, End::Served(took));
            }
            FinalAnswer::Rejected => self.again(want, Some(spoken.after)),
            FinalAnswer::Failed => self.over(&want, End::Failed),
        }
    }

    /// After a rejection (with the time to come back, if one was told), or with nobody to ask.
    fn again(&mut self, want: Want, rejected: Option<Option<f64>>) {
        let now = self.world.now();
        let pause = match (self.patience, rejected) {
            (Patience::AtOnce, _) => TRIP,
            (_, Some(Some(told))) => told,
            _ => PAUSE * self.chance.random_range(0.8..1.2),
        };
        let last = want.first.unwrap_or(now) + self.wait as f64;
        if self.patience == Patience::GivesUp || want.tries >= TRIES || now + pause > last {
            return self.over(
                &want,
                if rejected.is_some() {
                    End::Rejected
                } else {
                    End::Lost
                },
            );
        }
        self.call += 1;
        self.due
            .insert((((now + pause) * 1000.0) as u64, self.call), want);
    }

    fn over(&self, want: &Want, end: End) {
        let first = want.first.unwrap_or(want.sent);
        let outcome = RequestOutcome {
            first,
            tries: want.tries,
            end,
            broken: want.broken,
        };
        self.tally
            .lock()
            .expect("no holder panics")
            .outcomes
            .push(outcome);
    }
}

async fn hear(mut from: OwnedReadHalf, number: u64, events: mpsc::UnboundedSender<Event>) {
    let (mut bytes, mut piece) = (Vec::new(), vec![0; 64 * 1024]);
    while let Ok(count @ 1..) = from.read(&mut piece).await {
        bytes.extend_from_slice(&piece[..count]);
        while let Some(spoken) = read(&mut bytes) {
            let Ok(spoken) = spoken else {
                return drop(events.send(Event::Ended(number)));
            };
            if events.send(Event::Answered(number, spoken)).is_err() {
                return;
            }
        }
    }
    let _ = events.send(Event::Ended(number)); // nobody listens once the connection is over
}
