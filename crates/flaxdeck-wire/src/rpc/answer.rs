//! Encodes answers to clients.

use bytes::{BufMut, Bytes, BytesMut};
use flaxdeck::Span;

use crate::Answer;
use crate::msgpack::{put_binary_length, put_text, put_unsigned};

/// The head of an answer: an array of four values, and the type number of an answer.
const ANSWER: [u8; 2] = [0x94, 0x01];
/// The head of an array of two values.
const PAIR: u8 = 0x92;
/// The head of an empty map; the lower four bits hold the number of fields.
const NO_FIELDS: u8 = 0x80;
const NIL: u8 = 0xc0;
const TRUE: u8 = 0xc3;
/// The error name of a rejected request.
const REJECTED: &str = "Backoff";
/// The error name of a failed request.
const FAILED: &str = "Lost";

/// Encodes an answer as head, body and tail; the body is not copied.
pub fn encode_answer(call: u32, answer: Answer) -> [Bytes; 3] {
    let without_body = |bytes| [bytes, Bytes::new(), Bytes::new()];
    match answer {
        Answer::Served(body) => [
            result_head(call, body.len()).freeze(),
            body,
            Bytes::from_static(&[NO_FIELDS]),
        ],
        Answer::Unchanged => {
            let mut out = result_head(call, 0);
            put_field(&mut out, "current", "1");
            without_body(out.freeze())
        }
        Answer::Rejected(retry_after) => without_body(encode_rejected(call, retry_after)),
        Answer::Failed => without_body(encode_failed(call)),
    }
}

/// Encodes a rejection, with an optional time after which the client may retry.
pub fn encode_rejected(call: u32, retry_after: Option<Span>) -> Bytes {
    encode_error(call, REJECTED, retry_after)
}

/// Encodes the answer to a failed request.
pub fn encode_failed(call: u32) -> Bytes {
    encode_error(call, FAILED, None)
}

/// Encodes an error answer, with an optional time after which the client may retry.
pub fn encode_error(call: u32, error: &str, retry_after: Option<Span>) -> Bytes {
    let mut out = head(call);
    out.put_u8(PAIR);
    put_text(&mut out, error);
    match retry_after {
        Some(after) => put_field(&mut out, "after", &format!("{}", after.ms().ceil() as u64)),
        None => out.put_u8(NO_FIELDS),
    }
    out.put_u8(NIL);
    out.freeze()
}

/// Encodes the answer to a client's health check.
pub fn encode_alive(call: u32) -> Bytes {
    let mut out = head(call);
    out.put_slice(&[NIL, PAIR, TRUE, NO_FIELDS]);
    out.freeze()
}

fn head(call: u32) -> BytesMut {
    let mut out = BytesMut::with_capacity(64);
    out.put_slice(&ANSWER);
    put_unsigned(&mut out, call);
    out
}

/// Writes the head of a successful answer up to its body of `body_length` bytes; the body and the fields follow.
fn result_head(call: u32, body_length: usize) -> BytesMut {
    let mut out = head(call);
    out.put_slice(&[NIL, PAIR]);
    put_binary_length(&mut out, body_length);
    out
}

fn put_field(out: &mut BytesMut, name: &str, value: &str) {
    out.put_u8(NO_FIELDS | 1);
    put_text(out, name);
    put_text(out, value);
}
