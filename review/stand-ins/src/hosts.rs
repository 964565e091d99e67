//! Stand-ins for cache hosts, parents and the origin: they read requests and leave the answers to a case.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::record::Shared;

/// A request as it came to a host.
pub struct Want {
    pub id: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// When its line had come.
    pub at: f64,
}

impl Want {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

pub struct Answer {
    pub word: &'static str,
    pub fields: String,
    pub body: Vec<u8>,
}

/// Decides the answer; it may sleep first. None: no answer.
pub type Handler = Arc<dyn Fn(&str, &Want) -> Option<Answer> + Send + Sync>;

pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    handler: Handler,
    record: Shared,
}

impl Host {
    pub fn start(record: Shared, name: String, handler: Handler) -> Arc<Host> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let host = Arc::new(Host {
            name,
            address: listener.local_addr().unwrap(),
            handler,
            record,
        });
        let accepting = host.clone();
        thread::spawn(move || accepting.accept(listener));
        host
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            let serving = self.clone();
            thread::spawn(move || serving.serve(stream));
        }
    }

    fn serve(self: Arc<Self>, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let writer = Arc::new(Mutex::new(stream.try_clone().ok()?));
        let given_up = Arc::new(Mutex::new(BTreeSet::<String>::new()));
        let mut reader = BufReader::new(stream);
        while self.read_command(&mut reader, &writer, &given_up).is_some() {}
        None
    }

    fn read_command(
        self: &Arc<Self>,
        reader: &mut BufReader<TcpStream>,
        writer: &Arc<Mutex<TcpStream>>,
        given_up: &Arc<Mutex<BTreeSet<String>>>,
    ) -> Option<()> {
        let mut line = String::new();
        reader
            .read_line(&mut line)
            .ok()
            .filter(|count| *count > 0)?;
        let at = self.record.now();
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        match words[..] {
            ["there", tag] => writer
                .lock()
                .unwrap()
                .write_all(format!("{tag} well\r\n").as_bytes())
                .ok()?,
            ["never_mind", id] => {
                given_up.lock().unwrap().insert(id.to_owned());
            }
            ["want", id, fields, length] => {
                let mut body = vec![0; length.parse::<usize>().ok()? + 2];
                reader.read_exact(&mut body).ok()?;
                body.truncate(body.len() - 2);
                given_up.lock().unwrap().remove(id);
                let pairs = fields.split(',').filter_map(|field| field.split_once('='));
                let want = Want {
                    id: id.to_owned(),
                    fields: pairs
                        .map(|(name, value)| (name.to_owned(), value.to_owned()))
                        .collect(),
                    body,
                    at,
                };
                let (host, writer, given_up) = (self.clone(), writer.clone(), given_up.clone());
                thread::spawn(move || host.answer(&want, &writer, &given_up));
            }
            _ => panic!("{}: a line that no host knows: {line:?}", self.name),
        }
        Some(())
    }

    fn answer(&self, want: &Want, writer: &Mutex<TcpStream>, given_up: &Mutex<BTreeSet<String>>) {
        let Some(answer) = (self.handler)(&self.name, want) else {
            return;
        };
        if given_up.lock().unwrap().contains(&want.id) {
            return;
        }
        let mut bytes = format!(
            "{} {} {} {}\r\n",
            want.id,
            answer.word,
            answer.fields,
            answer.body.len()
        )
        .into_bytes();
        bytes.extend(&answer.body);
        bytes.extend(b"\r\n");
        let _ = writer.lock().unwrap().write_all(&bytes);
    }
}
