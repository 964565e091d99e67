//! The numbering under a coordinator that forgets, is restored from a backup and jumps ahead, over links that break and fall silent,
//! with a second instance that passes on what it knows: random schedules of the real machines in virtual time. What must
//! hold: who takes itself for current hands nothing to a host that the coordinator has withdrawn.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed expectation fails the test"
)]

use std::collections::{BTreeMap, VecDeque};

use flaxdeck::{CellId, Endpoint, Health, HostId, Role, Time};
use flaxdeck_recovery::EventPosition;
use flaxdeck_recovery::numbering::{EventAction, Numbering};
use flaxdeck_recovery::unconfirmed::UnconfirmedEndpoints;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const HOSTS: usize = 3;
const STEP: u64 = 10;
/// After that a word that was sent has come on any link that is whole.
const COMES: u64 = 40;

/// How long what others bring may stand against the coordinator.
const CONTRADICTED: u64 = 800;

/// Whether each host is withdrawn.
type Withdrawn = [bool; HOSTS];

#[derive(Clone, Debug)]
struct Event {
    position: EventPosition,
    whole: bool,
    healths: Withdrawn,
}

struct Coordinator {
    run: u64,
    events: Vec<Event>,
    hashes: u64,
    /// Its events bear hashes that tell them apart.
    hashed: bool,
}

impl Coordinator {
    fn last(&self) -> &Event {
        self.events.last().expect("a list is always there")
    }

    fn position(&mut self, number: u64) -> EventPosition {
        self.hashes += 1;
        EventPosition {
            number,
            hash: if self.hashed { self.hashes } else { 1 },
        }
    }

    fn tell(&mut self, random: &mut Pcg64Mcg) {
        let mut healths = self.last().healths;
        let host = random.random_range(0..HOSTS);
        healths[host] = !healths[host];
        let number = self.last().position.number + 1;
        let position = self.position(number);
        self.events.push(Event {
            position,
            whole: false,
            healths,
        });
    }

    /// It starts anew with its list as event `number`.
    fn list(&mut self, number: u64, healths: Withdrawn) {
        self.run += 1;
        let position = self.position(number);
        self.events = vec![Event {
            position,
            whole: true,
            healths,
        }];
    }

    fn restore(&mut self, events: usize) {
        self.run += 1;
        let left = self.events.len().saturating_sub(events).max(1);
        self.events.truncate(left);
    }

