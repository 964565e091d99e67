//! How clients, hosts and the coordinator are spoken to: pure parsers and writers over bytes. The types here are
//! all that routing sees of it.

pub mod frames;
pub mod lines;
pub mod msgpack;
pub mod rpc;

use bytes::Bytes;
use flaxdeck::{AttemptOutcome, ClassId, FillOutcome, GroupId, LoadReport, ObjectId, Span};

pub use lines::AttemptOptions;

/// What a parser makes of bytes that came in so far.
#[derive(Debug, PartialEq)]
pub enum Parsed<T> {
    /// A whole message; its bytes are taken out of the buffer.
    Whole(T),
    /// At least so many bytes more are needed.
    Short(usize),
}

/// Bytes that are not of the protocol; the connection they came on is of no more use.
#[derive(Debug, PartialEq)]
pub struct Malformed(pub &'static str);

fn big_endian(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

/// A client's request, as it was asked. Texts are slices of the bytes that came in.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    pub class: ClassId,
    pub id: Bytes,
    pub key: Bytes,
    pub object: ObjectId,
    pub part: u64,
    pub group: GroupId,
    pub size_kb: Option<f64>,
    /// How long the client waits for the whole answer.
    pub waits: Span,
    pub again: bool,
    /// The tag of a copy that the client holds.
    pub holds: Option<Bytes>,
    /// The mark by which hosts know a repeat of a deduplicated request; goes on as it came.
    pub idempotency_key: Option<Bytes>,
    pub body: Bytes,
}

/// The final answer to a client's request.
#[derive(Debug, PartialEq)]
pub enum Answer {
    Served(Bytes),
    /// The client's own copy is the one.
    Unchanged,
    Rejected(Option<Span>),
    Failed,
}

/// How an attempt ended, with all that its answer tells.
#[derive(Debug, PartialEq)]
pub struct HostReply {
    pub outcome: AttemptOutcome,
    pub body: Bytes,
    pub unchanged: bool,
    /// The tag that an answer without bytes names.
    pub named: Option<Bytes>,
    pub fill: FillOutcome,
    pub waited: Option<Span>,
    pub report: LoadReport,
}

impl HostReply {
    pub fn bare(outcome: AttemptOutcome) -> HostReply {
        let (body, named, fill, report) = (
            Bytes::new(),
            None,
            FillOutcome::Nothing,
            LoadReport::default(),
        );
        HostReply {
            outcome,
            body,
            unchanged: false,
            named,
            fill,
            waited: None,
            report,
        }
    }

    /// Whether it says that the client's copy is the one, of a copy that the client does not hold.
    pub fn is_of_another_copy(&self, asked: &ClientRequest) -> bool {
        self.unchanged && (self.named.is_none() || self.named != asked.holds)
    }
}
