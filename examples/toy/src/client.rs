//! A client: just enough MessagePack-RPC to request objects.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// Longer than any answer takes.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// An answer with the number of what it answers.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// What was asked for.
    Served {
        /// The number of the call.
        call: u32,
        /// The bytes.
        body: Vec<u8>,
        /// What the answer says of itself.
        fields: BTreeMap<String, String>,
    },
    /// A rejection or a failure.
    Error {
        /// The number of the call.
        call: u32,
        /// Which of the two.
        word: String,
        /// What the answer says of itself.
        fields: BTreeMap<String, String>,
    },
    /// The dispatcher is alive.
    Alive {
        /// The number of the call.
        call: u32,
    },
}

/// A client on one connection.
pub struct Client {
    stream: TcpStream,
    next: u32,
}

fn text(value: &str) -> Vec<u8> {
    [&[0xd9, value.len() as u8], value.as_bytes()].concat()
}

fn map(fields: &[(&str, &str)]) -> Vec<u8> {
    let pairs = fields
        .iter()
        .flat_map(|(name, value)| [text(name), text(value)].concat());
    [0x80 | fields.len() as u8]
        .into_iter()
        .chain(pairs)
        .collect()
}

/// The bytes of a request; a test may send them in pieces of its own.
pub fn request_message(call: u32, class: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let head = [
        &[0x94, 0, 0xce][..],
        &call.to_be_bytes(),
        &text(class),
        &[0x92],
        &map(fields),
    ]
    .concat();
    [
        head,
        [&[0xc6][..], &(body.len() as u32).to_be_bytes(), body].concat(),
    ]
    .concat()
}

