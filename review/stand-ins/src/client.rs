//! A stand-in for a client: one connection, with the answers that came on it.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::msgpack::{self, Value};
use crate::record::Shared;

#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Served(Vec<u8>),
    Refused,
    Failed(String),
    Alive(bool),
}

#[derive(Default)]
pub struct Received {
    /// By call number: when it came and what it is, all answers to the call.
    pub answers: BTreeMap<u32, Vec<(f64, Outcome)>>,
    /// When the dispatcher ended the connection.
    pub ended: Option<f64>,
}

pub struct Connection {
    pub stream: TcpStream,
    pub received: Arc<Mutex<Received>>,
}

impl Connection {
    pub fn open(record: &Shared, address: SocketAddr) -> Option<Connection> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_nodelay(true).ok()?;
        let received = Arc::<Mutex<Received>>::default();
        let (reading, record, sink) = (stream.try_clone().ok()?, record.clone(), received.clone());
        thread::spawn(move || read(reading, &record, &sink));
        Some(Connection { stream, received })
    }

    pub fn send(&self, bytes: &[u8]) -> bool {
        (&self.stream).write_all(bytes).is_ok()
    }

    pub fn answers_to(&self, call: u32) -> Vec<(f64, Outcome)> {
        self.received
            .lock()
            .unwrap()
            .answers
            .get(&call)
            .cloned()
            .unwrap_or_default()
    }

    pub fn ended(&self) -> Option<f64> {
        self.received.lock().unwrap().ended
    }
}

fn read(mut stream: TcpStream, record: &Shared, sink: &Mutex<Received>) {
    let mut bytes = Vec::new();
    let mut chunk = vec![0; 65536];
    loop {
        let count = stream.read(&mut chunk).unwrap_or(0);
        if count == 0 {
            sink.lock().unwrap().ended = Some(record.now());
            return;
        }
        bytes.extend(&chunk[..count]);
        let mut at = 0;
        let mut used = 0;
        while let Some(message) = msgpack::read(&bytes, &mut at) {
            used = at;
            let (call, outcome) = parse(message);
            let now = record.now();
            sink.lock()
                .unwrap()
                .answers
                .entry(call)
                .or_default()
                .push((now, outcome));
        }
        bytes.drain(..used);
    }
}

fn parse(message: Value) -> (u32, Outcome) {
    let Value::Array(parts) = message else {
        panic!("an answer that is no array")
    };
    let [Value::Number(1), Value::Number(call), error, result] = &parts[..] else {
        panic!("an answer of another form: {parts:?}")
    };
    let outcome = match (error, result) {
        (Value::Nil, Value::Array(pair)) => match &pair[0] {
            Value::Bytes(bytes) => Outcome::Served(bytes.clone()),
            Value::Bool(alive) => Outcome::Alive(*alive),
            other => panic!("unexpected result {other:?}"),
        },
        (Value::Array(pair), _) => match &pair[0] {
            Value::Text(name) if name == "Backoff" => Outcome::Refused,
            Value::Text(name) => Outcome::Failed(name.clone()),
            other => panic!("unexpected error {other:?}"),
        },
        other => panic!("unexpected answer {other:?}"),
    };
    (*call as u32, outcome)
}
