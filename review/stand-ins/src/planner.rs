//! The planner that tells two forwarders of purges by digests is stopped, and an object is purged. Nothing that is asked
//! for later than the grace after the notice may be answered from an older copy.

use std::fs;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{Connection, Outcome};
use crate::coordinator::Coordinator;
use crate::dispatcher::{Dispatcher, free_address};
use crate::hosts::{Answer, Handler, Host};
use crate::record::Shared;
use crate::site::{self, CACHE, ORIGIN, PARENT};
use crate::{Play, Verdict, msgpack};

const PURGE_AT_MS: f64 = 14_000.0;
/// The planner is stopped so long before the purge, and goes on so long after it.
const STOPPED_BEFORE_MS: f64 = 20.0;
const GOES_ON_AFTER_MS: f64 = 4000.0;
/// Caches drop older copies in their own time, within `purge_settles_ms`, 6 s.
const DROPPED_AFTER_MS: f64 = 5000.0;
const END_MS: f64 = 19_500.0;
/// `family_info.purge_grace_ms`, and 50 ms on sockets.
const GRACE_MS: f64 = 500.0 + 50.0;
const FORWARDERS: u32 = 2;
const CLIENTS: u32 = 2 * FORWARDERS;
const PAGE: &str = "6e00000000000001";
const PAGE_KB: f64 = 100.0;
const OLD: u64 = 0;
const NEW: u64 = 1;
/// How old the copies are at the start of the run.
const AGE_AT_START_MS: f64 = 60_000.0;

/// What the caches know of the page.
#[derive(Default)]
struct Page {
    purged_at: Option<f64>,
    /// The caches that have a copy from after the purge.
    renewed: Vec<String>,
}

/// A cache that holds the page since before the run; it gives its copy out as long as that is young enough for the
/// request and not dropped.
fn handler(record: Shared, page: Arc<Mutex<Page>>) -> Handler {
    Arc::new(move |name, want| {
        let newer = want.field("newer").parse::<f64>().unwrap_or(f64::INFINITY);
        let version = {
            let mut page = page.lock().unwrap();
            let is_dropped = page
                .purged_at
                .is_some_and(|at| want.at > at + DROPPED_AFTER_MS);
            let is_too_old = AGE_AT_START_MS + want.at > newer;
            if page.purged_at.is_some()
                && (is_dropped || is_too_old)
                && !page.renewed.iter().any(|cache| cache == name)
            {
                page.renewed.push(name.to_owned());
            }
            if page.renewed.iter().any(|cache| cache == name) {
                NEW
            } else {
                OLD
            }
        };
        record.line(format_args!(
            "{name}: runs {} newer {:?}, copy {version}",
            want.id,
            want.field("newer")
        ));
        thread::sleep(Duration::from_secs_f64(site::transfer_ms(PAGE_KB) / 1000.0));
        let given_out = if version == OLD {
            -AGE_AT_START_MS
        } else {
            want.at
        };
        let stamp = (record.unix_ms(0.0) as f64 + given_out) as u64;
        let fields = format!("version=4be0c1927d55a6f{version},stamp={stamp},how=hit");
        Some(Answer {
            word: "data",
            fields,
            body: site::object(PAGE, "0", version, PAGE_KB),
        })
    })
}

