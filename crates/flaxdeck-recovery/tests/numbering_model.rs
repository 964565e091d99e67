//! Random schedules of the real state machines in virtual time. The coordinator loses its numbering, is restored from a
//! backup or skips numbers; connections break or hang; and two instances relay events to each other. The invariant: an
//! instance that counts as current uses no host that the coordinator has withdrawn.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::collections::{BTreeMap, VecDeque};

use flaxdeck::{CellId, Endpoint, Health, HostId, Role, Time};
use flaxdeck_recovery::EventPosition;
use flaxdeck_recovery::numbering::{EventAction, Heartbeat, Numbering};
use flaxdeck_recovery::unconfirmed::UnconfirmedEndpoints;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const HOSTS: usize = 3;
/// Time step of a schedule.
const STEP_MS: u64 = 10;
/// Upper limit of the delay of a frame on a connection that works.
const MAX_DELIVERY_MS: u64 = 40;

/// Time within which the coordinator has to contradict relayed events of a previous numbering.
const CONTRADICTION_LIMIT_MS: u64 = 800;

/// Whether each host is withdrawn.
type Withdrawn = [bool; HOSTS];

#[derive(Clone, Debug)]
struct Event {
    position: EventPosition,
    is_full_list: bool,
    withdrawn: Withdrawn,
}

struct Coordinator {
    run: u64,
    events: Vec<Event>,
    last_hash: u64,
    /// Whether the hashes of different events differ.
    has_distinct_hashes: bool,
}

impl Coordinator {
    fn last(&self) -> &Event {
        self.events
            .last()
            .expect("the coordinator always has at least a full list")
    }

    fn position(&mut self, number: u64) -> EventPosition {
        self.last_hash += 1;
        EventPosition {
            number,
            hash: if self.has_distinct_hashes {
                self.last_hash
            } else {
                1
            },
        }
    }

    fn publish_change(&mut self, random: &mut Pcg64Mcg) {
        let mut withdrawn = self.last().withdrawn;
        let host = random.random_range(0..HOSTS);
        withdrawn[host] = !withdrawn[host];
        let number = self.last().position.number + 1;
        let position = self.position(number);
        self.events.push(Event {
            position,
            is_full_list: false,
            withdrawn,
        });
    }

    /// Restarts with a full list as event `number`.
    fn restart_with_list(&mut self, number: u64, withdrawn: Withdrawn) {
        self.run += 1;
        let position = self.position(number);
        self.events = vec![Event {
            position,
            is_full_list: true,
            withdrawn,
        }];
    }

    fn restore(&mut self, events: usize) {
        self.run += 1;
        let left = self.events.len().saturating_sub(events).max(1);
        self.events.truncate(left);
    }

    /// Returns the events after that number, as the coordinator's stand-ins and the platform's documentation do.
    fn events_after(&self, last: u64) -> Vec<Event> {
        if last > self.last().position.number {
            return vec![Event {
                is_full_list: true,
                ..self.last().clone()
            }];
        }
        self.events
            .iter()
            .filter(|event| event.position.number > last)
            .cloned()
            .collect()
    }
}

struct Connection {
    run: u64,
    sent: u64,
    /// Frames in flight with their arrival times; none is a heartbeat.
    in_flight: VecDeque<(u64, Option<Event>)>,
    last_sent: u64,
    /// The connection is open, but nothing is sent on it any more.
    is_hung: bool,
}

impl Connection {
    /// Sends the coordinator's new events, or a heartbeat after a second without any.
    fn send(&mut self, ms: u64, coordinator: &Coordinator, random: &mut Pcg64Mcg) {
        let last = self.in_flight.back().map_or(ms, |(at, _)| *at);
        let arrives_at = last.max(ms + random.random_range(0..MAX_DELIVERY_MS));
        for event in &coordinator.events {
            if event.position.number > self.sent {
                self.in_flight.push_back((arrives_at, Some(event.clone())));
                self.last_sent = ms;
            }
        }
        self.sent = coordinator.last().position.number;
        if ms - self.last_sent >= 1_000 {
            self.in_flight.push_back((arrives_at, None));
            self.last_sent = ms;
        }
    }

    fn arrived(&mut self, ms: u64) -> Vec<Option<Event>> {
        let mut arrived = Vec::new();
        while let Some((_, event)) = self.in_flight.pop_front_if(|(at, _)| *at <= ms) {
            arrived.push(event);
        }
        arrived
    }
}

fn time(ms: u64) -> Time {
    Time::at_ms(1_000.0 + ms as f64)
}

struct Instance {
    numbering: Numbering,
    unconfirmed: UnconfirmedEndpoints,
    withdrawn: Withdrawn,
    connection: Option<Connection>,
    reconnect_at: u64,
    /// The events that it relays, and the position that the first of them follows.
    relay_log: (EventPosition, Vec<Event>),
}

