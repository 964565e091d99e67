//! A host: a cache host, a parent or the origin.

use std::collections::HashSet;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::spawn;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The end of a line, and of a body.
const LINE_END: &[u8] = b"\r\n";

/// How a host answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostBehavior {
    /// Serves normally.
    Serve,
    /// Answers with this word in place of `data`: `absent`, `full`, `failed` or `moot`.
    Say(&'static str),
    /// Answers that the copy that the client holds is unchanged, with this version tag; without one if it is empty.
    Unchanged(&'static str),
    /// Serves after this delay in milliseconds.
    Late(u64),
    /// Accepts requests and liveness checks, and never answers.
    Silent,
    /// Closes the connection when it has received a request.
    Break,
    /// Closes the connection in the middle of an answer.
    BreakInAnswer,
    /// Serves one request on each connection, and closes it on the next one without recording or answering that one.
    Once,
    /// Answers with a line that doesn't follow the protocol.
    Garble,
    /// Sends an answer to another request before its own one, which it sends twice.
    Extra,
}

/// A received line.
struct ReceivedLine {
    at: Instant,
    line: String,
    /// The body that followed it.
    body: Vec<u8>,
}

impl ReceivedLine {
    fn starts_with(&self, word: &str) -> bool {
        self.line.split(' ').next() == Some(word)
    }
}

#[derive(Default)]
struct State {
    /// The cached objects.
    cached: HashSet<String>,
    received: Vec<ReceivedLine>,
    connections: Vec<TcpStream>,
    behavior: Option<HostBehavior>,
    down: bool,
}

/// One host on loopback.
#[derive(Clone)]
pub struct Host {
    /// Its id in the endpoint list.
    pub id: String,
    /// The address at which it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Host {
    /// Starts a host; port 0 lets the system choose.
    ///
    /// # Errors
    ///
    /// If it can't listen.
    pub fn start(id: &str, address: &str) -> io::Result<Host> {
        let listener = TcpListener::bind(address)?;
        let host = Host {
            id: id.into(),
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let serving = host.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let host = serving.clone();
                if host.lock().down {
                    return;
                }
                spawn(move || {
                    // An error only means that the other side has closed the connection.
                    let _ = host.serve(stream);
                });
            }
        });
        Ok(host)
    }

    #[allow(
        clippy::expect_used,
        reason = "a test in which a connection has panicked must fail"
    )]
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("a thread panicked while it held the state")
    }

    /// Sets how it answers.
    pub fn set(&self, behavior: HostBehavior) {
        self.lock().behavior = Some(behavior);
    }

    /// Returns the received lines that start with a word, in order, each with its body.
    pub fn received(&self, word: &str) -> Vec<(String, Vec<u8>)> {
        let state = self.lock();
        let lines = state.received.iter().filter(|line| line.starts_with(word));
        lines
            .map(|received| (received.line.clone(), received.body.clone()))
            .collect()
    }

    /// Returns the received lines that start with a word, in order, each with its time of arrival.
    pub fn arrivals(&self, word: &str) -> Vec<(Instant, String)> {
        let state = self.lock();
        let lines = state.received.iter().filter(|line| line.starts_with(word));
        lines
            .map(|received| (received.at, received.line.clone()))
            .collect()
    }

    /// Kills the host: closes its connections and its listener, so that new connections are refused.
    pub fn kill(&self) {
        self.lock().down = true;
        // Each connect wakes the accepting thread, which closes the listener once it sees `down`.
        while TcpStream::connect(self.address).is_ok() {}
        for stream in self.lock().connections.drain(..) {
            // The connection may be closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        self.lock().connections.push(stream.try_clone()?);
        let mut input = BufReader::new(stream.try_clone()?);
        let mut output = stream;
        let mut requests = 0;
        loop {
            let mut line = String::new();
            if input.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let line = line.trim_end_matches("\r\n").to_owned();
            let words: Vec<&str> = line.split(' ').collect();
            let mut body = Vec::new();
            if words[0] == "want" {
                requests += 1;
                body = read_body(&mut input, words.last().copied())?;
            }
            if requests > 1 && self.lock().behavior == Some(HostBehavior::Once) {
                return output.shutdown(Shutdown::Both);
            }
            self.lock().received.push(ReceivedLine {
                at: Instant::now(),
                line: line.clone(),
                body: body.clone(),
            });
            match words[..] {
                ["want", id, fields, _] => {
                    let keep_open = self.answer(&mut output, id, fields, &body)?;
                    if !keep_open {
                        return output.shutdown(Shutdown::Both);
                    }
                }
                ["there", tag] if self.lock().behavior != Some(HostBehavior::Silent) => {
                    output.write_all(format!("{tag} well - 0\r\n\r\n").as_bytes())?;
                }
                _ => {}
            }
        }
    }

    /// Answers a request as its behavior says, and returns whether the connection stays open.
    fn answer(
        &self,
        output: &mut TcpStream,
        id: &str,
        fields: &str,
        request_body: &[u8],
    ) -> io::Result<bool> {
        let field = |name: &str| {
            fields
                .split(',')
                .filter_map(|f| f.split_once('='))
                .find(|f| f.0 == name)
        };
        let value = |name: &str| field(name).map_or("", |(_, value)| value);
        let object = format!("{}.{}", value("key"), value("part"));
        let behavior = self.lock().behavior.unwrap_or(HostBehavior::Serve);
        let body = if request_body.is_empty() {
            body_of(&object)
        } else {
            request_body.to_vec()
        };
        let is_hit = !self.lock().cached.insert(object.clone()) || value("fetch").is_empty();
        let unix_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        let source = if is_hit {
            "how=hit"
        } else {
            "how=filled,took=1.5"
        };
        let answer_fields = format!(
            "version=v{},stamp={unix_ms},{source},stats=outstanding:1;x0:0.5;x1:0.1",
            value("key")
        );
        let mut send = |word: &str, fields: &str, body: &[u8], id: &str| {
            let head = format!("{id} {word} {fields} {}\r\n", body.len());
            output.write_all(&[head.as_bytes(), body, LINE_END].concat())
        };
        match behavior {
            HostBehavior::Serve | HostBehavior::Once => send("data", &answer_fields, &body, id)?,
            HostBehavior::Unchanged(_) if value("holds").is_empty() => {
                send("data", &answer_fields, &body, id)?
            }
            HostBehavior::Unchanged("") => send("unchanged", source, &[], id)?,
            HostBehavior::Unchanged(tag) => {
                send("unchanged", &format!("version={tag},{source}"), &[], id)?
            }
            HostBehavior::Say(word) => send(word, "-", &[], id)?,
            HostBehavior::Late(ms) => {
                std::thread::sleep(Duration::from_millis(ms));
                send("data", &answer_fields, &body, id)?;
            }
            HostBehavior::Extra => {
                send("data", &answer_fields, &body, "0123456789abcdef")?;
                send("data", &answer_fields, &body, id)?;
                send("data", &answer_fields, &body, id)?;
            }
            HostBehavior::Silent => {}
            HostBehavior::Break => return Ok(false),
            HostBehavior::BreakInAnswer => {
                output.write_all(format!("{id} data {answer_fields} 1000\r\nhalf").as_bytes())?;
                return Ok(false);
            }
            HostBehavior::Garble => output.write_all(b"\xff\xfe what is this\r\n")?,
        }
        Ok(true)
    }
}

/// Reads the body that follows a request's line; the last word of that line is the body's length.
fn read_body(input: &mut impl Read, length: Option<&str>) -> io::Result<Vec<u8>> {
    let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length + LINE_END.len()];
    input.read_exact(&mut body)?;
    body.truncate(length);
    Ok(body)
}

/// Returns the body of an object, which is the same at every host.
pub fn body_of(object: &str) -> Vec<u8> {
    format!("the bytes of {object}. ").repeat(40).into_bytes()
}
