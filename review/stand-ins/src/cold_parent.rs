//! A parent is replaced by a cold one, and bad clients state sizes that are out of range. All that is asked of the cold
//! parent has to stay within what it bears.

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

const DISPATCHERS: u32 = 3;
const REPLACED_AT_MS: f64 = 4000.0;
const BAD_AT_MS: f64 = 4500.0;
const END_MS: f64 = 9000.0;
/// Objects of the class have the mean size: 1,600 KB are 400 ms at full pace.
const OBJECT_KB: f64 = 1600.0;
const PARENT_WEIGHT: u32 = 18;
/// Connections of bad clients to each dispatcher, and requests on each at once.
const BAD_CONNECTIONS: u32 = 2;
const BAD_REQUESTS: u32 = 32;
/// The size that bad clients state: far less than a byte.
const BAD_KB: &str = "1e-300";

/// `family_info.upper_cold_from`, `upper_cold_ms` and `upper_fall_multiple`, and `rules.fall_ms`.
const COLD_FROM: f64 = 0.074;
const COLD_MS: f64 = 22_000.0;
const MULTIPLE: f64 = 2.0;
const FALL_MS: f64 = 3000.0;

/// Requests that reached the cold parent: when, and by which request.
type Fills = Arc<Mutex<Vec<(f64, String)>>>;

/// A cache that holds the usual clients' objects (keys that begin with 5d) and fills others from their source.
fn handler(record: Shared, cold: String, fills: Fills) -> Handler {
    Arc::new(move |name, want| {
        let (key, part, source) = (want.field("key"), want.field("part"), want.field("fetch"));
        let is_held = key.starts_with("5d");
        record.line(format_args!(
            "{name}: runs {} key {key} fetch {source}, held: {is_held}",
            want.id
        ));
        let reaches_cold = name == cold || (!is_held && source == cold);
        if reaches_cold {
            fills.lock().unwrap().push((record.now(), want.id.clone()));
        }
        let has_source = !source.is_empty() || name.starts_with("s-00009a") || name == "s-00000001";
        if !is_held && !has_source {
            return Some(Answer {
                word: "absent",
                fields: "-".into(),
                body: Vec::new(),
            });
        }
        thread::sleep(Duration::from_secs_f64(
            site::transfer_ms(OBJECT_KB) / 1000.0,
        ));
        let how = if is_held { "hit" } else { "filled,took=12" };
        let fields = format!(
            "version=4be0c1927d55a6f3,stamp={},how={how}",
            record.unix_ms(record.now())
        );
        Some(Answer {
            word: "data",
            fields,
            body: site::object(key, part, 0, OBJECT_KB),
        })
    })
}

pub fn play(play: &Play) -> Verdict {
    let record = &play.record;
    let fills = Fills::default();
    let (old, new) = (0x9a01, 0x9a03);
    let cold = format!("s-{new:08x}");
    let mut kinds: Vec<(u32, u8, u32)> = vec![
        (old, PARENT, PARENT_WEIGHT),
        (0x9a02, PARENT, PARENT_WEIGHT),
        (new, PARENT, PARENT_WEIGHT),
        (1, ORIGIN, 8),
    ];
    kinds.extend((0..9).map(|cache| (0xca00 + cache, CACHE, 6)));
    let mut entries: Vec<_> = kinds
        .iter()
        .map(|(id, kind, weight)| {
            let handler = handler(record.clone(), cold.clone(), fills.clone());
            let host = Host::start(record.clone(), format!("s-{id:08x}"), handler);
            let mut entry = site::entry(*id, host.address, *kind, *weight);
            if *kind == CACHE {
                entry.zone = site::OWN_ZONE + (id % 3) as u8;
            }
            entry
        })
        .collect();
    let mut replacement = entries.remove(2);
    let coordinator = Coordinator::start(record.clone(), &entries);
    let mut dispatchers = Vec::new();
    for number in 0..DISPATCHERS {
        let listen = free_address();
        let config = site::config(
            number,
            listen,
            coordinator.address,
            &entries,
            &site::settings_of_three(number),
        );
        dispatchers.push(Dispatcher::start(
            record,
            &play.folder,
            &format!("n{number}"),
            listen,
            &config,
        )?);
    }
    let addresses: Vec<_> = dispatchers
        .iter()
        .map(|dispatcher| dispatcher.address)
        .collect();
    let clients: Vec<_> = (0..DISPATCHERS)
        .map(|client| {
            let (record, address) = (record.clone(), addresses[client as usize]);
            thread::spawn(move || use_service(&record, client, address))
        })
        .collect();
    record.sleep_until(REPLACED_AT_MS);
    let mut gone = entries[0].clone();
    gone.health = Health::Gone;
    let born = record.now();
    replacement.born_ms = record.unix_ms(born);
    coordinator.change(&[gone, replacement]);
    record.sleep_until(BAD_AT_MS);
    let bad: Vec<_> = addresses
        .iter()
        .flat_map(|address| (0..BAD_CONNECTIONS).map(move |number| (*address, number)))
        .map(|(address, number)| {
            let (record, has_trouble) = (record.clone(), play.has_trouble);
            thread::spawn(move || flood(&record, address, number, has_trouble))
        })
        .collect();
    for client in clients {
        let (sent, served) = client.join().ok()??;
        record.line(format_args!(
            "a client: {sent} requests sent, {served} served"
        ));
    }
    for client in bad {
        client.join().ok()?;
    }
    let mut breaches = judge(record, &fills.lock().unwrap(), born);
    if dispatchers.iter_mut().any(Dispatcher::has_ended) {
        breaches.push("a dispatcher has ended".into());
    }
    Some(breaches)
}

