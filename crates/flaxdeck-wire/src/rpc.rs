//! MessagePack-RPC as clients speak it: messages in, answers out.

use std::ops::Range;

use bytes::{BufMut, Bytes, BytesMut};
use flaxdeck::{ClassId, GroupId, ObjectId, Span};
use flaxdeck_terms::{MAX_NAME, Names};

use crate::msgpack::{Reader, Stop, put_binary_head, put_text, put_whole};
use crate::{Answer, ClientRequest, Malformed, Parsed};
use flaxdeck_net::budget::{MAX_MESSAGE, MAX_WRITE};

/// Bytes of a field's name or value; the longest of the protocol are 32.
const MAX_FIELD: usize = MAX_NAME;
/// Fields of a message; the protocol knows nine.
const MAX_FIELDS: usize = 64;
/// Values of an empty `FIELDS`.
const NO_FIELDS: u8 = 0x80;
const NIL: u8 = 0xc0;

/// What a client says.
#[derive(Debug, PartialEq)]
pub enum ClientMessage {
    Request {
        call: u32,
        asked: Box<ClientRequest>,
    },
    Alive {
        call: u32,
    },
    Cancel {
        call: u32,
    },
    /// It can be told why, but not acted upon.
    Invalid {
        call: u32,
        why: &'static str,
    },
    /// A notification that nothing follows from.
    Nothing,
}

/// A message; a request's texts are still places in the bytes it was parsed from.
enum Draft {
    Request(u32, RequestDraft),
    Done(ClientMessage),
}

#[derive(Default)]
struct RequestDraft {
    class: usize,
    id: Option<Range<usize>>,
    key: Option<Range<usize>>,
    object: u64,
    part: u64,
    group: u64,
    size_kb: Option<f64>,
    waits_ms: Option<f64>,
    again: bool,
    holds: Option<Range<usize>>,
    idempotency_key: Option<Range<usize>>,
    body: Range<usize>,
}

/// Parses one message at the head of the buffer and takes its bytes out.
pub fn parse(buffer: &mut BytesMut, names: &Names) -> Result<Parsed<ClientMessage>, Malformed> {
    let mut reader = Reader::new(buffer);
    let draft = match read(&mut reader, names) {
        Ok(draft) if reader.at <= MAX_MESSAGE => draft,
        Err(Stop::Short(more)) if buffer.len() + more <= MAX_MESSAGE => {
            return Ok(Parsed::Short(more));
        }
        Ok(_) | Err(Stop::Short(_)) => return Err(Malformed("a message over the bound")),
        Err(Stop::Bad(why)) => return Err(Malformed(why)),
    };
    let used = reader.at;
    let message = buffer.split_to(used).freeze();
    Ok(Parsed::Whole(match draft {
        Draft::Request(call, draft) => match asked(&message, draft) {
            Ok(asked) => ClientMessage::Request {
                call,
                asked: Box::new(asked),
            },
            Err(why) => ClientMessage::Invalid { call, why },
        },
        Draft::Done(said) => said,
    }))
}

/// A request at the head of the buffer that lacks nothing but the rest of its body: its call number, and how many bytes
/// are still to come. For who has no memory for it and reads past it.
pub fn lacks_body(buffer: &BytesMut) -> Option<(u32, usize)> {
    let mut reader = Reader::new(buffer);
    let head = (reader.array().ok()?, reader.whole().ok()?);
    let call = call_number(&mut reader).ok().filter(|_| head == (4, 0))?;
    reader.text(MAX_FIELD).ok()?;
    let (parameters, fields) = (reader.array().ok()?, reader.map().ok()?);
    if parameters != 2 || fields > MAX_FIELDS {
        return None;
    }
    for _ in 0..2 * fields {
        reader.text(MAX_FIELD).ok()?;
    }
    let (length, here) = (
        reader.binary_head(MAX_WRITE).ok()?,
        buffer.len() - reader.at,
    );
    (here < length).then(|| (call, length - here))
}

fn call_number(reader: &mut Reader) -> Result<u32, Stop> {
    u32::try_from(reader.whole()?).map_err(|_| Stop::Bad("a message id over 32 bits"))
}

fn read(reader: &mut Reader, names: &Names) -> Result<Draft, Stop> {
    match (reader.array()?, reader.whole()?) {
        (4, 0) => {
            let call = call_number(reader)?;
            let method = reader.text(MAX_FIELD)?;
            match names.class(method) {
                Some(ClassId(class)) => request(reader, call, class),
                None => {
                    reader.skip(MAX_MESSAGE)?;
                    let why = "no such method";
                    let alive = method == "alive";
                    Ok(Draft::Done(if alive {
                        ClientMessage::Alive { call }
                    } else {
                        ClientMessage::Invalid { call, why }
                    }))
                }
            }
        }
        (3, 2) => {
            let method = reader.text(MAX_FIELD)?;
            let mut parameters = reader.value(MAX_MESSAGE)?;
            if method != "cancelRequest" {
                return Ok(Draft::Done(ClientMessage::Nothing));
            }
            let call = if parameters.array()? > 0 {
                call_number(&mut parameters)?
            } else {
                0
            };
            Ok(Draft::Done(ClientMessage::Cancel { call }))
        }
        _ => Err(Stop::Bad("neither a request nor a notification")),
    }
}

