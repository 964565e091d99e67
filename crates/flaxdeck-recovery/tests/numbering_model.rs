//! The numbering under a coordinator that forgets, is put back and jumps ahead, over links that break and fall silent,
//! with a second instance that passes on what it knows: random schedules of the real machines in virtual time. What must
//! hold: who takes itself for current hands nothing to a host that the coordinator has withdrawn.

use std::collections::{BTreeMap, VecDeque};

use flaxdeck::{CellId, Endpoint, Health, HostId, Role, Time};
use flaxdeck_recovery::EventPosition;
use flaxdeck_recovery::numbering::{Next, Numbering};
use flaxdeck_recovery::unconfirmed::UnconfirmedEndpoints;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const HOSTS: usize = 3;
const STEP: u64 = 10;
/// After that a word that was sent has come on any link that is whole.
const COMES: u64 = 40;

/// How long what others bring may stand against the coordinator.
const CONTRADICTED: u64 = 800;

type HostHealth = [bool; HOSTS]; // withdrawn or not

#[derive(Clone, Debug)]
struct Event {
    mark: EventPosition,
    whole: bool,
    healths: HostHealth,
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

    fn mark(&mut self, number: u64) -> EventPosition {
        self.hashes += 1;
        EventPosition {
            number,
            hash: if self.hashed { self.hashes } else { 1 },
        }
    }

    fn tell(&mut self, chance: &mut Pcg64Mcg) {
        let mut healths = self.last().healths;
        let host = chance.random_range(0..HOSTS);
        healths[host] = !healths[host];
        let number = self.last().mark.number + 1;
        let mark = self.mark(number);
        self.events.push(Event {
            mark,
            whole: false,
            healths,
        });
    }

    /// It starts anew with its list as event `number`.
    fn list(&mut self, number: u64, healths: HostHealth) {
        self.run += 1;
        let mark = self.mark(number);
        self.events = vec![Event {
            mark,
            whole: true,
            healths,
        }];
    }

    fn put_back(&mut self, events: usize) {
        self.run += 1;
        let left = self.events.len().saturating_sub(events).max(1);
        self.events.truncate(left);
    }

