//! The state that all stand-ins share: hosts, what the coordinator has said, and the record of what was seen.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use flaxdeck_invariants::{RecordEntry, RecordedEvent, SlowStartTerms};
use serde_json::{Value, json};
use tokio::sync::Notify;

/// KB that a place at full pace sends in a millisecond.
pub const KB_PER_MS: f64 = 11.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Cache,
    Parent,
    Origin,
}

/// How a host answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FailureMode {
    Serve,
    /// Takes requests and says nothing.
    Silent,
    /// Answers that it failed.
    Fail,
    /// Takes so many times as long.
    Slow(f64),
}

/// One world's size and terms.
#[derive(Clone, Debug)]
pub struct Layout {
    pub caches: usize,
    pub parents: usize,
    pub cache_places: f64,
    pub parent_places: f64,
    pub origin_places: f64,
    /// Seats of forwarders: the number that the settings tell.
    pub forwarders: usize,
    pub cold_from: f64,
    pub warm_within_ms: f64,
    pub fall_ms: f64,
    pub factor: f64,
    /// Milliseconds to a parent's and the origin's first byte.
    pub parent_latency: f64,
    pub origin_latency: f64,
    pub memory_mb: u32,
    pub sockets: u32,
    /// Connections that a host holds at once; further ones are closed as they come.
    pub host_connections: u32,
    /// Calls a second that the coordinator answers; it closes the others.
    pub lists_per_s: f64,
    /// How long after its announcement copies from before a purge may still be handed out.
    pub purge_grace_ms: f64,
}

impl Default for Layout {
    fn default() -> Layout {
        Layout {
            caches: 4,
            parents: 2,
            cache_places: 12.0,
            parent_places: 16.0,
            origin_places: 24.0,
            forwarders: 3,
            cold_from: 0.2,
            warm_within_ms: 12_000.0,
            fall_ms: 2_000.0,
            factor: 2.0,
            parent_latency: 4.0,
            origin_latency: 25.0,
            memory_mb: 64,
            sockets: 512,
            host_connections: u32::MAX,
            lists_per_s: f64::INFINITY,
            purge_grace_ms: 500.0,
        }
    }
}

pub struct HostState {
    pub kind: Kind,
    pub address: SocketAddr,
    pub places: f64,
    pub failure_mode: FailureMode,
    pub up: bool,
    /// Counts its starts; work of an earlier one is lost.
    pub run: u64,
    /// In milliseconds of the world; none for long past.
    pub started: Option<f64>,
    /// Copies by object, with when they were made at the origin.
    pub held: HashMap<String, f64>,
    pub in_hand: u32,
    /// When each place is free again.
    pub busy: Vec<f64>,
    pub work: VecDeque<(f64, f64)>,
    pub spent: f64,
    pub handled: u64,
    pub state: u8,
    pub connections: u32,
}

/// What came to all stand-ins of a kind within one tenth of a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct IntervalCounters {
    /// Connections opened at caches, parents and the origin, and those that they closed as too many.
    pub connects: u32,
    pub turned_away: u32,
    /// The most connections that any host held.
    pub held_most: u32,
    /// Calls at the coordinator, those that it closed, and bytes of lists that it sent.
    pub list_calls: u32,
    pub lists_refused: u32,
    pub list_bytes: u32,
    /// Fills at the origin, and those that it refused.
    pub origin_fills: u32,
    pub origin_refused: u32,
    /// Answers of caches, and those of them from what was held.
    pub cache_answers: u32,
    pub cache_hits: u32,
}

/// Milliseconds of one interval.
pub const INTERVAL: f64 = 100.0;

impl State {
    /// The count of the tenth of a second at that time.
    pub fn interval(&mut self, now: f64) -> &mut IntervalCounters {
        let at = (now / INTERVAL) as usize;
        if self.intervals.len() <= at {
            self.intervals.resize(at + 1, IntervalCounters::default());
        }
        &mut self.intervals[at]
    }
}

/// What stands still or moves in one world.
pub struct State {
    pub hosts: BTreeMap<String, HostState>,
    pub record: Vec<RecordEntry>,
    /// The coordinator's numbered frames, and the same as configurations hold them.
    pub frames: Vec<(u64, Vec<u8>)>,
    pub events: Vec<(u64, Value)>,
    pub known: u64,
    /// The coordinator says nothing more, with its connections open.
    pub mute: bool,
    pub fills_at_origin: u64,
    pub fell_over: u64,
    /// Objects with the time of their last purge.
    pub purged: HashMap<String, f64>,
    pub intervals: Vec<IntervalCounters>,
    /// The whole list as it stood after each event, for a coordinator that is put back.
    pub lists: Vec<(u64, Vec<u8>)>,
    /// Counts the coordinator's restarts: connections of an earlier one end.
    pub coordinator_run: u64,
    /// When the coordinator can answer the next call.
    pub next_call: f64,
}

pub struct SharedState {
    pub layout: Layout,
    start: Instant,
    unix: f64,
    state: Mutex<State>,
    /// Something changed that connections must see.
    pub changed: Notify,
}

