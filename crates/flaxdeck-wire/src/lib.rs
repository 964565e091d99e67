//! The users' protocol: pure parsers and writers over bytes, which know no connection.
//!
//! | module | speaks with |
//! | --- | --- |
//! | [`rpc`] over [`msgpack`] | clients: MessagePack-RPC |
//! | [`lines`] | cache hosts, parents and the origin: lines with a body |
//! | [`frames`] | the coordinator: binary frames, and the same events as JSON in the configuration |
//!
//! A parser takes a complete message out of the head of a buffer, or says how many bytes it lacks; what it takes out is
//! not copied. Every length is checked against its bound before anything waits for that many bytes.
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
use flaxdeck::{AttemptOutcome, ClassId, FillOutcome, GroupId, LoadReport, ObjectId, Span};

pub use error::{InvalidRequest, InvalidValue, Malformed, ReadError};
pub use lines::AttemptOptions;

/// What a parser makes of bytes that came in so far.
#[derive(Debug, PartialEq)]
pub enum Parsed<T> {
    /// A complete message; its bytes are taken out of the buffer.
    Complete(T),
    /// At least so many bytes more are needed.
    Incomplete(usize),
}

/// A big-endian number of at most 8 bytes.
fn big_endian(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

/// A client's request. Texts are slices of the bytes that came in.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// The request class, by the name of the method.
    pub class: ClassId,
    /// The client's id of the request, 16 hex digits; hosts know the request by it.
    pub id: Bytes,
    /// The object's key as it came, 16 hex digits.
    pub key: Bytes,
    /// The object, which the key names.
    pub object: ObjectId,
    /// The part of the object, from 0 up.
    pub part: u64,
    /// The group by which the object may be purged.
    pub group: GroupId,
    /// The object's size in KB, where the client knows it.
    pub size_kb: Option<f64>,
    /// How long the client waits for the complete answer.
    pub timeout: Span,
    /// The client has sent the same before.
    pub is_retry: bool,
    /// The tag of a copy that the client holds.
    pub cached_tag: Option<Bytes>,
    /// The mark by which hosts know a repeat of a deduplicated request; goes on as it came.
    pub idempotency_key: Option<Bytes>,
    /// What is written; empty for a read.
    pub body: Bytes,
}

/// The final answer to a client's request.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// The object.
    Served(Bytes),
    /// The client's own copy is current.
    Unchanged,
    /// Rejected, with the time after which to try again where one is given.
    Rejected(Option<Span>),
    /// Failed: no host has answered, and one may have run it.
    Failed,
}

/// How an attempt ended, with all that its answer tells.
#[derive(Debug, PartialEq)]
pub struct HostReply {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The object; empty where there is none.
    pub body: Bytes,
    /// The client's own copy is current.
    pub unchanged: bool,
    /// The tag of the copy that an unchanged answer speaks of.
    pub tag: Option<Bytes>,
    /// How the host came by the object.
    pub fill: FillOutcome,
    /// How long the fill waited for the source's first byte, or until it failed.
    pub waited: Option<Span>,
    /// The host's load.
    pub report: LoadReport,
}

impl HostReply {
    /// An end of which nothing more is known.
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

    /// Whether it calls a copy current that the client does not hold.
    pub fn is_of_another_copy(&self, request: &ClientRequest) -> bool {
        self.unchanged && (self.tag.is_none() || self.tag != request.cached_tag)
    }
}
