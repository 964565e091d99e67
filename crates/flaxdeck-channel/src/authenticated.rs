//! The bytes between our instances: length-prefixed frames, each with a counter and a keyed hash, after a greeting
//! that fixes the version and a fresh key. Pure: bytes in, messages out.
//!
//! ```text
//! greeting   4 "flxg"  1 version  1 role  16 nonce  16 keyed hash of all before, by the shared key
//! frame      4 length of the rest  8 counter  n body (postcard)  16 keyed hash of counter and body
//! ```
//!
//! The key of the frames each way is the keyed hash, by the shared key, of both nonces and the direction. So a frame
//! from another connection, of the other side, out of its place or doubled does not open, and a greeting played
//! again meets another nonce. Nothing is kept secret, only genuine.

use bytes::{Buf, Bytes, BytesMut};
use flaxdeck_wire::Parsed;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// The version of this protocol; another is refused by that reason.
pub const VERSION: u8 = 3;
/// Bytes of the greeting.
pub const GREETING: usize = 4 + 1 + 1 + NONCE + HASH;
/// Bytes of one frame at most: events, grants and ratings at their bounds fit.
pub const MAX_FRAME: usize = 320 * 1024;
/// Digits of a key as it is written.
const KEY_DIGITS: usize = 64;
/// Bytes of the length before each frame.
const LENGTH: usize = 4;
const NONCE: usize = 16;
const HASH: usize = 16;
const COUNTER: usize = 8;
const MAGIC: &[u8] = b"flxg";

/// The key that all instances of an installation share.
#[derive(Clone)]
pub struct Key([u8; 32]);

/// Why a text is no key. It does not hold the text, which may be most of one.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum InvalidKey {
    /// It is shorter or longer.
    #[error("a key has 64 hex digits")]
    Length,
    /// It holds something else than hex digits.
    #[error("a key is written in hex digits")]
    NotHex,
}

/// Why bytes of the other side are not taken, or a message can't be written.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum InvalidFrame {
    /// The first bytes are not those of a greeting.
    #[error("not of this protocol")]
    NotThisProtocol,
    /// The greeting is of another version.
    #[error("another version of this protocol")]
    OtherVersion,
    /// The greeting was made with another key.
    #[error("another key")]
    OtherKey,
    /// A forwarder has greeted a forwarder, or a planner a planner.
    #[error("the wrong side of this protocol")]
    WrongSide,
    /// A message has no form in the encoding.
    #[error("a message that can't be written")]
    Unwritable,
    /// A message is longer than a frame may be.
    #[error("a message over the bound of a frame")]
    MessageTooLong,
    /// A frame is shorter or longer than any of this protocol.
    #[error("a frame's length is out of bounds")]
    Length,
    /// The keyed hash of a frame does not fit it.
    #[error("a frame that is not genuine")]
    NotGenuine,
    /// A frame was left out, repeated, or belongs to another connection.
    #[error("a frame out of its place")]
    OutOfOrder,
    /// A frame does not decode as a message.
    #[error("a frame that does not hold a message")]
    NoMessage,
    /// A frame has bytes behind its message.
    #[error("a frame with more than a message")]
    Trailing,
}

impl Key {
    /// A key of 64 hex digits, with white space round them.
    ///
    /// # Errors
    ///
    /// If the text is anything else.
    pub fn from_hex(text: &str) -> Result<Key, InvalidKey> {
        let digits = text.trim().as_bytes();
        if digits.len() != KEY_DIGITS {
            return Err(InvalidKey::Length);
        }
        let mut key = [0; KEY_DIGITS / 2];
        for (byte, pair) in key.iter_mut().zip(digits.chunks(2)) {
            let pair = std::str::from_utf8(pair).map_err(|_| InvalidKey::NotHex)?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_| InvalidKey::NotHex)?;
        }
        Ok(Key(key))
    }

    fn hash(&self, parts: &[&[u8]]) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(part);
        }
        *hasher.finalize().as_bytes()
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        out.write_str("Key(..)")
    }
}

/// The side of a conversation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It connects, and sends reports.
    Forwarder = 1,
    /// It accepts, and answers with guidance.
    Planner = 2,
}

/// The greeting of one side, with a nonce that is new each time.
#[derive(Clone, Debug)]
pub struct Greeting {
    side: Role,
    nonce: [u8; NONCE],
}

/// Compares without telling by its time where two hashes differ.
fn same(one: &[u8], other: &[u8]) -> bool {
    one.len() == other.len() && one.iter().zip(other).fold(0, |sum, (a, b)| sum | (a ^ b)) == 0
}

impl Greeting {
    /// Of that side. The nonce has to be another in each connection.
    pub fn new(side: Role, nonce: [u8; 16]) -> Greeting {
        Greeting { side, nonce }
    }