pub fn play(play: &Play) -> Verdict {
    let record = &play.record;
    let page = Arc::<Mutex<Page>>::default();
    let kinds = [
        (0xca01, CACHE, 5),
        (0xca02, CACHE, 5),
        (0x9a01, PARENT, 6),
        (0x9a02, PARENT, 6),
        (1, ORIGIN, 8),
    ];
    let entries: Vec<_> = kinds
        .iter()
        .map(|(id, kind, weight)| {
            let host = Host::start(
                record.clone(),
                format!("s-{id:08x}"),
                handler(record.clone(), page.clone()),
            );
            site::entry(*id, host.address, *kind, *weight)
        })
        .collect();
    let coordinator = Coordinator::start(record.clone(), &entries);
    let planner_address = free_address();
    fs::write(play.folder.join("case.key"), "5a".repeat(32)).ok()?;
    let plan = play.folder.join("case.plan");
    fs::write(&plan, format!(
        r#"(plan (key-file "case.key") (planners (planner (name p1) (listen "{planner_address}"))) (events (by digest) (batch-ms 100)))"#
    ))
    .ok()?;
    let config = |number, listen| {
        site::config(
            number,
            listen,
            coordinator.address,
            &entries,
            &site::settings(FORWARDERS),
        )
    };
    let (program, plan) = ("exec target/release/flaxdeck", plan.display());
    let command = format!(r#"{program} plan --config "$GW_CONFIG" --plan "{plan}" --name p1"#);
    let unused = free_address();
    let planner = Dispatcher::start_with(
        record,
        &play.folder,
        "p1",
        planner_address,
        &config(9, unused),
        &command,
    )?;
    let command = format!(r#"{program} forward --config "$GW_CONFIG" --plan "{plan}""#);
    let mut forwarders = Vec::new();
    for number in 0..FORWARDERS {
        let (name, listen) = (format!("f{number}"), free_address());
        let started = Dispatcher::start_with(
            record,
            &play.folder,
            &name,
            listen,
            &config(number, listen),
            &command,
        )?;
        forwarders.push(started.ready(record, &name)?);
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            let address = forwarders[(client % FORWARDERS) as usize].address;
            thread::spawn(move || use_service(&record, client, address))
        })
        .collect();

    record.sleep_until(PURGE_AT_MS - STOPPED_BEFORE_MS);
    if play.has_trouble {
        record.line(format_args!("p1: stopped"));
        planner.signal("STOP")?;
    }
    record.sleep_until(PURGE_AT_MS);
    let purged_at = record.now();
    coordinator.purge(PAGE);
    page.lock().unwrap().purged_at = Some(purged_at);
    record.sleep_until(PURGE_AT_MS + GOES_ON_AFTER_MS);
    if play.has_trouble {
        record.line(format_args!("p1: goes on"));
        planner.signal("CONT")?;
    }
    let mut breaches = Vec::new();
    for client in clients {
        breaches.extend(client.join().ok()??.judge(record, client_limit(purged_at)));
    }
    if forwarders.iter_mut().any(Dispatcher::has_ended) {
        breaches.push("a forwarder has ended".into());
    }
    for name in ["p1", "f0", "f1"] {
        let log = fs::read_to_string(play.folder.join(format!("{name}.log"))).unwrap_or_default();
        log.lines()
            .for_each(|line| record.line(format_args!("log of {name}: {line}")));
    }
    Some(breaches)
}

/// From when on a request may not be answered from the old copy.
fn client_limit(purged_at: f64) -> f64 {
    purged_at + GRACE_MS
}

/// The requests of one client: when each was begun, and how it was answered.
struct Asked {
    client: u32,
    requests: Vec<(f64, Option<Outcome>)>,
}

impl Asked {
    fn judge(&self, record: &Shared, limit: f64) -> Option<String> {
        let old = site::object(PAGE, "0", OLD, PAGE_KB);
        let served = self
            .requests
            .iter()
            .filter(|(_, outcome)| matches!(outcome, Some(Outcome::Served(_))))
            .count();
        let late: Vec<f64> = self
            .requests
            .iter()
            .filter(|(at, outcome)| *at > limit && *outcome == Some(Outcome::Served(old.clone())))
            .map(|(at, _)| *at)
            .collect();
        let client = self.client;
        record.line(format_args!(
            "client {client}: {} requests, {served} served",
            self.requests.len()
        ));
        Some(format!(
            "client {client}: {} requests were answered from the purged copy, asked at {:.1} to {:.1}, not allowed after {limit:.1}",
            late.len(),
            late.first()?,
            late.last()?
        ))
    }
}

/// Asks for the page every 40 ms.
fn use_service(record: &Shared, client: u32, address: SocketAddr) -> Option<Asked> {
    let connection = Connection::open(record, address)?;
    record.line(format_args!(
        "client {client} asks f{}",
        client % FORWARDERS
    ));
    let mut begun = Vec::new();
    while record.now() < END_MS {
        let call = begun.len() as u32 + 1;
        let fields = [
            ("id", format!("{:08x}{call:08x}", client + 1)),
            ("wait", "6000".to_owned()),
            ("key", PAGE.to_owned()),
            ("slice", "0".into()),
            ("set", "17".into()),
            ("kb", format!("{PAGE_KB:.1}")),
        ];
        let at = record.now();
        let written = connection.send(&msgpack::request(call, "video-part", &fields, &[]));
        record.line(format_args!(
            "client {client}: call {call}, id {} written: {written}",
            fields[0].1
        ));
        begun.push(at);
        thread::sleep(Duration::from_millis(40));
    }
    thread::sleep(Duration::from_millis(500));
    let outcome = |call: u32| {
        connection
            .answers_to(call)
            .first()
            .map(|(_, outcome)| outcome.clone())
    };
    let requests = begun
        .iter()
        .zip(1..)
        .map(|(at, call)| (*at, outcome(call)))
        .collect();
    Some(Asked { client, requests })
}
