//! What can be wrong with bytes that came in.

use thiserror::Error;

/// Bytes that are not of the protocol; the connection they came on is of no more use.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Malformed {
    /// A client's message is not MessagePack.
    #[error(transparent)]
    Value(#[from] InvalidValue),
    /// A client's message is longer than any of the protocol.
    #[error("a message over the bound")]
    MessageTooLong,
    /// A client's message has a number that no answer could carry.
    #[error("a message id over 32 bits")]
    CallNumber,
    /// A client's message is of another kind of MessagePack-RPC, or of none.
    #[error("neither a request nor a notification")]
    MessageKind,
    /// A host's answer has no end of its first line where one has to be.
    #[error("an answer's line is too long")]
    LineTooLong,
    /// A host's answer is not text.
    #[error("a line is not UTF-8")]
    LineNotUtf8,
    /// A host's answer ends too soon.
    #[error("a word is missing")]
    MissingWord,
    /// A host's answer begins with a word that the protocol does not have.
    #[error("an unknown answer")]
    UnknownAnswer,
    /// A host's answer does not tell the length of its body.
    #[error("a length is no number")]
    BodyLength,
    /// The body of a host's answer is longer than [`MAX_OBJECT`](flaxdeck_net::budget::MAX_OBJECT).
    #[error("an answer over the bound")]
    BodyTooLong,
    /// The body of a host's answer is not as long as the answer tells.
    #[error("a body does not end where it should")]
    BodyEnd,
    /// A field of a host's answer has a name only.
    #[error("a field without a value")]
    FieldWithoutValue,
    /// A frame of the coordinator is shorter or longer than any of the protocol.
    #[error("a frame's length is out of bounds")]
    FrameLength,
    /// A relayed frame was cut, or has more behind it.
    #[error("a frame that is not whole")]
    FrameCut,
    /// A frame is of a kind that the protocol does not have.
    #[error("a frame of no known kind")]
    FrameKind,
    /// A list of hosts is no multiple of a record.
    #[error("a list that is not made of records")]
    ListLength,
    /// A purge is shorter or longer than one of its kind.
    #[error("a purge of the wrong length")]
    PurgeLength,
    /// A host has a health that the protocol does not have.
    #[error("a host of no known state")]
    HostState,
}

/// A value that can't be read as MessagePack of the type that is expected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum InvalidValue {
    /// A value is longer than its bound.
    #[error("too long")]
    TooLong,
    /// Arrays and maps are nested deeper than in any message of the protocol.
    #[error("nested too deep")]
    TooDeep,
    /// A byte that begins no value.
    #[error("no such type")]
    UnknownType,
    /// Another type where an array is expected.
    #[error("not an array")]
    NotArray,
    /// Another type where a map is expected.
    #[error("not a map")]
    NotMap,
    /// Another type where a whole number from 0 up is expected.
    #[error("not a whole number")]
    NotWhole,
    /// Another type where a string is expected.
    #[error("not a string")]
    NotText,
    /// A string that is not UTF-8.
    #[error("not UTF-8")]
    NotUtf8,
    /// Another type where bytes are expected.
    #[error("not binary")]
    NotBinary,
}

/// Why a client's request can't be acted upon. Its client is told so, in these words.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum InvalidRequest {
    /// A value is of another type, or over its bound.
    #[error(transparent)]
    Value(#[from] InvalidValue),
    /// The method is no request class.
    #[error("no such method")]
    UnknownMethod,
    /// There are more parameters than fields and a body.
    #[error("parameters left over")]
    LeftOver,
    /// The parameters are not fields and a body.
    #[error("not two parameters")]
    ParameterCount,
    /// There are more fields than any request has.
    #[error("too many fields")]
    FieldCount,
    /// The request's id is absent or not as the protocol has it.
    #[error("id is not 16 hex digits")]
    Id,
    /// The object's key is not as the protocol has it.
    #[error("key is not 16 hex digits")]
    Key,
    /// There is no key.
    #[error("key is missing")]
    MissingKey,
    /// How long the client waits is absent or no number of milliseconds.
    #[error("wait is no number")]
    Wait,
    /// The part of the object is no number.
    #[error("slice is no number")]
    Part,
    /// The object's group is no number.
    #[error("set is no number")]
    Group,
    /// The object's size is no number.
    #[error("kb is no number")]
    Size,
    /// The tag of the client's copy can't stand in a line to a host.
    #[error("seen is no tag")]
    Tag,
    /// The idempotency key can't stand in a line to a host.
    #[error("once is no mark")]
    IdempotencyKey,
}

/// Why something could not be read from the bytes that came in so far.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ReadError<E = InvalidValue> {
    /// At least so many bytes more are needed.
    #[error("{0} bytes more are needed")]
    Incomplete(usize),
    /// No further bytes will make it valid.
    #[error(transparent)]
    Invalid(E),
}

impl From<InvalidValue> for ReadError {
    fn from(error: InvalidValue) -> ReadError {
        ReadError::Invalid(error)
    }
}

impl From<Malformed> for ReadError<Malformed> {
    fn from(error: Malformed) -> ReadError<Malformed> {
        ReadError::Invalid(error)
    }
}

impl From<InvalidRequest> for ReadError<InvalidRequest> {
    fn from(error: InvalidRequest) -> ReadError<InvalidRequest> {
        ReadError::Invalid(error)
    }
}

impl From<ReadError> for ReadError<Malformed> {
    fn from(error: ReadError) -> ReadError<Malformed> {
        error.map(Malformed::Value)
    }
}

impl From<ReadError> for ReadError<InvalidRequest> {
    fn from(error: ReadError) -> ReadError<InvalidRequest> {
        error.map(InvalidRequest::Value)
    }
}

impl ReadError {
    fn map<E>(self, wrap: impl FnOnce(InvalidValue) -> E) -> ReadError<E> {
        match self {
            ReadError::Incomplete(missing) => ReadError::Incomplete(missing),
            ReadError::Invalid(error) => ReadError::Invalid(wrap(error)),
        }
    }
}
