//! A client with the part of MessagePack-RPC that is needed to request objects.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// The read timeout of a connection, longer than any answer takes.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// An answer, with the number of the call that it answers.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// The requested object, or the success of a write.
    Served {
        /// The number of the call.
        call: u32,
        /// The body of the answer.
        body: Vec<u8>,
        /// The fields of the answer.
        fields: BTreeMap<String, String>,
    },
    /// A rejection or a failure.
    Error {
        /// The number of the call.
        call: u32,
        /// `Backoff` for a rejection, `Lost` for a failure.
        word: String,
        /// The fields of the answer.
        fields: BTreeMap<String, String>,
    },
    /// The answer to [`Client::alive`]: the dispatcher is alive.
    Alive {
        /// The number of the call.
        call: u32,
    },
}

/// A client on one connection to a dispatcher.
pub struct Client {
    stream: TcpStream,
    next: u32,
}

fn encode_text(value: &str) -> Vec<u8> {
    [&[0xd9, value.len() as u8], value.as_bytes()].concat()
}

fn encode_map(fields: &[(&str, &str)]) -> Vec<u8> {
    let pairs = fields
        .iter()
        .flat_map(|(name, value)| [encode_text(name), encode_text(value)].concat());
    [0x80 | fields.len() as u8]
        .into_iter()
        .chain(pairs)
        .collect()
}

/// Encodes a request. Public for tests that send the bytes in several writes.
pub fn request_message(call: u32, class: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let head = [
        &[0x94, 0, 0xce][..],
        &call.to_be_bytes(),
        &encode_text(class),
        &[0x92],
        &encode_map(fields),
    ]
    .concat();
    [
        head,
        [&[0xc6][..], &(body.len() as u32).to_be_bytes(), body].concat(),
    ]
    .concat()
}

