//! Errors of the parsers.

use flaxdeck_net::budget::{MAX_MESSAGE, MAX_OBJECT};
use thiserror::Error;

use crate::lines::MAX_HEAD;

/// A violation of the protocol that makes the rest of the connection unreadable.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Malformed {
    /// A value in a client's message is not valid MessagePack, or not of the expected type or length.
    #[error(transparent)]
    Value(#[from] InvalidValue),
    /// A client's message is longer than the protocol allows.
    #[error("message is longer than {MAX_MESSAGE} bytes")]
    MessageTooLong,
    /// The call number of a client's message does not fit in the 32 bits that an answer has for it.
    #[error("message id does not fit in 32 bits")]
    CallNumber,
    /// A client's message is not a request or a notification of MessagePack-RPC.
    #[error("message is neither a request nor a notification")]
    MessageKind,
    /// The first line of a host's answer is longer than [`MAX_HEAD`].
    #[error("first line of a host's answer is longer than {MAX_HEAD} bytes")]
    LineTooLong,
    /// The first line of a host's answer is not UTF-8.
    #[error("first line of a host's answer is not UTF-8")]
    LineNotUtf8,
    /// The first line of a host's answer has too few words.
    #[error("first line of a host's answer has too few words")]
    MissingWord,
    /// The first line of a host's answer has words behind the body length.
    #[error("first line of a host's answer has too many words")]
    ExtraWord,
    /// A host's answer says that the client's copy is current, and has a body.
    #[error("host's answer without an object has a body")]
    UnexpectedBody,
    /// The second word of a host's answer, its outcome, is unknown.
    #[error("unknown outcome in a host's answer")]
    UnknownAnswer,
    /// The body length in a host's answer is not a number.
    #[error("body length in a host's answer is not a number")]
    BodyLength,
    /// The body of a host's answer is longer than [`MAX_OBJECT`].
    #[error("body of a host's answer is longer than {MAX_OBJECT} bytes")]
    BodyTooLong,
    /// The body of a host's answer is not followed by a line end at the stated length.
    #[error("body of a host's answer is not followed by a line end")]
    BodyEnd,
    /// A field of a host's answer has no value.
    #[error("field of a host's answer has no value")]
    FieldWithoutValue,
    /// The length of a coordinator's frame is outside the range that the protocol allows.
    #[error("a frame's length is out of bounds")]
    FrameLength,
    /// A relayed frame is shorter or longer than its length field states.
    #[error("frame is not as long as its length field states")]
    FrameLengthMismatch,
    /// The kind of a frame is unknown.
    #[error("unknown frame kind")]
    FrameKind,
    /// The length of an endpoint list is not a multiple of a record's length.
    #[error("length of an endpoint list is not a multiple of a record's length")]
    ListLength,
    /// A purge does not have the length of its kind.
    #[error("purge does not have the length of its kind")]
    PurgeLength,
    /// The health of a host in a list is unknown.
    #[error("unknown health of a host")]
    HostHealth,
}

/// A value that is not MessagePack of the expected type and length. Clients receive these texts as part of
/// [`InvalidRequest`]: they are part of the protocol.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum InvalidValue {
    /// The value is longer than its bound.
    #[error("too long")]
    TooLong,
    /// Arrays and maps are nested deeper than the protocol allows.
    #[error("nested too deep")]
    TooDeep,
    /// The first byte is not that of any MessagePack type.
    #[error("no such type")]
    UnknownType,
    /// An array was expected.
    #[error("not an array")]
    NotArray,
    /// A map was expected.
    #[error("not a map")]
    NotMap,
    /// An unsigned integer was expected.
    #[error("not a whole number")]
    NotUnsigned,
    /// A string was expected.
    #[error("not a string")]
    NotString,
    /// The string is not UTF-8.
    #[error("not UTF-8")]
    NotUtf8,
    /// Binary data was expected.
    #[error("not binary")]
    NotBinary,
}

/// Why a client's request is invalid. The client receives these texts in the answer: they are part of the protocol.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum InvalidRequest {
    /// A value is not of the expected type, or longer than its bound.
    #[error(transparent)]
    Value(#[from] InvalidValue),
    /// The method is not the name of a request class.
    #[error("no such method")]
    UnknownMethod,
    /// More parameters follow the fields and the body.
    #[error("parameters left over")]
    ExtraParameters,
    /// The parameters are not exactly two: the fields and the body.
    #[error("not two parameters")]
    ParameterCount,
    /// The request has more fields than are accepted.
    #[error("too many fields")]
    FieldCount,
    /// The request's id is missing or not 16 hex digits.
    #[error("id is not 16 hex digits")]
    Id,
    /// The object's key is not 16 hex digits.
    #[error("key is not 16 hex digits")]
    Key,
    /// The object's key is missing.
    #[error("key is missing")]
    MissingKey,
    /// The time that the client waits is missing or not a valid number of milliseconds.
    #[error("wait is no number")]
    Wait,
    /// The part of the object is not a number.
    #[error("slice is no number")]
    Part,
    /// The object's purge group is not a number.
    #[error("set is no number")]
    Group,
    /// The number of the object's purge group is above the highest one.
    #[error("set is over 255")]
    GroupOutOfRange,
    /// A field has two values.
    #[error("a field is given twice")]
    DuplicateField,
    /// The call number is 0; call numbers start at 1.
    #[error("message ids start at 1")]
    CallNumberZero,
    /// The object's size is not a valid number of KB.
    #[error("kb is no number")]
    Size,
    /// The version tag of the client's copy has characters that a line to a host cannot contain.
    #[error("seen is no tag")]
    Tag,
    /// The idempotency key has characters that a line to a host cannot contain.
    #[error("once is no mark")]
    IdempotencyKey,
}

/// Why nothing could be read from the bytes received so far.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ReadError<E = InvalidValue> {
    /// At least this many more bytes are needed.
    #[error("at least {0} more bytes are needed")]
    Incomplete(usize),
    /// The bytes are invalid, whatever follows.
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
