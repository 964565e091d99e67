//! The state that all stand-ins share: hosts, what the coordinator has said, and the record of what was seen.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use flaxdeck_invariants::{RecordEntry, RecordedEvent, SlowStartTerms};
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::layout::{Layout, settings};
use crate::sync::lock;

/// Milliseconds of one interval of counters.
pub const INTERVAL_MS: f64 = 100.0;

/// The tier that a host belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostKind {
    /// Of the first tier, near forwarders.
    Cache,
    /// Of the second tier, asked by caches.
    Parent,
    /// Where all objects come from.
    Origin,
}

/// How a host answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FailureMode {
    /// As it should.
    Healthy,
    /// Takes requests and says nothing.
    Silent,
    /// Answers that it failed.
    Failing,
    /// Takes so many times as long.
    Slow(f64),
}

/// A host's health as the coordinator lists it; the numbers are those of its frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListedHealth {
    InService = 0,
    Draining = 1,
}

/// Work that a host was asked for at one moment.
pub(crate) struct WorkItem {
    pub(crate) at_ms: f64,
    pub(crate) cost_ms: f64,
}

/// One host.
pub(crate) struct HostState {
    pub(crate) kind: HostKind,
    pub(crate) address: SocketAddr,
    pub(crate) slots: f64,
    pub(crate) failure_mode: FailureMode,
    pub(crate) up: bool,
    /// Counts its starts and crashes; work of an earlier incarnation is lost.
    pub(crate) incarnation: u64,
    /// None for long past.
    pub(crate) started_ms: Option<f64>,
    /// When the copy of each cached object was made at the origin.
    pub(crate) cached_ms: HashMap<String, f64>,
    pub(crate) requests_in_hand: u32,
    /// When each slot is free again.
    pub(crate) slots_free_ms: Vec<f64>,
    /// Work of the last window, ...
    pub(crate) recent_work: VecDeque<WorkItem>,
    /// ... and its sum.
    pub(crate) recent_work_ms: f64,
    pub(crate) health: ListedHealth,
    pub(crate) connections: u32,
}

impl HostState {
    /// A warm host with an empty cache.
    pub(crate) fn new(kind: HostKind, address: SocketAddr, slots: f64) -> HostState {
        HostState {
            kind,
            address,
            slots,
            failure_mode: FailureMode::Healthy,
            up: true,
            incarnation: 0,
            started_ms: None,
            cached_ms: HashMap::new(),
            requests_in_hand: 0,
            slots_free_ms: vec![0.0; (slots as usize).max(1)],
            recent_work: VecDeque::new(),
            recent_work_ms: 0.0,
            health: ListedHealth::InService,
            connections: 0,
        }
    }

    /// Goes down; what it has in hand is lost.
    pub(crate) fn crash(&mut self) {
        self.up = false;
        self.incarnation += 1;
    }

    /// Starts anew, empty and cold, in service.
    pub(crate) fn restart(&mut self, now_ms: f64) {
        *self = HostState {
            incarnation: self.incarnation + 1,
            started_ms: Some(now_ms),
            ..HostState::new(self.kind, self.address, self.slots)
        };
    }

    /// When the host's copy of an object was made, if it has one made at that time or later.
    pub(crate) fn cached(&self, object: &str, oldest_ms: f64) -> Option<f64> {
        let made_ms = self.cached_ms.get(object).copied();
        made_ms.filter(|made_ms| *made_ms >= oldest_ms)
    }
}

/// What came to all stand-ins of a kind within one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct IntervalCounters {
    /// Connections opened at caches, parents and the origin.
    pub connections_opened: u32,
    /// Connections that they closed as too many.
    pub connections_refused: u32,
    /// The most connections that any host held.
    pub peak_connections: u32,
    /// Calls at the coordinator.
    pub coordinator_calls: u32,
    /// Calls that the coordinator closed as too many.
    pub coordinator_calls_refused: u32,
    /// Fills at the origin.
    pub origin_fills: u32,
    /// Fills that the origin refused.
    pub origin_fills_refused: u32,
    /// Answers of caches.
    pub cache_answers: u32,
    /// Answers of caches from what they had cached.
    pub cache_hits: u32,
}

/// Something that the coordinator numbered.
#[derive(Clone)]
pub(crate) struct Numbered<T> {
    pub(crate) number: u64,
    pub(crate) content: T,
}

