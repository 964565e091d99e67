//! One world on loopback, in one process: hosts, a coordinator, clients, wires between programs; and a fleet of real
//! programs among them. What happens is written down for `flaxdeck-invariants` to check.

mod clients;
mod coordinator;
pub mod fleet;
mod hosts;
mod proxy;
mod retrying_clients;
mod world;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub use clients::{Clients, Load, Told, object_of_rank};
use flaxdeck_invariants::{InvariantTerms, RecordEntry, RecordedEvent, Verdict};
pub use proxy::{Proxy, Wire};
pub use retrying_clients::{End, Patience, RequestOutcome, RetryingClients};
use serde_json::{Value, json};
use tokio::runtime::Runtime;
pub use world::{FailureMode, INTERVAL, IntervalCounters, Kind, Layout, settings};
use world::{HostState, SharedState};

/// Threads of the stand-ins.
const THREADS: usize = 3;
/// Between looks whether a killed host's listener has closed, and how many there are at most.
const CLOSING_LOOK: Duration = Duration::from_millis(20);
const CLOSING_LOOKS: u32 = 50;

/// A host of a world as a list names it.
#[derive(Clone, Debug)]
pub struct ListedHost {
    /// `s-` and eight hex digits.
    pub id: String,
    pub address: SocketAddr,
    pub kind: Kind,
    pub places: f64,
}

/// Listens where a host listened that was just killed: its listener closes at its next look, which may be late on a busy
/// machine.
fn open_again(address: SocketAddr) -> std::io::Result<tokio::net::TcpListener> {
    for _ in 0..CLOSING_LOOKS {
        thread::sleep(CLOSING_LOOK);
        if let Ok((listener, _)) = hosts::open(address) {
            return Ok(listener);
        }
    }
    hosts::open(address).map(|(listener, _)| listener)
}

/// The world, from the outside.
pub struct World {
    inside: Arc<SharedState>,
    runtime: Runtime,
    pub coordinator: SocketAddr,
}

