//! The way to the coordinator is cut for 8 s, and a cache host begins to drain meanwhile. Nothing new may go to it later
//! than the grace after the change counts as told.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{Connection, Outcome};
use crate::coordinator::{Coordinator, Health};
use crate::dispatcher::{Dispatcher, free_address};
use crate::hosts::{Answer, Handler, Host};
use crate::record::Shared;
use crate::site::{self, CACHE, ORIGIN, PARENT};
use crate::{Play, Verdict, msgpack};

const CUT_AT_MS: f64 = 3000.0;
const DRAIN_AFTER_MS: f64 = 10.0;
const CUT_FOR_MS: f64 = 8000.0;
const END_MS: f64 = 14_000.0;
/// What the coordinator has to tell counts as told so much later at the latest, whether or not it arrived.
const TOLD_AT_LATEST_MS: f64 = 7000.0;
/// `rules.stop_sending_within_ms`, and 50 ms on sockets.
const GRACE_MS: f64 = 1000.0 + 50.0;
/// For the time that a line takes from the dispatcher to this stand-in.
const ALLOWANCE_MS: f64 = 100.0;
const DISPATCHERS: u32 = 4;
const CLIENTS: u32 = 2 * DISPATCHERS;
const PAGE_KB: f64 = 200.0;

/// A request that a host received: when, at which host, from which source its miss was to be filled.
struct Arrival {
    at: f64,
    host: String,
    source: String,
    id: String,
}

fn handler(record: Shared, arrivals: Arc<Mutex<Vec<Arrival>>>) -> Handler {
    Arc::new(move |name, want| {
        let (key, part) = (want.field("key"), want.field("part"));
        record.line(format_args!(
            "{name}: runs {} key {key} fetch {}",
            want.id,
            want.field("fetch")
        ));
        arrivals.lock().unwrap().push(Arrival {
            at: want.at,
            host: name.to_owned(),
            source: want.field("fetch").to_owned(),
            id: want.id.clone(),
        });
        thread::sleep(Duration::from_secs_f64(site::transfer_ms(PAGE_KB) / 1000.0));
        let fields = format!(
            "version=4be0c1927d55a6f3,stamp={},how=hit",
            record.unix_ms(record.now())
        );
        Some(Answer {
            word: "data",
            fields,
            body: site::object(key, part, 0, PAGE_KB),
        })
    })
}

pub fn play(play: &Play) -> Verdict {
    let record = &play.record;
    let arrivals = Arc::<Mutex<Vec<Arrival>>>::default();
    let kinds = [
        (0xca01, CACHE, 5),
        (0xca02, CACHE, 5),
        (0xca03, CACHE, 5),
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
                handler(record.clone(), arrivals.clone()),
            );
            site::entry(*id, host.address, *kind, *weight)
        })
        .collect();
    let coordinator = Coordinator::start(record.clone(), &entries);
    let mut dispatchers = Vec::new();
    for number in 0..DISPATCHERS {
        let listen = free_address();
        let config = site::config(
            number,
            listen,
            coordinator.address,
            &entries,
            &site::settings(DISPATCHERS),
        );
        dispatchers.push(Dispatcher::start(
            record,
            &play.folder,
            &format!("n{number}"),
            listen,
            &config,
        )?);
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            let address = dispatchers[(client % DISPATCHERS) as usize].address;
            thread::spawn(move || use_service(&record, client, address))
        })
        .collect();

    record.sleep_until(CUT_AT_MS);
    if play.has_trouble {
        coordinator.set_cut(true);
    }
    record.sleep_until(CUT_AT_MS + DRAIN_AFTER_MS);
    let mut drained = entries[0].clone();
    drained.health = Health::Draining;
    let drained_at = record.now();
    coordinator.change(&[drained.clone()]);
    record.sleep_until(CUT_AT_MS + CUT_FOR_MS);
    if play.has_trouble {
        coordinator.set_cut(false);
    }
    for client in clients {
        let (sent, served) = client.join().ok()??;
        record.line(format_args!(
            "a client: {sent} requests sent, {served} served"
        ));
    }
    let stop_by = drained_at + TOLD_AT_LATEST_MS + GRACE_MS;
    record.line(format_args!(
        "{} drains from {drained_at:.1}, that counts as told at {:.1} at the latest, nothing new may go there after {stop_by:.1}",
        drained.name(),
        drained_at + TOLD_AT_LATEST_MS
    ));
    let mut breaches = judge(
        &arrivals.lock().unwrap(),
        &drained.name(),
        stop_by + ALLOWANCE_MS,
    );
    if dispatchers.iter_mut().any(Dispatcher::has_ended) {
        breaches.push("a dispatcher has ended".into());
    }
    Some(breaches)
}

fn judge(arrivals: &[Arrival], drained: &str, stop_by: f64) -> Vec<String> {
    let late: Vec<&Arrival> = arrivals
        .iter()
        .filter(|arrival| {
            arrival.at > stop_by && (arrival.host == drained || arrival.source == drained)
        })
        .collect();
    let (Some(first), Some(last)) = (late.first(), late.last()) else {
        return Vec::new();
    };
    vec![format!(
        "{} requests went to {drained} too late, from {} at {:.1} ms to {} at {:.1} ms",
        late.len(),
        first.id,
        first.at,
        last.id,
        last.at
    )]
}

/// Asks for a page every 60 ms; returns how many requests were sent and served.
fn use_service(record: &Shared, client: u32, address: SocketAddr) -> Option<(u32, u32)> {
    let connection = Connection::open(record, address)?;
    record.line(format_args!(
        "client {client} asks n{}",
        client % DISPATCHERS
    ));
    let mut call = 0;
    while record.now() < END_MS {
        call += 1;
        let fields = [
            ("id", format!("{:08x}{call:08x}", client + 1)),
            ("wait", "2500".to_owned()),
            ("key", format!("5d{:014x}", (call * 7 + client) % 40)),
            ("slice", "0".into()),
            ("set", "17".into()),
            ("kb", format!("{PAGE_KB:.1}")),
        ];
        let written = connection.send(&msgpack::request(call, "course-page", &fields, &[]));
        record.line(format_args!(
            "client {client}: call {call}, id {} written: {written}",
            fields[0].1
        ));
        thread::sleep(Duration::from_millis(60));
    }
    thread::sleep(Duration::from_millis(500));
    let served = (1..=call)
        .filter(|call| {
            matches!(
                connection.answers_to(*call).first(),
                Some((_, Outcome::Served(_)))
            )
        })
        .count();
    Some((call, served as u32))
}
