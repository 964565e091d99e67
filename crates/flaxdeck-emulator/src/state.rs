//! The state that all stand-ins share: the hosts, the events that the coordinator has published, and the record.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use flaxdeck_invariants::{RecordEntry, RecordedEvent, SlowStartTerms};
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::layout::{Layout, settings};
use crate::sync::lock;

/// The length of one interval of [`IntervalCounters`], in milliseconds.
pub const INTERVAL_MS: f64 = 100.0;

/// The tier that a host belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostKind {
    /// A cache host, to which forwarders send most requests.
    Cache,
    /// A parent, from which cache hosts fill misses.
    Parent,
    /// The origin, which has every object.
    Origin,
}

/// How a host answers requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FailureMode {
    /// Answers normally.
    Healthy,
    /// Accepts requests and never answers.
    Silent,
    /// Answers every request with a failure.
    Failing,
    /// Takes this many times as long as a healthy host.
    Slow(f64),
}

/// A host's health in the coordinator's list; the discriminants are the values in its frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListedHealth {
    InService = 0,
    Draining = 1,
}

/// One piece of work that was requested from a host.
pub(crate) struct WorkItem {
    pub(crate) at_ms: f64,
    pub(crate) cost_ms: f64,
}

/// The state of one host.
pub(crate) struct HostState {
    pub(crate) kind: HostKind,
    pub(crate) address: SocketAddr,
    pub(crate) slots: f64,
    pub(crate) failure_mode: FailureMode,
    pub(crate) up: bool,
    /// Incremented at each crash and restart; work of an earlier incarnation is lost.
    pub(crate) incarnation: u64,
    /// When the host started; `None` if it has been warm since before the world started.
    pub(crate) started_ms: Option<f64>,
    /// The cached objects, with the time at which each copy was made at the origin.
    pub(crate) cached_ms: HashMap<String, f64>,
    pub(crate) requests_in_flight: u32,
    /// The time at which each slot becomes free.
    pub(crate) slots_free_ms: Vec<f64>,
    /// Work requested within the last load window.
    pub(crate) recent_work: VecDeque<WorkItem>,
    /// The total cost of `recent_work`.
    pub(crate) recent_work_ms: f64,
    pub(crate) health: ListedHealth,
    pub(crate) connections: u32,
}

impl HostState {
    /// Creates a warm host in service with an empty cache.
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
            requests_in_flight: 0,
            slots_free_ms: vec![0.0; (slots as usize).max(1)],
            recent_work: VecDeque::new(),
            recent_work_ms: 0.0,
            health: ListedHealth::InService,
            connections: 0,
        }
    }

    /// Takes the host down; its requests in flight are lost.
    pub(crate) fn crash(&mut self) {
        self.up = false;
        self.incarnation += 1;
    }

    /// Restarts the host in service, cold and with an empty cache.
    pub(crate) fn restart(&mut self, now_ms: f64) {
        *self = HostState {
            incarnation: self.incarnation + 1,
            started_ms: Some(now_ms),
            ..HostState::new(self.kind, self.address, self.slots)
        };
    }

    /// Returns when the host's cached copy of `object` was made, if it was made at `oldest_ms` or later.
    pub(crate) fn cached(&self, object: &str, oldest_ms: f64) -> Option<f64> {
        let made_ms = self.cached_ms.get(object).copied();
        made_ms.filter(|made_ms| *made_ms >= oldest_ms)
    }
}

/// Counters of the stand-ins over one interval of [`INTERVAL_MS`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct IntervalCounters {
    /// Connections opened to caches, parents and the origin.
    pub connections_opened: u32,
    /// Connections that they closed at once because they were at their connection limit.
    pub connections_refused: u32,
    /// The largest number of connections that a single host held.
    pub peak_connections: u32,
    /// Calls to the coordinator.
    pub coordinator_calls: u32,
    /// Calls that the coordinator closed because they exceeded its call rate.
    pub coordinator_calls_refused: u32,
    /// Fills that the origin accepted.
    pub origin_fills: u32,
    /// Fills that the origin rejected.
    pub origin_fills_refused: u32,
    /// Copies that cache hosts answered with, from cache or after a fill; writes and errors are not counted.
    pub cache_answers: u32,
    /// Those of `cache_answers` that were served from cache.
    pub cache_hits: u32,
}