    /// What follows that number, as stand-ins and the platform's page have it.
    fn news(&self, last: u64) -> Vec<Event> {
        if last > self.last().mark.number {
            return vec![Event {
                whole: true,
                ..self.last().clone()
            }];
        }
        self.events
            .iter()
            .filter(|event| event.mark.number > last)
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

struct Instance {
    numbering: Numbering,
    doubted: UnconfirmedEndpoints,
    healths: HostHealth,
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
    fn new(first: &Event, trusting: bool) -> Instance {
        let numbering = if trusting {
            Numbering::trusting(first.mark)
        } else {
            Numbering::new(first.mark)
        };
        let (doubted, healths, log) = (
            UnconfirmedEndpoints::default(),
            first.healths,
            (first.mark, Vec::new()),
        );
        Instance {
            numbering,
            doubted,
            healths,
            link: None,
            again_at: 0,
            log,
        }
    }

    fn applies(&mut self, event: &Event) {
        for host in 0..HOSTS {
            if event.healths[host] != self.healths[host] {
                self.healths[host] = event.healths[host];
            }
        }
        self.log.1.push(event.clone());
    }

    fn adopts(&mut self, now: Time, event: &Event, doubt: bool) {
        let before: BTreeMap<HostId, Endpoint> = (0..HOSTS)
            .map(|host| line(host, self.healths[host]))
            .map(|line| (line.host.clone(), line))
            .collect();
        let mut list: Vec<Endpoint> = (0..HOSTS)
            .map(|host| line(host, event.healths[host]))
            .collect();
        if doubt {
            list = self.doubted.adopt(now, &before, list).0;
        }
        list.iter()
            .enumerate()
            .for_each(|(host, line)| self.healths[host] = line.health != Health::InService);
        self.log = (event.mark, Vec::new());
    }

    fn step(&mut self, ms: u64, coordinator: &Coordinator, chance: &mut Pcg64Mcg) {
        let now = Time::at_ms(1_000.0 + ms as f64);
        let Some(link) = &mut self.link else {
            if ms >= self.again_at {
                let asked = self.numbering.ask(now);
                let late = ms + chance.random_range(0..COMES);
                let coming: VecDeque<_> = coordinator
                    .news(asked)
                    .into_iter()
                    .map(|event| (late, Some(event)))
                    .collect();
                let sent = coordinator.last().mark.number;
                self.link = Some(Link {
                    run: coordinator.run,
                    sent,
                    coming,
                    quiet_since: ms,
                    held: false,
                });
            }
            return;
        };
        if link.run == coordinator.run && !link.held {
            let late = link
                .coming
                .back()
                .map_or(ms, |(at, _)| *at)
                .max(ms + chance.random_range(0..COMES));
            for event in coordinator
                .events
                .iter()
                .filter(|event| event.mark.number > link.sent)
            {
                link.coming.push_back((late, Some(event.clone())));
                link.quiet_since = ms;
            }
            link.sent = coordinator.last().mark.number;
            if ms - link.quiet_since >= 1_000 {
                link.coming.push_back((late, None));
                link.quiet_since = ms;
            }
        }
        let mut heard = Vec::new();
        while let Some((_, event)) = link.coming.pop_front_if(|(at, _)| *at <= ms) {
            heard.push(event);
        }
        // A coordinator that has restarted ends its connections; one that is held says nothing until it is given up.
        let ended = link.run != coordinator.run && link.coming.is_empty() && !link.held;
        let silent = link.held && ms - link.quiet_since > 2_200;
        for event in heard {
            let next = match &event {
                None => self.numbering.alive(now),
                Some(event) => self.numbering.heard(now, event.mark, event.whole),
            };
            match (next, event) {
                (Next::Apply, Some(event)) => self.applies(&event),
                (Next::Adopt(doubt), Some(event)) => self.adopts(now, &event, doubt.is_some()),
                (Next::AskAgain(_), _) => {
                    (self.link, self.again_at) = (None, ms + STEP);
                    return;
                }
                _ => {}
            }
        }
        if self.numbering.proves_by().is_some_and(|by| now >= by) {
            let _ = self.numbering.overdue(now);
            (self.link, self.again_at) = (None, ms + STEP);
        } else if ended || silent {
            self.numbering.ended(silent);
            (self.link, self.again_at) = (None, ms + chance.random_range(100..1_000));
        }
    }

    /// Takes what another knows to follow what is known here.
    fn relayed(&mut self, ms: u64, other: &Instance) {
        let now = Time::at_ms(1_000.0 + ms as f64);
        let last = self.numbering.last();
        let at = if other.log.0 == last {
            Some(0)
        } else {
            other
                .log
                .1
                .iter()
                .position(|event| event.mark == last)
                .map(|at| at + 1)
        };
        let Some(event) = at.and_then(|at| other.log.1.get(at)).cloned() else {
            return;
        };
        if self.numbering.relayed(now, last, event.mark) {
            self.applies(&event);
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum How {
    Real,
    /// Numbers alone are believed, as by the platform's page.
    Trusting,
    /// Events are told apart by their numbers alone.
    Unhashed,
}

/// Plays one schedule; gives the first moment at which somebody who takes itself for current would use a host that has
/// been withdrawn for long enough.
fn play(seed: u64, how: How) -> Option<String> {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let mut coordinator = Coordinator {
        run: 0,
        events: Vec::new(),
        hashes: 0,
        hashed: how != How::Unhashed,
    };
    coordinator.list(1, [false; HOSTS]);
    coordinator.run = 0;
    let first = coordinator.last().clone();
    let mut instances = [(); 2].map(|()| Instance::new(&first, how == How::Trusting));
    let mut withdrawn_since = [None::<u64>; HOSTS];
    let mut wrong_since = [[None::<u64>; HOSTS]; 2];
    for ms in (0..12_000).step_by(STEP as usize) {
        let before = coordinator.last().healths;
        match chance.random_range(0..1_000) {
            // On quiet days nothing contradicts soon what others bring.
            n @ 0..30 if n < 3 || seed.is_multiple_of(2) => coordinator.tell(&mut chance),
            30..32 => coordinator.list(1, before),
            32..34 => coordinator.put_back(chance.random_range(1..4)),
            34 => {
                let number = coordinator.last().mark.number + chance.random_range(2..50);
                coordinator.list(number, before);
            }
            35..39 => instances[chance.random_range(0..2)]
                .link
                .iter_mut()
                .for_each(|link| {
                    link.held = true;
                    link.coming.clear();
                }),
            _ => {}
        }
        for (since, withdrawn) in withdrawn_since.iter_mut().zip(coordinator.last().healths) {
            *since = if withdrawn { since.or(Some(ms)) } else { None };
        }
        for instance in &mut instances {
            instance.step(ms, &coordinator, &mut chance);
        }
        if ms % 50 == 0 {
            let [one, other] = &mut instances;
            one.relayed(ms, other);
            other.relayed(ms, one);
        }
        for (n, instance) in instances.iter().enumerate() {
            let now = Time::at_ms(1_000.0 + ms as f64);
            let linked = instance
                .link
                .as_ref()
                .is_some_and(|link| link.run == coordinator.run && !link.held);
            let current = linked && instance.numbering.current(now);
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
fn believing_numbers_alone_is_found() {
    assert!((0..100).any(|seed| play(seed, How::Trusting).is_some()));
}

#[test]
fn telling_events_apart_by_their_numbers_alone_is_found() {
    assert!((0..300).any(|seed| play(seed, How::Unhashed).is_some()));
}
