//! Clients: a few connections to one dispatcher, and what became of each request.

use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::spawn;

use crate::msgpack::{self, Value};
use crate::record::Record;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// What a dispatcher answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    Current,
    Refused,
    Failed(String),
}

/// A request and what became of it.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub key: u64,
    pub answers: Vec<(f64, Answer)>,
}

/// What a client asks for.
#[derive(Clone)]
pub struct Ask<'a> {
    pub class: &'a str,
    pub key: u64,
    pub wait_ms: u64,
    pub kb: f64,
    pub set: String,
}

struct Connection {
    stream: TcpStream,
    next_call: u32,
    calls: Arc<Mutex<HashMap<u32, usize>>>,
}

/// Clients of one dispatcher.
pub struct Clients {
    record: Record,
    connections: Vec<Connection>,
    turn: usize,
    requests: Arc<Mutex<Vec<Request>>>,
}

impl Clients {
    /// Opens that many connections.
    pub fn connect(address: SocketAddr, count: usize, record: &Record) -> io::Result<Clients> {
        let mut clients = Clients {
            record: record.clone(),
            connections: Vec::new(),
            turn: 0,
            requests: Arc::default(),
        };
        for _ in 0..count {
            let stream = TcpStream::connect(address)?;
            stream.set_nodelay(true)?;
            let calls: Arc<Mutex<HashMap<u32, usize>>> = Arc::default();
            let mut input = BufReader::new(stream.try_clone()?);
            let (known, requests, record) =
                (calls.clone(), clients.requests.clone(), record.clone());
            spawn(move || {
                while let Ok(message) = msgpack::read(&mut input) {
                    note_answer(&message, &known, &requests, &record);
                }
            });
            clients.connections.push(Connection {
                stream,
                next_call: 0,
                calls,
            });
        }
        Ok(clients)
    }

    /// Sends a request on the next connection in turn.
    pub fn send(&mut self, ask: &Ask) -> io::Result<String> {
        let id = format!(
            "{:016x}",
            0x51de_0000_0000 + NEXT_ID.fetch_add(1, Ordering::SeqCst)
        );
        self.turn = (self.turn + 1) % self.connections.len();
        let connection = &mut self.connections[self.turn];
        connection.next_call += 1;
        let call = connection.next_call;
        let key = format!("{:016x}", ask.key);
        let (wait, kb) = (ask.wait_ms.to_string(), ask.kb.to_string());
        let fields = [
            ("id", id.as_str()),
            ("wait", &wait),
            ("key", &key),
            ("slice", "0"),
            ("set", &ask.set),
            ("kb", &kb),
        ];
        let mut out = vec![0x94, 0x00];
        msgpack::put_number(&mut out, call);
        msgpack::put_text(&mut out, ask.class);
        out.extend([0x92, 0x80 | fields.len() as u8]);
        for (name, value) in fields {
            msgpack::put_text(&mut out, name);
            msgpack::put_text(&mut out, value);
        }
        msgpack::put_bytes(&mut out, &[]);
        if let (Ok(mut requests), Ok(mut calls)) = (self.requests.lock(), connection.calls.lock()) {
            calls.insert(call, requests.len());
            requests.push(Request {
                id: id.clone(),
                key: ask.key,
                answers: Vec::new(),
            });
        }
        self.record.note(&format!(
            "client sends {id} {} key={key} set={} kb={kb} wait={wait}",
            ask.class, ask.set
        ));
        connection.stream.write_all(&out)?;
        Ok(id)
    }

    /// All requests so far.
    pub fn requests(&self) -> Vec<Request> {
        self.requests
            .lock()
            .map(|all| all.clone())
            .unwrap_or_default()
    }
}

fn note_answer(
    message: &Value,
    calls: &Mutex<HashMap<u32, usize>>,
    requests: &Mutex<Vec<Request>>,
    record: &Record,
) {
    let Value::Array(parts) = message else { return };
    let [Value::Number(1), Value::Number(call), error, result] = &parts[..] else {
        return;
    };
    let answer = match (error, result) {
        (Value::Nil, Value::Array(result)) => match &result[..] {
            [Value::Bytes(body), Value::Map(fields)] if fields.is_empty() => {
                Answer::Served(body.clone())
            }
            _ => Answer::Current,
        },
        (Value::Array(error), _) => match error.first() {
            Some(Value::Text(text)) if text == "Backoff" => Answer::Refused,
            other => Answer::Failed(format!("{other:?}")),
        },
        other => Answer::Failed(format!("{other:?}")),
    };
    let place = calls
        .lock()
        .ok()
        .and_then(|calls| calls.get(&(*call as u32)).copied());
    if let (Some(place), Ok(mut requests)) = (place, requests.lock()) {
        let what = match &answer {
            Answer::Served(body) => format!("served, {} bytes", body.len()),
            other => format!("{other:?}"),
        };
        record.note(&format!("client is told {}: {what}", requests[place].id));
        requests[place].answers.push((record.now(), answer));
    }
}
