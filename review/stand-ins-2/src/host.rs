//! A cache host, parent or origin: speaks the line protocol, and answers as its handler says.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::record::Record;

/// A request as it came to a host.
#[derive(Clone, Debug)]
pub struct Want {
    pub id: String,
    /// Milliseconds since the start of the run at which its first line had come.
    pub at: f64,
    pub fields: HashMap<String, String>,
}

impl Want {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    pub fn handles(&self, word: &str) -> bool {
        self.field("handle").split('+').any(|known| known == word)
    }
}

/// What a host answers.
pub struct Reply {
    pub word: &'static str,
    pub fields: String,
    pub body: Vec<u8>,
    pub after: Duration,
}

type Handler = dyn Fn(&Want) -> Reply + Send + Sync;

/// A host that runs.
#[derive(Clone)]
pub struct Host {
    pub id: u32,
    pub address: SocketAddr,
    pub wants: Arc<Mutex<Vec<Want>>>,
}

/// The name of a host in texts.
pub fn name(id: u32) -> String {
    format!("s-{id:08x}")
}

impl Host {
    /// Starts a host on a free port.
    pub fn start(
        id: u32,
        record: &Record,
        handler: impl Fn(&Want) -> Reply + Send + Sync + 'static,
    ) -> io::Result<Host> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let host = Host {
            id,
            address: listener.local_addr()?,
            wants: Arc::default(),
        };
        let (serving, record) = (host.clone(), record.clone());
        let handler: Arc<Handler> = Arc::new(handler);
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (host, record, handler) = (serving.clone(), record.clone(), handler.clone());
                spawn(move || {
                    // An error means that the other side has closed the connection.
                    let _ = host.serve(stream, &record, &*handler);
                });
            }
        });
        Ok(host)
    }

    fn serve(&self, stream: TcpStream, record: &Record, handler: &Handler) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut input = BufReader::new(stream.try_clone()?);
        let mut output = stream;
        loop {
            let mut line = String::new();
            if input.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let at = record.now();
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            match words[..] {
                ["want", id, fields, length] => {
                    let length: usize = length.parse().map_err(io::Error::other)?;
                    let mut body = vec![0; length + 2];
                    input.read_exact(&mut body)?;
                    let pairs = fields.split(',').filter_map(|field| field.split_once('='));
                    let want = Want {
                        id: id.to_owned(),
                        at,
                        fields: pairs
                            .map(|(name, value)| (name.to_owned(), value.to_owned()))
                            .collect(),
                    };
                    record.note(&format!(
                        "{} got want {id} {fields} {length}",
                        name(self.id)
                    ));
                    if let Ok(mut wants) = self.wants.lock() {
                        wants.push(want.clone());
                    }
                    let reply = handler(&want);
                    sleep(reply.after);
                    let fields = if reply.fields.is_empty() {
                        "-"
                    } else {
                        &reply.fields
                    };
                    record.note(&format!(
                        "{} says {id} {} {fields}",
                        name(self.id),
                        reply.word
                    ));
                    let mut out = format!("{id} {} {fields} {}\r\n", reply.word, reply.body.len())
                        .into_bytes();
                    out.extend(&reply.body);
                    out.extend(b"\r\n");
                    output.write_all(&out)?;
                }
                ["there", tag] => {
                    output.write_all(format!("{tag} well - 0\r\n\r\n").as_bytes())?;
                }
                ["never_mind", _] => {}
                // A host closes on what it can't read.
                _ => return Ok(()),
            }
        }
    }

    /// The requests that have come so far.
    pub fn received(&self) -> Vec<Want> {
        self.wants
            .lock()
            .map(|wants| wants.clone())
            .unwrap_or_default()
    }
}