/// An item with the number that the coordinator gave it.
#[derive(Clone)]
pub(crate) struct Numbered<T> {
    pub(crate) number: u64,
    pub(crate) content: T,
}

/// The mutable state of one world.
#[derive(Default)]
pub(crate) struct State {
    pub(crate) hosts: BTreeMap<String, HostState>,
    pub(crate) record: Vec<RecordEntry>,
    /// The coordinator's events, encoded as frames.
    pub(crate) frames: Vec<Numbered<Vec<u8>>>,
    /// The same events in the form of the configuration file.
    pub(crate) events: Vec<Numbered<Value>>,
    /// The full list after each event, needed when the coordinator is rolled back.
    pub(crate) lists: Vec<Numbered<Vec<u8>>>,
    /// The number of the coordinator's last event.
    pub(crate) last_event: u64,
    /// Whether the coordinator sends nothing on its open connections.
    pub(crate) coordinator_silent: bool,
    /// The time between two events on a connection to the coordinator.
    pub(crate) coordinator_pace: Duration,
    /// Incremented at each restart of the coordinator; connections of an earlier incarnation are closed.
    pub(crate) coordinator_incarnation: u64,
    /// The earliest time at which the coordinator accepts the next call.
    pub(crate) next_coordinator_call_ms: f64,
    pub(crate) fills_at_origin: u64,
    pub(crate) overloaded_hosts: u64,
    /// The time of the last purge of each object.
    pub(crate) purged_ms: HashMap<String, f64>,
    pub(crate) intervals: Vec<IntervalCounters>,
}

impl State {
    /// Returns the counters of the interval that contains `now_ms`.
    pub(crate) fn interval(&mut self, now_ms: f64) -> &mut IntervalCounters {
        let index = (now_ms / INTERVAL_MS) as usize;
        if self.intervals.len() <= index {
            let zero = IntervalCounters::default();
            self.intervals.resize(index + 1, zero);
        }
        &mut self.intervals[index]
    }
}

/// The part of a world that its stand-ins share.
pub(crate) struct SharedState {
    pub(crate) layout: Layout,
    started: Instant,
    /// The wall clock at the start of the world, in milliseconds since the Unix epoch.
    unix_ms: f64,
    state: Mutex<State>,
    /// Notified when connections have to look at the state again.
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

    /// Returns the milliseconds since the start of the world.
    pub(crate) fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// Converts a time of the world to milliseconds since the Unix epoch.
    pub(crate) fn unix_ms(&self, at_ms: f64) -> u64 {
        (self.unix_ms + at_ms) as u64
    }

    /// Converts a time of the world to an instant for timers.
    pub(crate) fn instant(&self, at_ms: f64) -> tokio::time::Instant {
        (self.started + Duration::from_secs_f64(at_ms.max(0.0) / 1000.0)).into()
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Adds an event to the record with the current time.
    pub(crate) fn record(&self, event: RecordedEvent) {
        let at_ms = self.now();
        self.lock().record.push(RecordEntry { at_ms, event });
    }

    /// Returns the slow-start terms of a host with `slots` slots.
    pub(crate) fn slow_start(&self, slots: f64) -> SlowStartTerms {
        SlowStartTerms {
            slots,
            initial_fraction: self.layout.slow_start_initial,
            duration_ms: self.layout.slow_start_ms,
            overload_factor: self.layout.overload_factor,
        }
    }

    /// Returns the fraction of its full capacity that a host has at `at_ms`.
    pub(crate) fn capacity_fraction(&self, host: &HostState, at_ms: f64) -> f64 {
        host.started_ms.map_or(1.0, |started_ms| {
            let slow_start = self.slow_start(host.slots);
            slow_start.capacity_fraction(at_ms - started_ms)
        })
    }

    /// Returns a host's row of the endpoint list in the form of the configuration file.
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

    /// Returns the configuration of a dispatcher that connects to the coordinator at this address.
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
