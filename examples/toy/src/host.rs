//! A cache host, a parent or the origin.

use std::collections::HashSet;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::spawn;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What ends a line and a body.
const LINE_END: &[u8] = b"\r\n";

/// How a host answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    /// As it should.
    Serve,
    /// With that word in place of `data`: `absent`, `full`, `failed` or `moot`.
    Say(&'static str),
    /// Says of a copy that the client holds that it is unchanged, and names that tag; an empty one names none.
    Unchanged(&'static str),
    /// Serves after so many milliseconds.
    Late(u64),
    /// Takes requests and says nothing.
    Silent,
    /// Ends the connection once a request has come.
    Break,
    /// Ends the connection in the middle of an answer.
    BreakInAnswer,
    /// Serves once on each connection and ends it when the next request comes, unread.
    Once,
    /// Answers what nobody can read.
    Garble,
    /// Serves with an answer to somebody else ahead and its own once more behind.
    Extra,
}

/// A line that came in.
struct ReceivedLine {
    at: Instant,
    line: String,
    /// What followed it.
    body: Vec<u8>,
}

impl ReceivedLine {
    fn starts_with(&self, word: &str) -> bool {
        self.line.split(' ').next() == Some(word)
    }
}

#[derive(Default)]
struct State {
    /// Objects that are cached.
    cached: HashSet<String>,
    received: Vec<ReceivedLine>,
    connections: Vec<TcpStream>,
    manner: Option<Manner>,
    down: bool,
}

/// One host on loopback.
#[derive(Clone)]
pub struct Host {
    /// Its id in the list.
    pub id: String,
    /// Where it listens.
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
                    // Whoever ends the connection has what he wants.
                    let _ = host.serve(stream);
                });
            }
        });
        Ok(host)
    }

    #[allow(
        clippy::expect_used,
        reason = "a connection that panicked has spoiled the test"
    )]
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Changes how it answers.
    pub fn set(&self, manner: Manner) {
        self.lock().manner = Some(manner);
    }

    /// The lines that start with that word, in their order.
    pub fn heard(&self, word: &str) -> Vec<(String, Vec<u8>)> {
        let state = self.lock();
        let lines = state.received.iter().filter(|line| line.starts_with(word));
        lines
            .map(|received| (received.line.clone(), received.body.clone()))
            .collect()
    }

    /// The same lines with when they came.
    pub fn arrivals(&self, word: &str) -> Vec<(Instant, String)> {
        let state = self.lock();
        let lines = state.received.iter().filter(|line| line.starts_with(word));
        lines
            .map(|received| (received.at, received.line.clone()))
            .collect()
    }

    /// Dies: its connections are reset, new ones are refused.
    pub fn kill(&self) {
        self.lock().down = true;
        // A last connection lets the listener end.
        while TcpStream::connect(self.address).is_ok() {}
        for stream in self.lock().connections.drain(..) {
            // It may have ended already.
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
            if requests > 1 && self.lock().manner == Some(Manner::Once) {
                return output.shutdown(Shutdown::Both);
            }
            self.lock().received.push(ReceivedLine {
                at: Instant::now(),
                line: line.clone(),
                body: body.clone(),
            });
            match words[..] {
                ["want", id, fields, _] => {
                    let goes_on = self.answer(&mut output, id, fields, &body)?;
                    if !goes_on {
                        return output.shutdown(Shutdown::Both);
                    }
                }
                ["there", tag] if self.lock().manner != Some(Manner::Silent) => {
                    output.write_all(format!("{tag} well - 0\r\n\r\n").as_bytes())?;
                }
                _ => {}
            }
        }
    }

    fn answer(
        &self,
        output: &mut TcpStream,
        id: &str,
        fields: &str,
        sent: &[u8],
    ) -> io::Result<bool> {
        let field = |name: &str| {
            fields
                .split(',')
                .filter_map(|f| f.split_once('='))
                .find(|f| f.0 == name)
        };
        let value = |name: &str| field(name).map_or("", |(_, value)| value);
        let object = format!("{}.{}", value("key"), value("part"));
        let manner = self.lock().manner.unwrap_or(Manner::Serve);
        let body = if sent.is_empty() {
            body_of(&object)
        } else {
            sent.to_vec()
        };
        let held = !self.lock().cached.insert(object.clone()) || value("fetch").is_empty();
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        let note = if held {
            "how=hit"
        } else {
            "how=filled,took=1.5"
        };
        let told = format!(
            "version=v{},stamp={unix},{note},stats=outstanding:1;x0:0.5;x1:0.1",
            value("key")
        );
        let mut say = |word: &str, told: &str, body: &[u8], id: &str| {
            let head = format!("{id} {word} {told} {}\r\n", body.len());
            output.write_all(&[head.as_bytes(), body, LINE_END].concat())
        };
        match manner {
            Manner::Serve | Manner::Once => say("data", &told, &body, id)?,
            Manner::Unchanged(_) if value("holds").is_empty() => say("data", &told, &body, id)?,
            Manner::Unchanged("") => say("unchanged", note, &[], id)?,
            Manner::Unchanged(tag) => say("unchanged", &format!("version={tag},{note}"), &[], id)?,
            Manner::Say(word) => say(word, "-", &[], id)?,
            Manner::Late(ms) => {
                std::thread::sleep(Duration::from_millis(ms));
                say("data", &told, &body, id)?;
            }
            Manner::Extra => {
                say("data", &told, &body, "0123456789abcdef")?;
                say("data", &told, &body, id)?;
                say("data", &told, &body, id)?;
            }
            Manner::Silent => {}
            Manner::Break => return Ok(false),
            Manner::BreakInAnswer => {
                output.write_all(format!("{id} data {told} 1000\r\nhalf").as_bytes())?;
                return Ok(false);
            }
            Manner::Garble => output.write_all(b"\xff\xfe what is this\r\n")?,
        }
        Ok(true)
    }
}

/// The body that follows a request's line, whose last word is its length.
fn read_body(input: &mut impl Read, length: Option<&str>) -> io::Result<Vec<u8>> {
    let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length + LINE_END.len()];
    input.read_exact(&mut body)?;
    body.truncate(length);
    Ok(body)
}

/// What an object holds, the same at every host.
pub fn body_of(object: &str) -> Vec<u8> {
    format!("the bytes of {object}. ").repeat(40).into_bytes()
}
