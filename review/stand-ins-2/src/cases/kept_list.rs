//! A forwarder is killed and comes back. Its new configuration holds the purge of an object and lists a host as draining;
//! what it has kept from before does not. With `COORDINATOR=down` the coordinator is away at the return, which the case
//! does not need.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{connect, wait_until};
use crate::client::{Answer, Ask, Clients};
use crate::coordinator::{Coordinator, Event, Line};
use crate::host::{Host, Reply, Want, name};
use crate::process::{self, Process};
use crate::record::unix_ms;
use crate::world::{CACHE, CAMPUS, HUB, KINDS, ORIGIN, PARENT, Rules, SLACK_MS, ZONES, body};
use crate::{Play, Verdict};

const KB: f64 = 350.0;
const REQUEST_EVERY_MS: f64 = 10.0;
const OBJECTS: u64 = 60;
/// The forwarder is killed and comes back, from the start of the clients.
const KILLED_AT_MS: f64 = 4_500.0;
const AWAY_MS: f64 = 3_000.0;
/// The object is purged that long before the return, and caches drop their copies of it that long after the purge.
const PURGED_BEFORE_MS: f64 = 500.0;
const DROPPED_AFTER_MS: u64 = 5_800;
const FRESH_MS: u64 = 12_000;
/// Every so many requests are for the purged object.
const PURGED_EVERY: u64 = 2;
const PURGED: u64 = 0x7f3a_0001;
const END_MS: f64 = 7_000.0;
/// The graces of the site.
const PURGE_GRACE_MS: f64 = 300.0;
const DRAIN_GRACE_MS: f64 = 2_000.0;
const PLAN: &str = r#"(plan
  (key-file "two-levels.key")
  (planners)
  (blind (then go-on))
  (state (folder "state-f1"))
  (log (format text) (levels "info")))
"#;

/// The copies of all caches: those from before the run, and the purged object's, which each cache drops in its own time.
#[derive(Clone, Default)]
struct Copies {
    /// The purged object, and the Unix time of its purge.
    purged: Arc<Mutex<Option<(u64, u64)>>>,
}

impl Copies {
    fn purge(&self) -> Option<(u64, u64)> {
        self.purged.lock().ok().and_then(|purged| *purged)
    }

    /// Answers from a copy of the age that the request allows: the old one until it is dropped, else a new one.
    fn answer(&self, want: &Want) -> Reply {
        let now = unix_ms();
        let limit = want
            .field("newer")
            .parse()
            .ok()
            .filter(|limit| *limit > 0)
            .unwrap_or(FRESH_MS);
        let old_stamp = match self.purge() {
            Some((key, made)) if want.field("key") == format!("{key:016x}") => {
                let is_dropped = now >= made + DROPPED_AFTER_MS;
                Some(made - 3_000).filter(|stamp| !is_dropped && now - stamp <= limit)
            }
            _ => None,
        };
        let (how, stamp) = match old_stamp {
            Some(stamp) => ("hit", stamp),
            None => ("filled", now),
        };
        Reply {
            word: "data",
            fields: format!("how={how},version=a{stamp},stamp={stamp}"),
            body: body(&format!("stamp={stamp} "), KB),
            after: Duration::from_millis(4),
        }
    }
}

/// The time at which the origin gave out the copy that a client was sent.
fn stamp_of(body: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(body);
    text.strip_prefix("stamp=")
        .and_then(|rest| rest.split(' ').next())
        .and_then(|digits| digits.parse().ok())
        .unwrap_or(u64::MAX)
}

struct Forwarder<'a> {
    play: &'a Play,
    rules: Rules,
    listen: SocketAddr,
}

impl Forwarder<'_> {
    /// Starts the forwarder with a configuration that holds the coordinator's events so far.
    fn start(&self, coordinator: &Coordinator, log: &str) -> io::Result<Process> {
        let play = self.play;
        let known = coordinator.known(&ZONES, &KINDS);
        let text = self
            .rules
            .configuration(0, self.listen, coordinator.address, &known);
        let config = play.folder.write("f1.json", &text)?;
        let plan = play.folder.0.join("f1.plan");
        let command = format!(
            "exec target/release/flaxdeck forward --config {} --plan {}",
            config.display(),
            plan.display()
        );
        Process::start(&play.root, &play.folder, &command, &[], log)
    }
}

fn send(clients: &mut Clients, number: u64) -> io::Result<String> {
    let is_purged = number.is_multiple_of(PURGED_EVERY);
    clients.send(&Ask {
        class: "course-page",
        key: if is_purged {
            PURGED
        } else {
            0x7f3a_0100 + number % OBJECTS
        },
        wait_ms: 2500,
        kb: KB,
        set: "17".to_owned(),
    })
}

