//! Answers to clients.

use bytes::{BufMut, Bytes, BytesMut};
use flaxdeck::Span;

use crate::Answer;
use crate::msgpack::{put_binary_length, put_text, put_unsigned};

/// The head of an answer: an array of four, and the kind of an answer.
const ANSWER: [u8; 2] = [0x94, 0x01];
/// An array of two.
const PAIR: u8 = 0x92;
/// A map without fields; one more for each field.
const NO_FIELDS: u8 = 0x80;
const NIL: u8 = 0xc0;
const TRUE: u8 = 0xc3;
/// The error of a request that was rejected.
const REJECTED: &str = "Backoff";
/// The error of a request that failed.
const FAILED: &str = "Lost";

/// The pieces of an answer; the body goes on uncopied.
pub fn encode_answer(call: u32, answer: Answer) -> [Bytes; 3] {
    let alone = |bytes| [bytes, Bytes::new(), Bytes::new()];
    match answer {
        Answer::Served(body) => [
            result_head(call, body.len()).freeze(),
            body,
            Bytes::from_static(&[NO_FIELDS]),
        ],
        Answer::Unchanged => {
            let mut out = result_head(call, 0);
            put_field(&mut out, "current", "1");
            alone(out.freeze())
        }
        Answer::Rejected(retry_after) => alone(encode_rejected(call, retry_after)),
        Answer::Failed => alone(encode_failed(call)),
    }
}

/// An answer: rejected, with the time after which to try again.
pub fn encode_rejected(call: u32, retry_after: Option<Span>) -> Bytes {
    encode_error(call, REJECTED, retry_after)
}

/// An answer: failed.
pub fn encode_failed(call: u32) -> Bytes {
    encode_error(call, FAILED, None)
}

/// An answer that is an error.
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

/// The answer to a client that asks whether this dispatcher is up.
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

/// The head of an answer that is no error, up to a body of so many bytes; fields follow.
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