impl Client {
    /// Connects to a dispatcher.
    ///
    /// # Errors
    ///
    /// If the connection fails or its options can't be set.
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        Client::from_stream(TcpStream::connect(address)?)
    }

    /// Creates a client on an established connection.
    ///
    /// # Errors
    ///
    /// If the connection's options can't be set.
    pub fn from_stream(stream: TcpStream) -> io::Result<Client> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(Client { stream, next: 1 })
    }

    /// Sends raw bytes.
    ///
    /// # Errors
    ///
    /// If writing to the connection fails.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Returns the id of the request that is sent as this call. It contains the local port, so that ids of other
    /// clients on this machine differ.
    pub fn id(&self, call: u32) -> String {
        format!(
            "{:08x}{call:08x}",
            self.stream.local_addr().map_or(0, |local| local.port())
        )
    }

    /// Returns a second client on the same connection, so that one thread can read while another writes.
    ///
    /// # Errors
    ///
    /// If the system has no free file descriptors.
    pub fn try_clone(&self) -> io::Result<Client> {
        Ok(Client {
            stream: self.stream.try_clone()?,
            next: self.next,
        })
    }

    /// Requests part 0 of an object and returns the number of the call.
    ///
    /// # Errors
    ///
    /// If writing to the connection fails.
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

    /// Sends the cancellation of a request, given by the number of its call.
    ///
    /// # Errors
    ///
    /// If writing to the connection fails.
    pub fn cancel(&mut self, call: u32) -> io::Result<()> {
        let call = call.to_be_bytes();
        self.send(
            &[
                &[0x93, 2][..],
                &encode_text("cancelRequest"),
                &[0x91, 0xce],
                &call,
            ]
            .concat(),
        )
    }

    /// Sends a liveness check and returns the number of the call.
    ///
    /// # Errors
    ///
    /// If writing to the connection fails.
    pub fn alive(&mut self) -> io::Result<u32> {
        let call = self.next;
        self.next += 1;
        self.send(
            &[
                &[0x94, 0, 0xce][..],
                &call.to_be_bytes(),
                &encode_text("alive"),
                &[0x91, 0x80],
            ]
            .concat(),
        )?;
        Ok(call)
    }

    /// Reads the next answer, to whichever call it is.
    ///
    /// # Errors
    ///
    /// If the connection ends, the read times out, or the message is not a valid answer.
    pub fn answer(&mut self) -> io::Result<Answer> {
        let invalid = |text: &str| io::Error::new(ErrorKind::InvalidData, text.to_owned());
        if self.read_array_length()? != 4 || self.read_number()? != 1 {
            return Err(invalid(
                "not a response of MessagePack-RPC: expected an array of 4 elements with the type 1",
            ));
        }
        let call = self.read_number()? as u32;
        let error = self.read_byte()?;
        if error == 0xc0 {
            if self.read_array_length()? != 2 {
                return Err(invalid(
                    "invalid result of a response: expected an array of 2 elements",
                ));
            }
            return match self.read_byte()? {
                0xc3 => self.read_fields().map(|_| Answer::Alive { call }),
                head => {
                    let body = self.read_binary(head)?;
                    Ok(Answer::Served {
                        call,
                        body,
                        fields: self.read_fields()?,
                    })
                }
            };
        }
        let word = self.read_text()?;
        let fields = self.read_fields()?;
        if self.read_byte()? != 0xc0 {
            return Err(invalid(
                "a response with an error also has a result: expected nil",
            ));
        }
        Ok(Answer::Error { call, word, fields })
    }

    /// Closes the sending side of the connection; answers can still be read.
    ///
    /// # Errors
    ///
    /// If the connection is closed already.
    pub fn shutdown_write(&self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)
    }

    /// Reads and discards everything until the connection ends, and returns whether the dispatcher closed or reset it. A
    /// connection that stays open until the reads time out counts as ended too.
    pub fn ended(&mut self) -> bool {
        let mut rest = Vec::new();
        self.stream.read_to_end(&mut rest).is_ok() || self.stream.peek(&mut [0]).is_err()
    }

    /// Waits for `time` and returns whether nothing was received and the connection stayed open.
    pub fn quiet_for(&mut self, time: Duration) -> bool {
        self.set_read_timeout(time);
        let read = self.stream.peek(&mut [0]);
        self.set_read_timeout(READ_TIMEOUT);
        matches!(read, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    #[allow(
        clippy::expect_used,
        reason = "set_read_timeout fails only for a duration of zero"
    )]
    fn set_read_timeout(&self, time: Duration) {
        let set = self.stream.set_read_timeout(Some(time));
        set.expect("the read timeout is not zero");
    }

    fn read_bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        let mut bytes = vec![0; count];
        self.stream.read_exact(&mut bytes).map(|()| bytes)
    }

    fn read_byte(&mut self) -> io::Result<u8> {
        self.read_bytes(1).map(|byte| byte[0])
    }

    fn read_big_endian(&mut self, count: usize) -> io::Result<usize> {
        Ok(self
            .read_bytes(count)?
            .iter()
            .fold(0, |sum, byte| sum << 8 | usize::from(*byte)))
    }

    fn read_array_length(&mut self) -> io::Result<usize> {
        self.read_byte().map(|head| usize::from(head & 0x0f))
    }

    fn read_number(&mut self) -> io::Result<usize> {
        match self.read_byte()? {
            0xcc => self.read_big_endian(1),
            0xcd => self.read_big_endian(2),
            0xce => self.read_big_endian(4),
            small => Ok(usize::from(small)),
        }
    }

    fn read_binary(&mut self, head: u8) -> io::Result<Vec<u8>> {
        let length = self.read_big_endian(1 << (head - 0xc4))?;
        self.read_bytes(length)
    }

    fn read_text(&mut self) -> io::Result<String> {
        let length = match self.read_byte()? {
            0xd9 => self.read_big_endian(1)?,
            head => usize::from(head & 0x1f),
        };
        String::from_utf8(self.read_bytes(length)?)
            .map_err(|error| io::Error::new(ErrorKind::InvalidData, error))
    }

    fn read_fields(&mut self) -> io::Result<BTreeMap<String, String>> {
        let count = self.read_array_length()?;
        (0..count)
            .map(|_| Ok((self.read_text()?, self.read_text()?)))
            .collect()
    }
}
