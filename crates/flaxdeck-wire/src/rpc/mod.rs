//! MessagePack-RPC as clients speak it: messages in, answers out.
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

/// Bytes of a field's name or value; the longest of the protocol are 32.
const MAX_FIELD: usize = MAX_NAME;
/// Fields of a message; the protocol knows nine.
const MAX_FIELDS: usize = 64;
/// The length of a request, and its kind.
const REQUEST: (usize, u64) = (4, 0);
/// The length of a notification, and its kind.
const NOTIFICATION: (usize, u64) = (3, 2);
/// The method by which clients ask whether a dispatcher is up.
const ALIVE: &str = "alive";
/// The notification that cancels a request.
const CANCEL: &str = "cancelRequest";

/// A client's message. A call number is the client's own, and counts on its connection.
#[derive(Debug, PartialEq)]
pub enum ClientMessage {
    /// A request.
    Request {
        /// Its number.
        call: u32,
        /// What is requested.
        request: Box<ClientRequest>,
    },
    /// Asks whether this dispatcher is up.
    Alive {
        /// Its number.
        call: u32,
    },
    /// No answer is awaited any more.
    Cancel {
        /// The number of the request.
        call: u32,
    },
    /// A request that can't be acted upon, though it can be answered.
    Invalid {
        /// Its number.
        call: u32,
        /// Why not.
        reason: InvalidRequest,
    },
    /// A notification that nothing follows from.
    Ignored,
}

/// A message; a request's texts are still ranges of the bytes it was parsed from.
enum Draft {
    Request { call: u32, draft: RequestDraft },
    Message(ClientMessage),
}

/// Parses one message at the head of the buffer and takes its bytes out; texts and the body are not copied.
///
/// # Errors
///
/// What is not of the protocol and can't be answered; the connection is of no more use.
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

/// A request that lacks nothing but the rest of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartialRequest {
    /// Its number.
    pub call: u32,
    /// Bytes of the body that are still to come.
    pub missing: usize,
}

/// The request at the head of the buffer if it lacks nothing but the rest of its body. For a reader that has no memory
/// for it and reads past it.
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
    let here = buffer.len() - reader.position();
    let missing = length.checked_sub(here).filter(|missing| *missing > 0)?;
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
    if let Some(class) = names.class(method) {
        return read_request(reader, call, class);
    }
    reader.skip(MAX_MESSAGE)?;
    Ok(Draft::Message(if method == ALIVE {
        ClientMessage::Alive { call }
    } else {
        ClientMessage::Invalid {
            call,
            reason: InvalidRequest::UnknownMethod,
        }
    }))
}

// What can be read as MessagePack but is no request gets an answer, so the reader must stand behind it.
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
        Ok(_) => InvalidRequest::LeftOver,
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
