//! Parsers and writers for the protocols of clients, hosts and the coordinator. They work on bytes and do no I/O.
//!
//! | module | protocol |
//! | --- | --- |
//! | [`rpc`] over [`msgpack`] | clients: MessagePack-RPC |
//! | [`lines`] | cache hosts, parents and the origin: text lines, each with a body |
//! | [`frames`] | the coordinator: binary frames, and the same events as JSON in the configuration |
//!
//! A parser takes a complete message off the front of a buffer without copying it, or returns how many more bytes it
//! needs. It checks every length against its bound before it asks for that many bytes.
//!
//! ```
//! use bytes::BytesMut;
//! use flaxdeck_wire::msgpack::{Reader, put_text};
//!
//! let mut bytes = BytesMut::new();
//! put_text(&mut bytes, "page");
//! assert_eq!(Reader::new(&bytes).text(16), Ok("page"));
//! ```

mod error;
pub mod frames;
pub mod lines;
pub mod msgpack;
pub mod rpc;

use bytes::Bytes;
use flaxdeck::{
    AttemptOutcome, ClassId, ClientRequestId, FillOutcome, GroupId, LoadReport, ObjectId, Span,
};

pub use error::{InvalidRequest, InvalidValue, Malformed, ReadError};
pub use lines::AttemptOptions;

/// The result of parsing the bytes received so far.
#[derive(Debug, PartialEq)]
pub enum Parsed<T> {
    /// A complete message; its bytes have been removed from the buffer.
    Complete(T),
    /// The message is incomplete; at least this many more bytes are needed.
    Incomplete(usize),
}

/// Reads a big-endian number of at most 8 bytes.
fn big_endian(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

/// A client's request. Its texts and its body are slices of the received bytes.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// The request class, which the RPC method names.
    pub class: ClassId,
    /// The id that the client gave the request, 16 hex digits; hosts identify the request by it.
    pub id: Bytes,
    /// The object's key as received, 16 hex digits.
    pub key: Bytes,
    /// The object, the number that the key encodes.
    pub object: ObjectId,
    /// The index of the requested part of the object, from 0.
    pub part: u64,
    /// The purge group of the object.
    pub group: GroupId,
    /// The object's size in KB, if the client knows it.
    pub size_kb: Option<f64>,
    /// How long the client waits for the complete answer.
    pub timeout: Span,
    /// Whether the client is retrying a request that it has sent before.
    pub is_retry: bool,
    /// The version tag of the client's own copy, if it has one.
    pub cached_tag: Option<Bytes>,
    /// The key by which hosts recognize repeats of a deduplicated request; forwarded unchanged.
    pub idempotency_key: Option<Bytes>,
    /// The data to be written; empty for a read.
    pub body: Bytes,
}

impl ClientRequest {
    /// Returns the number that the request's id encodes.
    pub fn id_number(&self) -> ClientRequestId {
        let digits = self
            .id
            .iter()
            .filter_map(|byte| char::from(*byte).to_digit(16));
        ClientRequestId(digits.fold(0, |number, digit| number << 4 | u64::from(digit)))
    }
}

/// The final answer to a client's request.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// The object.
    Served(Bytes),
    /// The client's own copy is current.
    Unchanged,
    /// Rejected, with an optional time after which the client may retry.
    Rejected(Option<Span>),
    /// Failed: no host has answered, and a host may have run the request.
    Failed,
}

/// The result of an attempt, with the contents of the host's answer.
#[derive(Debug, PartialEq)]
pub struct HostReply {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// The object; empty if the answer has none.
    pub body: Bytes,
    /// The host reports the client's own copy as current.
    pub unchanged: bool,
    /// The version tag of the copy that the host reports as current.
    pub tag: Option<Bytes>,
    /// How the host obtained the object.
    pub fill: FillOutcome,
    /// Time from the start of the fill to the source's first byte, or to its failure.
    pub waited: Option<Span>,
    /// The host's load.
    pub report: LoadReport,
}

impl HostReply {
    /// Creates a reply with an outcome only.
    pub fn without_body(outcome: AttemptOutcome) -> HostReply {
        HostReply {
            outcome,
            body: Bytes::new(),
            unchanged: false,
            tag: None,
            fill: FillOutcome::Nothing,
            waited: None,
            report: LoadReport::default(),
        }
    }

    /// Whether it reports as current a copy that the client does not hold. A reply without a tag counts as such.
    pub fn is_of_another_copy(&self, request: &ClientRequest) -> bool {
        self.unchanged && (self.tag.is_none() || self.tag != request.cached_tag)
    }
}
