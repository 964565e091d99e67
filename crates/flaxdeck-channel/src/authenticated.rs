//! The wire format between forwarders and planners: a greeting, which fixes the protocol version and the keys of the
//! connection, then length-prefixed frames, each with a counter and a keyed hash. No I/O: bytes in, messages out.
//!
//! ```text
//! greeting   4 "flxg"  1 version  1 role  16 nonce  16 keyed hash of all bytes before, with the shared key
//! frame      4 length of the rest  8 counter  n body (postcard)  16 keyed hash of counter and body
//! ```
//!
//! Each direction has its own frame key: the keyed hash, with the shared key, of both nonces and the sender's role. So
//! a frame is rejected if it belongs to another connection, was sent by the receiver itself, or is repeated or out of
//! order. A replayed greeting gives no usable frame keys, as the nonce of the other side differs. Messages are
//! authenticated, not encrypted.

use bytes::{Buf, Bytes, BytesMut};
use flaxdeck_wire::Parsed;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Version of this protocol. A greeting with any other version is rejected.
pub const VERSION: u8 = 3;
/// Length of the greeting.
pub const GREETING_BYTES: usize = 4 + 1 + 1 + NONCE_BYTES + HASH_BYTES;
/// Maximum length of a frame after its length field. A message with the maximum of events, grants and ratings fits.
pub const MAX_FRAME_BYTES: usize = 320 * 1024;
/// Number of hex digits of a key.
const KEY_HEX_DIGITS: usize = 64;
/// Size of a frame's length field.
const LENGTH_BYTES: usize = 4;
const NONCE_BYTES: usize = 16;
const HASH_BYTES: usize = 16;
const COUNTER_BYTES: usize = 8;
/// First bytes of a greeting.
const MAGIC: &[u8] = b"flxg";

/// The key that all forwarders and planners of an installation share.
#[derive(Clone)]
pub struct Key([u8; 32]);

/// Why a text is not a valid key. It never holds the text, which may be part of a real key.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum InvalidKey {
    /// The text is not 64 bytes long.
    #[error("a key has 64 hex digits")]
    Length,
    /// The text has a character that is not a hex digit.
    #[error("a key has a character that is not a hex digit")]
    NotHex,
}

/// Why received bytes are not a valid greeting or frame, or why a message can't be sent.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum InvalidFrame {
    /// The first bytes are not those of a greeting.
    #[error("the first bytes are not a greeting of this protocol")]
    NotThisProtocol,
    /// The greeting has another protocol version than [`VERSION`].
    #[error("another version of this protocol")]
    OtherVersion,
    /// The keyed hash of the greeting does not match: the other side has another key.
    #[error("another key")]
    OtherKey,
    /// A forwarder is connected to a forwarder, or a planner to a planner.
    #[error("the other side has the wrong role: a connection is from a forwarder to a planner")]
    WrongRole,
    /// A message can't be encoded.
    #[error("a message cannot be encoded")]
    Unencodable,
    /// An encoded message is longer than a frame may be.
    #[error("an encoded message exceeds the limit of a frame, {MAX_FRAME_BYTES} bytes")]
    MessageTooLong,
    /// The length field of a frame is below the minimum or above the maximum.
    #[error("a frame's length is not between {} and {MAX_FRAME_BYTES} bytes", COUNTER_BYTES + HASH_BYTES)]
    Length,
    /// The keyed hash of a frame does not match its content.
    #[error("a frame's keyed hash does not match its content")]
    HashMismatch,
    /// The counter of a frame is not the next one: a frame was left out or repeated.
    #[error("a frame's counter is not the next one: frames were lost, repeated or reordered")]
    OutOfOrder,
    /// The body of a frame does not decode as a message.
    #[error("a frame's body does not decode as a message")]
    Undecodable,
    /// The body of a frame has further bytes after its message.
    #[error("a frame's body has trailing bytes after its message")]
    TrailingBytes,
}

impl Key {
    /// Parses a key of 64 hex digits, which white space may surround.
    ///
    /// # Errors
    ///
    /// If the text without that white space is not 64 hex digits.
    pub fn from_hex(text: &str) -> Result<Key, InvalidKey> {
        let digits = text.trim().as_bytes();
        if digits.len() != KEY_HEX_DIGITS {
            return Err(InvalidKey::Length);
        }
        let mut key = [0; KEY_HEX_DIGITS / 2];
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

/// Which end of a connection an instance is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Opens connections and sends reports.
    Forwarder = 1,
    /// Accepts connections and answers reports with guidance.
    Planner = 2,
}

/// The first bytes that an instance sends on a connection: its role and a nonce.
#[derive(Clone, Debug)]
pub struct Greeting {
    role: Role,
    nonce: [u8; NONCE_BYTES],
}

/// Compares two hashes in a time that does not depend on where they differ.
fn equal_in_constant_time(one: &[u8], other: &[u8]) -> bool {
    one.len() == other.len() && one.iter().zip(other).fold(0, |sum, (a, b)| sum | (a ^ b)) == 0
}

impl Greeting {
    /// Creates the greeting of an instance with that role. Each connection needs a new nonce.
    pub fn new(role: Role, nonce: [u8; 16]) -> Greeting {
        Greeting { role, nonce }
    }

    /// Returns the greeting as it is sent.
    pub fn bytes(&self, key: &Key) -> Bytes {
        let head = [MAGIC, &[VERSION, self.role as u8], &self.nonce].concat();
        let hash = key.hash(&[&head]);
        [&head[..], &hash[..HASH_BYTES]].concat().into()
    }

