//! A cache host, a parent or the origin.

use std::collections::HashSet;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::spawn;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How a host answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
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

#[derive(Default)]
struct Inside {
    held: HashSet<String>,
    /// Every line that came in, with when and the body that followed.
    heard: Vec<(Instant, String, Vec<u8>)>,
    open: Vec<TcpStream>,
    manner: Option<Manner>,
    down: bool,
}

/// One host on loopback.
#[derive(Clone)]
pub struct Host {
    pub id: String,
    pub address: SocketAddr,
    inside: Arc<Mutex<Inside>>,
}

impl Host {
    /// Starts a host; port 0 lets the system choose.
    pub fn start(id: &str, address: &str) -> io::Result<Host> {
        let listener = TcpListener::bind(address)?;
        let host = Host {
            id: id.into(),
            address: listener.local_addr()?,
            inside: Arc::default(),
        };
        let serving = host.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let host = serving.clone();
                if host.lock().down {
                    return;
                }
                spawn(move || {
                    let _ = host.serve(stream);
                });
            }
        });
        Ok(host)
    }

    fn lock(&self) -> MutexGuard<'_, Inside> {
        self.inside.lock().expect("no holder panics")
    }

    pub fn set(&self, manner: Manner) {
        self.lock().manner = Some(manner);
    }

    /// The lines that start with that word, in their order.
    pub fn heard(&self, word: &str) -> Vec<(String, Vec<u8>)> {
        let inside = self.lock();
        let heard = inside
            .heard
            .iter()
            .filter(|(_, line, _)| line.split(' ').next() == Some(word));
        heard
            .map(|(_, line, body)| (line.clone(), body.clone()))
            .collect()
    }

    /// The same lines with when they came.
    pub fn arrivals(&self, word: &str) -> Vec<(Instant, String)> {
        let inside = self.lock();
        let heard = inside
            .heard
            .iter()
            .filter(|(_, line, _)| line.split(' ').next() == Some(word));
        heard.map(|(at, line, _)| (*at, line.clone())).collect()
    }

    /// Dies: its connections are reset, new ones are refused.
    pub fn kill(&self) {
        self.lock().down = true;
        while TcpStream::connect(self.address).is_ok() {} // lets the listener end
        self.lock()
            .open
            .drain(..)
            .for_each(|stream| drop(stream.shutdown(std::net::Shutdown::Both)));
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        self.lock().open.push(stream.try_clone()?);
        let (mut input, mut output) = (BufReader::new(stream.try_clone()?), stream);
        let mut wants = 0;
        loop {
            let mut line = String::new();
            if input.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let line = line.trim_end_matches("\r\n").to_owned();
            let words: Vec<&str> = line.split(' ').collect();
            let mut body = Vec::new();
            if words[0] == "want" {
                body.resize(
                    words
                        .last()
                        .and_then(|length| length.parse().ok())
                        .unwrap_or(0)
                        + 2,
                    0,
                );
                input.read_exact(&mut body)?;
                body.truncate(body.len() - 2);
            }
            wants += usize::from(words[0] == "want");
            if wants > 1 && self.lock().manner == Some(Manner::Once) {
                return output.shutdown(std::net::Shutdown::Both);
            }
            self.lock()
                .heard
                .push((Instant::now(), line.clone(), body.clone()));
            match words[..] {
                ["want", id, fields, _] => {
                    let goes_on = self.answer(&mut output, id, fields, &body)?;
                    if !goes_on {
                        return output.shutdown(std::net::Shutdown::Both);
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
        let held = !self.lock().held.insert(object.clone()) || value("fetch").is_empty();
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
            output.write_all(&[head.as_bytes(), body, b"\r\n"].concat())
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

/// What an object holds, the same at every host.
pub fn body_of(object: &str) -> Vec<u8> {
    format!("the bytes of {object}. ").repeat(40).into_bytes()
}