impl Client {
    /// A client on a connection of its own.
    ///
    /// # Errors
    ///
    /// If the connection can't be set up.
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        Client::over(TcpStream::connect(address)?)
    }

    /// A client on a connection that is up.
    ///
    /// # Errors
    ///
    /// If the connection can't be set up.
    pub fn over(stream: TcpStream) -> io::Result<Client> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(Client { stream, next: 1 })
    }

    /// Sends bytes as they are.
    ///
    /// # Errors
    ///
    /// If the connection can't be written to.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// The id of a request by its call: new with each, also beside other clients of this machine.
    pub fn id(&self, call: u32) -> String {
        format!(
            "{:08x}{call:08x}",
            self.stream.local_addr().map_or(0, |own| own.port())
        )
    }

    /// The same connection once more, for a thread that reads beside one that writes.
    ///
    /// # Errors
    ///
    /// If the system has no more descriptors.
    pub fn again(&self) -> io::Result<Client> {
        Ok(Client {
            stream: self.stream.try_clone()?,
            next: self.next,
        })
    }

    /// Asks for part 0 of an object; gives the number of the call.
    ///
    /// # Errors
    ///
    /// If the connection can't be written to.
    pub fn request(
        &mut self,
        class: &str,
        key: &str,
        wait_ms: u64,
        body: &[u8],
    ) -> io::Result<u32> {
        let (call, wait) = (self.next, wait_ms.to_string());
        let id = self.id(call);
        let fields = [
            ("id", &*id),
            ("wait", &wait),
            ("key", key),
            ("slice", "0"),
            ("set", "7"),
            ("kb", "50"),
        ];
        self.next += 1;
        self.send(&request_message(call, class, &fields, body))?;
        Ok(call)
    }

    /// Cancels a request by the number of its call.
    ///
    /// # Errors
    ///
    /// If the connection can't be written to.
    pub fn cancel(&mut self, call: u32) -> io::Result<()> {
        let call = call.to_be_bytes();
        self.send(&[&[0x93, 2][..], &text("cancelRequest"), &[0x91, 0xce], &call].concat())
    }

    /// Asks whether the dispatcher is alive; gives the number of the call.
    ///
    /// # Errors
    ///
    /// If the connection can't be written to.
    pub fn alive(&mut self) -> io::Result<u32> {
        let call = self.next;
        self.next += 1;
        self.send(
            &[
                &[0x94, 0, 0xce][..],
                &call.to_be_bytes(),
                &text("alive"),
                &[0x91, 0x80],
            ]
            .concat(),
        )?;
        Ok(call)
    }

    /// The next answer, whichever it is.
    ///
    /// # Errors
    ///
    /// If the connection ends or times out, or what comes is no answer.
    pub fn answer(&mut self) -> io::Result<Answer> {
        let bad = |what: &str| io::Error::new(ErrorKind::InvalidData, what.to_owned());
        if self.array()? != 4 || self.number()? != 1 {
            return Err(bad("not an answer"));
        }
        let call = self.number()? as u32;
        let error = self.byte()?;
        if error == 0xc0 {
            if self.array()? != 2 {
                return Err(bad("not a result"));
            }
            return match self.byte()? {
                0xc3 => self.fields().map(|_| Answer::Alive { call }),
                head => {
                    let body = self.binary(head)?;
                    Ok(Answer::Served {
                        call,
                        body,
                        fields: self.fields()?,
                    })
                }
            };
        }
        let word = self.text()?;
        let fields = self.fields()?;
        if self.byte()? != 0xc0 {
            return Err(bad("an error with a result"));
        }
        Ok(Answer::Error { call, word, fields })
    }

    /// Says that nothing more will come, and goes on reading.
    ///
    /// # Errors
    ///
    /// If the connection has ended.
    pub fn shut(&self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)
    }

    /// Whether the dispatcher has ended the connection, after whatever it still had to say.
    pub fn ended(&mut self) -> bool {
        let mut rest = Vec::new();
        self.stream.read_to_end(&mut rest).is_ok() || self.stream.peek(&mut [0]).is_err()
    }

    /// Whether nothing comes for so long.
    pub fn quiet_for(&mut self, time: Duration) -> bool {
        self.set_read_timeout(time);
        let read = self.stream.peek(&mut [0]);
        self.set_read_timeout(READ_TIMEOUT);
        matches!(read, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    #[allow(clippy::expect_used, reason = "only a time-out of zero is refused")]
    fn set_read_timeout(&self, time: Duration) {
        let set = self.stream.set_read_timeout(Some(time));
        set.expect("a time-out that is not zero");
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        let mut bytes = vec![0; count];
        self.stream.read_exact(&mut bytes).map(|()| bytes)
    }

    fn byte(&mut self) -> io::Result<u8> {
        self.take(1).map(|byte| byte[0])
    }

    fn big_endian(&mut self, count: usize) -> io::Result<usize> {
        Ok(self
            .take(count)?
            .iter()
            .fold(0, |sum, byte| sum << 8 | usize::from(*byte)))
    }

    fn array(&mut self) -> io::Result<usize> {
        self.byte().map(|head| usize::from(head & 0x0f))
    }

    fn number(&mut self) -> io::Result<usize> {
        match self.byte()? {
            0xcc => self.big_endian(1),
            0xcd => self.big_endian(2),
            0xce => self.big_endian(4),
            small => Ok(usize::from(small)),
        }
    }

    fn binary(&mut self, head: u8) -> io::Result<Vec<u8>> {
        let length = self.big_endian(1 << (head - 0xc4))?;
        self.take(length)
    }

    fn text(&mut self) -> io::Result<String> {
        let length = match self.byte()? {
            0xd9 => self.big_endian(1)?,
            head => usize::from(head & 0x1f),
        };
        String::from_utf8(self.take(length)?)
            .map_err(|error| io::Error::new(ErrorKind::InvalidData, error))
    }

    fn fields(&mut self) -> io::Result<BTreeMap<String, String>> {
        let count = self.array()?;
        (0..count)
            .map(|_| Ok((self.text()?, self.text()?)))
            .collect()
    }
}