    /// Reads the greeting of the other side, which has to be of role `from`, from the start of the buffer, and removes
    /// its bytes.
    ///
    /// # Errors
    ///
    /// If the bytes belong to another protocol, or the greeting has another version, key or role.
    pub fn read(
        buffer: &mut BytesMut,
        key: &Key,
        from: Role,
    ) -> Result<Parsed<Greeting>, InvalidFrame> {
        // Rejects a client of another protocol as soon as one byte differs, without waiting for a full greeting.
        if !MAGIC.starts_with(&buffer[..buffer.len().min(MAGIC.len())]) {
            return Err(InvalidFrame::NotThisProtocol);
        }
        if buffer.len() < GREETING_BYTES {
            return Ok(Parsed::Incomplete(GREETING_BYTES - buffer.len()));
        }
        let bytes = buffer.split_to(GREETING_BYTES);
        let (head, hash) = bytes.split_at(GREETING_BYTES - HASH_BYTES);
        let [version, role] = [head[MAGIC.len()], head[MAGIC.len() + 1]];
        if version != VERSION {
            return Err(InvalidFrame::OtherVersion);
        }
        if !equal_in_constant_time(&key.hash(&[head])[..HASH_BYTES], hash) {
            return Err(InvalidFrame::OtherKey);
        }
        if role != from as u8 {
            return Err(InvalidFrame::WrongRole);
        }
        let mut nonce = [0; NONCE_BYTES];
        nonce.copy_from_slice(&head[MAGIC.len() + 2..]);
        Ok(Parsed::Complete(Greeting { role: from, nonce }))
    }

    /// Derives the frame keys of a connection from the greetings of both sides. Returns the signer of frames that this
    /// side sends and the verifier of frames that it receives.
    pub fn keys(&self, received: &Greeting, key: &Key) -> (FrameSigner, FrameVerifier) {
        let mut nonces = [(self.role, self.nonce), (received.role, received.nonce)];
        nonces.sort_by_key(|(role, _)| *role as u8);
        let key_of_sender =
            |role: Role| Key(key.hash(&[b"frames", &nonces[0].1, &nonces[1].1, &[role as u8]]));
        (
            FrameSigner {
                key: key_of_sender(self.role),
                counter: 0,
            },
            FrameVerifier {
                key: key_of_sender(received.role),
                counter: 0,
            },
        )
    }
}

/// Encodes and signs the frames that are sent on a connection.
pub struct FrameSigner {
    key: Key,
    /// Counter of the last signed frame; 0 before the first.
    counter: u64,
}

/// Verifies and decodes the frames that are received on a connection.
pub struct FrameVerifier {
    key: Key,
    /// Counter of the last verified frame; 0 before the first.
    counter: u64,
}

impl FrameSigner {
    /// Returns the frame of a message. Every call takes the next counter, so all frames have to be sent, in the order
    /// of the calls.
    ///
    /// # Errors
    ///
    /// If the message can't be encoded or its frame exceeds [`MAX_FRAME_BYTES`]. The connection can't be used to send
    /// any more.
    pub fn sign(&mut self, message: &impl Serialize) -> Result<Bytes, InvalidFrame> {
        self.counter += 1;
        let counter = self.counter.to_be_bytes();
        let body = postcard::to_stdvec(message).map_err(|_| InvalidFrame::Unencodable)?;
        let length = COUNTER_BYTES + body.len() + HASH_BYTES;
        if length > MAX_FRAME_BYTES {
            return Err(InvalidFrame::MessageTooLong);
        }
        let hash = self.key.hash(&[&counter, &body]);
        Ok([
            &(length as u32).to_be_bytes()[..],
            &counter,
            &body,
            &hash[..HASH_BYTES],
        ]
        .concat()
        .into())
    }
}

impl FrameVerifier {
    /// Reads a frame from the start of the buffer, removes its bytes and returns its message.
    ///
    /// # Errors
    ///
    /// If the frame's length, hash or counter is wrong, or its body is not exactly one message. The connection has to
    /// be closed.
    pub fn verify<T: DeserializeOwned>(
        &mut self,
        buffer: &mut BytesMut,
    ) -> Result<Parsed<T>, InvalidFrame> {
        if buffer.len() < LENGTH_BYTES {
            return Ok(Parsed::Incomplete(LENGTH_BYTES - buffer.len()));
        }
        let length = u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]) as usize;
        if !(COUNTER_BYTES + HASH_BYTES..=MAX_FRAME_BYTES).contains(&length) {
            return Err(InvalidFrame::Length);
        }
        if buffer.len() < LENGTH_BYTES + length {
            return Ok(Parsed::Incomplete(LENGTH_BYTES + length - buffer.len()));
        }
        let mut frame = buffer.split_to(LENGTH_BYTES + length);
        frame.advance(LENGTH_BYTES);
        let (signed, hash) = frame.split_at(length - HASH_BYTES);
        if !equal_in_constant_time(&self.key.hash(&[signed])[..HASH_BYTES], hash) {
            return Err(InvalidFrame::HashMismatch);
        }
        self.counter += 1;
        if signed[..COUNTER_BYTES] != self.counter.to_be_bytes() {
            return Err(InvalidFrame::OutOfOrder);
        }
        let (message, rest) = postcard::take_from_bytes(&signed[COUNTER_BYTES..])
            .map_err(|_| InvalidFrame::Undecodable)?;
        if !rest.is_empty() {
            return Err(InvalidFrame::TrailingBytes);
        }
        Ok(Parsed::Complete(message))
    }
}