pub fn run(play: &Play) -> io::Result<Verdict> {
    let rules = Rules {
        dispatchers: 1,
        purge_grace_ms: PURGE_GRACE_MS,
        drain_grace_ms: DRAIN_GRACE_MS,
        ..Rules::USUAL
    };
    let copies = Copies::default();
    let host = |id| {
        let copies = copies.clone();
        Host::start(id, &play.record, move |want| copies.answer(want))
    };
    let caches = [host(0xca01)?, host(0xca02)?, host(0xca03)?];
    let (parent, origin) = (host(0x9a01)?, host(0x0001)?);
    let line = |cache: &Host| Line::of(cache, CAMPUS, CACHE, 8.0);
    let others = [
        Line::of(&parent, HUB, PARENT, 12.0),
        Line::of(&origin, HUB, ORIGIN, 12.0),
    ];
    let list: Vec<Line> = caches.iter().map(line).chain(others.clone()).collect();
    // Numbers run from 1 at each start of a dispatcher, so each start has a numbering of its own.
    let first = Coordinator::start(&play.record, vec![Event::List(list)])?;
    fs::write(play.folder.0.join("two-levels.key"), "5b".repeat(32))?;
    play.folder.write("f1.plan", PLAN)?;
    let forwarder = Forwarder {
        play,
        rules,
        listen: process::free_address()?,
    };
    let mut process = forwarder.start(&first, "f1-before.log")?;
    let mut clients = connect(play, forwarder.listen)?;
    let start = play.record.now();
    let mut number = 0;
    while number as f64 * REQUEST_EVERY_MS < KILLED_AT_MS {
        wait_until(play, start + number as f64 * REQUEST_EVERY_MS);
        // Objects are purged once a second, as on any day.
        if number % 50 == 25 {
            first.add(Event::PurgedObject(0x1111_0000 + number, unix_ms()));
        }
        send(&mut clients, number)?;
        number += 1;
    }
    if play.trouble {
        process.kill();
        play.record.note("the forwarder is killed");
    }

    // While it is away, a host begins to drain and an object is purged. The configuration of the next start says both.
    // Without the trouble it runs on, and the coordinator tells both.
    wait_until(play, start + KILLED_AT_MS + AWAY_MS - PURGED_BEFORE_MS);
    let made = unix_ms();
    if let Ok(mut purged) = copies.purged.lock() {
        *purged = Some((PURGED, made));
    }
    let draining = line(&caches[0]).draining();
    let purge = Event::PurgedObject(PURGED, made);
    let told;
    if play.trouble {
        let in_service = caches[1..].iter().map(line);
        let list = std::iter::once(draining)
            .chain(in_service)
            .chain(others)
            .collect();
        let second = Coordinator::start(&play.record, vec![Event::List(list), purge])?;
        if std::env::var("COORDINATOR").as_deref() == Ok("down") {
            second.go_down();
        }
        wait_until(play, start + KILLED_AT_MS + AWAY_MS);
        told = play.record.now();
        process = forwarder.start(&second, "f1-after.log")?;
    } else {
        first.add(Event::Changes(vec![draining]));
        first.add(purge);
        told = play.record.now();
    }
    let mut clients = connect(play, forwarder.listen)?;
    let again = play.record.now();
    for later in 0..(END_MS / REQUEST_EVERY_MS) as u64 {
        wait_until(play, again + later as f64 * REQUEST_EVERY_MS);
        send(&mut clients, number + later)?;
    }
    wait_until(play, again + END_MS + 2_600.0);
    if process.has_ended() {
        return Err(io::Error::other("the forwarder has ended by itself"));
    }
    Ok(judge(&rules, told, made, &caches, &clients))
}

fn judge(rules: &Rules, told: f64, made: u64, caches: &[Host], clients: &Clients) -> Verdict {
    let wants: Vec<Want> = caches.iter().flat_map(Host::received).collect();
    let heeded = told + rules.purge_grace_ms + SLACK_MS;
    let stopped = told + rules.drain_grace_ms + SLACK_MS;
    let requests = clients.requests();
    let mut violations = Vec::new();
    for request in requests.iter().filter(|request| request.key == PURGED) {
        // It was sent to a host once at least after that time, and not before it.
        let first_sent = wants
            .iter()
            .filter(|want| want.id == request.id)
            .map(|want| want.at);
        let is_late = first_sent.fold(f64::INFINITY, f64::min) > heeded;
        let old = request.answers.iter().find_map(|(_, answer)| match answer {
            Answer::Served(body) => Some(stamp_of(body)).filter(|stamp| *stamp < made),
            _ => None,
        });
        if let (true, Some(stamp)) = (is_late, old) {
            violations.push(format!(
                "request {}, sent to a host after {heeded:.0} ms, is answered from a copy {} ms older than the purge",
                request.id,
                made - stamp
            ));
        }
    }
    let purged = violations.len();
    let draining = caches[0].received();
    violations.extend(
        draining
            .iter()
            .filter(|want| want.at > stopped)
            .map(|want| {
                format!(
                    "request {} came to {}, which drains, {:.0} ms too late",
                    want.id,
                    name(caches[0].id),
                    want.at - stopped
                )
            }),
    );
    let served = requests
        .iter()
        .filter(|one| matches!(one.answers[..], [(_, Answer::Served(_))]))
        .count();
    Verdict {
        summary: format!(
            "{} requests after the news of {told:.0} ms, {served} served; {purged} sent after {heeded:.0} ms and answered \
             from a purged copy, {} sent to the draining host after {stopped:.0} ms",
            requests.len(),
            violations.len() - purged
        ),
        violations,
    }
}
