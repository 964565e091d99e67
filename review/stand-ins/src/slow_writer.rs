//! A client whose first request is open writes its second one slowly. The first has to be answered.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::{Connection, Outcome};
use crate::coordinator::Coordinator;
use crate::dispatcher::{Dispatcher, free_address};
use crate::hosts::{Answer, Handler, Host};
use crate::record::Shared;
use crate::site::{self, CACHE, ORIGIN, PARENT};
use crate::{Play, Verdict, msgpack};

/// The large video part: 12,800 KB are 3.2 s at full pace.
const LARGE_KB: f64 = 12_800.0;
const LARGE_WAIT_MS: f64 = 6000.0;
/// The write: the most that the protocol allows.
const WRITE_BYTES: usize = 48_000;
/// Written at once or, slowly, in so many pieces with a pause after each: 2.7 s, 17.5 KB/s.
const PIECES: usize = 27;
const PAUSE: Duration = Duration::from_millis(100);
const CLIENTS: u32 = 3;
/// After its time an answer only earns nothing for half a second; after that the request is lost.
const LATE_MS: f64 = 500.0 + 50.0 + 8.0;

fn kb_of(key: &str) -> f64 {
    if key.starts_with("1a") {
        LARGE_KB
    } else {
        200.0
    }
}

/// A host that holds everything: it answers when the object's time on its link is over.
fn handler(record: Shared) -> Handler {
    Arc::new(move |name, want| {
        let (class, key, part) = (want.field("class"), want.field("key"), want.field("part"));
        record.line(format_args!(
            "{name}: runs {} {class} key {key} body {}",
            want.id,
            want.body.len()
        ));
        let body = if class == "enrol-submit" {
            thread::sleep(Duration::from_millis(60));
            b"enrolled".to_vec()
        } else {
            thread::sleep(Duration::from_secs_f64(
                site::transfer_ms(kb_of(key)) / 1000.0,
            ));
            site::object(key, part, 0, kb_of(key))
        };
        record.line(format_args!("{name}: answers {}", want.id));
        let fields = format!(
            "version=4be0c1927d55a6f3,stamp={},how=hit",
            record.unix_ms(record.now())
        );
        Some(Answer {
            word: "data",
            fields,
            body,
        })
    })
}

/// One request that was written to its last byte.
struct Sent {
    call: u32,
    what: &'static str,
    last_byte: f64,
    wait: f64,
    expected: Vec<u8>,
}

pub fn play(play: &Play) -> Verdict {
    let record = &play.record;
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
                handler(record.clone()),
            );
            site::entry(*id, host.address, *kind, *weight)
        })
        .collect();
    let coordinator = Coordinator::start(record.clone(), &entries);
    let listen = free_address();
    let config = site::config(0, listen, coordinator.address, &entries, &site::settings(1));
    let mut dispatcher = Dispatcher::start(record, &play.folder, "n0", listen, &config)?;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, has_trouble) = (record.clone(), play.has_trouble);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(u64::from(client) * 700));
                use_service(&record, client, listen, has_trouble)
            })
        })
        .collect();
    let mut breaches = Vec::new();
    for client in clients {
        breaches.extend(client.join().ok()??);
    }
    if dispatcher.has_ended() {
        breaches.push("the dispatcher has ended".into());
    }
    Some(breaches)
}