fn endpoint(host: usize, withdrawn: bool) -> Endpoint {
    let health = if withdrawn {
        Health::Draining
    } else {
        Health::InService
    };
    let (host, cell) = (HostId(format!("s-{host}").into()), CellId(0));
    Endpoint {
        host,
        weight: 1.0,
        zone: None,
        cell,
        role: Role::Cache,
        health,
        started: None,
    }
}

impl Instance {
    fn new(first: &Event, trusts_numbers: bool) -> Instance {
        let numbering = if trusts_numbers {
            Numbering::with_trusted_numbers(first.position)
        } else {
            Numbering::new(first.position)
        };
        Instance {
            numbering,
            unconfirmed: UnconfirmedEndpoints::default(),
            withdrawn: first.withdrawn,
            connection: None,
            reconnect_at: 0,
            relay_log: (first.position, Vec::new()),
        }
    }

    fn apply(&mut self, event: &Event) {
        self.withdrawn = event.withdrawn;
        self.relay_log.1.push(event.clone());
    }

    fn adopt(&mut self, now: Time, event: &Event, may_have_missed: bool) {
        let before: BTreeMap<HostId, Endpoint> = (0..HOSTS)
            .map(|host| endpoint(host, self.withdrawn[host]))
            .map(|endpoint| (endpoint.host.clone(), endpoint))
            .collect();
        let mut list: Vec<Endpoint> = (0..HOSTS)
            .map(|host| endpoint(host, event.withdrawn[host]))
            .collect();
        if may_have_missed {
            list = self.unconfirmed.adopt(now, &before, list).endpoints;
        }
        for (host, endpoint) in list.iter().enumerate() {
            self.withdrawn[host] = endpoint.health != Health::InService;
        }
        self.relay_log = (event.position, Vec::new());
    }

    fn step(&mut self, ms: u64, coordinator: &Coordinator, random: &mut Pcg64Mcg) {
        let Some(connection) = &mut self.connection else {
            if ms >= self.reconnect_at {
                self.connect(ms, coordinator, random);
            }
            return;
        };
        if connection.run == coordinator.run && !connection.is_hung {
            connection.send(ms, coordinator, random);
        }
        let arrived = connection.arrived(ms);
        // A restarted coordinator closes its connections; a hung connection stays open until it times out.
        let closed = connection.run != coordinator.run
            && connection.in_flight.is_empty()
            && !connection.is_hung;
        let timed_out = connection.is_hung && ms - connection.last_sent > 2_200;
        if !self.receive(ms, arrived) {
            (self.connection, self.reconnect_at) = (None, ms + STEP_MS);
            return;
        }
        let now = time(ms);
        if self.numbering.proof_due().is_some_and(|by| now >= by) {
            let _ = self.numbering.proof_overdue();
            (self.connection, self.reconnect_at) = (None, ms + STEP_MS);
        } else if closed || timed_out {
            self.numbering.connection_closed(timed_out);
            (self.connection, self.reconnect_at) = (None, ms + random.random_range(100..1_000));
        }
    }

    fn connect(&mut self, ms: u64, coordinator: &Coordinator, random: &mut Pcg64Mcg) {
        let requested_after = self.numbering.connection_opened(time(ms));
        let arrives_at = ms + random.random_range(0..MAX_DELIVERY_MS);
        let in_flight = coordinator
            .events_after(requested_after)
            .into_iter()
            .map(|event| (arrives_at, Some(event)))
            .collect();
        self.connection = Some(Connection {
            run: coordinator.run,
            sent: coordinator.last().position.number,
            in_flight,
            last_sent: ms,
            is_hung: false,
        });
    }

    /// Handles the frames that arrived, none for a heartbeat. Returns false if the connection has to be closed.
    fn receive(&mut self, ms: u64, arrived: Vec<Option<Event>>) -> bool {
        let now = time(ms);
        for event in arrived {
            let action = match &event {
                None => {
                    let heartbeat = Heartbeat {
                        number: self.numbering.last().number,
                        sent: now,
                    };
                    self.numbering.receive_heartbeat(now, heartbeat)
                }
                Some(event) => self
                    .numbering
                    .receive(now, event.position, event.is_full_list),
            };
            match (action, event) {
                (EventAction::Apply, Some(event)) => self.apply(&event),
                (EventAction::Replace(missed), Some(event)) => {
                    self.adopt(now, &event, missed.is_some());
                }
                (EventAction::Reconnect(_), _) => return false,
                _ => {}
            }
        }
        true
    }