    /// What follows that number, as stand-ins and the platform's page have it.
    fn news(&self, last: u64) -> Vec<Event> {
        if last > self.last().position.number {
            return vec![Event {
                whole: true,
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

struct Link {
    run: u64,
    sent: u64,
    /// What is on its way, with the time at which it comes; none is an empty frame.
    coming: VecDeque<(u64, Option<Event>)>,
    quiet_since: u64,
    /// It is open and dead.
    held: bool,
}

impl Link {
    /// The coordinator sends what is new, or an empty frame after a quiet second.
    fn send(&mut self, ms: u64, coordinator: &Coordinator, random: &mut Pcg64Mcg) {
        let last = self.coming.back().map_or(ms, |(at, _)| *at);
        let late = last.max(ms + random.random_range(0..COMES));
        for event in &coordinator.events {
            if event.position.number > self.sent {
                self.coming.push_back((late, Some(event.clone())));
                self.quiet_since = ms;
            }
        }
        self.sent = coordinator.last().position.number;
        if ms - self.quiet_since >= 1_000 {
            self.coming.push_back((late, None));
            self.quiet_since = ms;
        }
    }

    fn arrived(&mut self, ms: u64) -> Vec<Option<Event>> {
        let mut arrived = Vec::new();
        while let Some((_, event)) = self.coming.pop_front_if(|(at, _)| *at <= ms) {
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
    healths: Withdrawn,
    link: Option<Link>,
    again_at: u64,
    /// What it would pass on, and the event that the first of it follows.
    log: (EventPosition, Vec<Event>),
}

fn line(host: usize, withdrawn: bool) -> Endpoint {
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
    fn new(first: &Event, trusted_numbers: bool) -> Instance {
        let numbering = if trusted_numbers {
            Numbering::with_trusted_numbers(first.position)
        } else {
            Numbering::new(first.position)
        };
        Instance {
            numbering,
            unconfirmed: UnconfirmedEndpoints::default(),
            healths: first.healths,
            link: None,
            again_at: 0,
            log: (first.position, Vec::new()),
        }
    }

    fn applies(&mut self, event: &Event) {
        self.healths = event.healths;
        self.log.1.push(event.clone());
    }

    fn adopts(&mut self, now: Time, event: &Event, may_have_missed: bool) {
        let before: BTreeMap<HostId, Endpoint> = (0..HOSTS)
            .map(|host| line(host, self.healths[host]))
            .map(|line| (line.host.clone(), line))
            .collect();
        let mut list: Vec<Endpoint> = (0..HOSTS)
            .map(|host| line(host, event.healths[host]))
            .collect();
        if may_have_missed {
            list = self.unconfirmed.adopt(now, &before, list).endpoints;
        }
        for (host, line) in list.iter().enumerate() {
            self.healths[host] = line.health != Health::InService;
        }
        self.log = (event.position, Vec::new());
    }

    fn step(&mut self, ms: u64, coordinator: &Coordinator, random: &mut Pcg64Mcg) {
        let Some(link) = &mut self.link else {
            if ms >= self.again_at {
                self.connect(ms, coordinator, random);
            }
            return;
        };
        if link.run == coordinator.run && !link.held {
            link.send(ms, coordinator, random);
        }
        let arrived = link.arrived(ms);
        // A coordinator that has restarted closes its connections; one that is held says nothing until it is given up.
        let ended = link.run != coordinator.run && link.coming.is_empty() && !link.held;
        let silent = link.held && ms - link.quiet_since > 2_200;
        if !self.receive(ms, arrived) {
            (self.link, self.again_at) = (None, ms + STEP);
            return;
        }
        let now = time(ms);
        if self.numbering.proof_due().is_some_and(|by| now >= by) {
            let _ = self.numbering.proof_overdue(now);
            (self.link, self.again_at) = (None, ms + STEP);
        } else if ended || silent {
            self.numbering.connection_closed(silent);
            (self.link, self.again_at) = (None, ms + random.random_range(100..1_000));
        }
    }

    fn connect(&mut self, ms: u64, coordinator: &Coordinator, random: &mut Pcg64Mcg) {
        let asked = self.numbering.connection_opened(time(ms));
        let late = ms + random.random_range(0..COMES);
        let coming = coordinator
            .news(asked)
            .into_iter()
            .map(|event| (late, Some(event)))
            .collect();
        self.link = Some(Link {
            run: coordinator.run,
            sent: coordinator.last().position.number,
            coming,
            quiet_since: ms,
            held: false,
        });
    }

    /// Takes in what has arrived, none for an empty frame; false if the connection is to be closed.
    fn receive(&mut self, ms: u64, arrived: Vec<Option<Event>>) -> bool {
        let now = time(ms);
        for event in arrived {
            let action = match &event {
                None => self.numbering.receive_heartbeat(now),
                Some(event) => self.numbering.receive(now, event.position, event.whole),
            };
            match (action, event) {
                (EventAction::Apply, Some(event)) => self.applies(&event),
                (EventAction::Replace(missed), Some(event)) => {
                    self.adopts(now, &event, missed.is_some());
                }
                (EventAction::Reconnect(_), _) => return false,
                _ => {}
            }
        }
        true
    }

    /// Takes what another knows to follow what is known here.
    fn relayed(&mut self, ms: u64, other: &Instance) {
        let now = time(ms);
        let last = self.numbering.last();
        let at = if other.log.0 == last {
            Some(0)
        } else {
            other
                .log
                .1
                .iter()
                .position(|event| event.position == last)
                .map(|at| at + 1)
        };
        let Some(event) = at.and_then(|at| other.log.1.get(at)).cloned() else {
            return;
        };
        if self.numbering.accept_relayed(now, last, event.position) {
            self.applies(&event);
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum How {
    Real,
    /// Numbers alone are trusted, as by the platform's page.
    TrustedNumbers,
    /// Events are told apart by their numbers alone.
    Unhashed,
}

/// Something happens to the coordinator or to a connection, by random.
fn disturb(
    seed: u64,
    coordinator: &mut Coordinator,
    instances: &mut [Instance; 2],
    random: &mut Pcg64Mcg,
) {
    let before = coordinator.last().healths;
    match random.random_range(0..1_000) {
        // On quiet days nothing contradicts soon what peers bring.
        n @ 0..30 if n < 3 || seed.is_multiple_of(2) => coordinator.tell(random),
        30..32 => coordinator.list(1, before),
        32..34 => coordinator.restore(random.random_range(1..4)),
        34 => {
            let number = coordinator.last().position.number + random.random_range(2..50);
            coordinator.list(number, before);
        }
        35..39 => {
            let instance = &mut instances[random.random_range(0..2)];
            if let Some(link) = &mut instance.link {
                link.held = true;
                link.coming.clear();
            }
        }
        _ => {}
    }
}

/// Plays one schedule; gives the first moment at which somebody who takes itself for current would use a host that has
/// been withdrawn for long enough.
fn play(seed: u64, how: How) -> Option<String> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut coordinator = Coordinator {
        run: 0,
        events: Vec::new(),
        hashes: 0,
        hashed: how != How::Unhashed,
    };
    coordinator.list(1, [false; HOSTS]);
    coordinator.run = 0;
    let first = coordinator.last().clone();
    let mut instances = [(); 2].map(|()| Instance::new(&first, how == How::TrustedNumbers));
    let mut withdrawn_since = [None::<u64>; HOSTS];
    let mut wrong_since = [[None::<u64>; HOSTS]; 2];
    for ms in (0..12_000).step_by(STEP as usize) {
        disturb(seed, &mut coordinator, &mut instances, &mut random);
        for (since, withdrawn) in withdrawn_since.iter_mut().zip(coordinator.last().healths) {
            *since = if withdrawn { since.or(Some(ms)) } else { None };
        }
        for instance in &mut instances {
            instance.step(ms, &coordinator, &mut random);
        }
        if ms % 50 == 0 {
            let [one, other] = &mut instances;
            one.relayed(ms, other);
            other.relayed(ms, one);
        }
        for (n, instance) in instances.iter().enumerate() {
            let now = time(ms);
            let linked = instance
                .link
                .as_ref()
                .is_some_and(|link| link.run == coordinator.run && !link.held);
            let current = linked && instance.numbering.is_current(now);
            for host in 0..HOSTS {
                let long = withdrawn_since[host].is_some_and(|since| ms >= since + 3 * COMES);
                let wrong = current && long && !instance.healths[host];
                let since = &mut wrong_since[n][host];
                *since = if wrong { since.or(Some(ms)) } else { None };
                // What others bring of a history that is no more is contradicted once the link has not brought it.
                if since.is_some_and(|since| ms >= since + CONTRADICTED) {
                    return Some(format!("at {ms} instance {n} uses host {host}"));
                }
            }
        }
    }
    None
}

#[test]
fn who_takes_itself_for_current_uses_no_host_that_was_withdrawn() {
    for seed in 0..3_000 {
        assert_eq!(play(seed, How::Real), None, "seed {seed}");
    }
}

#[test]
fn trusting_numbers_alone_is_found() {
    assert!((0..100).any(|seed| play(seed, How::TrustedNumbers).is_some()));
}

#[test]
fn telling_events_apart_by_their_numbers_alone_is_found() {
    assert!((0..300).any(|seed| play(seed, How::Unhashed).is_some()));
}