    /// As it is sent.
    pub fn bytes(&self, key: &Key) -> Bytes {
        let head = [MAGIC, &[VERSION, self.side as u8], &self.nonce].concat();
        let hash = key.hash(&[&head]);
        [&head[..], &hash[..HASH]].concat().into()
    }

    /// Reads the other side's greeting at the head of the buffer and takes its bytes out.
    ///
    /// # Errors
    ///
    /// If it is of another protocol, version, key or side.
    pub fn read(
        buffer: &mut BytesMut,
        key: &Key,
        from: Role,
    ) -> Result<Parsed<Greeting>, InvalidFrame> {
        // A stranger is refused by its first bytes, however few they are.
        if !MAGIC.starts_with(&buffer[..buffer.len().min(MAGIC.len())]) {
            return Err(InvalidFrame::NotThisProtocol);
        }
        if buffer.len() < GREETING {
            return Ok(Parsed::Incomplete(GREETING - buffer.len()));
        }
        let bytes = buffer.split_to(GREETING);
        let (head, hash) = bytes.split_at(GREETING - HASH);
        let [version, role] = [head[MAGIC.len()], head[MAGIC.len() + 1]];
        if version != VERSION {
            return Err(InvalidFrame::OtherVersion);
        }
        if !same(&key.hash(&[head])[..HASH], hash) {
            return Err(InvalidFrame::OtherKey);
        }
        if role != from as u8 {
            return Err(InvalidFrame::WrongSide);
        }
        let mut nonce = [0; NONCE];
        nonce.copy_from_slice(&head[MAGIC.len() + 2..]);
        Ok(Parsed::Complete(Greeting { side: from, nonce }))
    }

    /// What signs our frames and verifies theirs, once both greetings are known.
    pub fn keys(&self, theirs: &Greeting, key: &Key) -> (FrameSigner, FrameVerifier) {
        let mut nonces = [(self.side, self.nonce), (theirs.side, theirs.nonce)];
        nonces.sort_by_key(|(side, _)| *side as u8);
        let from =
            |side: Role| Key(key.hash(&[b"frames", &nonces[0].1, &nonces[1].1, &[side as u8]]));
        (
            FrameSigner {
                key: from(self.side),
                counter: 0,
            },
            FrameVerifier {
                key: from(theirs.side),
                counter: 0,
            },
        )
    }
}

/// Signs frames of one side in their order.
pub struct FrameSigner {
    key: Key,
    counter: u64,
}

/// Verifies frames of one side in their order.
pub struct FrameVerifier {
    key: Key,
    counter: u64,
}

impl FrameSigner {
    /// The frame of a message. Each takes the next number, so it has to be sent, and in order.
    ///
    /// # Errors
    ///
    /// If the message can't be written or is over [`MAX_FRAME`]; nothing may be sent after that.
    pub fn sign(&mut self, message: &impl Serialize) -> Result<Bytes, InvalidFrame> {
        self.counter += 1;
        let counter = self.counter.to_be_bytes();
        let body = postcard::to_stdvec(message).map_err(|_| InvalidFrame::Unwritable)?;
        let length = COUNTER + body.len() + HASH;
        if length > MAX_FRAME {
            return Err(InvalidFrame::MessageTooLong);
        }
        let hash = self.key.hash(&[&counter, &body]);
        Ok([
            &(length as u32).to_be_bytes()[..],
            &counter,
            &body,
            &hash[..HASH],
        ]
        .concat()
        .into())
    }
}

impl FrameVerifier {
    /// Reads the frame at the head of the buffer and takes its bytes out.
    ///
    /// # Errors
    ///
    /// If it is not genuine, out of its place or holds something else than one message; the connection is of no more
    /// use.
    pub fn verify<T: DeserializeOwned>(
        &mut self,
        buffer: &mut BytesMut,
    ) -> Result<Parsed<T>, InvalidFrame> {
        if buffer.len() < LENGTH {
            return Ok(Parsed::Incomplete(LENGTH - buffer.len()));
        }
        let length = u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]) as usize;
        if !(COUNTER + HASH..=MAX_FRAME).contains(&length) {
            return Err(InvalidFrame::Length);
        }
        if buffer.len() < LENGTH + length {
            return Ok(Parsed::Incomplete(LENGTH + length - buffer.len()));
        }
        let mut frame = buffer.split_to(LENGTH + length);
        frame.advance(LENGTH);
        let (signed, hash) = frame.split_at(length - HASH);
        if !same(&self.key.hash(&[signed])[..HASH], hash) {
            return Err(InvalidFrame::NotGenuine);
        }
        self.counter += 1;
        if signed[..COUNTER] != self.counter.to_be_bytes() {
            return Err(InvalidFrame::OutOfOrder);
        }
        let (message, rest) =
            postcard::take_from_bytes(&signed[COUNTER..]).map_err(|_| InvalidFrame::NoMessage)?;
        if !rest.is_empty() {
            return Err(InvalidFrame::Trailing);
        }
        Ok(Parsed::Complete(message))
    }
}