impl SharedState {
    pub fn new(layout: Layout) -> Arc<SharedState> {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_secs_f64()
            * 1000.0;
        let state = State {
            hosts: BTreeMap::new(),
            record: Vec::new(),
            frames: Vec::new(),
            events: Vec::new(),
            known: 1,
            mute: false,
            fills_at_origin: 0,
            fell_over: 0,
            purged: HashMap::new(),
            intervals: Vec::new(),
            lists: Vec::new(),
            coordinator_run: 0,
            next_call: 0.0,
        };
        Arc::new(SharedState {
            layout,
            start: Instant::now(),
            unix,
            state: Mutex::new(state),
            changed: Notify::new(),
        })
    }

    /// Milliseconds since the world began.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    pub fn unix_ms(&self, at: f64) -> u64 {
        (self.unix + at) as u64
    }

    pub fn instant(&self, at: f64) -> tokio::time::Instant {
        (self.start + Duration::from_secs_f64(at.max(0.0) / 1000.0)).into()
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Puts what was seen into the record, with the present time.
    pub fn record(&self, event: RecordedEvent) {
        let at_ms = self.now();
        self.lock().record.push(RecordEntry { at_ms, event });
    }

    pub fn slow_start(&self, places: f64) -> SlowStartTerms {
        let layout = &self.layout;
        SlowStartTerms {
            slots: places,
            initial_fraction: layout.cold_from,
            duration_ms: layout.warm_within_ms,
            overload_factor: layout.factor,
        }
    }

    /// The part of its capacity that a host has.
    pub fn part(&self, host: &HostState, at: f64) -> f64 {
        host.started.map_or(1.0, |started| {
            self.slow_start(host.places).capacity_fraction(at - started)
        })
    }

    /// A host's line as configurations hold it.
    pub fn row(&self, id: &str, host: &HostState) -> Value {
        let (class, site) = match host.kind {
            Kind::Cache => ("cache", "here"),
            Kind::Parent => ("parent", "hub"),
            Kind::Origin => ("origin", "hub"),
        };
        let health = ["Ready", "Terminating", "Gone"][usize::from(host.state.min(2))];
        let born = host.started.map_or(0, |at| self.unix_ms(at));
        json!({"host": id, "dial": host.address.to_string(), "site": site, "class": class, "block": 0,
            "health": health, "share": host.places, "born_ms": born})
    }

    /// The configuration of one dispatcher, whose coordinator is reached at that address.
    pub fn config(&self, coordinator: SocketAddr) -> Value {
        let state = self.lock();
        let layout = &self.layout;
        json!({
            "listen": "127.0.0.1:0",
            "seed": "00000000000000aa",
            "limits": {"memory_mb": layout.memory_mb, "sockets": layout.sockets},
            "coordinator": coordinator.to_string(),
            "known": {"index": state.known, "updates": state.events.iter().map(|(_, event)| event).collect::<Vec<_>>()},
            "settings": settings(layout)
        })
    }
}

/// The platform's settings of a world of that layout.
pub fn settings(layout: &Layout) -> Value {
    json!({
        "allowed": {"cancel": true, "conn_idle_ms": 15000.0, "connect_timeout_ms": 400.0, "max_attempts": 6,
            "max_retry_after_ms": 2000.0, "may_duplicate": true, "retry_after": true},
        "family": "edge",
        "family_info": {"class_parts": [false, false], "client_kb_per_s": KB_PER_MS * 1000.0,
            "collapses": false, "count_by_zone": [layout.forwarders, 0], "direct": true,
            "goes_through": [false, true], "max_age_ms": [0.0, 0.0], "purge_grace_ms": layout.purge_grace_ms,
            "purge_settles_ms": 6000.0, "shield_kind": 1, "source_kind": 2,
            "upper_cold_from": layout.cold_from, "upper_cold_ms": layout.warm_within_ms,
            "upper_fall_multiple": layout.factor},
        "group_size": layout.forwarders,
        "kinds": ["cache", "parent", "origin"],
        "request_classes": [
            {"name": "page", "effect": "idempotent", "objective_ms": 400.0, "aim_stretch": 2.0,
                "deadline_ms": 2500.0},
            {"name": "submit", "effect": "at_most_once", "objective_ms": 800.0, "deadline_ms": 2500.0}],
        "rules": {"answer_slack_ms": 8.0, "cold_from": layout.cold_from, "fall_ms": layout.fall_ms,
            "overload_factor": layout.factor, "stop_sending_within_ms": 1000.0,
            "warm_within_ms": layout.warm_within_ms},
        "stats": {"fields": ["outstanding", "x0", "x1"], "via": "inline"},
        "tick_ms": 2.0, "zone": "here", "zones": ["here", "hub"]
    })
}

/// KB of an object, which follow from its name: 100 to 339, so 10 to 31 ms of a place. Its bytes are fewer.
pub fn kb_of(object: &str) -> u64 {
    100 + u64::from_str_radix(object, 16)
        .unwrap_or(0)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        % 240
}

/// The bytes of an object as it stood at that time: its name and version, over and over.
pub fn body_of(object: &str, made: f64) -> Vec<u8> {
    format!("{object} as of {made:.3}. ")
        .repeat(20)
        .into_bytes()
}

/// When the copy was made whose bytes these are; none if they are not the object's own throughout.
pub fn made_of(object: &str, body: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(body).ok()?;
    let made: f64 = text
        .strip_prefix(object)?
        .strip_prefix(" as of ")?
        .split(". ")
        .next()?
        .parse()
        .ok()?;
    (body_of(object, made) == body).then_some(made)
}
