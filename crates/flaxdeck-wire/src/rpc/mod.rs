//! MessagePack-RPC with clients: parses their messages and encodes answers.
//!
//! A request is `[0, call, class, [fields, body]]`, a cancellation `[2, "cancelRequest", [call]]`, an answer
//! `[1, call, error, result]`.

mod answer;
mod request;

use bytes::BytesMut;
use flaxdeck::ClassId;
use flaxdeck_net::budget::{MAX_MESSAGE, MAX_WRITE};
use flaxdeck_terms::{MAX_NAME, Names};

use crate::msgpack::Reader;
use crate::{ClientRequest, InvalidRequest, Malformed, Parsed, ReadError};
use request::RequestDraft;

pub use answer::{encode_alive, encode_answer, encode_error, encode_failed, encode_rejected};

/// Maximum bytes of a field's name or value; the longest that the protocol defines has 32.
const MAX_FIELD: usize = MAX_NAME;
/// Maximum fields of a message; the protocol defines nine.
const MAX_FIELDS: usize = 64;
/// The first call number of a connection.
const FIRST_CALL: u32 = 1;
/// The array length and the type number of a request.
const REQUEST: (usize, u64) = (4, 0);
/// The array length and the type number of a notification.
const NOTIFICATION: (usize, u64) = (3, 2);
/// The method of a client's health check of a dispatcher.
const ALIVE: &str = "alive";
/// The method of the notification that cancels a request.
const CANCEL: &str = "cancelRequest";

/// A client's message. The call number is chosen by the client and identifies a request on its connection.
#[derive(Debug, PartialEq)]
pub enum ClientMessage {
    /// A request.
    Request {
        /// The call number.
        call: u32,
        /// The request.
        request: Box<ClientRequest>,
    },
    /// A health check of this dispatcher.
    Alive {
        /// The call number.
        call: u32,
    },
    /// Cancels a request: the client no longer waits for the answer.
    Cancel {
        /// The call number of the request.
        call: u32,
    },
    /// An invalid request, which can be answered with an error.
    Invalid {
        /// The call number.
        call: u32,
        /// Why it is invalid.
        reason: InvalidRequest,
    },
    /// A notification other than a cancellation.
    Ignored,
}

/// A parsed message; the texts of a request are still ranges of the buffer.
enum Draft {
    Request { call: u32, draft: RequestDraft },
    Message(ClientMessage),
}

/// Parses one message at the front of the buffer and removes its bytes; texts and the body are not copied.
///
/// # Errors
///
/// Returns a violation of the protocol that cannot be answered; the connection is then unusable.
pub fn parse(buffer: &mut BytesMut, names: &Names) -> Result<Parsed<ClientMessage>, Malformed> {
    let mut reader = Reader::new(buffer);
    let draft = match read(&mut reader, names) {
        Ok(draft) if reader.position() <= MAX_MESSAGE => draft,
        Err(ReadError::Incomplete(missing)) if buffer.len() + missing <= MAX_MESSAGE => {
            return Ok(Parsed::Incomplete(missing));
        }
        Ok(_) | Err(ReadError::Incomplete(_)) => return Err(Malformed::MessageTooLong),
        Err(ReadError::Invalid(error)) => return Err(error),
    };
    let used = reader.position();
    let bytes = buffer.split_to(used).freeze();
    Ok(Parsed::Complete(match draft {
        Draft::Request { call, draft } => match draft.finish(&bytes) {
            Ok(request) => ClientMessage::Request {
                call,
                request: Box::new(request),
            },
            Err(reason) => ClientMessage::Invalid { call, reason },
        },
        Draft::Message(message) => message,
    }))
}

/// A request of which only the rest of the body has not been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartialRequest {
    /// The call number.
    pub call: u32,
    /// Bytes of the body that have not been received.
    pub missing: usize,
}

/// Returns the request at the front of the buffer if only the rest of its body has not been received. A reader without
/// memory for the body uses it to answer the request and discard the body.
pub fn partial_request(buffer: &BytesMut) -> Option<PartialRequest> {
    let mut reader = Reader::new(buffer);
    let kind = (reader.array().ok()?, reader.unsigned().ok()?);
    if kind != REQUEST {
        return None;
    }
    let call = read_call_number(&mut reader).ok()?;
    reader.text(MAX_FIELD).ok()?;
    let parameters = reader.array().ok()?;
    let fields = reader.map().ok()?;
    if parameters != 2 || fields > MAX_FIELDS {
        return None;
    }
    for _ in 0..2 * fields {
        reader.text(MAX_FIELD).ok()?;
    }
    let length = reader.binary_length(MAX_WRITE).ok()?;
    let received = buffer.len() - reader.position();
    let missing = length
        .checked_sub(received)
        .filter(|missing| *missing > 0)?;
    Some(PartialRequest { call, missing })
}

fn read_call_number(reader: &mut Reader) -> Result<u32, ReadError<Malformed>> {
    u32::try_from(reader.unsigned()?).map_err(|_| Malformed::CallNumber.into())
}

fn read(reader: &mut Reader, names: &Names) -> Result<Draft, ReadError<Malformed>> {
    match (reader.array()?, reader.unsigned()?) {
        REQUEST => read_call(reader, names),
        NOTIFICATION => read_notification(reader).map(Draft::Message),
        _ => Err(Malformed::MessageKind.into()),
    }
}

fn read_call(reader: &mut Reader, names: &Names) -> Result<Draft, ReadError<Malformed>> {
    let call = read_call_number(reader)?;
    let method = reader.text(MAX_FIELD)?;
    let class = names.class(method);
    if let Some(class) = class.filter(|_| call >= FIRST_CALL) {
        return read_request(reader, call, class);
    }
    reader.skip(MAX_MESSAGE)?;
    if method == ALIVE {
        return Ok(Draft::Message(ClientMessage::Alive { call }));
    }
    let reason = match class {
        Some(_) => InvalidRequest::CallNumberZero,
        None => InvalidRequest::UnknownMethod,
    };
    Ok(Draft::Message(ClientMessage::Invalid { call, reason }))
}

// An invalid request that is valid MessagePack is answered and the connection stays open, so the reader has to end up
// behind it.
fn read_request(
    reader: &mut Reader,
    call: u32,
    class: ClassId,
) -> Result<Draft, ReadError<Malformed>> {
    let mut parameters = reader.value(MAX_MESSAGE)?;
    let reason = match RequestDraft::read(&mut parameters, class) {
        Ok(draft) if parameters.position() == reader.position() => {
            return Ok(Draft::Request { call, draft });
        }
        Ok(_) => InvalidRequest::ExtraParameters,
        Err(ReadError::Invalid(reason)) => reason,
        Err(ReadError::Incomplete(missing)) => return Err(ReadError::Incomplete(missing)),
    };
    Ok(Draft::Message(ClientMessage::Invalid { call, reason }))
}

fn read_notification(reader: &mut Reader) -> Result<ClientMessage, ReadError<Malformed>> {
    let method = reader.text(MAX_FIELD)?;
    let mut parameters = reader.value(MAX_MESSAGE)?;
    if method != CANCEL {
        return Ok(ClientMessage::Ignored);
    }
    let call = if parameters.array()? > 0 {
        read_call_number(&mut parameters)?
    } else {
        0
    };
    Ok(ClientMessage::Cancel { call })
}