/// What changes in one world.
#[derive(Default)]
pub(crate) struct State {
    pub(crate) hosts: BTreeMap<String, HostState>,
    pub(crate) record: Vec<RecordEntry>,
    /// The coordinator's events as frames, ...
    pub(crate) frames: Vec<Numbered<Vec<u8>>>,
    /// ... and as configurations hold them.
    pub(crate) events: Vec<Numbered<Value>>,
    /// The whole list as it stood after each event, for a coordinator that is rolled back.
    pub(crate) lists: Vec<Numbered<Vec<u8>>>,
    /// The number of the coordinator's last event.
    pub(crate) last_event: u64,
    /// The coordinator says nothing more, with its connections open.
    pub(crate) coordinator_silent: bool,
    /// Counts the coordinator's restarts: connections of an earlier one end.
    pub(crate) coordinator_incarnation: u64,
    /// When the coordinator can answer the next call.
    pub(crate) next_coordinator_call_ms: f64,
    pub(crate) fills_at_origin: u64,
    pub(crate) overloaded_hosts: u64,
    /// When each object was last purged.
    pub(crate) purged_ms: HashMap<String, f64>,
    pub(crate) intervals: Vec<IntervalCounters>,
}

impl State {
    /// The counters of the interval of that time.
    pub(crate) fn interval(&mut self, now_ms: f64) -> &mut IntervalCounters {
        let index = (now_ms / INTERVAL_MS) as usize;
        if self.intervals.len() <= index {
            let none = IntervalCounters::default();
            self.intervals.resize(index + 1, none);
        }
        &mut self.intervals[index]
    }
}

/// One world as its stand-ins see it.
pub(crate) struct SharedState {
    pub(crate) layout: Layout,
    started: Instant,
    /// The wall clock when the world began.
    unix_ms: f64,
    state: Mutex<State>,
    /// Something changed that connections must see.
    pub(crate) changed: Notify,
}

impl SharedState {
    pub(crate) fn new(layout: Layout) -> Arc<SharedState> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        let state = State {
            last_event: 1,
            ..State::default()
        };
        Arc::new(SharedState {
            layout,
            started: Instant::now(),
            unix_ms: unix.unwrap_or_default().as_secs_f64() * 1000.0,
            state: Mutex::new(state),
            changed: Notify::new(),
        })
    }

    /// Milliseconds since the world began.
    pub(crate) fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// The wall clock at a time of the world.
    pub(crate) fn unix_ms(&self, at_ms: f64) -> u64 {
        (self.unix_ms + at_ms) as u64
    }

    /// A time of the world as timers know it.
    pub(crate) fn instant(&self, at_ms: f64) -> tokio::time::Instant {
        (self.started + Duration::from_secs_f64(at_ms.max(0.0) / 1000.0)).into()
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Puts what was seen into the record, with the present time.
    pub(crate) fn record(&self, event: RecordedEvent) {
        let at_ms = self.now();
        self.lock().record.push(RecordEntry { at_ms, event });
    }

    /// What a host of so many slots bears during its slow start.
    pub(crate) fn slow_start(&self, slots: f64) -> SlowStartTerms {
        SlowStartTerms {
            slots,
            initial_fraction: self.layout.slow_start_initial,
            duration_ms: self.layout.slow_start_ms,
            overload_factor: self.layout.overload_factor,
        }
    }

    /// The fraction of its capacity that a host has.
    pub(crate) fn capacity_fraction(&self, host: &HostState, at_ms: f64) -> f64 {
        host.started_ms.map_or(1.0, |started_ms| {
            let slow_start = self.slow_start(host.slots);
            slow_start.capacity_fraction(at_ms - started_ms)
        })
    }

    /// A host's line as configurations hold it.
    pub(crate) fn list_row(&self, id: &str, host: &HostState) -> Value {
        let (class, site) = match host.kind {
            HostKind::Cache => ("cache", "here"),
            HostKind::Parent => ("parent", "hub"),
            HostKind::Origin => ("origin", "hub"),
        };
        let health = match host.health {
            ListedHealth::InService => "Ready",
            ListedHealth::Draining => "Terminating",
        };
        let born_ms = host.started_ms.map_or(0, |at_ms| self.unix_ms(at_ms));
        json!({"host": id, "dial": host.address.to_string(), "site": site, "class": class, "block": 0,
            "health": health, "share": host.slots, "born_ms": born_ms})
    }

    /// The configuration of one dispatcher, whose coordinator is reached at that address.
    pub(crate) fn config(&self, coordinator: SocketAddr) -> Value {
        let state = self.lock();
        let layout = &self.layout;
        let updates: Vec<&Value> = state.events.iter().map(|event| &event.content).collect();
        json!({
            "listen": "127.0.0.1:0",
            "seed": "00000000000000aa",
            "limits": {"memory_mb": layout.memory_mb, "sockets": layout.sockets},
            "coordinator": coordinator.to_string(),
            "known": {"index": state.last_event, "updates": updates},
            "settings": settings(layout)
        })
    }
}