    /// Accepts the event that follows the last known one, if the other instance has it.
    fn accept_relayed_from(&mut self, ms: u64, other: &Instance) {
        let now = time(ms);
        let last = self.numbering.last();
        let next = if other.relay_log.0 == last {
            Some(0)
        } else {
            other
                .relay_log
                .1
                .iter()
                .position(|event| event.position == last)
                .map(|last| last + 1)
        };
        let Some(event) = next.and_then(|next| other.relay_log.1.get(next)).cloned() else {
            return;
        };
        if self.numbering.accept_relayed(now, last, event.position) {
            self.apply(&event);
        }
    }
}

/// The real machines, or a mutation that the model has to detect.
#[derive(Clone, Copy, PartialEq)]
enum Variant {
    Real,
    /// Mutation: instances trust numbers without proof, as the platform's documentation allows.
    TrustedNumbers,
    /// Mutation: all events have the same hash, so that only numbers distinguish them.
    Unhashed,
}

/// Applies a random change or fault to the coordinator or a connection, or none.
fn inject_fault(
    seed: u64,
    coordinator: &mut Coordinator,
    instances: &mut [Instance; 2],
    random: &mut Pcg64Mcg,
) {
    let before = coordinator.last().withdrawn;
    match random.random_range(0..1_000) {
        // Odd seeds have few events, so that nothing soon contradicts what peers relay.
        n @ 0..30 if n < 3 || seed.is_multiple_of(2) => coordinator.publish_change(random),
        30..32 => coordinator.restart_with_list(1, before),
        32..34 => coordinator.restore(random.random_range(1..4)),
        34 => {
            let number = coordinator.last().position.number + random.random_range(2..50);
            coordinator.restart_with_list(number, before);
        }
        35..39 => {
            let instance = &mut instances[random.random_range(0..2)];
            if let Some(connection) = &mut instance.connection {
                connection.is_hung = true;
                connection.in_flight.clear();
            }
        }
        _ => {}
    }
}

/// Runs one schedule. Returns the first violation, if any: an instance counts as current and uses a host that has long
/// been withdrawn.
fn run_schedule(seed: u64, variant: Variant) -> Option<String> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut coordinator = Coordinator {
        run: 0,
        events: Vec::new(),
        last_hash: 0,
        has_distinct_hashes: variant != Variant::Unhashed,
    };
    coordinator.restart_with_list(1, [false; HOSTS]);
    coordinator.run = 0;
    let first = coordinator.last().clone();
    let mut instances = [(); 2].map(|()| Instance::new(&first, variant == Variant::TrustedNumbers));
    let mut withdrawn_since = [None::<u64>; HOSTS];
    let mut violation_since = [[None::<u64>; HOSTS]; 2];
    for ms in (0..12_000).step_by(STEP_MS as usize) {
        inject_fault(seed, &mut coordinator, &mut instances, &mut random);
        for (since, withdrawn) in withdrawn_since.iter_mut().zip(coordinator.last().withdrawn) {
            *since = if withdrawn { since.or(Some(ms)) } else { None };
        }
        for instance in &mut instances {
            instance.step(ms, &coordinator, &mut random);
        }
        if ms % 50 == 0 {
            let [one, other] = &mut instances;
            one.accept_relayed_from(ms, other);
            other.accept_relayed_from(ms, one);
        }
        for (n, instance) in instances.iter().enumerate() {
            let now = time(ms);
            let is_connected = instance
                .connection
                .as_ref()
                .is_some_and(|connection| connection.run == coordinator.run && !connection.is_hung);
            let current = is_connected && instance.numbering.is_caught_up(now);
            for host in 0..HOSTS {
                let long =
                    withdrawn_since[host].is_some_and(|since| ms >= since + 3 * MAX_DELIVERY_MS);
                let uses_withdrawn = current && long && !instance.withdrawn[host];
                let since = &mut violation_since[n][host];
                *since = if uses_withdrawn {
                    since.or(Some(ms))
                } else {
                    None
                };
                // Relayed events of a previous numbering are contradicted once the connection fails to deliver them.
                if since.is_some_and(|since| ms >= since + CONTRADICTION_LIMIT_MS) {
                    return Some(format!(
                        "at {ms} ms, instance {n} uses withdrawn host {host}"
                    ));
                }
            }
        }
    }
    None
}

#[test]
fn a_current_instance_uses_no_withdrawn_host() {
    for seed in 0..3_000 {
        assert_eq!(run_schedule(seed, Variant::Real), None, "seed {seed}");
    }
}

#[test]
fn the_model_detects_trust_in_numbers_alone() {
    assert!((0..100).any(|seed| run_schedule(seed, Variant::TrustedNumbers).is_some()));
}

#[test]
fn the_model_detects_events_without_hashes() {
    assert!((0..300).any(|seed| run_schedule(seed, Variant::Unhashed).is_some()));
}