fn use_service(
    record: &Shared,
    client: u32,
    address: std::net::SocketAddr,
    has_trouble: bool,
) -> Option<Vec<String>> {
    let connection = Connection::open(record, address)?;
    let mut sent = Vec::new();
    let mut send_read = |call: u32, what: &'static str, key: String, kb: f64, wait: f64| {
        let fields = [
            ("id", format!("{:08x}{call:08x}", client + 1)),
            ("wait", format!("{wait}")),
            ("key", key.clone()),
            ("slice", "0".into()),
            ("set", "17".into()),
            ("kb", format!("{kb:.1}")),
        ];
        let whole = connection.send(&msgpack::request(call, "video-part", &fields, &[]));
        let last_byte = record.now();
        record.line(format_args!(
            "client {client}: call {call} ({what}) written: {whole}"
        ));
        if whole {
            sent.push(Sent {
                call,
                what,
                last_byte,
                wait,
                expected: site::object(&key, "0", 0, kb),
            });
        }
    };
    // An ordinary request first, as the connection is in use.
    send_read(
        1,
        "small video part",
        format!("2b{client:014x}"),
        200.0,
        LARGE_WAIT_MS,
    );
    thread::sleep(Duration::from_millis(300));
    send_read(
        2,
        "large video part",
        format!("1a{client:014x}"),
        LARGE_KB,
        LARGE_WAIT_MS,
    );
    thread::sleep(Duration::from_millis(200));
    write_submit(record, client, &connection, has_trouble, &mut sent);
    let last = sent
        .iter()
        .map(|sent| sent.last_byte + sent.wait)
        .fold(0.0, f64::max);
    while record.now() < last + LATE_MS
        && sent
            .iter()
            .any(|sent| connection.answers_to(sent.call).is_empty())
    {
        thread::sleep(Duration::from_millis(20));
    }
    // For second answers.
    thread::sleep(Duration::from_millis(300));
    Some(
        sent.iter()
            .filter_map(|sent| judge(record, client, &connection, sent))
            .collect(),
    )
}

/// Writes call 3, an enrolment, at once or slowly.
fn write_submit(
    record: &Shared,
    client: u32,
    connection: &Connection,
    has_trouble: bool,
    sent: &mut Vec<Sent>,
) {
    let wait = 3000.0;
    let fields = [
        ("id", format!("{:08x}{:08x}", client + 1, 3)),
        ("wait", format!("{wait}")),
        ("key", format!("3c{client:014x}")),
        ("slice", "0".into()),
        ("set", "17".into()),
        ("kb", "48.0".into()),
    ];
    let bytes = msgpack::request(3, "enrol-submit", &fields, &vec![7; WRITE_BYTES]);
    let begun = record.now();
    let whole = if has_trouble {
        record.line(format_args!(
            "client {client}: call 3 (enrolment) begun, to be written in {PIECES} pieces"
        ));
        bytes.chunks(bytes.len().div_ceil(PIECES)).all(|piece| {
            let written = connection.ended().is_none() && connection.send(piece);
            thread::sleep(PAUSE);
            written
        })
    } else {
        connection.send(&bytes)
    };
    let last_byte = record.now();
    record.line(format_args!(
        "client {client}: call 3 written: {whole}, {:.0} ms after its first byte",
        last_byte - begun
    ));
    if whole {
        sent.push(Sent {
            call: 3,
            what: "enrolment",
            last_byte,
            wait,
            expected: b"enrolled".to_vec(),
        });
    }
}

fn judge(record: &Shared, client: u32, connection: &Connection, sent: &Sent) -> Option<String> {
    let answers = connection.answers_to(sent.call);
    let what = format!("client {client}: call {} ({})", sent.call, sent.what);
    let summary: Vec<String> = answers
        .iter()
        .map(|(at, outcome)| match outcome {
            Outcome::Served(bytes) if *bytes == sent.expected => format!("served at {at:.1}"),
            Outcome::Served(_) => format!("served with other bytes at {at:.1}"),
            other => format!("{other:?} at {at:.1}"),
        })
        .collect();
    record.line(format_args!(
        "{what}: last byte at {:.1}, answers: {summary:?}",
        sent.last_byte
    ));
    let [(at, outcome)] = &answers[..] else {
        let ended = connection
            .ended()
            .map(|at| format!(", the dispatcher ended the connection at {at:.1}"));
        return Some(format!(
            "{what}, last byte written at {:.1}, has {} answers{}",
            sent.last_byte,
            answers.len(),
            ended.unwrap_or_default()
        ));
    };
    let is_foreign = matches!(outcome, Outcome::Served(bytes) if *bytes != sent.expected);
    if is_foreign || *at > sent.last_byte + sent.wait + LATE_MS {
        return Some(format!("{what}: {}", summary.join(", ")));
    }
    None
}