// What can be read as MessagePack but is no request gets an answer, so the reader must stand behind it.
fn request(reader: &mut Reader, call: u32, class: usize) -> Result<Draft, Stop> {
    let mut parameters = reader.value(MAX_MESSAGE)?;
    let invalid = |why| Ok(Draft::Done(ClientMessage::Invalid { call, why }));
    match fields(&mut parameters, class) {
        Ok(draft) if parameters.at == reader.at => Ok(Draft::Request(call, draft)),
        Ok(_) => invalid("parameters left over"),
        Err(Stop::Bad(why)) => invalid(why),
        Err(short) => Err(short),
    }
}

fn fields(reader: &mut Reader, class: usize) -> Result<RequestDraft, Stop> {
    let parameters = reader.array()?;
    if parameters != 2 {
        return Err(Stop::Bad("not two parameters"));
    }
    let mut draft = RequestDraft {
        class,
        ..RequestDraft::default()
    };
    let count = reader.map()?;
    if count > MAX_FIELDS {
        return Err(Stop::Bad("too many fields"));
    }
    for _ in 0..count {
        let name = reader.text(MAX_FIELD)?;
        let value = reader.text(MAX_FIELD)?;
        let place = reader.at - value.len()..reader.at;
        match name {
            "id" => draft.id = Some(place).filter(|_| hex(value).is_some()),
            "key" => {
                draft.object = hex(value).ok_or(Stop::Bad("key is not 16 hex digits"))?;
                draft.key = Some(place);
            }
            "wait" => draft.waits_ms = number(value),
            "retry" => draft.again = value == "1",
            "slice" => draft.part = value.parse().map_err(|_| Stop::Bad("slice is no number"))?,
            "set" => draft.group = value.parse().map_err(|_| Stop::Bad("set is no number"))?,
            "kb" => draft.size_kb = Some(number(value).ok_or(Stop::Bad("kb is no number"))?),
            "seen" if word(value) => draft.holds = Some(place),
            "seen" => return Err(Stop::Bad("seen is no tag")),
            "once" if word(value) => draft.idempotency_key = Some(place),
            "once" => return Err(Stop::Bad("once is no mark")),
            _ => {}
        }
    }
    let body = reader.binary(MAX_WRITE)?;
    draft.body = reader.at - body.len()..reader.at;
    Ok(draft)
}

fn asked(message: &Bytes, draft: RequestDraft) -> Result<ClientRequest, &'static str> {
    let slice = |place: Range<usize>| message.slice(place);
    Ok(ClientRequest {
        class: ClassId(draft.class),
        id: slice(draft.id.ok_or("id is not 16 hex digits")?),
        key: slice(draft.key.ok_or("key is missing")?),
        object: ObjectId(draft.object),
        part: draft.part,
        group: GroupId(draft.group),
        size_kb: draft.size_kb.filter(|kb| *kb > 0.0),
        waits: Span::of_ms(draft.waits_ms.ok_or("wait is no number")?),
        again: draft.again,
        holds: draft.holds.map(slice),
        idempotency_key: draft.idempotency_key.map(slice),
        body: slice(draft.body),
    })
}

fn hex(value: &str) -> Option<u64> {
    let digits = value.len() == 16 && value.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(value, 16).ok().filter(|_| digits)
}

/// A number of milliseconds or KB that is none of the odd ones, and small enough for any use.
fn number(value: &str) -> Option<f64> {
    value
        .parse()
        .ok()
        .filter(|number| (0.0..1e9).contains(number))
}

/// Whether a value can stand in a line's fields as it is.
fn word(value: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_graphic() && !b",=+".contains(&byte);
    !value.is_empty() && value.bytes().all(plain)
}

fn head(call: u32) -> BytesMut {
    let mut out = BytesMut::with_capacity(64);
    out.put_slice(&[0x94, 0x01]);
    put_whole(&mut out, call);
    out
}

fn field(out: &mut BytesMut, name: &str, value: &str) {
    out.put_u8(NO_FIELDS | 1);
    put_text(out, name);
    put_text(out, value);
}

/// The pieces of an answer; the body goes on uncopied.
pub fn answer(call: u32, answer: Answer) -> [Bytes; 3] {
    let result = |bytes| {
        let mut out = head(call);
        out.put_slice(&[NIL, 0x92]);
        put_binary_head(&mut out, bytes);
        out
    };
    match answer {
        Answer::Served(body) => [
            result(body.len()).freeze(),
            body,
            Bytes::from_static(&[NO_FIELDS]),
        ],
        Answer::Unchanged => {
            let mut out = result(0);
            field(&mut out, "current", "1");
            [out.freeze(), Bytes::new(), Bytes::new()]
        }
        Answer::Rejected(after) => [error(call, "Backoff", after), Bytes::new(), Bytes::new()],
        Answer::Failed => [error(call, "Lost", None), Bytes::new(), Bytes::new()],
    }
}

/// An answer that is an error.
pub fn error(call: u32, word: &str, after: Option<Span>) -> Bytes {
    let mut out = head(call);
    out.put_u8(0x92);
    put_text(&mut out, word);
    match after {
        Some(after) => field(&mut out, "after", &format!("{}", after.ms().ceil() as u64)),
        None => out.put_u8(NO_FIELDS),
    }
    out.put_u8(NIL);
    out.freeze()
}

pub fn alive(call: u32) -> Bytes {
    let mut out = head(call);
    out.put_slice(&[NIL, 0x92, 0xc3, NO_FIELDS]);
    out.freeze()
}