impl World {
    /// Starts hosts and a coordinator; port 0 throughout.
    pub fn start(layout: Layout) -> Result<World, String> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(THREADS)
            .enable_all()
            .build();
        let runtime = runtime.map_err(|error| format!("no runtime: {error}"))?;
        let inside = SharedState::new(layout.clone());
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let entered = runtime.enter();
        let (listener, coordinator) =
            hosts::open(any).map_err(|error| format!("no listener: {error}"))?;
        runtime.spawn(coordinator::serve(inside.clone(), listener));
        drop(entered);
        let world = World {
            inside,
            runtime,
            coordinator,
        };
        let kinds = [
            (Kind::Cache, layout.caches, 0xca00, layout.cache_places),
            (Kind::Parent, layout.parents, 0x9a00, layout.parent_places),
            (Kind::Origin, 1, 1, layout.origin_places),
        ];
        for (kind, count, first, places) in kinds {
            for n in 0..count {
                world.open(&format!("s-{:08x}", first + n), kind, places)?;
            }
        }
        world.list_anew(1);
        Ok(world)
    }

    /// The names of all hosts of a kind.
    pub fn hosts(&self, kind: Kind) -> Vec<String> {
        let state = self.inside.lock();
        state
            .hosts
            .iter()
            .filter(|(_, host)| host.kind == kind)
            .map(|(id, _)| id.clone())
            .collect()
    }

    fn open(&self, id: &str, kind: Kind, places: f64) -> Result<(), String> {
        let _entered = self.runtime.enter();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (listener, address) =
            hosts::open(any).map_err(|error| format!("no listener: {error}"))?;
        let host = HostState {
            kind,
            address,
            places,
            failure_mode: FailureMode::Serve,
            up: true,
            run: 0,
            started: None,
            held: Default::default(),
            in_hand: 0,
            busy: vec![0.0; (places as usize).max(1)],
            work: Default::default(),
            spent: 0.0,
            handled: 0,
            state: 0,
            connections: 0,
        };
        self.inside.lock().hosts.insert(id.to_owned(), host);
        self.runtime.spawn(hosts::serve(
            self.inside.clone(),
            id.to_owned(),
            listener,
            0,
        ));
        Ok(())
    }

    /// All hosts, for a coordinator that is not this world's own.
    pub fn listed(&self) -> Vec<ListedHost> {
        let state = self.inside.lock();
        let listed = |(id, host): (&String, &HostState)| ListedHost {
            id: id.clone(),
            address: host.address,
            kind: host.kind,
            places: host.places,
        };
        state.hosts.iter().map(listed).collect()
    }

    /// A coordinator that is not this world's own announces that no copy of an object made before now is good.
    pub fn purged_elsewhere(&self, object: &str) {
        let now = self.now();
        let mut state = self.inside.lock();
        state.purged.insert(object.to_owned(), now);
        state.record.push(RecordEntry {
            at_ms: now,
            event: RecordedEvent::ObjectPurged {
                object: object.to_owned(),
            },
        });
    }

    /// What a dispatcher is started with.
    pub fn config(&self, coordinator: SocketAddr) -> serde_json::Value {
        self.inside.config(coordinator)
    }

    /// Milliseconds since the world began.
    pub fn now(&self) -> f64 {
        self.inside.now()
    }

    pub fn wait_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left / 1000.0));
        }
    }

    /// A wire to that address.
    pub fn proxy(&self, to: SocketAddr) -> Result<Proxy, String> {
        let _entered = self.runtime.enter();
        Proxy::start(to).map_err(|error| format!("no wire: {error}"))
    }

    pub fn clients(&self, dispatchers: &[SocketAddr], load: &Load) -> Clients {
        let _entered = self.runtime.enter();
        Clients::start(&self.inside, dispatchers, load)
    }

    pub fn retrying_clients(
        &self,
        dispatchers: &[SocketAddr],
        load: &Load,
        kinds: &[Patience],
    ) -> RetryingClients {
        let _entered = self.runtime.enter();
        RetryingClients::start(&self.inside, dispatchers, load, kinds)
    }

    /// Counts at all stand-ins, by tenths of a second since the world began.
    pub fn intervals(&self) -> Vec<IntervalCounters> {
        self.inside.lock().intervals.clone()
    }

    /// The coordinator's one event is the list as it stands, under that number.
    fn list_anew(&self, number: u64) {
        let mut state = self.inside.lock();
        let list = coordinator::whole(&self.inside, &state);
        let listed = state.hosts.iter().filter(|(_, host)| host.state < 2);
        let rows: Vec<Value> = listed.map(|(id, host)| self.inside.row(id, host)).collect();
        let whole = json!({"seq": number, "whole": true, "hosts": rows});
        state.events = vec![(number, json!({"index": number, "endpoints": whole}))];
        state.known = number;
        state.frames = vec![(number, coordinator::frame(number, 1, &list))];
        state.lists = vec![(number, list)];
    }

    /// The coordinator starts anew: what it was told is told by it as event 1, and its connections end.
    pub fn lose_numbering(&self) {
        self.list_anew(1);
        self.end_conversations();
    }

    /// The coordinator starts anew from what it knew so many events ago, and goes on numbering from there.
    pub fn put_back(&self, events: u64) {
        {
            let mut state = self.inside.lock();
            let known = state.known.saturating_sub(events).max(1);
            state.known = known;
            state.frames.retain(|(number, _)| *number <= known);
            state.lists.retain(|(number, _)| *number <= known);
            state.events.retain(|(number, _)| *number <= known);
        }
        self.end_conversations();
    }

    /// The coordinator starts anew and numbers far ahead of what it did.
    pub fn jump_ahead(&self, events: u64) {
        let known = self.inside.lock().known;
        self.list_anew(known + events);
        self.end_conversations();
    }

    fn end_conversations(&self) {
        self.inside.lock().coordinator_run += 1;
        self.inside.changed.notify_waiters();
    }

    /// The coordinator says how a host stands now, and the record knows of it from then on.
    fn tell(&self, id: &str, seen: Option<RecordedEvent>) {
        let now = self.now();
        {
            let mut state = self.inside.lock();
            let Some(host) = state.hosts.get(id) else {
                return;
            };
            let payload = coordinator::record(&self.inside, id, host);
            let row = self.inside.row(id, host);
            state.known += 1;
            let known = state.known;
            let change = json!({"seq": known, "whole": false, "hosts": [row]});
            state
                .events
                .push((known, json!({"index": known, "endpoints": change})));
            state
                .frames
                .push((known, coordinator::frame(known, 2, &payload)));
            let list = coordinator::whole(&self.inside, &state);
            state.lists.push((known, list));
            state
                .record
                .extend(seen.map(|event| RecordEntry { at_ms: now, event }));
        }
        self.inside.changed.notify_waiters();
    }

    fn set_state(&self, id: &str, to: u8) {
        if let Some(host) = self.inside.lock().hosts.get_mut(id) {
            host.state = to;
        }
    }

    /// Announces that a host drains.
    pub fn withdraw(&self, id: &str) {
        self.set_state(id, 1);
        self.tell(
            id,
            Some(RecordedEvent::HostWithdrawn {
                host: id.to_owned(),
            }),
        );
    }

    /// Announces that a host is in service.
    pub fn announce(&self, id: &str) {
        self.set_state(id, 0);
        self.tell(
            id,
            Some(RecordedEvent::HostAnnounced {
                host: id.to_owned(),
            }),
        );
    }

    /// A host dies without a word.
    pub fn kill(&self, id: &str) {
        if let Some(host) = self.inside.lock().hosts.get_mut(id) {
            (host.up, host.run) = (false, host.run + 1);
        }
        self.inside.changed.notify_waiters();
    }

    /// A host starts anew, empty and cold, and the coordinator says so.
    pub fn restart(&self, id: &str) -> Result<(), String> {
        self.kill(id);
        let _entered = self.runtime.enter();
        let address = self.inside.lock().hosts.get(id).map(|host| host.address);
        let address = address.ok_or_else(|| format!("there is no host {id}"))?;
        let listener = open_again(address).map_err(|error| format!("{address}: {error}"))?;
        let now = self.now();
        let run = {
            let mut state = self.inside.lock();
            state.record.push(RecordEntry {
                at_ms: now,
                event: RecordedEvent::HostStarted {
                    host: id.to_owned(),
                },
            });
            let host = state.hosts.get_mut(id).ok_or("a host went")?;
            host.run += 1;
            (host.up, host.started, host.failure_mode, host.state) =
                (true, Some(now), FailureMode::Serve, 0);
            (host.in_hand, host.spent, host.connections) = (0, 0.0, 0);
            host.held.clear();
            host.work.clear();
            host.busy.fill(0.0);
            host.run
        };
        self.runtime.spawn(hosts::serve(
            self.inside.clone(),
            id.to_owned(),
            listener,
            run,
        ));
        self.tell(
            id,
            Some(RecordedEvent::HostAnnounced {
                host: id.to_owned(),
            }),
        );
        Ok(())
    }

    pub fn failure_mode(&self, id: &str, failure_mode: FailureMode) {
        if let Some(host) = self.inside.lock().hosts.get_mut(id) {
            host.failure_mode = failure_mode;
        }
    }

    /// Announces that no copy of an object made before now is good.
    pub fn purge(&self, object: &str) {
        let now = self.now();
        let number = u64::from_str_radix(object, 16).unwrap_or(0);
        {
            let mut state = self.inside.lock();
            state.known += 1;
            let known = state.known;
            let payload = [number.to_be_bytes(), self.inside.unix_ms(now).to_be_bytes()].concat();
            state
                .frames
                .push((known, coordinator::frame(known, 3, &payload)));
            let made = self.inside.unix_ms(now);
            state.events.push((
                known,
                json!({"index": known, "evict": {"ref": object, "unix_ms": made}}),
            ));
            let list = coordinator::whole(&self.inside, &state);
            state.lists.push((known, list));
            state.purged.insert(object.to_owned(), now);
            state.record.push(RecordEntry {
                at_ms: now,
                event: RecordedEvent::ObjectPurged {
                    object: object.to_owned(),
                },
            });
        }
        self.inside.changed.notify_waiters();
    }

    /// The coordinator says nothing more, or speaks again.
    pub fn mute(&self, mute: bool) {
        self.inside.lock().mute = mute;
        self.inside.changed.notify_waiters();
    }

    /// What hosts have handled since the start: all, and fills at the origin.
    pub fn fills_at_origin(&self) -> u64 {
        self.inside.lock().fills_at_origin
    }

    /// Hosts that fell over.
    pub fn fell_over(&self) -> u64 {
        self.inside.lock().fell_over
    }

    pub fn terms(&self) -> InvariantTerms {
        let layout = &self.inside.layout;
        let state = self.inside.lock();
        let cold = state
            .hosts
            .iter()
            .filter(|(_, host)| host.kind != Kind::Origin);
        InvariantTerms {
            withdrawal_grace_ms: 1000.0,
            purge_grace_ms: layout.purge_grace_ms,
            deadline_slack_ms: 50.0,
            load_window_ms: layout.fall_ms,
            slow_starts: cold
                .map(|(id, host)| (id.clone(), self.inside.slow_start(host.places)))
                .collect(),
        }
    }

    pub fn record(&self) -> Vec<RecordEntry> {
        self.inside.lock().record.clone()
    }

    pub fn verdict(&self) -> Verdict {
        flaxdeck_invariants::check(&self.terms(), &self.record())
    }
}