/// The most requests of mean work that the parent bears in a window that ends at a time.
fn bound(at: f64, born: f64) -> f64 {
    let capacity = (COLD_FROM + (1.0 - COLD_FROM) * (at - born) / COLD_MS).min(1.0);
    let number =
        MULTIPLE * capacity * f64::from(PARENT_WEIGHT) * FALL_MS / site::transfer_ms(OBJECT_KB);
    if number < 30.0 {
        number + 3.0 * number.sqrt() + 3.0
    } else {
        number + 2.0 * number.sqrt() + 2.0
    }
}

fn judge(record: &Shared, fills: &[(f64, String)], born: f64) -> Vec<String> {
    let mut first = None;
    for (at, _) in fills {
        let count = fills
            .iter()
            .filter(|(other, _)| *other <= *at && *other > at - FALL_MS)
            .count();
        record.line(format_args!(
            "cold parent: {count} requests in the window that ends at {at:.1}, it bears {:.1}",
            bound(*at, born)
        ));
        if count as f64 > bound(*at, born) && first.is_none() {
            first = Some(format!(
                "the cold parent falls at {at:.1}, {:.1} ms after its start: {count} requests in the window, it bears {:.1}",
                at - born,
                bound(*at, born)
            ));
        }
    }
    first.into_iter().collect()
}

/// Asks at once for as many objects as may be open, each asked for once only, with a size out of range.
fn flood(record: &Shared, address: SocketAddr, number: u32, has_trouble: bool) -> Option<()> {
    let connection = Connection::open(record, address)?;
    let mut burst = Vec::new();
    let port = u32::from(address.port());
    let kb = if has_trouble {
        BAD_KB.to_owned()
    } else {
        format!("{OBJECT_KB:.1}")
    };
    for call in 1..=BAD_REQUESTS {
        let fields = [
            ("id", format!("{port:08x}{:08x}", number << 16 | call)),
            ("wait", "6000".to_owned()),
            ("key", format!("e1{port:06x}{number:04x}{call:04x}")),
            ("slice", "0".into()),
            ("set", "17".into()),
            ("kb", kb.clone()),
        ];
        burst.extend(msgpack::request(call, "video-part", &fields, &[]));
    }
    let written = connection.send(&burst);
    record.line(format_args!(
        "a bad client: {BAD_REQUESTS} requests with kb {kb} to {address} written: {written}"
    ));
    record.sleep_until(END_MS);
    let answers: Vec<_> = (1..=BAD_REQUESTS)
        .flat_map(|call| connection.answers_to(call))
        .collect();
    let served = answers
        .iter()
        .filter(|(_, outcome)| matches!(outcome, Outcome::Served(_)))
        .count();
    record.line(format_args!(
        "a bad client: {} answers, {served} of them served",
        answers.len()
    ));
    Some(())
}

/// Asks for a held object every 100 ms; returns how many requests were sent and served.
fn use_service(record: &Shared, client: u32, address: SocketAddr) -> Option<(u32, u32)> {
    let connection = Connection::open(record, address)?;
    let mut call = 0;
    while record.now() < END_MS {
        call += 1;
        let fields = [
            ("id", format!("{:08x}{call:08x}", client + 1)),
            ("wait", "6000".to_owned()),
            ("key", format!("5d{:014x}", call * DISPATCHERS + client)),
            ("slice", "0".into()),
            ("set", "17".into()),
            ("kb", format!("{OBJECT_KB:.1}")),
        ];
        connection.send(&msgpack::request(call, "video-part", &fields, &[]));
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_millis(1000));
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
